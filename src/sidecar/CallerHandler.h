#pragma once

#include "include/fleet/FleetConfig.h"
#include "include/fleet/WeightedRoundRobin.h"
#include "src/http/HttpServer.h"

namespace waxwing {

struct NodeCore;

/**
 * Handles callers' requests at a node on the platform: finds the route, forwards the request, and returns the server's
 * response or an error. An error has status 503 only if the request has not run and never will. Not thread safe.
 */
class CallerHandler
{
public:
    explicit CallerHandler(NodeCore &core);
    /** Runs a caller's request and returns the response. @pre called from a fiber. */
    HttpReply handle(HttpRequest request, const CallerWatchPtr &caller);
    /** Handles the platform's readiness check. */
    HttpReply handleReadiness(const HttpRequest &request);
    /** Resets the load balancing state after a configuration change. */
    void configChanged();

private:
    /** Returns an error response, and logs and counts the refusal. */
    HttpReply refuse(unsigned status, const std::string &requestId, const std::string &reason, Millis retryAfter);

    NodeCore &core_;
    WeightedRoundRobin balancer_;
    /** Result of the last readiness check. A node that is ready may stay so with an older configuration. */
    bool lastReady_ = false;
};

} // namespace waxwing
