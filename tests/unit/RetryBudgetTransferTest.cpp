#include "include/limit/FleetRetryBudget.h"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <doctest/doctest.h>

#include <vector>

using namespace waxwing;

namespace {

constexpr Millis tick{100};
constexpr Millis filling = std::chrono::seconds(10);

/** What a fleet's servers do to the requests for one service. */
struct FleetLoad {
    std::size_t nodes = 0;
    double requestsPerTickAndNode = 0.0;
    /** Share of the sends that have to be repeated, and for how long. */
    double failedShare = 0.0;
    Millis lasts{0};
    /** Sends of one request at most. */
    int mostSends = 2;
};

struct FleetOutcome {
    int requests = 0;
    int served = 0;
    int secondSends = 0;
    int denied = 0;

    double servedShare() const
    {
        return static_cast<double>(served) / requests;
    }
};

/** A fleet in which each node spends and lends second sends for requests that come at random. */
class FleetOfBudgets
{
protected:
    /** Plays @p load after a window without failures. */
    FleetOutcome play(const FleetLoad &load, std::uint32_t seed)
    {
        random_.seed(seed);
        budgets_.assign(load.nodes, FleetRetryBudget(tuning()));
        FleetOutcome out;
        for (Millis since = -filling; since < load.lasts; since += tick) {
            const SteadyTime now = SteadyTime(std::chrono::hours(1)) + since;
            for (std::size_t node = 0; node < load.nodes; ++node) {
                if (chance_(random_) >= load.requestsPerTickAndNode) {
                    continue;
                }
                budgets_[node].noteRequest(now);
                if (since >= Millis(0)) {
                    serve(load, node, now, out);
                }
            }
        }
        return out;
    }

    static constexpr double slackOfFleet = 430.0;

private:
    static FleetRetryTuning tuning()
    {
        FleetRetryTuning out;
        out.slack = slackOfFleet;
        return out;
    }

    void serve(const FleetLoad &load, std::size_t node, SteadyTime now, FleetOutcome &out)
    {
        ++out.requests;
        for (int sends = 1; chance_(random_) < load.failedShare; ++sends) {
            if (sends >= load.mostSends) {
                return;
            }
            if (!spend(node, now)) {
                ++out.denied;
                return;
            }
            ++out.secondSends;
        }
        ++out.served;
    }

    bool spend(std::size_t node, SteadyTime now)
    {
        FleetRetryBudget &own = budgets_[node];
        const auto has = [&] { return own.has(1.0, budgets_.size(), RetryReason::Failure, now); };
        const TransferTuning borrowing;
        double borrowed = 0.0;
        for (std::size_t asked = 0; !has() && asked < borrowing.maxDonors; ++asked) {
            const std::size_t lender =
                boost::random::uniform_int_distribution<std::size_t>(0, budgets_.size() - 1)(random_);
            if (lender != node) {
                const double missing = 1.0 + borrowing.extraTokens - borrowed;
                const double lent = budgets_[lender].transferOut(missing, RetryReason::Failure, budgets_.size(), now);
                own.transferIn(lent, now);
                borrowed += lent;
            }
        }
        if (has()) {
            own.take(1.0, now);
            return true;
        }
        return false;
    }

    boost::random::mt19937 random_;
    boost::random::uniform_01<double> chance_;
    std::vector<FleetRetryBudget> budgets_;
};

} // namespace

// Guards against look-ups that fail for want of a second send while the fleet has most of its bound left: the larger
// the fleet, the smaller each node's part.
TEST_CASE_FIXTURE(FleetOfBudgets,
                  "second sends, a sixth of the servers gray in a fleet of any size, are there nearly always")
{
    constexpr double seldom = 0.005;
    FleetLoad load;
    load.requestsPerTickAndNode = 0.15;
    load.failedShare = 0.12;
    load.lasts = std::chrono::seconds(30);
    for (const std::size_t nodes : {24, 234, 1000}) {
        load.nodes = nodes;
        for (const std::uint32_t seed : {1U, 2U, 3U}) {
            const FleetOutcome outcome = play(load, seed);
            CHECK(outcome.denied < seldom * (outcome.denied + outcome.secondSends));
        }
    }
}

// Guards against second sends that are left unused, or spent past their bound, while a whole service sheds.
TEST_CASE_FIXTURE(FleetOfBudgets, "second sends, all servers shed half for eight seconds, come near the best share")
{
    FleetLoad load;
    load.nodes = 234;
    load.requestsPerTickAndNode = 0.33;
    load.failedShare = 0.55;
    load.lasts = Millis(8500);
    load.mostSends = 12;
    for (const std::uint32_t seed : {1U, 2U, 3U}) {
        const FleetOutcome outcome = play(load, seed);
        const double withoutRepeats = 1.0 - load.failedShare;
        // All second sends of the window are spent on these requests, and as many of them are shed as of the first.
        const double requestsInWindow = 10.0 / 8.5 * outcome.requests;
        const double allowed = FleetRetryTuning().share * requestsInWindow + slackOfFleet;
        const double best = withoutRepeats + withoutRepeats * allowed / outcome.requests;
        MESSAGE("served " << outcome.servedShare() << ", without repeats " << withoutRepeats << ", at best " << best);
        CHECK(outcome.secondSends <= allowed);
        CHECK(outcome.servedShare() > withoutRepeats + 0.6 * (best - withoutRepeats));
    }
}
