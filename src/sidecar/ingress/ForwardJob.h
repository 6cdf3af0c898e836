#pragma once

#include "include/customer/KeyAdmission.h"
#include "include/fleet/FleetConfig.h"
#include "include/wire/Messages.h"
#include "src/node/RunControl.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace waxwing {

/** Reason of a request that was not sent because its key was taken away meanwhile. */
constexpr const char *keyRevokedReason = "key-revoked";

/** Reason of a request that only the home of its ingress could run, which has no server for it. */
constexpr const char *tooLargeForLinkReason = "body-too-large-for-link";

/** A caller's request on its way to a server. */
struct ForwardJob {
    /** Owns @c route, so that the route stays valid when a newer configuration is applied. */
    std::shared_ptr<const FleetConfig> config;
    const Route *route = nullptr;
    std::string service;
    std::string requestId;
    /** The customer that sent the request; empty if none is known. */
    std::string customer;
    /** When the request was counted against its customer's quota; nothing if it has none. */
    std::optional<SteadyTime> countedAt;
    /** Rank of the request among those of callers; 0 is the most urgent. */
    int priority = 0;
    /** Checks the key again before each send. Not set if the request needs no key. */
    std::function<AdmissionResult()> recheckKey;
    HttpRequest request;
    SteadyTime arrived;
    SteadyTime deadline;
    RunControlPtr control;
};

/** How a forwarded request ended. */
struct ForwardResult {
    Outcome outcome = Outcome::NotRun;
    std::string reason;
    Millis retryAfter{0};
    HttpResponse response;
};

} // namespace waxwing
