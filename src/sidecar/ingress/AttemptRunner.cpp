#include "src/sidecar/ingress/AttemptRunner.h"

#include "src/node/NodeCore.h"
#include "src/sidecar/ingress/HomeSelector.h"
#include "src/sidecar/ingress/HomeSender.h"
#include "src/sidecar/ingress/ReplyEvaluator.h"
#include "src/sidecar/ingress/SlotRequester.h"
#include "src/sidecar/ingress/StartLimit.h"

namespace waxwing {

namespace {

/** A request is refused without being sent only if the load report is at most a round trip between regions old. */
constexpr Millis maxFreshLoadAge{100};

} // namespace

AttemptRunner::AttemptRunner(const NodeCore &core, SlotRequester &slots, const StartLimit &startLimit,
                             HomeSelector &homes, HomeSender &sender, ReplyEvaluator &replies)
    : core_(core)
    , slots_(slots)
    , startLimit_(startLimit)
    , homes_(homes)
    , sender_(sender)
    , replies_(replies)
{ }

void AttemptRunner::run(const ForwardedRequestPtr &request, const AttemptPtr &attempt, AttemptKind kind)
{
    attempt->reply.outcome = Outcome::NotRun;
    attempt->reply.reason = homes_.needsOwnHome(*request) ? tooLargeForLinkReason : "no-sound-home";
    // A hedge is useful only where a slot is free now.
    bool canReserve = kind != AttemptKind::Hedge && homes_.mayWaitForSlot(*request);
    while (!attempt->control->cancelled && !request->finished && request->search.canContinue()) {
        const SteadyTime now = core_.clock.now();
        if (!maySend(*request, *attempt, now)) {
            return;
        }
        Target target;
        target.choice = homes_.choose(*request, now);
        target.canReserve = canReserve;
        if (now + minTimeLeft >= request->job.deadline) {
            return;
        }
        const Step step = reserve(request, attempt, target);
        if (step == Step::ChooseAgain) {
            continue;
        }
        if (step == Step::End || isUseless(*request, *attempt, kind, target)) {
            return;
        }
        canReserve = target.canReserve;
        limitQueueing(kind, target);
        const HomeSend send = sender_.send(request, attempt, target.choice, target.reservation);
        if (replies_.evaluate(*request, *attempt, target.choice, send)) {
            return;
        }
    }
}

bool AttemptRunner::maySend(const ForwardedRequest &request, ForwardAttempt &attempt, SteadyTime now) const
{
    if (const std::string problem = request.keyProblem(); !problem.empty()) {
        attempt.reply.reason = problem;
        return false;
    }
    if (request.queuedCancelled || now >= startLimit_.latestStart(*request.job.route)) {
        attempt.reply.reason = "stopping";
        return false;
    }
    return true;
}

AttemptRunner::Step AttemptRunner::reserve(const ForwardedRequestPtr &request, const AttemptPtr &attempt,
                                           Target &target)
{
    if (!target.canReserve || !homes_.shouldReserve(*request, target.choice)) {
        return Step::Continue;
    }
    const SlotWaitResult slot = homes_.awaitSlot(request, attempt);
    if (slot.end == SlotWaitEnd::NoOffer) {
        return Step::End;
    }
    if (slot.end == SlotWaitEnd::Cancelled) {
        return Step::ChooseAgain;
    }
    // During the wait the key may have been revoked, or the configuration become too old to accept keys.
    if (const std::string problem = request->keyProblem(); !problem.empty()) {
        slots_.release(slot);
        attempt->reply.reason = problem;
        return Step::End;
    }
    target.canReserve = slot.end == SlotWaitEnd::Offered;
    if (target.canReserve) {
        target.choice = homes_.choiceOf(*request, slot, target.choice);
        target.reservation = slot.reservation;
    }
    return Step::Continue;
}

bool AttemptRunner::isUseless(const ForwardedRequest &request, ForwardAttempt &attempt, AttemptKind kind,
                              const Target &target) const
{
    const HomeChoice &choice = target.choice;
    if (choice.node.empty() || (kind == AttemptKind::Hedge && homes_.isHedgeUseless(request, choice))) {
        return true;
    }
    const bool loadIsFresh = choice.loadAge >= Millis(0) && choice.loadAge <= maxFreshLoadAge;
    if (target.reservation == 0 && choice.missesDeadline && loadIsFresh) {
        // Every home would queue the request beyond its deadline. Refusing it now lets the caller retry sooner.
        attempt.reply.reason = request.refusalReason("no-room");
        attempt.reply.load.wait = choice.wait;
        return true;
    }
    return false;
}

void AttemptRunner::limitQueueing(AttemptKind kind, Target &target) const
{
    if (kind == AttemptKind::Hedge) {
        target.choice.queueTimeout = Millis(0);
    } else if (target.canReserve) {
        target.choice.queueTimeout = slots_.directQueueTimeout(target.choice);
    }
}

} // namespace waxwing
