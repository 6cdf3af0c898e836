#include "tests/support/QuotaFleetModel.h"

#include <doctest/doctest.h>

using namespace waxwing;
using namespace waxwing::testing;

namespace {

QuotaFleetOutcome play(const QuotaFleetLoad &load, std::uint32_t seed)
{
    return QuotaFleetModel(load, QuotaPolicy::RegionCounters, seed).run();
}

QuotaFleetLoad hotLoad()
{
    QuotaFleetLoad load;
    load.hotFactor = 7.5;
    load.hotFrom = Millis(3000);
    load.hotUntil = Millis(9500);
    return load;
}

constexpr std::uint32_t seeds = 5;

/** A small fleet of one region and a customer that sends ten times its rate, as in the soak test. */
QuotaFleetLoad smallFleetLoad()
{
    QuotaFleetLoad load;
    load.nodes = 4;
    load.regions = 1;
    load.limit = QuotaLimit{4.0, 4.0};
    load.tuning.slack = 2.0;
    load.requestsPerSecond = 40.0;
    load.length = Millis(15000);
    return load;
}

/** The share of the nodes can't reach the others from 2 s on. */
QuotaFleetLoad hotLoadWithCut(double share, Millis until)
{
    QuotaFleetLoad load = hotLoad();
    load.cutShare = share;
    load.cutFrom = Millis(2000);
    load.cutUntil = until;
    return load;
}

/** A hot customer while slots are scarce for 6 s. Its requests wait for them, and all that wait run at the end. */
QuotaFleetLoad hotLoadWithWaits(double hotFactor)
{
    QuotaFleetLoad load;
    load.hotFactor = hotFactor;
    load.hotFrom = Millis(2000);
    load.hotUntil = Millis(13000);
    load.scarceFrom = Millis(3000);
    load.scarceUntil = Millis(9000);
    load.scarceSlotsPerSecond = 10.0;
    load.length = Millis(16000);
    return load;
}

/** Checks the rule itself: requests both sent and run within one window. */
void checkRunsWithinBound(const QuotaFleetLoad &load, QuotaLimit limit)
{
    const QuotaTuning tuning;
    const double seconds = secondsOf(tuning.window);
    const double bound = (limit.ratePerSecond * seconds + limit.burst) * (1.0 + tuning.over) + tuning.slack;
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        const QuotaFleetOutcome outcome = play(load, seed);
        INFO("seed " << seed << ": requests " << outcome.requests << ", admitted " << outcome.admitted
                     << ", refused for quota " << outcome.refusedForQuota << ", ran " << outcome.ran);
        CHECK(outcome.worstWindow <= bound);
    }
}

void checkWithinBound(const QuotaFleetLoad &load)
{
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        CHECK(play(load, seed).worstOverrun <= 0.0);
    }
}

} // namespace

// Guards against refusals and delays of a customer that stays within its quota.
TEST_CASE("quota of a fleet, usual load at all nodes, refuses nothing and stays below the limit")
{
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        const QuotaFleetOutcome outcome = play(QuotaFleetLoad(), seed);
        CHECK(outcome.worstOverrun < 0.0);
        CHECK(outcome.refusedOwedShare() < 0.001);
        CHECK(outcome.medianDelay == Millis(0));
    }
}

// Guards against nodes that together admit more than the bound, for a customer that sends 7.5 times its usual to all of
// them at once.
TEST_CASE("quota of a fleet, hot customer at all nodes, stays within the bound")
{
    checkWithinBound(hotLoad());
    QuotaFleetLoad small = hotLoad();
    small.limit = QuotaLimit{16.0, 16.0};
    small.requestsPerSecond = 10.0;
    checkWithinBound(small);
}

// Guards against a bound that holds only for short bursts: the customer sends twice its limit all the time.
TEST_CASE("quota of a fleet, customer steadily over its limit, stays within the bound")
{
    for (const double rate : {16.0, 60.0, 136.0}) {
        QuotaFleetLoad load;
        load.limit = QuotaLimit{rate, rate};
        load.requestsPerSecond = 2.0 * rate;
        checkWithinBound(load);
    }
}

// Guards against refusals of a customer that uses one node only, whose region has a third of the quota.
TEST_CASE("quota of a fleet, all requests at one node, are served from the loans of other regions")
{
    QuotaFleetLoad load;
    load.usedNodes = 1;
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        const QuotaFleetOutcome outcome = play(load, seed);
        CHECK(outcome.worstOverrun < 0.0);
        CHECK(outcome.refusedOwedShare() < 0.01);
    }
}

// Guards against nodes that admit more than the bound while a sixth of them is cut off from the others and the
// counters.
TEST_CASE("quota of a fleet, hot customer while nodes are cut off, stays within the bound")
{
    QuotaFleetLoad load = hotLoadWithCut(0.17, Millis(7500));
    checkWithinBound(load);
}

// Guards against new counters that grant what the killed ones have granted: a counter is killed, and its successor
// within the same window.
TEST_CASE("quota of a fleet, counter killed twice within a window, stays within the bound")
{
    QuotaFleetLoad load = hotLoad();
    load.counterKills = {Millis(4000), Millis(5500)};
    checkWithinBound(load);
}

// Guards against a lower limit that is ignored, or that binds later than one window after the change.
TEST_CASE("quota of a fleet, limit halved during a burst, binds one window later")
{
    QuotaFleetLoad load = hotLoad();
    load.laterLimit = QuotaLimit{68.0, 68.0};
    load.laterLimitFrom = Millis(4000);
    checkWithinBound(load);
}

// Guards against a higher limit that existing counters ignore.
TEST_CASE("quota of a fleet, limit raised during a burst, grants more")
{
    QuotaFleetLoad load = hotLoad();
    const int before = play(load, 1).admitted;
    load.laterLimit = QuotaLimit{272.0, 272.0};
    load.laterLimitFrom = Millis(4000);
    CHECK(play(load, 1).admitted > before + 500);
}

// Guards against two halves of the fleet that each grant a hot customer more than their part of the quota.
TEST_CASE("quota of a fleet, hot customer while the fleet is split in halves, stays within the bound")
{
    QuotaFleetLoad load = hotLoadWithCut(0.5, Millis(7500));
    checkWithinBound(load);
}

// Guards against halves that forget the nodes of the other one when the split lasts longer than any window.
TEST_CASE("quota of a fleet, hot customer while the fleet is split for 12 s, stays within the bound")
{
    QuotaFleetLoad load = hotLoadWithCut(0.5, Millis(14000));
    load.hotUntil = Millis(14000);
    load.length = Millis(15000);
    checkWithinBound(load);
}

// Guards against halves that grant too much to a customer of few requests, whose counter has received no report of the
// nodes that it loses.
TEST_CASE("quota of a fleet, small hot customer while the fleet is split in halves, stays within the bound")
{
    QuotaFleetLoad load = hotLoadWithCut(0.5, Millis(7500));
    load.limit = QuotaLimit{16.0, 16.0};
    load.requestsPerSecond = 10.0;
    checkWithinBound(load);
}

// Guards against tokens that are returned late, and granted again while the requests that took their place also wait.
TEST_CASE("quota of a fleet, hot customer whose requests wait for slots, stays within the bound when all run at once")
{
    for (const double hotFactor : {4.0, 5.5, 7.0}) {
        QuotaFleetLoad load = hotLoadWithWaits(hotFactor);
        checkRunsWithinBound(load, load.limit);
        load.maxWait = Millis(3000);
        checkRunsWithinBound(load, load.limit);
        load.minWait = Millis(1900);
        load.maxWait = Millis(2100);
        checkRunsWithinBound(load, load.limit);
    }
}

// Guards against late returns that exceed the bound of a small limit, where callers repeat what was refused.
TEST_CASE("quota of a fleet, small hot customer whose callers repeat requests without a slot, stays within the bound")
{
    QuotaFleetLoad load = hotLoadWithWaits(7.0);
    load.limit = QuotaLimit{16.0, 16.0};
    load.requestsPerSecond = 10.0;
    load.scarceSlotsPerSecond = 1.0;
    load.repeats = 3;
    checkRunsWithinBound(load, load.limit);
    load.maxWait = Millis(3000);
    checkRunsWithinBound(load, load.limit);
}

// Guards against two counters that grant the whole rate at once: the first one is back, while other nodes still exclude
// it.
TEST_CASE("quota of a fleet, counter of a small fleet is killed and returns, stays within the bound")
{
    QuotaFleetLoad load = smallFleetLoad();
    load.counterKills = {Millis(5000)};
    load.downTime = Millis(1000);
    checkWithinBound(load);
}

// Guards against two counters that grant the whole rate after a pause, when both have kept their buckets.
TEST_CASE("quota of a fleet, counter of a small fleet is killed, returns and is paused, stays within the bound")
{
    QuotaFleetLoad load = smallFleetLoad();
    load.counterKills = {Millis(5000)};
    load.counterPauses = {Millis(9500)};
    checkWithinBound(load);
}
