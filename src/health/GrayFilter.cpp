#include "include/health/GrayFilter.h"

#include <algorithm>
#include <cmath>

namespace waxwing {

namespace {

/** A gray phase begins at or above the first probability and ends below the second one. */
constexpr double phaseStartThreshold = 0.5;
constexpr double phaseEndThreshold = 0.1;

double ratePerSecond(Duration mean)
{
    return 1.0 / std::chrono::duration<double>(mean).count();
}

double stationaryProbability(const GrayTuning &tuning)
{
    const double grayOnsetRate = ratePerSecond(tuning.meanHealthyDuration);
    return grayOnsetRate / (grayOnsetRate + ratePerSecond(tuning.meanGrayDuration));
}

} // namespace

GrayFilter::GrayFilter(GrayTuning tuning)
    : tuning_(tuning)
    , probability_(stationaryProbability(tuning))
{ }

void GrayFilter::addSuccess(SteadyTime now)
{
    const double gray = 1.0 - currentFailureRate();
    const double healthy = 1.0 - tuning_.healthyFailureRate;
    applyRatio(gray / healthy, now);
    if (!phase_) {
        return;
    }
    phase_->successes += 1.0;
    if (probability_ < phaseEndThreshold) {
        phase_.reset();
    }
}

void GrayFilter::addFailure(double ratio, SteadyTime now)
{
    const bool starts = !phase_ || grayProbability(now) < phaseEndThreshold;
    applyRatio(ratio, now);
    if (probability_ < phaseStartThreshold) {
        return;
    }
    if (starts) {
        phase_ = Phase{now, now, 0.0, 0.0};
    }
    phase_->lastFailure = now;
    phase_->failures += 1.0;
}

double GrayFilter::currentFailureRate() const
{
    const double failures = phase_ ? phase_->failures : 0.0;
    const double successes = phase_ ? phase_->successes : 0.0;
    return (tuning_.grayFailureRate * tuning_.priorWeight + failures) / (tuning_.priorWeight + failures + successes);
}

Duration GrayFilter::expectedGrayDuration() const
{
    const Duration lasted = phase_ ? phase_->lastFailure - phase_->since : Duration(0);
    return std::clamp<Duration>(lasted, tuning_.meanGrayDuration, tuning_.maxGrayDuration);
}

void GrayFilter::applyRatio(double ratio, SteadyTime now)
{
    const double before = grayProbability(now);
    const double after = before * ratio / (before * ratio + 1.0 - before);
    probability_ = std::clamp(after, tuning_.minProbability, tuning_.maxProbability);
    updatedAt_ = now;
}

double GrayFilter::grayProbability(SteadyTime now) const
{
    const double stationary = stationaryProbability(tuning_);
    const double elapsed = std::max(0.0, std::chrono::duration<double>(now - updatedAt_).count());
    const double rate = ratePerSecond(tuning_.meanHealthyDuration) + ratePerSecond(expectedGrayDuration());
    return stationary + (probability_ - stationary) * std::exp(-rate * elapsed);
}

void GrayFilter::reset(SteadyTime now)
{
    probability_ = stationaryProbability(tuning_);
    updatedAt_ = now;
    phase_.reset();
}

} // namespace waxwing
