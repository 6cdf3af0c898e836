#include "include/health/GrayFilter.h"

#include <doctest/doctest.h>

using namespace waxwing;

namespace {

const SteadyTime start = SteadyTime(std::chrono::hours(1));

} // namespace

TEST_CASE("gray filter, no evidence after a failure, returns to the stationary probability")
{
    GrayFilter filter;
    const double stationary = filter.grayProbability(start);
    filter.addFailure(150.0, start, start);
    CHECK(filter.grayProbability(start) > 0.9);
    CHECK(filter.grayProbability(start + std::chrono::seconds(3)) < filter.grayProbability(start));
    CHECK(filter.grayProbability(start + std::chrono::seconds(60)) == doctest::Approx(stationary).epsilon(0.01));
}

TEST_CASE("gray filter, long phase, is expected to last as long again")
{
    GrayFilter shortPhase;
    shortPhase.addFailure(500.0, start, start);
    GrayFilter longPhase;
    for (int second = 0; second <= 15; second += 3) {
        const SteadyTime at = start + std::chrono::seconds(second);
        longPhase.addFailure(500.0, at, at);
    }
    const Duration pause = std::chrono::seconds(5);
    CHECK(longPhase.grayProbability(start + std::chrono::seconds(15) + pause)
          > shortPhase.grayProbability(start + pause) + 0.1);
}

TEST_CASE("gray filter, phase that fails nearly everything, ends after few successes")
{
    GrayFilter half;
    GrayFilter all;
    for (int i = 0; i < 10; ++i) {
        all.addFailure(500.0, start, start);
        half.addFailure(500.0, start, start);
        half.addSuccess(start, start);
    }
    for (int i = 0; i < 3; ++i) {
        all.addSuccess(start, start);
        half.addSuccess(start, start);
    }
    CHECK(all.grayProbability(start) < 0.45);
    CHECK(half.grayProbability(start) > 0.45);
}

// Guards against a filter that goes through all results of a busy server for each estimate: only the latest ones are
// kept in order, and an earlier one that comes late counts as one of the oldest of these.
TEST_CASE("gray filter, more results than are kept in order, counts a late failure among the latest ones")
{
    GrayTuning tuning;
    tuning.maxOrdered = 4;
    GrayFilter bounded(tuning);
    GrayFilter ordered;
    for (int i = 1; i <= 100; ++i) {
        for (GrayFilter *filter : {&bounded, &ordered}) {
            filter->addSuccess(start + Millis(i), start + Millis(i));
        }
    }
    for (GrayFilter *filter : {&bounded, &ordered}) {
        filter->addFailure(1e6, start, start + Millis(100));
    }
    const SteadyTime now = start + Millis(100);
    CHECK(ordered.grayProbability(now) < 0.01);
    CHECK(bounded.grayProbability(now) > ordered.grayProbability(now));
}

TEST_CASE("gray filter, failure after many successes, weighs less than one without evidence")
{
    GrayFilter busy;
    for (int i = 0; i < 10; ++i) {
        busy.addSuccess(start, start);
    }
    busy.addFailure(50.0, start, start);
    GrayFilter withoutEvidence;
    withoutEvidence.addFailure(50.0, start, start);
    CHECK(busy.grayProbability(start) < withoutEvidence.grayProbability(start));
}
