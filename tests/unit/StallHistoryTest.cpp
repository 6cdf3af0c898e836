#include "include/health/StallHistory.h"

#include <doctest/doctest.h>

using namespace waxwing;

namespace {

/** A node whose ticks the test drives. */
struct ObservedNode {
    ObservedNode()
    {
        stalls.start(now);
    }

    void tickAfter(Millis pause)
    {
        now += pause;
        stalls.tick(now);
    }

    const SteadyTime begin = SteadyTime(std::chrono::hours(1));
    SteadyTime now = begin;
    StallTuning tuning;
    StallHistory stalls{tuning};
};

} // namespace

TEST_CASE_FIXTURE(ObservedNode, "stall history, ticks in time, knows of no stall")
{
    for (int i = 0; i < 10; ++i) {
        tickAfter(tuning.tickInterval + tuning.tolerance);
    }
    CHECK(stalls.stalledBetween(begin, now) == Duration(0));
}

TEST_CASE_FIXTURE(ObservedNode, "stall history, one late tick, counts the part within the asked time")
{
    tickAfter(Millis(250));
    CHECK(stalls.stalledBetween(begin, now) == Millis(200));
    CHECK(stalls.stalledBetween(begin + Millis(150), now) == Millis(100));
    tickAfter(Millis(50));
    CHECK(stalls.stalledBetween(now, now) == Duration(0));
}

// Guards against work that is judged by an event which the loop handles before the late tick.
TEST_CASE_FIXTURE(ObservedNode, "stall history, asked before the late tick, counts the stall already")
{
    now += Millis(250);
    CHECK(stalls.stalledBetween(begin, now) == Millis(200));
}

TEST_CASE_FIXTURE(ObservedNode, "stall history, not observed, counts no stall")
{
    stalls.stop();
    now += Millis(250);
    CHECK(stalls.stalledBetween(begin, now) == Duration(0));
}

TEST_CASE_FIXTURE(ObservedNode, "stall history, many stalls, keeps the latest ones")
{
    for (std::size_t i = 0; i < 2 * tuning.maxStalls; ++i) {
        tickAfter(Millis(250));
    }
    CHECK(stalls.stalledBetween(begin, now) == Millis(200) * static_cast<int>(tuning.maxStalls));
}
