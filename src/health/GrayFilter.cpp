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
    return 1.0 / secondsOf(mean);
}

double stationaryProbability(const GrayTuning &tuning)
{
    const double grayOnsetRate = ratePerSecond(tuning.meanHealthyDuration);
    return grayOnsetRate / (grayOnsetRate + ratePerSecond(tuning.meanGrayDuration));
}

} // namespace

GrayFilter::GrayFilter(GrayTuning tuning)
    : tuning_(tuning)
    , base_{stationaryProbability(tuning), SteadyTime()}
{ }

void GrayFilter::addSuccess(SteadyTime startedAt, SteadyTime now)
{
    const double gray = 1.0 - currentFailureRate();
    const double healthy = 1.0 - tuning_.healthyFailureRate;
    add(Evidence{startedAt, gray / healthy}, now);
    if (!phase_) {
        return;
    }
    phase_->successes += 1.0;
    if (grayProbability(now) < phaseEndThreshold) {
        phase_.reset();
    }
}

void GrayFilter::addFailure(double ratio, SteadyTime startedAt, SteadyTime now)
{
    const bool starts = !phase_ || grayProbability(now) < phaseEndThreshold;
    add(Evidence{startedAt, ratio}, now);
    if (grayProbability(now) < phaseStartThreshold) {
        return;
    }
    if (starts) {
        phase_ = Phase{now, now, 0.0, 0.0};
    }
    phase_->lastFailure = now;
    phase_->failures += 1.0;
}

void GrayFilter::withdrawFailure(double ratio, SteadyTime startedAt)
{
    const auto found = std::find_if(recent_.begin(), recent_.end(),
                                    [&](const Evidence &one) { return one.at == startedAt && one.ratio == ratio; });
    if (found == recent_.end()) {
        return;
    }
    recent_.erase(found);
    if (phase_) {
        phase_->failures = std::max(0.0, phase_->failures - 1.0);
    }
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

void GrayFilter::add(const Evidence &evidence, SteadyTime now)
{
    const auto after = [](const Evidence &a, const Evidence &b) { return a.at < b.at; };
    recent_.insert(std::upper_bound(recent_.begin(), recent_.end(), evidence, after), evidence);
    auto settled = std::find_if(recent_.begin(), recent_.end(),
                                [&](const Evidence &one) { return one.at + tuning_.orderingWindow >= now; });
    if (recent_.size() > tuning_.maxOrdered) {
        settled = std::max(settled, recent_.end() - static_cast<std::ptrdiff_t>(tuning_.maxOrdered));
    }
    for (auto it = recent_.begin(); it != settled; ++it) {
        base_ = updated(base_, *it);
    }
    recent_.erase(recent_.begin(), settled);
}

GrayFilter::Estimate GrayFilter::decayed(const Estimate &estimate, SteadyTime now) const
{
    if (now <= estimate.at) {
        return estimate;
    }
    const double stationary = stationaryProbability(tuning_);
    const double rate = ratePerSecond(tuning_.meanHealthyDuration) + ratePerSecond(expectedGrayDuration());
    const double kept = std::exp(-rate * secondsOf(now - estimate.at));
    return Estimate{stationary + (estimate.probability - stationary) * kept, now};
}

GrayFilter::Estimate GrayFilter::updated(const Estimate &estimate, const Evidence &evidence) const
{
    const Estimate before = decayed(estimate, evidence.at);
    const double gray = before.probability * evidence.ratio;
    const double after = gray / (gray + 1.0 - before.probability);
    return Estimate{std::clamp(after, tuning_.minProbability, tuning_.maxProbability), before.at};
}

double GrayFilter::grayProbability(SteadyTime now, const std::vector<UnfinishedRun> &unfinished) const
{
    Estimate estimate = base_;
    auto run = unfinished.begin();
    const auto addRunsUntil = [&](SteadyTime until) {
        for (; run != unfinished.end() && run->startedAt <= until; ++run) {
            estimate = updated(estimate, Evidence{run->startedAt, run->ratio});
        }
    };
    for (const Evidence &one : recent_) {
        addRunsUntil(one.at);
        estimate = updated(estimate, one);
    }
    addRunsUntil(now);
    return decayed(estimate, now).probability;
}

void GrayFilter::reset(SteadyTime now)
{
    base_ = Estimate{stationaryProbability(tuning_), now};
    recent_.clear();
    phase_.reset();
}

} // namespace waxwing
