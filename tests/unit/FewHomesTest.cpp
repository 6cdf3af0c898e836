#include "tests/support/FewHomesModel.h"

#include <doctest/doctest.h>

using namespace waxwing;
using namespace waxwing::testing;

namespace {

/** Returns the intervals below the floor, the requests and those that are not served, over several seeds. */
FewHomesResult sumOver(FewHomesLoad load, bool explores)
{
    constexpr std::uint32_t seeds = 40;
    load.explores = explores;
    FewHomesResult sum;
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        const FewHomesResult result = FewHomesModel(load, seed).run();
        sum.requests += result.requests;
        sum.notServed += result.notServed;
        sum.intervalsBelowFloor += result.intervalsBelowFloor;
    }
    return sum;
}

double notServedShare(const FewHomesResult &result)
{
    return static_cast<double>(result.notServed) / result.requests;
}

} // namespace

// Guards against senders that concentrate on a few of the servers that are left: three of six healthy servers got
// nothing for two seconds while a sixth of the requests were not served.
TEST_CASE("few homes left, three of six healthy ones were gray before, each gets a request in every two seconds")
{
    constexpr Millis floorInterval{2000};
    constexpr std::uint32_t seeds = 8;
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        const FewHomesResult result = FewHomesModel(FewHomesLoad{}, seed).run();
        CAPTURE(seed);
        MESSAGE("not served " << result.notServed << " of " << result.requests << ", longest time without a request "
                              << result.longestGap().count() << " ms, intervals below the floor "
                              << result.intervalsBelowFloor);
        CHECK(result.longestGap().count() < floorInterval.count());
    }
}

// Guards against servers that have recovered and get nothing while their senders avoid them by old reports.
TEST_CASE("few homes left, senders explore those that counted as gray, fewer intervals are below the floor")
{
    constexpr double maxMoreNotServed = 0.01;
    FewHomesLoad fewReached;
    fewReached.reachableShare = 0.35;
    FewHomesLoad oneRegion;
    oneRegion.healthyInOneRegion = true;
    for (const FewHomesLoad &load : {fewReached, oneRegion}) {
        const FewHomesResult without = sumOver(load, false);
        const FewHomesResult with = sumOver(load, true);
        MESSAGE("intervals below the floor " << without.intervalsBelowFloor << ", with exploration "
                                             << with.intervalsBelowFloor << "; not served " << notServedShare(without)
                                             << ", " << notServedShare(with));
        CHECK(with.intervalsBelowFloor < without.intervalsBelowFloor * 2 / 3);
        CHECK(notServedShare(with) < notServedShare(without) + maxMoreNotServed);
    }
}

// Guards against decisions for a service short of homes that act where all homes are healthy.
TEST_CASE("few homes left, all homes healthy instead, decisions for few homes change nothing")
{
    FewHomesLoad load;
    load.healthy = load.homes;
    load.recovering = 0;
    load.reachableShare = 1.0;
    for (std::uint32_t seed = 1; seed <= 3; ++seed) {
        load.explores = false;
        const FewHomesResult without = FewHomesModel(load, seed).run();
        load.explores = true;
        const FewHomesResult with = FewHomesModel(load, seed).run();
        CHECK(with.requests == without.requests);
        CHECK(with.notServed == without.notServed);
        CHECK(with.longestGaps == without.longestGaps);
    }
}
