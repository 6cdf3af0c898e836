#include "include/flow/FramingBudget.h"

#include <doctest/doctest.h>

using namespace waxwing;

namespace {

constexpr std::uint64_t kilobyte = 1024;

} // namespace

// Guards against a peer that keeps an exchange alive with chunk extensions, which no limit of a body counts.
TEST_CASE("framing budget, framing without end beside single bytes, is exceeded")
{
    FramingBudget budget(100 * kilobyte);
    int chunks = 0;
    while (budget.add(107, 1)) {
        ++chunks;
        REQUIRE(chunks < 10000);
    }
    CHECK(chunks < 1000);
}

// Guards against a large response in small chunks that fails although its server is sound.
TEST_CASE("framing budget, chunks of eight bytes, may go on as long as the body")
{
    FramingBudget budget(100 * kilobyte);
    for (int chunk = 0; chunk < 1000000; ++chunk) {
        REQUIRE(budget.add(8 + 5, 8));
    }
}

// Guards against headers that are read in parts and of which only the last part is counted.
TEST_CASE("framing budget, headers in many parts, count together")
{
    FramingBudget budget(100 * kilobyte);
    for (int part = 0; part < 100; ++part) {
        REQUIRE(budget.add(kilobyte, 0));
    }
    CHECK_FALSE(budget.add(1, 0));
}
