#pragma once

#include "include/fleet/FleetConfig.h"

#include <map>
#include <string>

namespace waxwing {

/**
 * Divides the requests of each route among its services by weight. Smooth weighted round robin: each service stays
 * within a request or two of its share; random choice would need thousands of requests to come close. Not thread safe.
 */
class WeightedRoundRobin
{
public:
    /** Returns the service for the next request of @p route. @pre the route has a service. */
    const std::string &pick(const Route &route);
    /** Discards the state of all routes, as for a new configuration. */
    void clear();

private:
    std::map<std::string, std::map<std::string, std::int64_t>> credits_;
};

} // namespace waxwing
