#include "tests/support/FewHomesModel.h"

#include <doctest/doctest.h>

using namespace waxwing;
using namespace waxwing::testing;

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
