#pragma once

#include "include/base/Clock.h"
#include "include/base/Findings.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace waxwing {

/** One of the services among which a route divides its requests. */
struct WeightedService {
    std::string service;
    /** Relative to the other parts of the route. */
    std::uint32_t weight = 1;
};

/** A class of work as the operator declares it: which requests belong to it and what they are promised. */
struct Route {
    std::string name;
    std::string host;
    /** Begins and ends with a slash. */
    std::string prefix;
    /** False: a request runs at most once. */
    bool idempotent = false;
    /** An answer within this time counts in full. */
    Millis responseTime{1000};
    /** The longest that a request is kept waiting. */
    Millis timeout{5000};
    /** Servers to which one request may be sent, one after the other. */
    int maxAttempts = 1;
    /** 0 is the most urgent. */
    int priority = 0;
    std::vector<WeightedService> services;
};

/** Bounds on what a caller may send and how long it may take. */
struct CallerLimits {
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 1024UL * 1024;
    Millis headerTimeout = std::chrono::seconds(3);
    Millis idleTimeout = std::chrono::seconds(15);
};

/** One version of the configuration of the whole fleet. Immutable once built; a value. */
class FleetConfig
{
public:
    /** Versions compare as numbers; 0 is none. */
    std::uint64_t version = 0;
    CallerLimits limits;
    /** The document as it was published, for nodes that learn it from this one. */
    std::string source;
    /** What the operator should look at, though the version is good enough to come into force. */
    Findings warnings;

    void addRoute(Route route);
    /**
     * The route of @p host (any case, with or without a port) with the longest prefix of @p target, or null.
     * Takes one look-up for each path segment, so that 75,000 routes cost as much as ten. Thread safe.
     */
    const Route *routeFor(std::string_view host, std::string_view target) const;
    std::size_t routeCount() const;

private:
    std::unordered_map<std::string, std::unordered_map<std::string, Route>> routesByHost_;
    std::size_t routeCount_ = 0;
};

} // namespace waxwing
