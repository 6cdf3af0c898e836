#pragma once

#include "include/fleet/FleetConfig.h"

#include <map>
#include <string>

namespace waxwing {

/**
 * Divides the requests of each route among its parts by weight. Smooth weighted round robin: after n requests no part
 * is more than one request away from its share, which a random draw would need thousands of requests for.
 * Not thread safe.
 */
class WeightedRoundRobin
{
public:
    /** The service for the next request of @p route. @pre it has a part. */
    const std::string &pick(const Route &route);
    /** Forgets the routes' positions, as for a new configuration. */
    void clear();

private:
    std::map<std::string, std::map<std::string, std::int64_t>> credits_;
};

} // namespace waxwing
