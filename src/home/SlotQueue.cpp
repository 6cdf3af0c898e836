#include "include/home/SlotQueue.h"

#include <algorithm>

namespace waxwing {

namespace {

/** The usual work time follows this much slower than the recent one, so that a slow phase shows as their ratio. */
constexpr double usualSmoothingPart = 0.1;
constexpr double leastSlowdown = 1.0;
constexpr double mostSlowdown = 20.0;

double secondsOf(Duration value)
{
    return std::chrono::duration<double>(value).count();
}

Duration durationOf(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

const char *refusalName(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::None:
        return "none";
    case RefusalReason::NoServer:
        return "no-server";
    case RefusalReason::Busy:
        return "busy";
    case RefusalReason::Doubtful:
        return "doubtful";
    case RefusalReason::TooLate:
        return "too-late";
    }
    return "none";
}

SlotQueue::SlotQueue(SlotTuning tuning)
    : tuning_(tuning)
    , gray_(tuning.gray)
{ }

void SlotQueue::setServer(std::uint32_t slots, bool fresh, SteadyTime now)
{
    slots_ = slots;
    if (fresh) {
        gray_.reset(now);
    }
}

std::vector<std::uint64_t> SlotQueue::clearServer()
{
    slots_ = 0;
    std::vector<std::uint64_t> left;
    for (const Waiting &one : waiting_) {
        left.push_back(one.request.id);
    }
    waiting_.clear();
    return left;
}

bool SlotQueue::hasServer() const
{
    return slots_ > 0;
}

bool SlotQueue::hasFreeSlot() const
{
    return running_.size() < slots_;
}

Duration SlotQueue::typicalWork(const std::string &route) const
{
    const auto found = work_.find(route);
    return found == work_.end() ? Duration(tuning_.assumedWork) : durationOf(found->second.recent);
}

Duration SlotQueue::meanWork() const
{
    return meanWork_ == 0.0 ? Duration(tuning_.assumedWork) : durationOf(meanWork_);
}

bool SlotQueue::isMoreUrgent(const SlotRequest &a, const SlotRequest &b, SteadyTime now) const
{
    // Work that would be late anyway goes behind work that can still be in time: it loses little by more waiting.
    const bool aLate = now + typicalWork(a.route) > a.objective;
    const bool bLate = now + typicalWork(b.route) > b.objective;
    if (aLate != bLate) {
        return bLate;
    }
    if (a.priority != b.priority) {
        return a.priority < b.priority;
    }
    return a.objective < b.objective;
}

RefusalReason SlotQueue::doubtRefuses(const SlotRequest &request, SteadyTime now) const
{
    if (request.acceptsDoubt || gray_.doubt(now) < tuning_.doubtful) {
        return RefusalReason::None;
    }
    if (!request.idempotent) {
        return RefusalReason::Doubtful;
    }
    const bool trialRuns =
        std::any_of(running_.begin(), running_.end(), [](const auto &entry) { return entry.second.trial; });
    const bool tooSoon = now - lastTrial_ < tuning_.trialEvery;
    return trialRuns || tooSoon ? RefusalReason::Doubtful : RefusalReason::None;
}

void SlotQueue::start(const SlotRequest &request, SteadyTime now)
{
    const bool trial = gray_.doubt(now) >= tuning_.doubtful;
    if (trial) {
        lastTrial_ = now;
    }
    running_[request.id] = Running{trial, request.route, now};
}

Duration SlotQueue::expectedWait(const SlotRequest &request, SteadyTime now) const
{
    if (slots_ == 0) {
        return Duration::max();
    }
    const auto ahead = std::count_if(waiting_.begin(), waiting_.end(),
                                     [&](const Waiting &one) { return !isMoreUrgent(request, one.request, now); });
    return hasFreeSlot() && ahead == 0 ? Duration(0) : waitBehind(ahead, request.priority);
}

Duration SlotQueue::waitBehind(std::ptrdiff_t ahead, int priority) const
{
    const auto found = waitFactor_.find(priority);
    const double factor = found == waitFactor_.end() ? 1.0 : found->second;
    const double slots = std::max<std::uint32_t>(1, slots_);
    return durationOf(factor * secondsOf(meanWork()) * static_cast<double>(ahead + 1) / slots);
}

void SlotQueue::noteWaited(const Waiting &one, bool served, SteadyTime now)
{
    const double expected = std::max(0.001, secondsOf(one.expected));
    double &factor = waitFactor_.try_emplace(one.request.priority, 1.0).first->second;
    // The expected wait holds the factor of its time already: the new one is relative to that.
    const double waited = secondsOf(now - one.since) * (served ? 1.0 : tuning_.unservedWaitFactor);
    const double seen = factor * waited / expected;
    factor += tuning_.waitSmoothing * (seen - factor);
    factor = std::clamp(factor, tuning_.leastWaitFactor, tuning_.mostWaitFactor);
}

SlotDecision SlotQueue::submit(const SlotRequest &request, SteadyTime now)
{
    const auto refused = [](RefusalReason reason) { return SlotDecision{SlotVerdict::Refused, reason}; };
    if (slots_ == 0) {
        return refused(RefusalReason::NoServer);
    }
    if (request.deadline <= now) {
        return refused(RefusalReason::TooLate);
    }
    const RefusalReason doubt = doubtRefuses(request, now);
    if (doubt != RefusalReason::None) {
        return refused(doubt);
    }
    const Duration wait = expectedWait(request, now);
    if (wait == Duration(0)) {
        start(request, now);
        return SlotDecision{SlotVerdict::Start, RefusalReason::None};
    }
    if (wait > request.patience || waiting_.size() >= tuning_.mostWaiting) {
        return refused(RefusalReason::Busy);
    }
    waiting_.push_back(Waiting{request, std::min(request.deadline, now + request.patience), now, wait});
    return SlotDecision{SlotVerdict::Wait, RefusalReason::None};
}

bool SlotQueue::cancel(std::uint64_t id)
{
    const auto found =
        std::find_if(waiting_.begin(), waiting_.end(), [&](const Waiting &one) { return one.request.id == id; });
    if (found == waiting_.end()) {
        return false;
    }
    waiting_.erase(found);
    return true;
}

void SlotQueue::release(std::uint64_t id, SteadyTime now)
{
    const auto found = running_.find(id);
    if (found == running_.end()) {
        return;
    }
    if (found->second.trial) {
        lastTrial_ = std::max(lastTrial_, now - tuning_.trialEvery / 2);
    }
    running_.erase(found);
}

void SlotQueue::addResult(const std::string &route, bool failed, Duration took, SteadyTime now)
{
    const double seconds = secondsOf(took);
    if (failed) {
        const bool quick = seconds < tuning_.quickPart * secondsOf(typicalWork(route));
        gray_.addRatio(quick ? tuning_.quickFailureRatio : tuning_.slowFailureRatio, now);
        return;
    }
    gray_.add(false, now);
    WorkTime &work = work_[route];
    const bool first = work.usual == 0.0;
    work.recent = first ? seconds : work.recent + tuning_.smoothing * (seconds - work.recent);
    work.usual = first ? seconds : work.usual + tuning_.smoothing * usualSmoothingPart * (seconds - work.usual);
    meanWork_ = meanWork_ == 0.0 ? seconds : meanWork_ + tuning_.smoothing * (seconds - meanWork_);
}

void SlotQueue::addEvidence(double ratio, SteadyTime now)
{
    gray_.addRatio(ratio, now);
}

SlotQueue::Due SlotQueue::poll(SteadyTime now)
{
    Due due;
    for (auto it = waiting_.begin(); it != waiting_.end();) {
        if (it->until <= now) {
            noteWaited(*it, false, now);
            due.expired.push_back(it->request.id);
            it = waiting_.erase(it);
        } else {
            ++it;
        }
    }
    while (hasFreeSlot()) {
        auto best = waiting_.end();
        for (auto it = waiting_.begin(); it != waiting_.end(); ++it) {
            const bool allowed = doubtRefuses(it->request, now) == RefusalReason::None;
            if (allowed && (best == waiting_.end() || isMoreUrgent(it->request, best->request, now))) {
                best = it;
            }
        }
        if (best == waiting_.end()) {
            break;
        }
        noteWaited(*best, true, now);
        start(best->request, now);
        due.start.push_back(best->request.id);
        waiting_.erase(best);
    }
    // The server became doubtful while they waited: another home may be sound, and they still have the time for it.
    for (auto it = waiting_.begin(); it != waiting_.end();) {
        const bool mayNever = !it->request.idempotent && doubtRefuses(it->request, now) != RefusalReason::None;
        if (mayNever) {
            due.expired.push_back(it->request.id);
            it = waiting_.erase(it);
        } else {
            ++it;
        }
    }
    return due;
}

SteadyTime SlotQueue::nextDue() const
{
    SteadyTime next = SteadyTime::max();
    for (const Waiting &one : waiting_) {
        next = std::min(next, one.until);
    }
    return next;
}

double SlotQueue::slowdown() const
{
    double recent = 0.0;
    double usual = 0.0;
    for (const auto &[route, work] : work_) {
        recent += work.recent;
        usual += work.usual;
    }
    return usual == 0.0 ? leastSlowdown : std::clamp(recent / usual, leastSlowdown, mostSlowdown);
}

HomeLoad SlotQueue::load(int priority, SteadyTime now) const
{
    HomeLoad load;
    const auto held = static_cast<std::int32_t>(running_.size());
    load.freeSlots = std::max(0, static_cast<std::int32_t>(slots_) - held);
    load.queued = static_cast<std::int32_t>(waiting_.size());
    const auto ahead = std::count_if(waiting_.begin(), waiting_.end(),
                                     [&](const Waiting &one) { return one.request.priority <= priority; });
    if (slots_ > 0 && (load.freeSlots == 0 || ahead > 0)) {
        load.wait = std::chrono::duration_cast<Millis>(waitBehind(ahead, priority));
    }
    load.doubt = gray_.doubt(now);
    load.slowdown = slowdown();
    return load;
}

std::size_t SlotQueue::running() const
{
    return running_.size();
}

std::size_t SlotQueue::waiting() const
{
    return waiting_.size();
}

double SlotQueue::doubt(SteadyTime now) const
{
    return gray_.doubt(now);
}

} // namespace waxwing
