#include "include/home/SlotQueue.h"

#include <algorithm>
#include <cmath>

namespace waxwing {

namespace {

/** The usual work time follows this much slower than the recent one, so that a slow phase shows as their ratio. */
constexpr double usualSmoothingPart = 0.1;
constexpr double leastSlowdown = 1.0;
constexpr double mostSlowdown = 20.0;
/** Late requests are served after all ranks of those that can be in time. */
constexpr int firstLateRank = 1000;

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
    , trialPause_(tuning.firstTrialPause)
{ }

void SlotQueue::setServer(std::uint32_t slots, bool fresh, SteadyTime now)
{
    slots_ = slots;
    if (fresh) {
        gray_.reset(now);
        trialPause_ = tuning_.firstTrialPause;
    }
}

std::vector<std::uint64_t> SlotQueue::clearServer()
{
    slots_ = 0;
    return takeWaiting();
}

std::vector<std::uint64_t> SlotQueue::takeWaiting()
{
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

bool SlotQueue::knowsWork(const std::string &route) const
{
    return work_.count(route) != 0;
}

Duration SlotQueue::meanWork() const
{
    return meanWork_ == 0.0 ? Duration(tuning_.assumedWork) : durationOf(meanWork_);
}

int SlotQueue::rankOf(const SlotRequest &request, SteadyTime now) const
{
    // Work that would be late anyway goes behind work that can still be in time: it loses little by more waiting.
    const bool late = now + typicalWork(request.route) > request.objective;
    return late ? firstLateRank + request.priority : request.priority;
}

bool SlotQueue::isMoreUrgent(const SlotRequest &a, const SlotRequest &b, SteadyTime now) const
{
    const int rankA = rankOf(a, now);
    const int rankB = rankOf(b, now);
    return rankA != rankB ? rankA < rankB : a.objective < b.objective;
}

RefusalReason SlotQueue::doubtRefuses(const SlotRequest &request, SteadyTime now) const
{
    const double doubt = gray_.doubt(now);
    if (doubt < (request.acceptsDoubt ? tuning_.hopeless : tuning_.doubtful)) {
        return RefusalReason::None;
    }
    if (!request.repeatable) {
        return RefusalReason::Doubtful;
    }
    const bool trialRuns =
        std::any_of(running_.begin(), running_.end(), [](const auto &entry) { return entry.second.trial; });
    const bool tooSoon = now - lastTrial_ < trialPauseFor(request);
    return trialRuns || tooSoon ? RefusalReason::Doubtful : RefusalReason::None;
}

Duration SlotQueue::trialPauseFor(const SlotRequest &request) const
{
    if (request.acceptsDoubt || trialPause_ <= tuning_.firstTrialPause) {
        return trialPause_;
    }
    const auto longer = std::chrono::duration_cast<Duration>(trialPause_ * tuning_.unawareFactor);
    return std::min<Duration>(tuning_.longestUnawarePause, longer);
}

void SlotQueue::start(const SlotRequest &request, SteadyTime now)
{
    const bool trial = gray_.doubt(now) >= tuning_.doubtful;
    if (trial) {
        lastTrial_ = now;
    }
    running_[request.id] = Running{trial, rankOf(request, now), now};
}

Duration SlotQueue::expectedWait(const SlotRequest &request, SteadyTime now) const
{
    if (slots_ == 0) {
        return Duration::max();
    }
    const auto ahead = std::count_if(waiting_.begin(), waiting_.end(),
                                     [&](const Waiting &one) { return !isMoreUrgent(request, one.request, now); });
    return hasFreeSlot() && ahead == 0 ? Duration(0) : waitBehind(ahead, rankOf(request, now), now);
}

Duration SlotQueue::waitBehind(std::ptrdiff_t ahead, int rank, SteadyTime now) const
{
    const double slots = std::max<std::uint32_t>(1, slots_);
    const double behindThem = secondsOf(meanWork()) * static_cast<double>(ahead + 1) / slots;
    return durationOf(behindThem / (1.0 - occupiedBefore(rank, now)));
}

double SlotQueue::occupiedBefore(int rank, SteadyTime now) const
{
    const double memory = secondsOf(tuning_.occupancyMemory);
    double seconds = 0.0;
    for (const auto &[other, occupancy] : occupancy_) {
        if (other < rank) {
            seconds += occupancy.seconds * std::exp(-secondsOf(now - occupancy.at) / memory);
        }
    }
    const double slots = std::max<std::uint32_t>(1, slots_);
    return std::min(tuning_.mostOccupied, seconds / (memory * slots));
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
    waiting_.push_back(Waiting{request, std::min(request.deadline, now + request.patience)});
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
    Occupancy &taken = occupancy_[found->second.rank];
    const double faded = std::exp(-secondsOf(now - taken.at) / secondsOf(tuning_.occupancyMemory));
    taken.seconds = taken.seconds * faded + secondsOf(now - found->second.since);
    taken.at = now;
    running_.erase(found);
}

void SlotQueue::addResult(const std::string &route, bool failed, Duration took, SteadyTime now)
{
    const double seconds = secondsOf(took);
    if (failed) {
        const bool quick = seconds < tuning_.quickPart * secondsOf(typicalWork(route));
        noteFailure(quick ? tuning_.quickFailureRatio : tuning_.slowFailureRatio, now);
        return;
    }
    shedShare_ = (1.0 - tuning_.shedSmoothing) * shedding(now);
    shedAt_ = now;
    gray_.addSuccess(now);
    trialPause_ = tuning_.firstTrialPause;
    WorkTime &work = work_[route];
    const bool first = work.usual == 0.0;
    work.recent = first ? seconds : work.recent + tuning_.smoothing * (seconds - work.recent);
    work.usual = first ? seconds : work.usual + tuning_.smoothing * usualSmoothingPart * (seconds - work.usual);
    meanWork_ = meanWork_ == 0.0 ? seconds : meanWork_ + tuning_.smoothing * (seconds - meanWork_);
}

void SlotQueue::noteShed(SteadyTime now)
{
    const double before = shedding(now);
    shedShare_ = before + tuning_.shedSmoothing * (1.0 - before);
    shedAt_ = now;
}

double SlotQueue::shedding(SteadyTime now) const
{
    const double age =
        std::chrono::duration<double>(now - shedAt_) / std::chrono::duration<double>(tuning_.shedHalfLife);
    return shedShare_ * std::exp2(-std::max(0.0, age));
}

void SlotQueue::addEvidence(double ratio, SteadyTime now)
{
    noteFailure(ratio, now);
}

void SlotQueue::noteFailure(double ratio, SteadyTime now)
{
    if (gray_.doubt(now) >= tuning_.doubtful) {
        const auto longer = std::chrono::duration_cast<Duration>(trialPause_ * tuning_.trialPauseFactor);
        trialPause_ = std::min<Duration>(tuning_.longestTrialPause, longer);
    }
    gray_.addFailure(ratio, now);
}

SlotQueue::Due SlotQueue::poll(SteadyTime now)
{
    Due due;
    for (auto it = waiting_.begin(); it != waiting_.end();) {
        if (it->until <= now) {
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
        start(best->request, now);
        due.start.push_back(best->request.id);
        waiting_.erase(best);
    }
    for (auto it = waiting_.begin(); it != waiting_.end();) {
        // The server became doubtful while it waited: another home may be sound, and there still is time for it.
        const bool doubted = doubtRefuses(it->request, now) != RefusalReason::None;
        if (doubted || waitsInVain(*it, now)) {
            due.expired.push_back(it->request.id);
            it = waiting_.erase(it);
        } else {
            ++it;
        }
    }
    return due;
}

bool SlotQueue::waitsInVain(const Waiting &one, SteadyTime now) const
{
    const int rank = rankOf(one.request, now);
    if (rank < firstLateRank) {
        return false;
    }
    const auto ahead = std::count_if(waiting_.begin(), waiting_.end(), [&](const Waiting &other) {
        return isMoreUrgent(other.request, one.request, now);
    });
    return now + waitBehind(ahead, rank, now) > one.until;
}

SteadyTime SlotQueue::nextDue(SteadyTime now) const
{
    SteadyTime next = SteadyTime::max();
    for (const Waiting &one : waiting_) {
        const SteadyTime late = one.request.objective - typicalWork(one.request.route);
        next = std::min(next, late > now ? std::min(late, one.until) : one.until);
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
    load.slots = static_cast<std::int32_t>(slots_);
    load.freeSlots = std::max(0, static_cast<std::int32_t>(slots_) - held);
    load.queued = static_cast<std::int32_t>(waiting_.size());
    const auto ahead = std::count_if(waiting_.begin(), waiting_.end(),
                                     [&](const Waiting &one) { return rankOf(one.request, now) <= priority; });
    if (slots_ > 0 && (load.freeSlots == 0 || ahead > 0)) {
        load.wait = std::chrono::duration_cast<Millis>(waitBehind(ahead, priority, now));
    }
    load.doubt = gray_.doubt(now);
    load.slowdown = slowdown();
    load.shedding = shedding(now);
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
