#pragma once

#include "include/base/Clock.h"
#include "include/base/Findings.h"
#include "include/fleet/CustomerTable.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace waxwing {

/** A service of a route and the weight of its share of the requests. */
struct WeightedService {
    std::string service;
    /** Relative to the weights of the route's other services. */
    std::uint32_t weight = 1;
};

/** A class of work as the operator declares it: its requests and the service levels promised to them. */
struct Route {
    std::string name;
    std::string host;
    /** Begins and ends with a slash. */
    std::string prefix;
    /** If false, a request runs at most once. */
    bool idempotent = false;
    /** A response within this time meets the service level; a later one counts as late. */
    Millis responseTime{1000};
    /** Time limit of a request, from its arrival. A caller can set a shorter one. */
    Millis timeout{5000};
    /** Maximum number of servers to which one request is sent, one after the other. */
    int maxAttempts = 1;
    /** 0 is the highest priority. A customer's own priority goes before it. */
    int priority = 0;
    /** Requests need no key. */
    bool isPublic = false;
    std::vector<WeightedService> services;
};

/** Limits on the size and duration of a caller's request. */
struct CallerLimits {
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 1024UL * 1024;
    Millis headerTimeout = std::chrono::seconds(3);
    Millis idleTimeout = std::chrono::seconds(15);
};

/** One version of the fleet's configuration. A value; immutable once built. */
class FleetConfig
{
public:
    /** Versions compare as numbers; 0 means none. */
    std::uint64_t version = 0;
    CallerLimits limits;
    /** Requests need a key of one of the customers, unless their route is public. */
    bool requiresKeys = false;
    CustomerTable customers;
    /** The published document, for nodes that fetch the configuration from this node. */
    std::string source;
    /** Problems that the operator should check but that do not keep the version from coming into force. */
    Findings warnings;

    void addRoute(Route route);
    /**
     * Returns the route of @p host (any case, with or without a port) with the longest prefix of @p target, or null.
     * Takes one lookup per path segment, so that 75,000 routes cost as much as ten. Thread safe.
     */
    const Route *routeFor(std::string_view host, std::string_view target) const;
    std::size_t routeCount() const;

private:
    std::unordered_map<std::string, std::unordered_map<std::string, Route>> routesByHost_;
    std::size_t routeCount_ = 0;
};

} // namespace waxwing
