#include "src/sidecar/home/WorkAdmission.h"

#include "include/home/SlotQueue.h"
#include "platform/ServerDialect.h"
#include "src/node/NodeCore.h"
#include "src/sidecar/home/ServerMemoryGate.h"
#include "src/sidecar/home/SlotScheduler.h"

#include <algorithm>

namespace waxwing {

WorkAdmission::WorkAdmission(NodeCore &core, SlotScheduler &scheduler)
    : core_(core)
    , scheduler_(scheduler)
{ }

void WorkAdmission::setMemory(ServerMemoryGate &memory)
{
    memory_ = &memory;
}

bool WorkAdmission::await(HomeJob &job, const std::function<void()> &onAdmitted)
{
    return (memory_ == nullptr || awaitMemory(job, onAdmitted)) && awaitSlot(job, onAdmitted);
}

bool WorkAdmission::awaitMemory(HomeJob &job, const std::function<void()> &onAdmitted)
{
    ServerMemoryGate::Request request;
    request.id = job.id;
    request.bytes = job.work.request.body.size();
    request.until = std::min(job.deadline, job.arrived + job.work.queueTimeout);
    request.control = job.control;
    const ServerMemoryGate::Result result = memory_->admit(request, [&] {
        job.accepted = true;
        if (onAdmitted) {
            onAdmitted();
        }
    });
    job.queuedAt = job.accepted ? core_.clock.now() : job.queuedAt;
    switch (result) {
    case ServerMemoryGate::Result::Admitted:
        return true;
    case ServerMemoryGate::Result::TooLarge:
        job.refuse(tooLargeReason);
        break;
    case ServerMemoryGate::Result::TimedOut:
        job.refuse(job.accepted ? queueTimeoutReason : refusalReasonName(RefusalReason::Busy));
        break;
    case ServerMemoryGate::Result::Cancelled:
        job.refuse("cancelled");
        break;
    }
    return false;
}

bool WorkAdmission::awaitSlot(HomeJob &job, const std::function<void()> &onAdmitted)
{
    if (scheduler_.claimHeld(job.key.origin, job.work.reservation, job.id)) {
        if (onAdmitted && !job.accepted) {
            onAdmitted();
        }
        return true;
    }
    SlotRequest request;
    request.id = job.id;
    request.route = job.work.route;
    request.customer = platform::customerOf(job.work.request);
    request.retryable = job.work.retryable;
    request.priority = job.work.priority;
    request.objective = job.arrived + job.work.untilObjective;
    request.deadline = job.deadline;
    request.queueTimeout = std::max(Millis(0), job.work.queueTimeout - millisOf(job.queuedAt - job.arrived));
    request.acceptsGray = job.work.acceptsGray;
    const SlotDecision decision = scheduler_.submit(request, job.queuedAt);
    if (decision.action == SlotAction::Refuse) {
        job.refuse(refusalReasonName(decision.reason));
        return false;
    }
    if (onAdmitted && !job.accepted) {
        onAdmitted();
    }
    if (decision.action == SlotAction::Start) {
        return true;
    }
    const SlotScheduler::WaitResult waited = scheduler_.awaitStart(job.id, job.control);
    if (waited.started && !job.control->cancelled && !job.control->queuedCancelled) {
        return true;
    }
    if (waited.started) {
        // It was cancelled after its start and before this fiber resumed. The slot is free for the next request. Work
        // that was cancelled as queued is refused with the default reason, queue-timeout.
        scheduler_.release(job.id);
    }
    job.refuse(job.control->cancelled ? "cancelled" : waited.reason);
    return false;
}

} // namespace waxwing
