#pragma once

#include "include/route/RouteStats.h"
#include "src/sidecar/ingress/AttemptRunner.h"
#include "src/sidecar/ingress/ForwardJob.h"
#include "src/sidecar/ingress/ForwardedRequest.h"
#include "src/sidecar/ingress/HomeSelector.h"
#include "src/sidecar/ingress/HomeSender.h"
#include "src/sidecar/ingress/ReplyEvaluator.h"
#include "src/sidecar/ingress/RetryGate.h"
#include "src/sidecar/ingress/StartLimit.h"

#include <memory>
#include <optional>
#include <set>

namespace waxwing {

struct NodeCore;
class LocalHome;
class PathMonitor;
class RetryBudgetService;
class SlotRequester;
class WorkSender;

/**
 * Forwards callers' requests to servers: chooses a home and tries another one when a home refuses. Within the fleet's
 * retry budget, it retries requests that a server has received but not run, and retries or hedges idempotent requests.
 * The stages of an attempt are in src/sidecar/ingress; this class starts the attempts and decides how a request ends.
 * Not thread safe.
 */
class Forwarder
{
public:
    Forwarder(NodeCore &core, LocalHome &home, WorkSender &sender, RetryBudgetService &retryBudgets, PathMonitor &paths,
              SlotRequester &slots);

    /**
     * Runs @p job and returns how it ended. @p job is kept until its last attempt has ended, which may be after the
     * return. @pre called from a fiber.
     */
    ForwardResult run(const std::shared_ptr<const ForwardJob> &job);
    /** Drops the state of nodes that are no longer in the registry. */
    void registryChanged();
    /** Records the load of a home at @p madeAt, as other nodes reported it. */
    void noteHomeReport(const std::string &node, const HomeLoad &load, SteadyTime madeAt);
    /** Returns queued requests whose key the new configuration does not have. */
    void configChanged();
    /**
     * Sets when the node exits. A request that has not started when too little time is left to complete it before
     * @p deadline is refused as not run, so that its caller can retry elsewhere. Otherwise its connection would close
     * without a response and the caller would not know whether it ran.
     */
    void setStopDeadline(SteadyTime deadline);
    /**
     * Ends all active requests with the outcome known so far. Responses to pipelined requests are sent in order, so one
     * request at a slow server would block responses behind it that are ready.
     */
    void abortAll();

private:
    class ActiveGuard;

    /** Records the arrival and sets the rank and the objective of the request. */
    void noteArrival(ForwardedRequest &request);
    void startAttempt(const ForwardedRequestPtr &request, AttemptKind kind);
    /** Waits for the attempts, and starts further ones, until the request ends; returns how it ended. */
    ForwardResult awaitEnd(const ForwardedRequestPtr &request);
    /** Returns when the request is worth a hedge; max() if no hedge may be made. */
    SteadyTime hedgeTime(const ForwardedRequest &request) const;
    /** Returns when the queued attempts are to be cancelled, because this node stops; max() if they are already. */
    SteadyTime cancelQueuedTime(const ForwardedRequest &request) const;
    /** Returns true if the request must end now, whatever its attempts do. */
    bool mustEnd(const ForwardedRequest &request, SteadyTime now) const;
    /** Returns true if the caller no longer waits, or this node aborts its requests. */
    bool isAborted(const ForwardedRequest &request) const;
    /**
     * Evaluates the attempts that have ended since the last call and starts a retry if all have failed. Returns the
     * reply with which the request ends, or nothing if it goes on.
     */
    std::optional<WorkReply> evaluateEnded(const ForwardedRequestPtr &request);
    /** Retries the request if none of its attempts can still report an outcome soon. */
    void retryLost(const ForwardedRequestPtr &request);
    void hedge(const ForwardedRequestPtr &request);
    /** Cancels the attempts that have not ended and returns the result for @p reply. */
    ForwardResult finish(ForwardedRequest &request, const WorkReply &reply);
    /** Records the end of a nested call. */
    void noteCallEnd(const ForwardedRequest &request, bool failed);
    /** Returns true if the end of the nested call @p request says something about the called service. */
    bool isCallEvidence(const ForwardedRequest &request) const;
    /** Returns when the caller of a request that has not run may retry it. */
    Millis retryAfter(const WorkReply &reply);
    /**
     * Cancels all attempts and returns how the request ended. Unless @p immediately, waits for up to a round trip until
     * the homes confirm that queued requests have not run.
     */
    ForwardResult finishTimedOut(ForwardedRequest &request, bool immediately);
    /** Wakes the fibers of all active requests. */
    void notifyAll();

    NodeCore &core_;
    LocalHome &home_;
    RetryBudgetService &retryBudgets_;
    // Each of the following members may refer to those before it.
    RouteStats stats_;
    StartLimit startLimit_;
    RetryGate retries_;
    HomeSelector homes_;
    HomeSender sender_;
    ReplyEvaluator replies_;
    AttemptRunner attemptRunner_;
    std::set<ForwardedRequestPtr> active_;
    bool aborting_ = false;
};

} // namespace waxwing
