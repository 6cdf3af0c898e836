#include "include/limit/RouteOrigins.h"

#include <algorithm>
#include <cmath>

namespace waxwing {

namespace {

/**
 * Negative natural logarithm of the probability, about 1 in 10000, that requests of callers come only from these VMs by
 * chance.
 */
constexpr double evidenceThreshold = 9.0;
/**
 * Lower bound of the share of a zone's VMs that belong to the calling services. It bounds the evidence of one request,
 * the negative logarithm of the share, to 3. A share of one gives no evidence.
 */
constexpr double minShare = 0.05;
/** Counts are reset when they reach this, because a new configuration can change which services call the route. */
constexpr std::uint32_t maxCounted = 2000;

} // namespace

RouteOrigins::RouteOrigins(ShareOf shareOf)
    : shareOf_(std::move(shareOf))
{ }

void RouteOrigins::note(const std::string &route, const std::string &zone, const std::string &service)
{
    Origins &origins = routes_[route];
    if (origins.requests >= maxCounted) {
        origins = Origins();
    }
    origins.services.insert(service);
    ++origins.requestsByZone[zone];
    ++origins.requests;
}

bool RouteOrigins::isNestedCall(const std::string &route) const
{
    const auto found = routes_.find(route);
    if (found == routes_.end()) {
        return false;
    }
    double evidence = 0.0;
    for (const auto &[zone, requests] : found->second.requestsByZone) {
        const double share = std::clamp(shareOf_(zone, found->second.services), minShare, 1.0);
        evidence -= requests * std::log(share);
    }
    return evidence >= evidenceThreshold;
}

} // namespace waxwing
