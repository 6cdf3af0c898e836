#include "include/home/SlotQueue.h"

#include <algorithm>
#include <cmath>

namespace waxwing {

namespace {

/** Factor on @c smoothing for the baseline work time, so that its ratio to the recent one shows a slow phase. */
constexpr double baselineSmoothing = 0.1;
constexpr double minSlowdown = 1.0;
constexpr double maxSlowdown = 20.0;

} // namespace

Duration SlotQueue::expectedWorkTime(const std::string &route) const
{
    const auto found = workTimes_.find(route);
    return found == workTimes_.end() ? Duration(tuning_.defaultWorkTime) : durationOf(found->second.recent);
}

bool SlotQueue::hasWorkTime(const std::string &route) const
{
    return workTimes_.count(route) != 0;
}

Duration SlotQueue::meanWorkTime() const
{
    return meanWorkTime_ == 0.0 ? Duration(tuning_.defaultWorkTime) : durationOf(meanWorkTime_);
}

void SlotQueue::addResult(const std::string &route, bool failed, Duration took, SteadyTime now)
{
    const double seconds = secondsOf(took);
    if (failed) {
        const bool fast = seconds < tuning_.fastFailureFraction * secondsOf(expectedWorkTime(route));
        noteFailure(fast ? tuning_.fastFailureRatio : tuning_.slowFailureRatio, now - took, now);
        return;
    }
    shedShare_ = (1.0 - tuning_.shedSmoothing) * shedRate(now);
    shedAt_ = now;
    gray_.addSuccess(now - took, now);
    probeInterval_ = tuning_.initialProbeInterval;
    WorkTime &workTime = workTimes_[route];
    workTime.model.add(took);
    const bool first = workTime.baseline == 0.0;
    workTime.recent = first ? seconds : workTime.recent + tuning_.smoothing * (seconds - workTime.recent);
    workTime.baseline =
        first ? seconds : workTime.baseline + tuning_.smoothing * baselineSmoothing * (seconds - workTime.baseline);
    meanWorkTime_ = meanWorkTime_ == 0.0 ? seconds : meanWorkTime_ + tuning_.smoothing * (seconds - meanWorkTime_);
}

void SlotQueue::noteShed(SteadyTime now)
{
    const double before = shedRate(now);
    shedShare_ = before + tuning_.shedSmoothing * (1.0 - before);
    shedAt_ = now;
}

double SlotQueue::shedRate(SteadyTime now) const
{
    const double halfLives =
        std::chrono::duration<double>(now - shedAt_) / std::chrono::duration<double>(tuning_.shedHalfLife);
    return shedShare_ * std::exp2(-std::max(0.0, halfLives));
}

double SlotQueue::slowdown() const
{
    double recent = 0.0;
    double baseline = 0.0;
    for (const auto &[route, workTime] : workTimes_) {
        recent += workTime.recent;
        baseline += workTime.baseline;
    }
    return baseline == 0.0 ? minSlowdown : std::clamp(recent / baseline, minSlowdown, maxSlowdown);
}

void SlotQueue::setCallCheck(std::function<bool(const std::string &route)> mayWaitForCall)
{
    mayWaitForCall_ = std::move(mayWaitForCall);
}

void SlotQueue::setStallCheck(std::function<Duration(SteadyTime since, SteadyTime now)> stalledBetween)
{
    stalledBetween_ = std::move(stalledBetween);
}

double SlotQueue::survivalOf(const Running &run, SteadyTime now) const
{
    const auto workTime = workTimes_.find(run.route);
    const bool isUnknown = workTime == workTimes_.end() || (mayWaitForCall_ && mayWaitForCall_(run.route));
    if (isUnknown) {
        return 1.0;
    }
    const Duration stalled = stalledBetween_ ? stalledBetween_(run.since, now) : Duration(0);
    return workTime->second.model.survival(now - run.since - stalled);
}

double SlotQueue::unfinishedRatio(double survival) const
{
    return (tuning_.hangShare + (1.0 - tuning_.hangShare) * survival) / survival;
}

void SlotQueue::noteOverdueWork(SteadyTime now)
{
    for (auto &[id, run] : running_) {
        if (run.overdue || run.held) {
            continue;
        }
        const double survival = survivalOf(run, now);
        if (survival >= tuning_.overdueSurvival) {
            continue;
        }
        run.overdue = true;
        run.overdueRatio = unfinishedRatio(std::max(survival, tuning_.overdueSurvival / 2));
        noteFailure(run.overdueRatio, run.since, now);
    }
}

void SlotQueue::withdrawOverdue(std::uint64_t id)
{
    const auto found = running_.find(id);
    if (found != running_.end() && found->second.overdue) {
        gray_.withdrawFailure(found->second.overdueRatio, found->second.since);
    }
}

bool SlotQueue::isOverdue(std::uint64_t id) const
{
    const auto found = running_.find(id);
    return found != running_.end() && found->second.overdue;
}

void SlotQueue::addEvidence(double ratio, Duration took, SteadyTime now)
{
    noteFailure(ratio, now - took, now);
}

void SlotQueue::noteFailure(double ratio, SteadyTime startedAt, SteadyTime now)
{
    if (grayProbability(now) >= tuning_.grayThreshold) {
        const auto longer = std::chrono::duration_cast<Duration>(probeInterval_ * tuning_.probeIntervalFactor);
        probeInterval_ = std::min<Duration>(tuning_.maxProbeInterval, longer);
    }
    gray_.addFailure(ratio, startedAt, now);
}

std::vector<UnfinishedRun> SlotQueue::unfinishedRuns(SteadyTime now) const
{
    std::vector<UnfinishedRun> runs;
    for (const auto &[id, run] : running_) {
        const double survival = run.overdue || run.held ? 1.0 : survivalOf(run, now);
        if (survival < 1.0) {
            runs.push_back(UnfinishedRun{run.since, unfinishedRatio(std::max(survival, tuning_.overdueSurvival))});
        }
    }
    std::sort(runs.begin(), runs.end(),
              [](const UnfinishedRun &a, const UnfinishedRun &b) { return a.startedAt < b.startedAt; });
    double left = tuning_.maxSilenceRatio;
    for (UnfinishedRun &run : runs) {
        run.ratio = std::min(run.ratio, left);
        left /= run.ratio;
    }
    return runs;
}

double SlotQueue::grayProbability(SteadyTime now) const
{
    return gray_.grayProbability(now, unfinishedRuns(now));
}

} // namespace waxwing
