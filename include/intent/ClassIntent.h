#pragma once

#include "include/base/Clock.h"
#include "include/base/Findings.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace waxwing {

/** How an intent weighs detection time against false ejections. */
enum class EjectionPolicy {
    /** Favors fast detection: a server is ejected on little evidence. */
    Fast,
    Balanced,
    /** Favors few false ejections: a server is ejected only on strong evidence. */
    Careful,
};

const char *ejectionPolicyName(EjectionPolicy policy);

/**
 * Selects requests whose method is listed (any method if the list is empty) and whose path begins with the prefix. The
 * prefix matches whole path segments only.
 */
struct RouteRule {
    std::vector<std::string> methods;
    std::string prefix;
};

/**
 * Healthy capacity that must stay in service: a number of servers or a share of the servers that announced themselves.
 */
struct CapacityFloor {
    std::uint32_t servers = 0;
    double share = 0.0;
};

/** An operator's intent for one class of work. Immutable after parsing. */
struct ClassIntent {
    std::string name;
    std::vector<RouteRule> routes;
    bool idempotent = false;
    /** A request with a longer response time counts as late. */
    Millis responseTime{1000};
    /** Share of requests that must succeed within the response time. */
    double successRate = 0.99;
    CapacityFloor floor;
    EjectionPolicy policy = EjectionPolicy::Balanced;
    /** Deadline of requests that specify none. */
    Millis deadline{5000};
};

/** All classes of one service. Operators write it as one document, which is validated as a whole. */
struct ServiceIntent {
    std::string service;
    std::vector<ClassIntent> classes;

    /** Returns the class of a request by longest matching prefix, or null if none matches. */
    const ClassIntent *classFor(const std::string &method, const std::string &path) const;
    const ClassIntent *classNamed(const std::string &name) const;
    /** Returns a floor that satisfies every class: the highest server count and the highest share of any class. */
    CapacityFloor strictestFloor() const;
};

/** Newest version of the document format that this build reads. */
constexpr int intentSchema = 1;

/**
 * Parses and validates one service's intents. Every fault is added to @p findings with its JSON pointer; the result is
 * meaningful only if none was added. Thread safe.
 */
ServiceIntent parseServiceIntent(const std::string &service, const nlohmann::json &document, Findings &findings);

} // namespace waxwing
