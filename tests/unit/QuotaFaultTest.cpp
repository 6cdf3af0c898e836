#include "tests/support/QuotaFleetModel.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace waxwing;
using namespace waxwing::testing;

namespace {

/** Nodes of the smallest fleet in usualLoads(). */
constexpr int smallFleetNodes = 4;

constexpr std::uint32_t seeds = 10;

struct NamedLoad {
    std::string name;
    QuotaFleetLoad load;
};

/** What the runs of all seeds add up to. */
struct Sums {
    int requests = 0;
    int admitted = 0;
    int owed = 0;
    int refused = 0;
    double worstOverrun = -1e9;
};

QuotaFleetLoad loadOf(int nodes, int regions, double rate, double requestsPerSecond)
{
    QuotaFleetLoad load;
    load.nodes = nodes;
    load.regions = regions;
    load.limit = QuotaLimit{rate, rate};
    load.requestsPerSecond = requestsPerSecond;
    load.faultsFrom = Millis(2000);
    load.faultsUntil = Millis(12000);
    load.length = Millis(16000);
    return load;
}

QuotaFleetLoad smallFleet(double requestsPerSecond)
{
    QuotaFleetLoad load = loadOf(4, 1, 4.0, requestsPerSecond);
    load.tuning.slack = 2.0;
    return load;
}

QuotaFleetLoad hot(QuotaFleetLoad load)
{
    load.hotFactor = 7.5;
    load.hotFrom = Millis(3000);
    load.hotUntil = Millis(9500);
    return load;
}

/** Customers at 1/1.6 of their limits. */
std::vector<NamedLoad> usualLoads()
{
    return {{"136/s at 102 nodes", loadOf(102, 3, 136.0, 85.0)},
            {"16/s at 102 nodes", loadOf(102, 3, 16.0, 10.0)},
            {"40/s at 24 nodes", loadOf(24, 1, 40.0, 25.0)},
            {"4/s at 4 nodes", smallFleet(2.5)}};
}

/** Customers far above their limits. */
std::vector<NamedLoad> hotLoads()
{
    return {{"136/s at 102 nodes", hot(loadOf(102, 3, 136.0, 85.0))},
            {"16/s at 102 nodes", hot(loadOf(102, 3, 16.0, 10.0))},
            {"40/s at 24 nodes", hot(loadOf(24, 1, 40.0, 25.0))},
            {"4/s at 4 nodes", smallFleet(40.0)}};
}

Sums play(const QuotaFleetLoad &load)
{
    Sums sums;
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        const auto outcome = QuotaFleetModel(load, QuotaPolicy::RegionCounters, seed).run();
        sums.requests += outcome.requests;
        sums.admitted += outcome.admitted;
        sums.owed += outcome.owed;
        sums.refused += outcome.refusedForQuota;
        sums.worstOverrun = std::max(sums.worstOverrun, outcome.worstOverrun);
    }
    return sums;
}

/**
 * Checks that a customer within its quota is refused no more often than without the reports of stand-ins, and that the
 * bound holds.
 */
void checkRefusedNoMoreThanWithoutReports(const NamedLoad &named)
{
    QuotaFleetLoad without = named.load;
    without.standInReports = false;
    const Sums with = play(named.load);
    INFO(named.name << ": owed " << with.owed << ", admitted " << with.admitted);
    CHECK(with.refused <= play(without).refused);
    CHECK(with.worstOverrun <= 0.0);
}

/** The same while one and three ingresses can't reach the counter. */
void checkCutLinks(NamedLoad named)
{
    for (const int ingresses : {1, 3}) {
        named.load.cutIngresses = ingresses;
        checkRefusedNoMoreThanWithoutReports(named);
    }
}

/** Checks that a customer above its quota gets at least @p share of what it is owed, and no more than the bound. */
void checkGetsQuota(const NamedLoad &named, double share)
{
    const Sums sums = play(named.load);
    INFO(named.name << ": owed " << sums.owed << ", admitted " << sums.admitted);
    CHECK(sums.admitted >= share * sums.owed);
    CHECK(sums.worstOverrun <= 0.0);
}

} // namespace

// Guards against customers within their quota that are refused because the stand-in's reports count requests twice.
TEST_CASE("quota of a fleet, replies of live counters lost, refuses no more than without stand-in reports")
{
    for (NamedLoad named : usualLoads()) {
        for (const double share : {0.05, 0.2}) {
            named.load.lostReplies = share;
            checkRefusedNoMoreThanWithoutReports(named);
        }
    }
}

// Guards against refusals within the quota because replies arrive after the ingress has excluded the counter.
TEST_CASE("quota of a fleet, replies of live counters late, refuses no more than without stand-in reports")
{
    for (NamedLoad named : usualLoads()) {
        named.load.lateReplies = 0.2;
        checkRefusedNoMoreThanWithoutReports(named);
    }
}

// Guards against a first counter that is charged late for requests which its full bucket has regained.
TEST_CASE("quota of a fleet, links of an ingress to the counter cut, refuses no more than without stand-in reports")
{
    for (const NamedLoad &named : usualLoads()) {
        if (named.load.nodes > smallFleetNodes) {
            checkCutLinks(named);
        }
    }
}

// Guards against refusals of a customer with a quota of a few requests per second, whose bursts a second bucket grants.
TEST_CASE("quota of 4 nodes, links of an ingress to the counter cut, refuses no more than without stand-in reports")
{
    for (const NamedLoad &named : usualLoads()) {
        if (named.load.nodes == smallFleetNodes) {
            checkCutLinks(named);
        }
    }
}

// Guards against a hot customer that gets three quarters of its quota because requests are counted twice.
TEST_CASE(
    "quota of a fleet, hot customer while replies are lost or late, gets nine tenths of its quota within the bound")
{
    for (NamedLoad named : hotLoads()) {
        named.load.lostReplies = 0.2;
        checkGetsQuota(named, 0.9);
        named.load.lostReplies = 0.0;
        named.load.lateReplies = 0.2;
        checkGetsQuota(named, 0.9);
    }
}

// Guards against a hot customer that gets less than its quota because some ingresses can't reach the counter.
TEST_CASE("quota of a fleet, hot customer while links to the counter are cut, gets nine tenths of its quota")
{
    for (NamedLoad named : hotLoads()) {
        for (const int ingresses : {1, 3}) {
            named.load.cutIngresses = ingresses;
            checkGetsQuota(named, 0.9);
        }
    }
}

// Guards against peers of an earlier build, whose reports have no identifiers, that break the rule during an upgrade.
TEST_CASE("quota of a fleet, ingresses of an earlier build and replies lost, stays within the bound")
{
    for (NamedLoad named : hotLoads()) {
        named.load.identifiedReports = false;
        named.load.lostReplies = 0.2;
        CHECK(play(named.load).worstOverrun <= 0.0);
    }
}
