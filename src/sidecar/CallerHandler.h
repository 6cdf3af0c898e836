#pragma once

#include "include/fleet/FleetConfig.h"
#include "include/fleet/WeightedRoundRobin.h"
#include "src/http/HttpServer.h"

namespace waxwing {

struct NodeCore;

/**
 * The callers' side of a node on the platform: finds the route, has the request run, and puts the outcome into a status
 * that is true. A 503 is only given for work that has not run and never will. Not thread safe.
 */
class CallerHandler
{
public:
    explicit CallerHandler(NodeCore &core);
    /** @pre called from a fiber. */
    HttpReply handle(HttpRequest request, const CallerWatchPtr &caller);
    /** Answers the platform's question whether this node takes callers. */
    HttpReply handleReadiness(const HttpRequest &request);
    /** Another configuration is in force. */
    void configChanged();

private:
    HttpReply refuse(unsigned status, const std::string &requestId, const std::string &reason, Millis retryAfter);

    NodeCore &core_;
    WeightedRoundRobin balancer_;
    /** The last answer to the platform's question. */
    bool lastReady_ = false;
};

} // namespace waxwing
