#include "include/limit/RouteOrigins.h"

#include <algorithm>
#include <cmath>

namespace waxwing {

namespace {

/** One chance in about ten thousand that callers' requests came from these VMs only. */
constexpr double evidenceThreshold = 9.0;
/** A zone whose VMs all belong to the calling services says nothing; no request is worth more than this. */
constexpr double minShare = 0.05;
/** Counts start anew from here on: configurations change what services call. */
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
