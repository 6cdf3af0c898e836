#pragma once

#include "include/customer/KeyAdmission.h"
#include "include/fleet/FleetConfig.h"
#include "include/fleet/WeightedRoundRobin.h"
#include "platform/CallerDialect.h"
#include "src/http/HttpServer.h"
#include "src/sidecar/Forwarder.h"

#include <memory>
#include <optional>
#include <string>

namespace waxwing {

struct NodeCore;
class ResponseFlow;

/**
 * Handles callers' requests at a node on the platform: finds the route, forwards the request, and returns the server's
 * response or an error. An error has status 503 only if the request has not run and never will. Not thread safe.
 */
class CallerHandler
{
public:
    CallerHandler(NodeCore &core, const KeyAdmissionTuning &keyAdmission);
    /** Runs a caller's request and returns the response. @pre called from a fiber. */
    HttpReply handle(HttpRequest request, const CallerWatchPtr &caller);
    /** Handles the platform's readiness check. */
    HttpReply handleReadiness(const HttpRequest &request);
    /** Resets the load balancing state after a configuration change. */
    void configChanged();
    /** Bounds the bytes of responses to slow readers. */
    void setFlow(std::shared_ptr<ResponseFlow> flow);

private:
    /** A request that is answered without being sent. */
    struct Refusal {
        unsigned status = 0;
        std::string requestId;
        std::string reason;
        Millis retryAfter{0};
        std::string customer;
        /** What decided on the quota; empty if something else. */
        std::string decidedBy;
    };

    /** Returns an error response, and logs and counts the refusal. */
    HttpReply refuse(const Refusal &refusal);
    Admission admit(const FleetConfig &config, const Route &route, const Credential &credential) const;
    /**
     * Finds the route of @p job and admits its customer by the newest configuration. Returns why it may not run
     * otherwise.
     */
    std::optional<Refusal> judge(ForwardJob &job, const platform::CallerRequest &request);
    /** Does the same by one configuration. */
    std::optional<Refusal> judgeBy(const std::shared_ptr<const FleetConfig> &config, ForwardJob &job,
                                   const platform::CallerRequest &request);
    /**
     * Checks the key and the quota of the customer that sent @p job, and completes @p job if it may run. Returns why
     * not otherwise. Asks for the quota only once: a customer that @p job names already has its grant.
     */
    std::optional<Refusal> admitCustomer(ForwardJob &job, const Credential &credential);
    /** Names the customer to the server, ranks the request, and has the key checked again before each send. */
    void setCustomer(ForwardJob &job, const Customer &customer, const Credential &credential);
    /** Reserves bytes for the response to @p job. Returns why the request may not run otherwise. */
    std::optional<Refusal> reserveBytes(const ForwardJob &job, const CallerWatchPtr &caller);
    /** Releases a reservation: the response is an error whose size does not matter. */
    void releaseBytes(const CallerWatchPtr &caller);
    /** Gives back the token of a request that has not run. */
    void giveBackQuota(const ForwardJob &job);
    HttpReply answer(const ForwardJob &job, ForwardResult result, const CallerWatchPtr &caller);

    NodeCore &core_;
    KeyAdmissionTuning keyAdmission_;
    WeightedRoundRobin balancer_;
    /** Null if callers don't read slowly. */
    std::shared_ptr<ResponseFlow> flow_;
    /** Result of the last readiness check. A node that is ready may stay so with an older configuration. */
    bool lastReady_ = false;
};

} // namespace waxwing
