#include "include/limit/FleetRetryBudget.h"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <doctest/doctest.h>

#include <vector>

using namespace waxwing;

namespace {

constexpr Millis tick{100};
constexpr Millis warmUp = std::chrono::seconds(10);

/** The requests for one service and how often its servers fail them. */
struct SimulatedLoad {
    std::size_t nodes = 0;
    double requestsPerTickAndNode = 0.0;
    /** Share of the attempts that fail during @c duration. */
    double failedShare = 0.0;
    Millis duration{0};
    /** Per request, the first one included. */
    int maxAttempts = 2;
};

struct SimulationResult {
    int requests = 0;
    int served = 0;
    int retries = 0;
    int denied = 0;

    double servedShare() const
    {
        return static_cast<double>(served) / requests;
    }
};

/** Simulates a fleet in which each node spends and transfers retry budget tokens for requests that arrive at random. */
class RetryBudgetFleet
{
protected:
    /** Runs @p load after one window without failures. */
    SimulationResult run(const SimulatedLoad &load, std::uint32_t seed)
    {
        random_.seed(seed);
        budgets_.assign(load.nodes, FleetRetryBudget(tuning()));
        SimulationResult out;
        for (Millis since = -warmUp; since < load.duration; since += tick) {
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

    static constexpr double fleetSlack = 430.0;

private:
    static FleetRetryTuning tuning()
    {
        FleetRetryTuning out;
        out.slack = fleetSlack;
        return out;
    }

    void serve(const SimulatedLoad &load, std::size_t node, SteadyTime now, SimulationResult &out)
    {
        ++out.requests;
        for (int attempt = 1; chance_(random_) < load.failedShare; ++attempt) {
            if (attempt >= load.maxAttempts) {
                return;
            }
            if (!spend(node, now)) {
                ++out.denied;
                return;
            }
            ++out.retries;
        }
        ++out.served;
    }

    bool spend(std::size_t node, SteadyTime now)
    {
        FleetRetryBudget &own = budgets_[node];
        const auto has = [&] { return own.has(1.0, budgets_.size(), RetryReason::Failure, now); };
        const TransferTuning transferTuning;
        double received = 0.0;
        for (std::size_t requests = 0; !has() && requests < transferTuning.maxDonors; ++requests) {
            const std::size_t donor =
                boost::random::uniform_int_distribution<std::size_t>(0, budgets_.size() - 1)(random_);
            if (donor != node) {
                const double missing = 1.0 + transferTuning.extraTokens - received;
                const double granted = budgets_[donor].transferOut(missing, RetryReason::Failure, budgets_.size(), now);
                own.transferIn(granted, now);
                received += granted;
            }
        }
        if (has()) {
            own.spend(1.0, RetryReason::Failure, now);
            return true;
        }
        return false;
    }

    boost::random::mt19937 random_;
    boost::random::uniform_01<double> chance_;
    std::vector<FleetRetryBudget> budgets_;
};

} // namespace

// Guards against lookups that fail because their node has no retry budget left, while the fleet has used little of its
// bound. The larger the fleet, the smaller the share of each node.
TEST_CASE_FIXTURE(
    RetryBudgetFleet,
    "retry budget transfer, a sixth of the servers gray in a fleet of any size, retries are rarely denied")
{
    constexpr double maxDeniedShare = 0.005;
    SimulatedLoad load;
    load.requestsPerTickAndNode = 0.15;
    load.failedShare = 0.12;
    load.duration = std::chrono::seconds(30);
    for (const std::size_t nodes : {24, 234, 1000}) {
        load.nodes = nodes;
        for (const std::uint32_t seed : {1U, 2U, 3U}) {
            const SimulationResult outcome = run(load, seed);
            CHECK(outcome.denied < maxDeniedShare * (outcome.denied + outcome.retries));
        }
    }
}

// Guards against a retry budget that is left unused, or exceeded, while a whole service sheds load.
TEST_CASE_FIXTURE(RetryBudgetFleet,
                  "retry budget transfer, all servers shed half for eight seconds, served share comes near the optimum")
{
    SimulatedLoad load;
    load.nodes = 234;
    load.requestsPerTickAndNode = 0.33;
    load.failedShare = 0.55;
    load.duration = Millis(8500);
    load.maxAttempts = 12;
    for (const std::uint32_t seed : {1U, 2U, 3U}) {
        const SimulationResult outcome = run(load, seed);
        const double withoutRetries = 1.0 - load.failedShare;
        // All retries of the window are spent on these requests, and they are shed at the same rate as first attempts.
        const double requestsInWindow = 10.0 / 8.5 * outcome.requests;
        const double allowed = FleetRetryTuning().share * requestsInWindow + fleetSlack;
        const double best = withoutRetries + withoutRetries * allowed / outcome.requests;
        MESSAGE("served " << outcome.servedShare() << ", without retries " << withoutRetries << ", at best " << best);
        CHECK(outcome.retries <= allowed);
        CHECK(outcome.servedShare() > withoutRetries + 0.6 * (best - withoutRetries));
    }
}
