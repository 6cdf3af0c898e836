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
    , state_{Estimate{stationaryProbability(tuning), SteadyTime()}, {}, {}}
    , settled_(state_)
{ }

void GrayFilter::addSuccess(SteadyTime startedAt, SteadyTime now)
{
    add(Result{false, 1.0, startedAt, now});
}

void GrayFilter::addFailure(double ratio, SteadyTime startedAt, SteadyTime now)
{
    add(Result{true, ratio, startedAt, now});
}

void GrayFilter::withdrawFailure(double ratio, SteadyTime startedAt)
{
    const auto found = std::find_if(latest_.begin(), latest_.end(), [&](const Result &one) {
        return one.failed && one.startedAt == startedAt && one.ratio == ratio;
    });
    if (found == latest_.end()) {
        return;
    }
    latest_.erase(found);
    state_ = settled_;
    for (const Result &one : latest_) {
        apply(state_, one);
    }
}

void GrayFilter::add(const Result &result)
{
    apply(state_, result);
    latest_.push_back(result);
    while (latest_.size() > tuning_.maxOrdered || latest_.front().addedAt + tuning_.orderingWindow < result.addedAt) {
        apply(settled_, latest_.front());
        latest_.pop_front();
    }
}

void GrayFilter::apply(State &state, const Result &result) const
{
    if (result.failed) {
        applyFailure(state, result);
    } else {
        applySuccess(state, result);
    }
}

void GrayFilter::applySuccess(State &state, const Result &success) const
{
    const double gray = 1.0 - currentFailureRate(state);
    const double healthy = 1.0 - tuning_.healthyFailureRate;
    addEvidence(state, Evidence{success.startedAt, gray / healthy}, success.addedAt);
    if (!state.phase) {
        return;
    }
    state.phase->successes += 1.0;
    if (probabilityOf(state, success.addedAt) < phaseEndThreshold) {
        state.phase.reset();
    }
}

void GrayFilter::applyFailure(State &state, const Result &failure) const
{
    const SteadyTime now = failure.addedAt;
    const bool starts = !state.phase || probabilityOf(state, now) < phaseEndThreshold;
    addEvidence(state, Evidence{failure.startedAt, failure.ratio}, now);
    if (probabilityOf(state, now) < phaseStartThreshold) {
        return;
    }
    if (starts) {
        state.phase = Phase{now, now, 0.0, 0.0};
    }
    state.phase->lastFailure = now;
    state.phase->failures += 1.0;
}

double GrayFilter::currentFailureRate(const State &state) const
{
    const double failures = state.phase ? state.phase->failures : 0.0;
    const double successes = state.phase ? state.phase->successes : 0.0;
    return (tuning_.grayFailureRate * tuning_.priorWeight + failures) / (tuning_.priorWeight + failures + successes);
}

Duration GrayFilter::expectedGrayDuration(const State &state) const
{
    const Duration lasted = state.phase ? state.phase->lastFailure - state.phase->since : Duration(0);
    return std::clamp<Duration>(lasted, tuning_.meanGrayDuration, tuning_.maxGrayDuration);
}

void GrayFilter::addEvidence(State &state, const Evidence &evidence, SteadyTime now) const
{
    std::vector<Evidence> &recent = state.recent;
    const auto after = [](const Evidence &a, const Evidence &b) { return a.at < b.at; };
    recent.insert(std::upper_bound(recent.begin(), recent.end(), evidence, after), evidence);
    auto firstKept = std::find_if(recent.begin(), recent.end(),
                                  [&](const Evidence &one) { return one.at + tuning_.orderingWindow >= now; });
    if (recent.size() > tuning_.maxOrdered) {
        firstKept = std::max(firstKept, recent.end() - static_cast<std::ptrdiff_t>(tuning_.maxOrdered));
    }
    for (auto it = recent.begin(); it != firstKept; ++it) {
        state.base = updated(state, state.base, *it);
    }
    recent.erase(recent.begin(), firstKept);
}

GrayFilter::Estimate GrayFilter::decayed(const State &state, const Estimate &estimate, SteadyTime now) const
{
    if (now <= estimate.at) {
        return estimate;
    }
    const double stationary = stationaryProbability(tuning_);
    const double rate = ratePerSecond(tuning_.meanHealthyDuration) + ratePerSecond(expectedGrayDuration(state));
    const double kept = std::exp(-rate * secondsOf(now - estimate.at));
    return Estimate{stationary + (estimate.probability - stationary) * kept, now};
}

GrayFilter::Estimate GrayFilter::updated(const State &state, const Estimate &estimate, const Evidence &evidence) const
{
    const Estimate before = decayed(state, estimate, evidence.at);
    const double gray = before.probability * evidence.ratio;
    const double after = gray / (gray + 1.0 - before.probability);
    return Estimate{std::clamp(after, tuning_.minProbability, tuning_.maxProbability), before.at};
}

double GrayFilter::grayProbability(SteadyTime now, const std::vector<UnfinishedRun> &unfinished) const
{
    return probabilityOf(state_, now, unfinished);
}

double GrayFilter::probabilityOf(const State &state, SteadyTime now, const std::vector<UnfinishedRun> &unfinished) const
{
    Estimate estimate = state.base;
    auto run = unfinished.begin();
    const auto addRunsUntil = [&](SteadyTime until) {
        for (; run != unfinished.end() && run->startedAt <= until; ++run) {
            estimate = updated(state, estimate, Evidence{run->startedAt, run->ratio});
        }
    };
    for (const Evidence &one : state.recent) {
        addRunsUntil(one.at);
        estimate = updated(state, estimate, one);
    }
    addRunsUntil(now);
    return decayed(state, estimate, now).probability;
}

void GrayFilter::reset(SteadyTime now)
{
    state_ = State{Estimate{stationaryProbability(tuning_), now}, {}, {}};
    settled_ = state_;
    latest_.clear();
}

} // namespace waxwing
