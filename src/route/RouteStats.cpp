#include "include/route/RouteStats.h"

#include <algorithm>

namespace waxwing {

namespace {

/** Weight of the newest sample in the moving averages of a route. */
constexpr double workSmoothing = 0.1;
constexpr double bytesPerKilobyte = 1024.0;
/** Expected work time of a route without samples, as a fraction of its response time objective. */
constexpr double assumedWorkFraction = 0.3;
/** An idempotent request is hedged after this many times its expected work time. */
constexpr double hedgeDelayFactor = 3.0;
constexpr Millis minHedgeDelay{120};
/** A hedge that starts after this fraction of the objective can't help any more; minHedgeDelay has precedence. */
constexpr double maxHedgeFraction = 0.75;

void smooth(double &mean, double sample)
{
    mean = mean == 0.0 ? sample : mean + workSmoothing * (sample - mean);
}

} // namespace

void RouteStats::add(const std::string &route, const WorkReply &reply)
{
    if (reply.outcome == Outcome::Ran && !reply.serverFault) {
        Stats &stats = routes_[route];
        smooth(stats.workSeconds, secondsOf(reply.processingTime));
        smooth(stats.kilobytes, static_cast<double>(reply.response.body.size()) / bytesPerKilobyte);
    }
    if (reply.reachedServer) {
        routes_[route].calls = reply.calls;
    }
}

Duration RouteStats::expectedWorkTime(const Route &route) const
{
    const auto found = routes_.find(route.name);
    const bool isKnown = found != routes_.end() && found->second.workSeconds > 0.0;
    return durationOf(isKnown ? found->second.workSeconds : assumedWorkFraction * secondsOf(route.responseTime));
}

double RouteStats::responseKilobytes(const std::string &route) const
{
    const auto found = routes_.find(route);
    return found == routes_.end() ? 0.0 : found->second.kilobytes;
}

CallRates RouteStats::calls(const std::string &route) const
{
    const auto found = routes_.find(route);
    return found == routes_.end() ? CallRates() : found->second.calls;
}

SteadyTime RouteStats::hedgeTime(const Route &route, SteadyTime arrived) const
{
    const Duration byWorkTime = durationOf(secondsOf(expectedWorkTime(route)) * hedgeDelayFactor);
    const Duration byObjective = durationOf(secondsOf(route.responseTime) * maxHedgeFraction);
    return arrived + std::max<Duration>(minHedgeDelay, std::min(byWorkTime, byObjective));
}

} // namespace waxwing
