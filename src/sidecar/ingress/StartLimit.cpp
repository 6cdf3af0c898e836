#include "src/sidecar/ingress/StartLimit.h"

#include <algorithm>

namespace waxwing {

namespace {

/** A stopping node starts a request only if this many times its expected work time is left. */
constexpr double stopWorkFactor = 2.0;
/** Least time that must be left, whatever work time is expected. */
constexpr Millis minStopReserve{500};

} // namespace

StartLimit::StartLimit(const RouteStats &stats)
    : stats_(stats)
{ }

void StartLimit::setStopDeadline(SteadyTime deadline)
{
    stopDeadline_ = deadline;
}

SteadyTime StartLimit::latestStart(const Route &route) const
{
    if (stopDeadline_ == SteadyTime::max()) {
        return stopDeadline_;
    }
    const auto reserve = std::chrono::duration_cast<Duration>(stats_.expectedWorkTime(route) * stopWorkFactor);
    // A request that reaches its own time limit ends by that, not by the stop.
    return stopDeadline_ - std::max<Duration>(minStopReserve, std::min<Duration>(reserve, route.timeout));
}

} // namespace waxwing
