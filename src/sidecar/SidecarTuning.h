#pragma once

#include "include/customer/KeyAdmission.h"
#include "include/customer/QuotaCounter.h"
#include "include/fleet/WatchElection.h"
#include "include/limit/FleetRetryBudget.h"
#include "include/schedule/ReservationPlanner.h"
#include "include/settings/NodeSettings.h"

#include <optional>

namespace waxwing {

/** Parameters of a node's services that follow from the settings and the platform's bounds. */
struct SidecarTuning {
    /** Longest time from SIGTERM to the end of the process. */
    Millis stopGrace{0};
    FleetRetryTuning retry;
    WatchElectionTuning watchElection;
    KeyAdmissionTuning keyAdmission;
    QuotaTuning quota;
    /** Bounds on what is buffered for slow readers; nothing if callers and servers don't read slowly. */
    std::optional<FlowSettings> flow;
    ReservationTuning reservations;
    /** Requests that may wait for an offer at the same time. */
    std::size_t maxWaitingRequests = 512;
    /** The home judges requests by whether their nested calls are expected to fail. */
    bool callAdmission = false;
};

/**
 * Returns the parameters for @p settings; defaults without bounds. Each faulty bound is a finding with its place, and
 * its default is used. Thread safe.
 */
SidecarTuning makeSidecarTuning(const NodeSettings &settings, Findings &findings);

} // namespace waxwing
