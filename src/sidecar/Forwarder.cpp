#include "src/sidecar/Forwarder.h"

#include "src/fiber/FiberLoop.h"
#include "src/node/NodeCore.h"
#include "src/sidecar/LocalHome.h"
#include "src/sidecar/limits/RetryBudgetService.h"

#include <algorithm>
#include <random>

namespace waxwing {

namespace {

constexpr Millis minRetryAfter{300};
/**
 * Shortest Retry-After of a request whose nested calls are expected to fail: by then the homes' evidence has expired or
 * was renewed. It is multiplied by a random factor up to the given one, so that callers don't return together.
 */
constexpr Millis callsUnservedRetryAfter{2000};
constexpr double callsUnservedSpread = 2.0;
/** Time for a home to reply to a Cancel: a round trip between regions, with a margin for a busy home. */
constexpr Millis cancelReplyTimeout{120};

} // namespace

/** Keeps a request among the active ones, and records the end of a nested call. */
class Forwarder::ActiveGuard
{
public:
    ActiveGuard(Forwarder &forwarder, const ForwardedRequestPtr &request)
        : forwarder_(forwarder)
        , request_(request)
    {
        forwarder_.active_.insert(request_);
    }
    ~ActiveGuard()
    {
        forwarder_.active_.erase(request_);
        if (request_->nestedCall) {
            forwarder_.home_.noteCallEnded();
        }
    }
    ActiveGuard(const ActiveGuard &) = delete;
    ActiveGuard &operator=(const ActiveGuard &) = delete;

private:
    Forwarder &forwarder_;
    const ForwardedRequestPtr &request_;
};

Forwarder::Forwarder(NodeCore &core, LocalHome &home, WorkSender &sender, RetryBudgetService &retryBudgets,
                     PathMonitor &paths, SlotRequester &slots)
    : core_(core)
    , home_(home)
    , retryBudgets_(retryBudgets)
    , startLimit_(stats_)
    , retries_(core, retryBudgets, stats_, startLimit_)
    , homes_(core, home, paths, slots, stats_, startLimit_, retries_)
    , sender_(core, home, sender, homes_.ranking(), retries_)
    , replies_(core, home, paths, homes_.ranking(), stats_, retries_)
    , attemptRunner_(core, slots, startLimit_, homes_, sender_, replies_)
{ }

ForwardResult Forwarder::run(const std::shared_ptr<const ForwardJob> &job)
{
    const auto request = std::make_shared<ForwardedRequest>(job);
    const ActiveGuard active(*this, request);
    noteArrival(*request);
    job->control->interrupt = [request] { request->notifier.notify(); };
    startAttempt(request, AttemptKind::First);
    return awaitEnd(request);
}

void Forwarder::noteArrival(ForwardedRequest &request)
{
    const ForwardJob &job = request.job;
    home_.noteArrival(job.route->name, job.service);
    request.nestedCall = home_.isNestedCall(job.route->name);
    if (request.nestedCall) {
        home_.noteCallStarted();
        request.useNestedBudgetRank(home_.callerRank(job.service));
    } else {
        request.useCallerBudgetRank();
    }
    retryBudgets_.noteRequest(job.service);
    if (request.nestedCall) {
        // The request that waits for a nested call fails without a response, but can still succeed with a late one.
        request.objective = job.deadline;
    }
}

void Forwarder::startAttempt(const ForwardedRequestPtr &request, AttemptKind kind)
{
    const AttemptPtr attempt = request->addAttempt();
    spawnFiber([this, request, attempt, kind] {
        attemptRunner_.run(request, attempt, kind);
        attempt->ended = true;
        attempt->control->onOutcomeUnknown = {};
        if (kind != AttemptKind::First && !attempt->reachedServer) {
            retries_.refund(*request);
            // Another retry would try the same homes, which have all refused.
            request->noOtherHome = request->noOtherHome || kind == AttemptKind::Retry;
        }
        request->notifier.notify();
    });
}

ForwardResult Forwarder::awaitEnd(const ForwardedRequestPtr &request)
{
    const ForwardJob &job = request->job;
    while (true) {
        const SteadyTime now = core_.clock.now();
        const SteadyTime hedgeAt = hedgeTime(*request);
        const SteadyTime cancelQueuedAt = cancelQueuedTime(*request);
        if (now >= cancelQueuedAt) {
            request->cancelQueued();
        } else if (mustEnd(*request, now)) {
            job.control->interrupt = {};
            return finishTimedOut(*request, isAborted(*request));
        } else if (request->endedAttempts() > request->evaluated) {
            if (const std::optional<WorkReply> reply = evaluateEnded(request); reply.has_value()) {
                job.control->interrupt = {};
                return finish(*request, *reply);
            }
        } else if (request->hasLostAttempt) {
            retryLost(request);
        } else if (now >= hedgeAt) {
            hedge(request);
        } else {
            request->notifier.wait(core_.ioContext, std::min({job.deadline, hedgeAt, cancelQueuedAt}) - now);
        }
    }
}

SteadyTime Forwarder::hedgeTime(const ForwardedRequest &request) const
{
    const bool mayHedge = request.isRetryable() && !request.hedged && request.waitingForSlot == 0;
    return mayHedge ? stats_.hedgeTime(*request.job.route, request.job.arrived) : SteadyTime::max();
}

SteadyTime Forwarder::cancelQueuedTime(const ForwardedRequest &request) const
{
    return request.queuedCancelled ? SteadyTime::max() : startLimit_.latestStart(*request.job.route);
}

bool Forwarder::mustEnd(const ForwardedRequest &request, SteadyTime now) const
{
    return isAborted(request) || now >= request.job.deadline;
}

bool Forwarder::isAborted(const ForwardedRequest &request) const
{
    return request.job.control->cancelled || aborting_;
}

std::optional<WorkReply> Forwarder::evaluateEnded(const ForwardedRequestPtr &request)
{
    if (const AttemptPtr succeeded = request->succeededAttempt(); succeeded != nullptr) {
        return succeeded->reply;
    }
    request->evaluateReplies();
    if (!request->allEnded()) {
        return std::nullopt;
    }
    const bool failed = request->lastReply->outcome != Outcome::NotRun && !request->noOtherHome;
    if (!failed || !request->isRetryable() || !retries_.reserveRetry(*request, "failed")) {
        return request->lastReply;
    }
    request->hedged = true;
    startAttempt(request, AttemptKind::Retry);
    return std::nullopt;
}

void Forwarder::retryLost(const ForwardedRequestPtr &request)
{
    request->hasLostAttempt = false;
    const bool retry = request->isRetryable() && request->nonePending() && !request->noOtherHome;
    if (retry && retries_.reserveRetry(*request, "outcome-unknown")) {
        request->hedged = true;
        startAttempt(request, AttemptKind::Retry);
    }
}

void Forwarder::hedge(const ForwardedRequestPtr &request)
{
    request->hedged = true;
    if (retries_.reserveHedge(*request)) {
        startAttempt(request, AttemptKind::Hedge);
    }
}

ForwardResult Forwarder::finish(ForwardedRequest &request, const WorkReply &reply)
{
    request.finished = true;
    request.cancelPending();
    if (request.nestedCall) {
        noteCallEnd(request, reply.outcome != Outcome::Ran || reply.serverFault);
    }
    ForwardResult result;
    result.outcome = reply.outcome;
    result.reason = reply.reason;
    result.response = reply.response;
    const bool mayHelp = reply.reason != poisonReason && reply.reason != tooLargeForLinkReason;
    if (reply.outcome == Outcome::NotRun && mayHelp) {
        result.retryAfter = retryAfter(reply);
    }
    return result;
}

void Forwarder::noteCallEnd(const ForwardedRequest &request, bool failed)
{
    if (failed) {
        home_.noteFailedCall(request.job.route->name, request.job.service);
    }
    if (isCallEvidence(request)) {
        home_.noteCallResult(request.job.service, !failed);
    }
}

bool Forwarder::isCallEvidence(const ForwardedRequest &request) const
{
    // A server drops its call early when its own caller has gone. Later, the called service was too slow for it.
    const ForwardJob &job = request.job;
    const bool dropped = job.control->cancelled && core_.clock.now() < job.arrived + job.route->responseTime;
    return !dropped && !aborting_;
}

Millis Forwarder::retryAfter(const WorkReply &reply)
{
    const Millis shortest = std::max(minRetryAfter, reply.load.wait);
    if (reply.reason != refusalReasonName(RefusalReason::CallsUnserved)) {
        return shortest;
    }
    std::uniform_real_distribution<double> factor(1.0, callsUnservedSpread);
    const Millis base = std::max(callsUnservedRetryAfter, shortest);
    return std::chrono::duration_cast<Millis>(base * factor(core_.random));
}

ForwardResult Forwarder::finishTimedOut(ForwardedRequest &request, bool immediately)
{
    request.cancelAll();
    request.finished = true;
    // A request that was only queued has not run, and its home confirms that within a round trip. The caller can then
    // retry safely.
    const SteadyTime until = core_.clock.now() + cancelReplyTimeout;
    while (!immediately && !request.allEnded() && core_.clock.now() < until) {
        request.notifier.wait(core_.ioContext, until - core_.clock.now());
    }
    WorkReply reply;
    reply.outcome = request.hasNotRun() ? Outcome::NotRun : Outcome::Unknown;
    reply.reason = "timeout";
    return finish(request, reply);
}

void Forwarder::noteHomeReport(const std::string &node, const HomeLoad &load, SteadyTime madeAt)
{
    homes_.ranking().noteReport(node, load, madeAt);
}

void Forwarder::registryChanged()
{
    homes_.registryChanged();
}

void Forwarder::configChanged()
{
    for (const ForwardedRequestPtr &request : active_) {
        if (request->keyProblem() == keyRevokedReason) {
            request->cancelQueued();
        }
    }
}

void Forwarder::setStopDeadline(SteadyTime deadline)
{
    startLimit_.setStopDeadline(deadline);
    notifyAll();
}

void Forwarder::abortAll()
{
    aborting_ = true;
    notifyAll();
}

void Forwarder::notifyAll()
{
    for (const ForwardedRequestPtr &request : active_) {
        request->notifier.notify();
    }
}

} // namespace waxwing
