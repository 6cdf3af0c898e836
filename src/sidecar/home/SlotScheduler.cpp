#include "src/sidecar/home/SlotScheduler.h"

#include "src/fiber/FiberLoop.h"
#include "src/node/NodeCore.h"
#include "src/sidecar/home/NestedCalls.h"

#include <algorithm>

namespace waxwing {

namespace {

/** Longest time between two polls of the queue, and between two evictions of old results. */
constexpr Millis maxPollInterval{1000};
constexpr Millis minPollInterval{1};

} // namespace

SlotScheduler::SlotScheduler(NodeCore &core, SlotQueue &queue, NestedCalls &nestedCalls)
    : core_(core)
    , queue_(queue)
    , nestedCalls_(nestedCalls)
{ }

void SlotScheduler::setReservationHooks(ReservationHooks hooks)
{
    reservations_ = std::move(hooks);
}

std::uint64_t SlotScheduler::nextId()
{
    return nextId_++;
}

SlotDecision SlotScheduler::submit(const SlotRequest &request, SteadyTime now)
{
    queue_.noteOverdueWork(core_.clock.now());
    nestedCalls_.countSubmitted(request.route, now);
    const SlotDecision decision = queue_.submit(request, now);
    if (decision.reason == RefusalReason::CallsUnserved) {
        core_.metrics.count("refused_calls_unserved");
    }
    return decision;
}

SlotDecision SlotScheduler::submitReservation(const SlotRequest &request)
{
    const SlotDecision decision = submit(request, core_.clock.now());
    if (decision.action == SlotAction::Queue) {
        expiry_.notify();
    }
    return decision;
}

SlotScheduler::WaitResult SlotScheduler::awaitStart(std::uint64_t id, const RunControlPtr &control)
{
    const auto latch = std::make_shared<FiberLatch>();
    queuedJobs_[id] = QueuedJob{latch, {}};
    expiry_.notify();
    const auto cancelWait = [this, latch, id] {
        queue_.cancel(id);
        latch->release();
    };
    control->interrupt = cancelWait;
    control->onCancelQueued = cancelWait;
    latch->wait();
    control->interrupt = {};
    control->onCancelQueued = {};
    WaitResult result = std::move(queuedJobs_[id].result);
    queuedJobs_.erase(id);
    return result;
}

bool SlotScheduler::claimHeld(const NodeRef &sender, std::uint64_t reservation, std::uint64_t &id)
{
    if (reservation == 0 || !reservations_.claim) {
        return false;
    }
    const std::optional<std::uint64_t> slotId = reservations_.claim(sender, reservation);
    if (!slotId) {
        return false;
    }
    id = *slotId;
    return queue_.beginHeld(*slotId, core_.clock.now());
}

void SlotScheduler::release(std::uint64_t id)
{
    queue_.release(id, core_.clock.now());
    poll();
}

void SlotScheduler::freeReservation(std::uint64_t id)
{
    queue_.cancel(id);
    release(id);
}

void SlotScheduler::setServer(std::uint32_t slots, bool newProcess)
{
    queue_.setServer(slots, newProcess, core_.clock.now());
}

void SlotScheduler::clearServer()
{
    const std::string reason = refusalReasonName(RefusalReason::NoServer);
    releaseQueued(queue_.clearServer(), reason);
    closeReservations(reason);
}

void SlotScheduler::removeWaiting(const std::string &reason)
{
    releaseQueued(queue_.removeWaiting(), reason);
    closeReservations(reason);
}

void SlotScheduler::closeReservations(const std::string &reason)
{
    if (reservations_.onClosed) {
        reservations_.onClosed(reason);
    }
}

void SlotScheduler::releaseQueued(const std::vector<std::uint64_t> &ids, const std::string &reason)
{
    for (const std::uint64_t id : ids) {
        const auto found = queuedJobs_.find(id);
        if (found != queuedJobs_.end()) {
            found->second.result.reason = reason;
            found->second.latch->release();
        } else if (reservations_.onRemoved) {
            reservations_.onRemoved(id, reason);
        }
    }
}

void SlotScheduler::poll()
{
    bool hasUnusedSlot = true;
    while (hasUnusedSlot) {
        hasUnusedSlot = false;
        const SlotQueue::PollResult result = queue_.poll(core_.clock.now());
        for (const std::uint64_t id : result.start) {
            const auto found = queuedJobs_.find(id);
            if (found != queuedJobs_.end()) {
                found->second.result.started = true;
                found->second.latch->release();
            } else if (!reservations_.onStarted || !reservations_.onStarted(id)) {
                queue_.release(id, core_.clock.now());
                hasUnusedSlot = true;
            }
        }
        releaseQueued(result.expired, queueTimeoutReason);
        if (!result.callsUnserved.empty()) {
            core_.metrics.count("refused_calls_unserved", result.callsUnserved.size());
        }
        releaseQueued(result.callsUnserved, refusalReasonName(RefusalReason::CallsUnserved));
    }
}

void SlotScheduler::awaitPoll()
{
    // Wakes when a request is queued, and at the next time when the queue must be polled.
    const SteadyTime before = core_.clock.now();
    const SteadyTime due = queue_.nextPollTime(before);
    const Duration pause = due == SteadyTime::max()
                               ? Duration(maxPollInterval)
                               : std::clamp<Duration>(due - before, minPollInterval, maxPollInterval);
    expiry_.wait(core_.ioContext, pause);
    if (queue_.waiting() > 0) {
        poll();
    }
}

} // namespace waxwing
