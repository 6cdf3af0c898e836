#include "include/intent/ClassIntent.h"

#include "include/base/Ids.h"
#include "include/base/JsonReader.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace waxwing {

namespace {

constexpr std::uint32_t maxFloorServers = 100000;
constexpr std::size_t maxRoutesPerClass = 1000;

bool namesWeightOrAddress(const std::string &key)
{
    static const std::vector<std::string> forbidden = {"weight",  "weights",  "address",   "addresses", "server",
                                                       "servers", "endpoint", "endpoints", "host",      "hosts"};
    return std::find(forbidden.begin(), forbidden.end(), key) != forbidden.end();
}

/**
 * Rejects weights and server addresses with a finding of their own: operators state intents, and the system itself
 * derives weights and learns addresses.
 */
void rejectWeightsAndAddresses(const nlohmann::json &value, const std::string &place, Findings &findings)
{
    if (!value.is_object()) {
        return;
    }
    for (const auto &item : value.items()) {
        if (namesWeightOrAddress(item.key())) {
            findings.add(place + "/" + item.key(), "weights and server addresses can't be set: write an intent "
                                                   "instead; servers announce their own addresses");
        }
    }
}

CapacityFloor parseFloor(const std::string &text, const std::string &place, Findings &findings)
{
    CapacityFloor floor;
    if (text.empty()) {
        return floor;
    }
    if (text.back() == '%') {
        const auto share = parsePercentage(text);
        if (!share) {
            findings.add(place, share.error().message);
            return floor;
        }
        floor.share = *share;
        return floor;
    }
    const std::string unit = " servers";
    const std::size_t at = text.find(unit);
    const bool digits = at != std::string::npos && at > 0 && at <= 6 && at + unit.size() == text.size()
                        && std::all_of(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(at),
                                       [](char c) { return c >= '0' && c <= '9'; });
    const unsigned long count = digits ? std::stoul(text.substr(0, at)) : 0;
    if (!digits || count > maxFloorServers) {
        findings.add(place, "must be a count such as \"8 servers\" or a share such as \"60%\"");
        return floor;
    }
    floor.servers = static_cast<std::uint32_t>(count);
    return floor;
}

EjectionPolicy parseEjectionPolicy(const std::string &text, const std::string &place, Findings &findings)
{
    for (const EjectionPolicy policy : {EjectionPolicy::Fast, EjectionPolicy::Balanced, EjectionPolicy::Careful}) {
        if (text == ejectionPolicyName(policy)) {
            return policy;
        }
    }
    findings.add(place, "must be \"fast\", \"balanced\" or \"careful\"");
    return EjectionPolicy::Balanced;
}

RouteRule parseRoute(const nlohmann::json &value, const std::string &place, Findings &findings)
{
    RouteRule rule;
    JsonReader reader(value, place, findings);
    rejectWeightsAndAddresses(value, place, findings);
    rule.prefix = reader.requiredText("prefix");
    if (rule.prefix.empty() || rule.prefix.front() != '/') {
        findings.add(reader.placeOf("prefix"), "must begin with /");
    }
    const nlohmann::json &methods = reader.child("methods");
    if (!methods.is_null() && !methods.is_array()) {
        findings.add(reader.placeOf("methods"), "must be a list of methods");
    }
    for (std::size_t i = 0; methods.is_array() && i < methods.size(); ++i) {
        if (!methods[i].is_string()) {
            findings.add(reader.placeOf("methods") + "/" + std::to_string(i), "must be a string");
            continue;
        }
        rule.methods.push_back(methods[i].get<std::string>());
    }
    reader.rejectUnknown();
    return rule;
}

ClassIntent parseClass(const std::string &name, const nlohmann::json &value, const std::string &place,
                       Findings &findings)
{
    ClassIntent intent;
    intent.name = name;
    if (!isValidName(name)) {
        findings.add(place, "a class name is 1 to 63 letters, digits, '-', '_' or '.'");
    }
    JsonReader reader(value, place, findings);
    rejectWeightsAndAddresses(value, place, findings);
    const nlohmann::json &routes = reader.child("routes");
    if (!routes.is_array() || routes.empty() || routes.size() > maxRoutesPerClass) {
        findings.add(reader.placeOf("routes"),
                     "must be a list of 1 to " + std::to_string(maxRoutesPerClass) + " routes");
    } else {
        for (std::size_t i = 0; i < routes.size(); ++i) {
            const std::string routePlace = reader.placeOf("routes") + "/" + std::to_string(i);
            intent.routes.push_back(parseRoute(routes[i], routePlace, findings));
        }
    }
    if (!reader.has("idempotent")) {
        findings.add(reader.placeOf("idempotent"), "is missing: state whether a request may safely run twice");
    }
    intent.idempotent = reader.boolean("idempotent", false);
    intent.responseTime = reader.duration("responseTime", intent.responseTime, Millis(1), std::chrono::hours(1));
    intent.successRate = reader.percentage("successRate", intent.successRate);
    intent.floor =
        parseFloor(reader.text("healthyCapacityFloor", "50%"), reader.placeOf("healthyCapacityFloor"), findings);
    intent.policy = parseEjectionPolicy(reader.text("ejection", "balanced"), reader.placeOf("ejection"), findings);
    intent.deadline = reader.duration("deadline", std::max<Millis>(intent.deadline, intent.responseTime * 2), Millis(1),
                                      std::chrono::hours(1));
    if (intent.deadline < intent.responseTime) {
        findings.add(reader.placeOf("deadline"), "is shorter than responseTime");
    }
    reader.rejectUnknown();
    return intent;
}

void rejectSharedRoutes(const ServiceIntent &intent, Findings &findings)
{
    std::map<std::string, std::string> owners;
    for (const ClassIntent &one : intent.classes) {
        for (std::size_t i = 0; i < one.routes.size(); ++i) {
            const RouteRule &rule = one.routes[i];
            const std::vector<std::string> methods =
                rule.methods.empty() ? std::vector<std::string>{"*"} : rule.methods;
            for (const std::string &method : methods) {
                const auto [place, isNew] = owners.emplace(method + " " + rule.prefix, one.name);
                if (!isNew) {
                    findings.add("/classes/" + one.name + "/routes/" + std::to_string(i),
                                 method + " " + rule.prefix + " already belongs to class " + place->second);
                }
            }
        }
    }
}

bool matches(const RouteRule &rule, const std::string &method, const std::string &path)
{
    if (path.compare(0, rule.prefix.size(), rule.prefix) != 0) {
        return false;
    }
    const bool wholeSegment = path.size() == rule.prefix.size() || rule.prefix.back() == '/'
                              || path[rule.prefix.size()] == '/' || path[rule.prefix.size()] == '?';
    const bool methodListed =
        rule.methods.empty() || std::find(rule.methods.begin(), rule.methods.end(), method) != rule.methods.end();
    return wholeSegment && methodListed;
}

/**
 * Returns the precedence of a matching rule: the longer prefix wins; between equal prefixes, the rule that lists
 * methods.
 */
std::size_t specificity(const RouteRule &rule)
{
    return rule.prefix.size() * 2 + (rule.methods.empty() ? 0 : 1);
}

} // namespace

const char *ejectionPolicyName(EjectionPolicy policy)
{
    switch (policy) {
    case EjectionPolicy::Fast:
        return "fast";
    case EjectionPolicy::Balanced:
        return "balanced";
    case EjectionPolicy::Careful:
        return "careful";
    }
    return "balanced";
}

const ClassIntent *ServiceIntent::classFor(const std::string &method, const std::string &path) const
{
    const ClassIntent *best = nullptr;
    std::size_t bestScore = 0;
    for (const ClassIntent &candidate : classes) {
        for (const RouteRule &rule : candidate.routes) {
            if (specificity(rule) > bestScore && matches(rule, method, path)) {
                best = &candidate;
                bestScore = specificity(rule);
            }
        }
    }
    return best;
}

const ClassIntent *ServiceIntent::classNamed(const std::string &name) const
{
    const auto found =
        std::find_if(classes.begin(), classes.end(), [&](const ClassIntent &one) { return one.name == name; });
    return found == classes.end() ? nullptr : &*found;
}

CapacityFloor ServiceIntent::strictestFloor() const
{
    CapacityFloor floor;
    for (const ClassIntent &one : classes) {
        floor.servers = std::max(floor.servers, one.floor.servers);
        floor.share = std::max(floor.share, one.floor.share);
    }
    return floor;
}

ServiceIntent parseServiceIntent(const std::string &service, const nlohmann::json &document, Findings &findings)
{
    ServiceIntent intent;
    intent.service = service;
    if (!isValidName(service)) {
        findings.add("/", "a service name is 1 to 63 letters, digits, '-', '_' or '.'");
    }
    JsonReader reader(document, "", findings);
    if (!document.is_object()) {
        return intent;
    }
    rejectWeightsAndAddresses(document, "", findings);
    const std::int64_t schema = reader.integer("schema", intentSchema, 1, std::numeric_limits<std::int64_t>::max());
    if (schema > intentSchema) {
        findings.add("/schema", "version " + std::to_string(schema) + " is newer than this build reads ("
                                    + std::to_string(intentSchema) + ")");
        return intent;
    }
    // Allowed but not used here: waxwingctl identifies its own write by this id if the response is lost.
    reader.text("operation", {});
    const nlohmann::json &classes = reader.child("classes");
    if (!classes.is_object() || classes.empty()) {
        findings.add("/classes", "must be an object with at least one class");
    } else {
        for (const auto &item : classes.items()) {
            intent.classes.push_back(parseClass(item.key(), item.value(), "/classes/" + item.key(), findings));
        }
    }
    reader.rejectUnknown();
    rejectSharedRoutes(intent, findings);
    return intent;
}

} // namespace waxwing
