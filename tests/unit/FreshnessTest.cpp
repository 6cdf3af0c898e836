#include "include/fleet/Freshness.h"

#include <doctest/doctest.h>

using namespace waxwing;

namespace {

class FreshnessFixture
{
protected:
    SteadyTime at(int ms) const
    {
        return start_ + Millis(ms);
    }

    Freshness freshness_;

private:
    SteadyTime start_ = SteadyTime(std::chrono::hours(1));
};

} // namespace

// Guards against a starting node that accepts callers before its state is confirmed as the newest.
TEST_CASE_FIXTURE(FreshnessFixture, "freshness, nothing confirmed and no request made, does not permit callers")
{
    CHECK_FALSE(freshness_.mayServeCallers(at(0), false));
    CHECK_FALSE(freshness_.mayServeCallers(at(0), true));
    CHECK_FALSE(freshness_.age(at(0)).has_value());
}

// Guards against a node that reads a response long after it was sent and treats it as current.
TEST_CASE_FIXTURE(FreshnessFixture, "freshness, response read ten seconds after its request, does not let a node start")
{
    freshness_.confirm(at(0));
    CHECK(freshness_.mayServeCallers(at(1500), false));
    CHECK_FALSE(freshness_.mayServeCallers(at(10000), false));
    freshness_.confirm(at(9900));
    CHECK(freshness_.mayServeCallers(at(10000), false));
}

// Guards against a fleet that takes itself out of service because its store is down.
TEST_CASE_FIXTURE(FreshnessFixture, "freshness, store that fails each request, still permits callers")
{
    freshness_.confirm(at(0));
    for (int ms = 3000; ms < 60000; ms += 2500) {
        freshness_.noteFailure(at(ms), at(ms + 1000));
        CHECK(freshness_.mayServeCallers(at(ms + 2500), true));
        CHECK(freshness_.mayServeCallers(at(ms + 2500), false));
    }
}

// Guards against a process that resumes after a suspension and serves with old state: a request that failed before the
// suspension no longer proves that newer state can't be obtained.
TEST_CASE_FIXTURE(FreshnessFixture, "freshness, process that was suspended, needs a new request first")
{
    freshness_.confirm(at(0));
    freshness_.noteFailure(at(1000), at(2000));
    CHECK_FALSE(freshness_.mayServeCallers(at(20000), true));
    freshness_.noteFailure(at(20000), at(20100));
    CHECK(freshness_.mayServeCallers(at(20100), true));
}

TEST_CASE_FIXTURE(FreshnessFixture, "freshness, confirmations out of order, keep the newest")
{
    freshness_.confirm(at(5000));
    freshness_.confirm(at(1000));
    CHECK(*freshness_.age(at(6000)) == Millis(1000));
    CHECK_FALSE(freshness_.isOlderThan(Millis(1000), at(6000)));
    CHECK(freshness_.isOlderThan(Millis(999), at(6000)));
}

TEST_CASE_FIXTURE(FreshnessFixture, "freshness, failure before the last confirmation, does not count")
{
    freshness_.noteFailure(at(1000), at(2000));
    CHECK(freshness_.hasFailedSince(at(0)));
    CHECK_FALSE(freshness_.hasFailedSince(at(1000)));
    freshness_.confirm(at(2500));
    CHECK_FALSE(freshness_.hasFailedSince(at(0)));
    CHECK_FALSE(freshness_.mayServeCallers(at(6600), true));
}
