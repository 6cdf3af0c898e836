#include "src/sidecar/ingress/StartLimit.h"

#include <algorithm>

namespace waxwing {

namespace {

/** A stopping node starts a request only if this many times its expected work time is left, within the bounds below. */
constexpr double stopWorkFactor = 2.0;
constexpr Millis minStopReserve{500};
constexpr Millis maxStopReserve{3000};

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
    return stopDeadline_ - std::clamp<Duration>(reserve, minStopReserve, maxStopReserve);
}

} // namespace waxwing
