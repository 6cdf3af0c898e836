#include "include/limit/SecondSendBudget.h"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <doctest/doctest.h>

#include <vector>

using namespace waxwing;

namespace {

/** The users' bounds, and the load of one node of a fleet whose servers turn gray all the time. */
constexpr double slackOfFleet = 430.0;
constexpr Millis tick{100};
constexpr double requestsPerTick = 0.15;
constexpr double failedShare = 0.12;

/** A fleet in which each node spends and lends second sends for requests that come at random. */
class GrayFleet
{
protected:
    /** Part of the second sends wanted that were not to be had, after a window to fill up. */
    double deniedShare(std::size_t nodes, std::uint32_t seed)
    {
        random_.seed(seed);
        budgets_.assign(nodes, SecondSendBudget(tuning()));
        int wanted = 0;
        int denied = 0;
        constexpr int ticks = 400;
        constexpr int filling = 100;
        for (int i = 0; i < ticks; ++i) {
            const SteadyTime now = SteadyTime(std::chrono::hours(1)) + i * tick;
            for (std::size_t node = 0; node < nodes; ++node) {
                if (chance_(random_) >= requestsPerTick) {
                    continue;
                }
                budgets_[node].noteRequest(now);
                if (chance_(random_) < failedShare && i >= filling) {
                    ++wanted;
                    denied += spend(node, now) ? 0 : 1;
                }
            }
        }
        return static_cast<double>(denied) / wanted;
    }

private:
    static SecondSendTuning tuning()
    {
        SecondSendTuning out;
        out.slack = slackOfFleet;
        return out;
    }

    bool spend(std::size_t node, SteadyTime now)
    {
        SecondSendBudget &own = budgets_[node];
        const auto has = [&] { return own.has(1.0, budgets_.size(), SecondSend::AfterFailure, now); };
        const BorrowTuning borrowing;
        double borrowed = 0.0;
        for (std::size_t asked = 0; !has() && asked < borrowing.mostLenders; ++asked) {
            const std::size_t lender =
                boost::random::uniform_int_distribution<std::size_t>(0, budgets_.size() - 1)(random_);
            if (lender != node) {
                const double missing = 1.0 + borrowing.ahead - borrowed;
                const double lent = budgets_[lender].lend(missing, SecondSend::AfterFailure, budgets_.size(), now);
                own.borrow(lent, now);
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
    std::vector<SecondSendBudget> budgets_;
};

} // namespace

// Guards against look-ups that fail for want of a second send while the fleet has most of its bound left: the larger
// the fleet, the smaller each node's part.
TEST_CASE_FIXTURE(GrayFleet,
                  "second sends, a sixth of the servers gray in a fleet of any size, are there nearly always")
{
    constexpr double seldom = 0.005;
    for (const std::uint32_t seed : {1U, 2U, 3U}) {
        CHECK(deniedShare(24, seed) < seldom);
        CHECK(deniedShare(234, seed) < seldom);
        CHECK(deniedShare(1000, seed) < seldom);
    }
}
