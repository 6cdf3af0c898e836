#pragma once

#include "src/sidecar/ingress/ForwardedRequest.h"

namespace waxwing {

struct HomeChoice;
struct HomeSend;
struct NodeCore;
class HomeRanking;
class LocalHome;
class PathMonitor;
class RetryGate;
class RouteStats;

/**
 * Evaluates how sends to homes ended: updates what is known of the homes, their paths and the route, and decides
 * whether the attempt goes on at another home. Not thread safe.
 */
class ReplyEvaluator
{
public:
    /** The arguments must outlive this object. */
    ReplyEvaluator(NodeCore &core, LocalHome &home, PathMonitor &paths, HomeRanking &ranking, RouteStats &stats,
                   RetryGate &retries);

    /**
     * Stores the reply in @p attempt. Returns true if the attempt has ended, false if another home is to be tried.
     * @pre called from a fiber; @p send was made for @p choice.
     */
    bool evaluate(ForwardedRequest &request, ForwardAttempt &attempt, const HomeChoice &choice, const HomeSend &send);

private:
    /** Updates the ranking and the state of the path with the reply of the home. */
    void noteHome(const ForwardedRequest &request, const HomeChoice &choice, const HomeSend &send);
    /** Updates what is known of the request and its route. */
    void noteRoute(ForwardedRequest &request, const WorkReply &reply);
    void logSend(const ForwardedRequest &request, const HomeChoice &choice, const HomeSend &send) const;
    /** Returns true if the attempt ends with a refusal, which no server received. */
    static bool endsWithRefusal(ForwardedRequest &request, const ForwardAttempt &attempt, const HomeChoice &choice,
                                const HomeSend &send);

    NodeCore &core_;
    LocalHome &home_;
    PathMonitor &paths_;
    HomeRanking &ranking_;
    RouteStats &stats_;
    RetryGate &retries_;
};

} // namespace waxwing
