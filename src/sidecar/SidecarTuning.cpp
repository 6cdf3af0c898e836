#include "src/sidecar/SidecarTuning.h"

#include "platform/ConfigDecoder.h"

#include <algorithm>

namespace waxwing {

namespace {

/** For clocks that run at different rates, and for timers. */
constexpr Millis revokeMargin{300};
/**
 * Age at which a node becomes a stand-in, as a fraction of the time within which a change must be in force. The rest of
 * that time is for reading the change.
 */
constexpr double standInFraction = 0.6;

} // namespace

SidecarTuning makeSidecarTuning(const NodeSettings &settings, Findings &findings)
{
    SidecarTuning tuning;
    tuning.stopGrace = settings.times.stopWithin;
    if (platform::mayReadSlowly(settings.contracts)) {
        tuning.flow = settings.flow;
    }
    tuning.reservations.minObjective = settings.waiting.minObjective;
    tuning.maxWaitingRequests = settings.waiting.maxRequests;
    tuning.callAdmission = settings.nestedCalls.admission;
    tuning.retry.usableShare = settings.retries.usableShare;
    tuning.retry.usableSlack = settings.retries.usableSlack;
    if (settings.bounds.empty()) {
        return tuning;
    }
    const platform::FleetBounds bounds = platform::decodeBounds(settings.bounds, findings);
    tuning.stopGrace = bounds.stopGrace;
    tuning.retry.share = bounds.retryShare;
    tuning.retry.slack = bounds.retrySlack;
    tuning.retry.window = bounds.retryWindow;
    tuning.watchElection.standInAfter = std::chrono::duration_cast<Millis>(bounds.configApply * standInFraction);
    if (bounds.revokeWithin) {
        tuning.keyAdmission.maxConfigAge = std::max(Millis(0), *bounds.revokeWithin - revokeMargin);
    }
    tuning.quota = bounds.quota;
    return tuning;
}

} // namespace waxwing
