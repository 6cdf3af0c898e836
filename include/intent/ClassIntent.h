#pragma once

#include "include/base/Clock.h"
#include "include/base/Findings.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace waxwing {

/** How detection time is weighed against false ejections, in the words of an intent. */
enum class EjectionPolicy {
    /** Detection time counts more: a sick server leaves on little evidence. */
    Fast,
    Balanced,
    /** False ejections count more: a server leaves only on strong evidence. */
    Careful,
};

const char *ejectionPolicyName(EjectionPolicy policy);

/** Requests that belong to a class: those whose method is listed (none: all) and whose path begins with the prefix. */
struct RouteRule {
    std::vector<std::string> methods;
    std::string prefix;
};

/** How much healthy capacity must stay in service: a count of servers or a share of those that announced. */
struct CapacityFloor {
    std::uint32_t servers = 0;
    double share = 0.0;
};

/** What an operator wants for one class of work. Immutable after parsing. */
struct ClassIntent {
    std::string name;
    std::vector<RouteRule> routes;
    bool idempotent = false;
    /** A request that takes longer is late. */
    Millis responseTime{1000};
    /** Share of requests that must succeed in time. */
    double successRate = 0.99;
    CapacityFloor floor;
    EjectionPolicy policy = EjectionPolicy::Balanced;
    /** A request that names no deadline gets this one. */
    Millis deadline{5000};
};

/** Every class of one service; the unit that operators write and that is checked as a whole. */
struct ServiceIntent {
    std::string service;
    std::vector<ClassIntent> classes;

    /** The class for a request, by longest matching prefix; null if none matches. */
    const ClassIntent *classFor(const std::string &method, const std::string &path) const;
    const ClassIntent *classNamed(const std::string &name) const;
    /** The floor that satisfies every class. */
    CapacityFloor strictestFloor() const;
};

/** Version of the document format that this build reads. */
constexpr int intentSchema = 1;

/**
 * Reads and checks one service's intents. Every fault is added to @p findings with its JSON pointer; the result is
 * meaningful only if none was added. Thread safe.
 */
ServiceIntent parseServiceIntent(const std::string &service, const nlohmann::json &document, Findings &findings);

} // namespace waxwing
