#include "include/home/SlotQueue.h"

#include "include/overload/CallAdmission.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace waxwing {

const char *refusalReasonName(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::None:
        return "none";
    case RefusalReason::NoServer:
        return "no-server";
    case RefusalReason::Busy:
        return "busy";
    case RefusalReason::LikelyGray:
        return "likely-gray";
    case RefusalReason::TooLate:
        return "too-late";
    case RefusalReason::CallsUnserved:
        return "calls-unserved";
    }
    return "none";
}

SlotQueue::SlotQueue(SlotTuning tuning)
    : tuning_(tuning)
    , gray_(tuning.gray)
    , probeInterval_(tuning.initialProbeInterval)
    , customerUse_(tuning.customerUse)
{ }

bool SlotQueue::Rank::operator<(const Rank &other) const
{
    return std::tie(late, priority, callsFail, aboveUsual)
           < std::tie(other.late, other.priority, other.callsFail, other.aboveUsual);
}

bool SlotQueue::Rank::operator==(const Rank &other) const
{
    return std::tie(late, priority, callsFail, aboveUsual)
           == std::tie(other.late, other.priority, other.callsFail, other.aboveUsual);
}

void SlotQueue::setServer(std::uint32_t slots, bool newProcess, SteadyTime now)
{
    slots_ = slots;
    if (newProcess) {
        gray_.reset(now);
        probeInterval_ = tuning_.initialProbeInterval;
        lastStart_ = now;
    }
}

std::vector<std::uint64_t> SlotQueue::clearServer()
{
    slots_ = 0;
    return removeWaiting();
}

std::vector<std::uint64_t> SlotQueue::removeWaiting()
{
    std::vector<std::uint64_t> removed;
    for (const Waiting &one : waiting_) {
        removed.push_back(one.request.id);
    }
    waiting_.clear();
    return removed;
}

bool SlotQueue::hasServer() const
{
    return slots_ > 0;
}

bool SlotQueue::hasFreeSlot() const
{
    return running_.size() < slots_;
}

bool SlotQueue::isIdleFor(Duration interval, SteadyTime now) const
{
    return slots_ > 0 && running_.empty() && now - lastStart_ >= interval;
}

bool SlotQueue::needsRequest(bool retryable, SteadyTime now) const
{
    return isIdleFor(tuning_.idleInterval, now) && (retryable || grayProbability(now) < tuning_.grayThreshold);
}

SlotQueue::Rank SlotQueue::rankOf(const SlotRequest &request, SteadyTime now) const
{
    // Requests that will be late anyway are served after those that can still meet their objective: more waiting
    // costs them little.
    const bool late = now + expectedWorkTime(request.route) > request.objective;
    return Rank{late, request.priority, isDeferred(request, now), isFarAboveUsual(request, now)};
}

bool SlotQueue::isFarAboveUsual(const SlotRequest &request, SteadyTime now) const
{
    return !request.customer.empty()
           && customerUse_.isFarAboveUsual(request.customer, expectedWorkTime(request.route), now);
}

bool SlotQueue::isMoreUrgent(const SlotRequest &a, const SlotRequest &b, SteadyTime now) const
{
    const Rank rankA = rankOf(a, now);
    const Rank rankB = rankOf(b, now);
    return rankA == rankB ? a.objective < b.objective : rankA < rankB;
}

RefusalReason SlotQueue::grayRefusal(const SlotRequest &request, double probability, SteadyTime now) const
{
    if (probability < (request.acceptsGray ? tuning_.certainGrayThreshold : tuning_.grayThreshold)) {
        return RefusalReason::None;
    }
    const Duration idleInterval = request.retryable ? tuning_.idleProbeInterval : tuning_.idleAnyInterval;
    if (request.acceptsGray && isIdleFor(idleInterval, now)) {
        return RefusalReason::None;
    }
    if (!request.retryable) {
        return RefusalReason::LikelyGray;
    }
    const bool probeRunning =
        std::any_of(running_.begin(), running_.end(), [](const auto &entry) { return entry.second.probe; });
    const bool tooSoon = now - lastProbe_ < probeIntervalFor(request);
    return probeRunning || tooSoon ? RefusalReason::LikelyGray : RefusalReason::None;
}

Duration SlotQueue::probeIntervalFor(const SlotRequest &request) const
{
    if (request.acceptsGray || probeInterval_ <= tuning_.initialProbeInterval) {
        return probeInterval_;
    }
    const auto longer = std::chrono::duration_cast<Duration>(probeInterval_ * tuning_.uninformedSenderFactor);
    return std::min<Duration>(tuning_.maxUninformedProbeInterval, longer);
}

void SlotQueue::start(const SlotRequest &request, double grayProbability, SteadyTime now)
{
    const bool probe = grayProbability >= tuning_.grayThreshold;
    if (probe) {
        lastProbe_ = now;
    }
    lastStart_ = now;
    Running &run = running_[request.id];
    run = Running{probe, rankOf(request, now), now, request.route, request.customer, request.isReservation, false};
    if (callAdmission_ != nullptr) {
        callAdmission_->noteStarted(request.route, now);
    }
    if (!run.held) {
        addCustomerUse(run, now);
    }
}

void SlotQueue::addCustomerUse(const Running &run, SteadyTime now)
{
    if (!run.customer.empty()) {
        customerUse_.add(run.customer, expectedWorkTime(run.route), now);
    }
}

bool SlotQueue::beginHeld(std::uint64_t id, SteadyTime now)
{
    const auto found = running_.find(id);
    if (found == running_.end() || !found->second.held) {
        return false;
    }
    found->second.held = false;
    found->second.since = now;
    addCustomerUse(found->second, now);
    return true;
}

template<typename Predicate>
double SlotQueue::countWaiting(Predicate isAhead) const
{
    double count = 0.0;
    for (const Waiting &one : waiting_) {
        const double weight = one.request.isReservation ? tuning_.reservationWeight : 1.0;
        count += isAhead(one.request) ? weight : 0.0;
    }
    return count;
}

Duration SlotQueue::expectedWait(const SlotRequest &request, SteadyTime now) const
{
    if (slots_ == 0) {
        return Duration::max();
    }
    const double ahead = countWaiting([&](const SlotRequest &one) { return !isMoreUrgent(request, one, now); });
    return hasFreeSlot() && ahead == 0.0 ? Duration(0) : waitBehind(ahead, rankOf(request, now), now);
}

Duration SlotQueue::waitBehind(double ahead, const Rank &rank, SteadyTime now) const
{
    const double slots = std::max<std::uint32_t>(1, slots_);
    const double idleWait = secondsOf(meanWorkTime()) * (ahead + 1.0) / slots;
    return durationOf(idleWait / (1.0 - occupancyAbove(rank, now)));
}

double SlotQueue::occupancyAbove(const Rank &rank, SteadyTime now) const
{
    const double timeConstant = secondsOf(tuning_.occupancyTimeConstant);
    double seconds = 0.0;
    for (const auto &[other, occupancy] : occupancy_) {
        if (other < rank) {
            seconds += occupancy.seconds * std::exp(-secondsOf(now - occupancy.at) / timeConstant);
        }
    }
    const double slots = std::max<std::uint32_t>(1, slots_);
    return std::min(tuning_.maxOccupancy, seconds / (timeConstant * slots));
}

SlotDecision SlotQueue::submit(const SlotRequest &request, SteadyTime now)
{
    const auto refuse = [](RefusalReason reason) { return SlotDecision{SlotAction::Refuse, reason}; };
    if (slots_ == 0) {
        return refuse(RefusalReason::NoServer);
    }
    if (request.deadline <= now) {
        return refuse(RefusalReason::TooLate);
    }
    const double probability = grayProbability(now);
    const RefusalReason grayReason = grayRefusal(request, probability, now);
    if (grayReason != RefusalReason::None) {
        return refuse(grayReason);
    }
    const Duration wait = expectedWait(request, now);
    if (wait == Duration(0)) {
        start(request, probability, now);
        return SlotDecision{SlotAction::Start, RefusalReason::None};
    }
    const SteadyTime expiresAt = std::min(request.deadline, now + request.queueTimeout);
    if (isUnserved(request, expiresAt, now)) {
        return refuse(RefusalReason::CallsUnserved);
    }
    if (wait > request.queueTimeout || waiting_.size() >= tuning_.maxWaiting) {
        return refuse(RefusalReason::Busy);
    }
    waiting_.push_back(Waiting{request, expiresAt});
    return SlotDecision{SlotAction::Queue, RefusalReason::None};
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
    Occupancy &occupancy = occupancy_[found->second.rank];
    const double decayed = std::exp(-secondsOf(now - occupancy.at) / secondsOf(tuning_.occupancyTimeConstant));
    occupancy.seconds = occupancy.seconds * decayed + secondsOf(now - found->second.since);
    occupancy.at = now;
    running_.erase(found);
}

void SlotQueue::setCallAdmission(CallAdmission &admission)
{
    callAdmission_ = &admission;
}

SlotQueue::PollResult SlotQueue::poll(SteadyTime now)
{
    PollResult result;
    for (auto it = waiting_.begin(); it != waiting_.end();) {
        if (it->expiresAt <= now) {
            result.expired.push_back(it->request.id);
            it = waiting_.erase(it);
        } else {
            ++it;
        }
    }
    if (waiting_.empty()) {
        return result;
    }
    // Work that starts now says nothing yet, so the probability holds for the whole poll.
    const double probability = grayProbability(now);
    while (hasFreeSlot()) {
        auto best = waiting_.end();
        for (auto it = waiting_.begin(); it != waiting_.end(); ++it) {
            const bool allowed = grayRefusal(it->request, probability, now) == RefusalReason::None;
            if (allowed && (best == waiting_.end() || isMoreUrgent(it->request, best->request, now))) {
                best = it;
            }
        }
        if (best == waiting_.end()) {
            break;
        }
        start(best->request, probability, now);
        result.start.push_back(best->request.id);
        waiting_.erase(best);
    }
    for (auto it = waiting_.begin(); it != waiting_.end();) {
        // The server became likely gray while the request waited. Another home may be healthy, and there is still time
        // to use it.
        const bool likelyGray = grayRefusal(it->request, probability, now) != RefusalReason::None;
        const bool unserved = !likelyGray && isUnserved(it->request, it->expiresAt, now);
        if (likelyGray || unserved || willTimeOut(*it, now)) {
            (unserved ? result.callsUnserved : result.expired).push_back(it->request.id);
            it = waiting_.erase(it);
        } else {
            ++it;
        }
    }
    return result;
}

bool SlotQueue::willTimeOut(const Waiting &one, SteadyTime now) const
{
    const Rank rank = rankOf(one.request, now);
    if (!rank.late && !rank.aboveUsual) {
        return false;
    }
    const double ahead = countWaiting([&](const SlotRequest &other) { return isMoreUrgent(other, one.request, now); });
    return now + waitBehind(ahead, rank, now) > one.expiresAt;
}

bool SlotQueue::isDeferred(const SlotRequest &request, SteadyTime now) const
{
    return callAdmission_ != nullptr && callAdmission_->shouldDefer(request.route, now);
}

bool SlotQueue::isUnserved(const SlotRequest &request, SteadyTime expiresAt, SteadyTime now) const
{
    if (!isDeferred(request, now)) {
        return false;
    }
    const Rank rank = rankOf(request, now);
    const double ahead = countWaiting([&](const SlotRequest &other) { return isMoreUrgent(other, request, now); });
    const double slots = std::max<std::uint32_t>(1, slots_);
    // For a request that can still meet its objective only the requests now ahead of it count. With those that might
    // arrive later included, 1 in 100 requests more were not served: they were refused although the load soon ended.
    const Duration wait =
        rank.late ? waitBehind(ahead, rank, now) : durationOf(secondsOf(meanWorkTime()) * ahead / slots);
    // A reservation expires at the latest start of its request.
    const SteadyTime latest = request.isReservation ? expiresAt : request.deadline - expectedWorkTime(request.route);
    return now + wait > latest;
}

SteadyTime SlotQueue::nextPollTime(SteadyTime now) const
{
    SteadyTime next = SteadyTime::max();
    for (const Waiting &one : waiting_) {
        const SteadyTime late = one.request.objective - expectedWorkTime(one.request.route);
        next = std::min(next, late > now ? std::min(late, one.expiresAt) : one.expiresAt);
    }
    return next;
}

HomeLoad SlotQueue::load(int priority, SteadyTime now) const
{
    HomeLoad load;
    const auto inUse = static_cast<std::int32_t>(running_.size());
    load.slots = static_cast<std::int32_t>(slots_);
    load.freeSlots = std::max(0, static_cast<std::int32_t>(slots_) - inUse);
    load.queued = static_cast<std::int32_t>(waiting_.size());
    const Rank rank{false, priority, false, false};
    const double ahead = countWaiting([&](const SlotRequest &one) { return !(rank < rankOf(one, now)); });
    if (slots_ > 0 && (load.freeSlots == 0 || ahead > 0.0)) {
        load.wait = millisOf(waitBehind(ahead, rank, now));
    }
    load.grayProbability = grayProbability(now);
    load.slowdown = slowdown();
    load.shedRate = shedRate(now);
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

} // namespace waxwing
