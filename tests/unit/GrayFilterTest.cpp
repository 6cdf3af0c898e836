#include "include/health/GrayFilter.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>

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

namespace {

/** Returns the largest difference between the probabilities of two filters, now and for a minute afterwards. */
double largestDifference(const GrayFilter &a, const GrayFilter &b, SteadyTime now)
{
    double largest = 0.0;
    for (int second = 0; second <= 60; second += 2) {
        const SteadyTime at = now + std::chrono::seconds(second);
        largest = std::max(largest, std::abs(a.grayProbability(at) - b.grayProbability(at)));
    }
    return largest;
}

} // namespace

// Guards against a gray phase that loses one of its own failures when a failure that came before it is withdrawn.
TEST_CASE("gray filter, failure from before a phase withdrawn, phase keeps its failures")
{
    constexpr double weak = 2.0;
    constexpr double strong = 500.0;
    GrayFilter filter;
    GrayFilter expected;
    filter.addFailure(weak, start, start);
    for (GrayFilter *one : {&filter, &expected}) {
        for (int i = 1; i <= 3; ++i) {
            one->addFailure(strong, start + Millis(i), start + Millis(i));
        }
    }
    filter.withdrawFailure(weak, start);
    for (GrayFilter *one : {&filter, &expected}) {
        one->addSuccess(start + Millis(10), start + Millis(10));
    }
    CHECK(largestDifference(filter, expected, start + Millis(10)) < 1e-9);
}

// Guards against a phase that stays, and with it its failure rate and length, after the only failure that began it is
// withdrawn.
TEST_CASE("gray filter, failure that began a phase withdrawn, ends the phase")
{
    constexpr double ratio = 20.0;
    GrayFilter filter;
    GrayFilter expected;
    filter.addFailure(ratio, start, start);
    const SteadyTime later = start + std::chrono::seconds(12);
    filter.withdrawFailure(ratio, start);
    for (GrayFilter *one : {&filter, &expected}) {
        one->addFailure(500.0, later, later);
        one->addSuccess(later, later);
    }
    CHECK(largestDifference(filter, expected, later) < 1e-9);
}

// Guards against successes whose weight was computed with the withdrawn failure in the failure rate of the phase.
TEST_CASE("gray filter, failure withdrawn after successes, leaves their weight as without it")
{
    constexpr double ratio = 20.0;
    GrayFilter filter;
    GrayFilter expected;
    for (GrayFilter *one : {&filter, &expected}) {
        one->addFailure(500.0, start, start);
    }
    filter.addFailure(ratio, start - Millis(500), start + Millis(10));
    for (GrayFilter *one : {&filter, &expected}) {
        one->addSuccess(start + Millis(20), start + Millis(20));
        one->addSuccess(start + Millis(30), start + Millis(30));
    }
    filter.withdrawFailure(ratio, start - Millis(500));
    CHECK(largestDifference(filter, expected, start + Millis(30)) < 1e-9);
}

// Guards against a failure that can't be withdrawn because its run started long before it counted as overdue.
TEST_CASE("gray filter, failure of a run older than the ordering window, can be withdrawn within the window")
{
    constexpr double ratio = 20.0;
    GrayFilter filter;
    GrayFilter expected;
    filter.addFailure(ratio, start - std::chrono::seconds(6), start);
    filter.withdrawFailure(ratio, start - std::chrono::seconds(6));
    for (GrayFilter *one : {&filter, &expected}) {
        one->addSuccess(start, start);
    }
    CHECK(largestDifference(filter, expected, start) < 1e-9);
}

// Guards against a state that grows with the results of a busy server, so that failures can be withdrawn.
TEST_CASE("gray filter, failure withdrawn after more results than are kept, remains")
{
    constexpr double ratio = 20.0;
    GrayTuning tuning;
    tuning.maxOrdered = 4;
    GrayFilter filter(tuning);
    GrayFilter unchanged(tuning);
    for (GrayFilter *one : {&filter, &unchanged}) {
        one->addFailure(ratio, start, start);
        for (int i = 1; i <= 5; ++i) {
            one->addSuccess(start + Millis(i), start + Millis(i));
        }
    }
    filter.withdrawFailure(ratio, start);
    CHECK(largestDifference(filter, unchanged, start + Millis(5)) < 1e-9);
}
