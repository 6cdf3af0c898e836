#include "src/sidecar/ingress/ReplyEvaluator.h"

#include "include/route/HomeRanking.h"
#include "include/route/RouteStats.h"
#include "src/node/NodeCore.h"
#include "src/sidecar/LocalHome.h"
#include "src/sidecar/ingress/HomeSender.h"
#include "src/sidecar/ingress/NoServerReason.h"
#include "src/sidecar/ingress/RetryGate.h"
#include "src/sidecar/ingress/SlotRequester.h"
#include "src/sidecar/membership/PathMonitor.h"

namespace waxwing {

namespace {

bool isLikelyGray(const WorkReply &reply)
{
    return reply.reason == refusalReasonName(RefusalReason::LikelyGray);
}

} // namespace

ReplyEvaluator::ReplyEvaluator(NodeCore &core, LocalHome &home, PathMonitor &paths, HomeRanking &ranking,
                               RouteStats &stats, RetryGate &retries)
    : core_(core)
    , home_(home)
    , paths_(paths)
    , ranking_(ranking)
    , stats_(stats)
    , retries_(retries)
{ }

bool ReplyEvaluator::evaluate(ForwardedRequest &request, ForwardAttempt &attempt, const HomeChoice &choice,
                              const HomeSend &send)
{
    const WorkReply &reply = send.result.reply;
    noteHome(request, choice, send);
    noteRoute(request, reply);
    logSend(request, choice, send);
    attempt.reply = reply;
    attempt.reachedServer = attempt.reachedServer || reply.reachedServer || reply.outcome == Outcome::Unknown;
    if (reply.outcome == Outcome::NotRun && !reply.reachedServer) {
        return endsWithRefusal(request, attempt, choice, send);
    }
    if (reply.outcome == Outcome::NotRun && !attempt.control->cancelled) {
        // The server received the request but did not run it, so the next send counts as a retry.
        request.reachedHomes.erase(choice.node);
        return !retries_.reserveRetry(request, "server-refused");
    }
    return true;
}

void ReplyEvaluator::noteHome(const ForwardedRequest &request, const HomeChoice &choice, const HomeSend &send)
{
    const WorkReply &reply = send.result.reply;
    if (send.result.pathFailed) {
        paths_.noteFailure(choice.node);
    } else if (reply.outcome != Outcome::Unknown || reply.reachedServer) {
        ranking_.notePathRecovered(choice.node);
        ranking_.noteLoad(choice.node, reply.load, request.priority(), send.ended);
    }
    if (isNoServerReason(reply.reason)) {
        ranking_.noteNoServer(choice.node, send.ended);
    }
    if (isLikelyGray(reply)) {
        ranking_.noteLikelyGray(RankedHome{choice.node, choice.distance}, send.ended);
    }
}

void ReplyEvaluator::noteRoute(ForwardedRequest &request, const WorkReply &reply)
{
    const std::string &route = request.job.route->name;
    request.callsUnserved += reply.reason == refusalReasonName(RefusalReason::CallsUnserved) ? 1 : 0;
    stats_.add(route, reply);
    if (reply.nestedCall) {
        home_.noteNestedCall(route);
    }
}

void ReplyEvaluator::logSend(const ForwardedRequest &request, const HomeChoice &choice, const HomeSend &send) const
{
    const WorkReply &reply = send.result.reply;
    const bool pathFailed = send.result.pathFailed;
    core_.events.writeRequest(pathFailed ? Severity::Warning : Severity::Info, "sent",
                              {{"request", request.job.requestId},
                               {"home", choice.node},
                               {"distance", distanceName(choice.distance)},
                               {"bytes", std::to_string(send.requestBytes + reply.response.body.size())},
                               {"loss", std::to_string(static_cast<int>(choice.loss))},
                               {"loadAgeMs", std::to_string(choice.loadAge.count())},
                               {"queueTimeoutMs", std::to_string(choice.queueTimeout.count())},
                               {"expectedWaitMs", std::to_string(choice.wait.count())},
                               {"reportedWaitMs", std::to_string(reply.load.wait.count())},
                               {"acceptsGray", choice.acceptsGray ? "yes" : "no"},
                               {"outcome", outcomeName(reply.outcome)},
                               {"reason", reply.reason},
                               {"pathFailed", pathFailed ? "yes" : "no"},
                               {"tookMs", std::to_string(millisOf(send.ended - send.started).count())}});
}

bool ReplyEvaluator::endsWithRefusal(ForwardedRequest &request, const ForwardAttempt &attempt, const HomeChoice &choice,
                                     const HomeSend &send)
{
    const WorkReply &reply = send.result.reply;
    // No server received the request, so this send does not count as an attempt.
    request.reachedHomes.erase(choice.node);
    // A fenced Work never runs, and the new link that carried the fence reply may carry the next Work.
    const bool reachable = !send.result.pathFailed || reply.reason == fencedReason;
    if (reachable && !isNoServerReason(reply.reason) && !isLikelyGray(reply)) {
        // The home may be tried again: with the load that its refusal reported it may still be the best one.
        request.search.noteRefused(choice.node);
    }
    return attempt.control->cancelled || reply.reason == poisonReason || request.callsUnserved >= maxCallsUnserved;
}

} // namespace waxwing
