#include "tests/support/ReferenceConfigDecoder.h"

#include "include/base/JsonReader.h"
#include "platform/Names.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <limits>
#include <set>

namespace waxwing::testing {

namespace names = platform::names;

namespace {

using nlohmann::json;

/** A route without a timeout waits as long as its caller does. A day is beyond any deadline in use. */
constexpr std::int64_t defaultTimeoutMs = 24LL * 3600 * 1000;

/** The largest that a Work can carry beside the ranks of nested calls. */
constexpr std::int64_t maxPriority = 250;
constexpr double maxRatePerSecond = 1e7;
constexpr double maxBurst = 1e8;
constexpr std::int64_t maxWeight = 1000000;

/** Every integer up to this magnitude is exact as a double, and no duration in milliseconds overflows. */
constexpr double maxInteger = 1e12;

/**
 * Returns a number field as an integer within maxInteger, also if it is written as 15000.0; @p fallback if there is
 * none.
 */
std::int64_t integerOr(JsonReader &reader, const std::string &key, std::int64_t fallback)
{
    const json &value = reader.child(key);
    return value.is_number() ? static_cast<std::int64_t>(std::clamp(value.get<double>(), -maxInteger, maxInteger))
                             : fallback;
}

/** Returns a limit from 1 to @p max; @p fallback, with a warning, for a number outside. */
std::int64_t limitOr(JsonReader &reader, const std::string &key, std::int64_t max, std::int64_t fallback,
                     Findings &warnings)
{
    const std::int64_t number = integerOr(reader, key, fallback);
    if (number < 1 || number > max) {
        warnings.add(reader.placeOf(key), "must be a number from 1 to " + std::to_string(max));
        return fallback;
    }
    return number;
}

std::uint64_t decodeVersion(const std::string &text, Findings &findings)
{
    std::uint64_t number = 0;
    const char *end = text.data() + text.size();
    const bool tagged = text.size() > 1 && text[0] == 'r';
    const auto parsed = tagged ? std::from_chars(text.data() + 1, end, number) : std::from_chars_result{};
    if (!tagged || parsed.ec != std::errc() || parsed.ptr != end) {
        findings.add("/version", "must be 'r' and a number, not \"" + text + "\"");
    }
    return number;
}

CallerLimits decodeLimits(const json &value, Findings &findings, Findings &warnings)
{
    CallerLimits limits;
    if (value.is_null()) {
        return limits;
    }
    constexpr std::int64_t maxHeaderBytes = std::numeric_limits<std::uint32_t>::max();
    constexpr auto maxBytes = static_cast<std::int64_t>(maxInteger);
    constexpr std::int64_t maxTimeoutMs = Millis(std::chrono::hours(24)).count();
    JsonReader reader(value, "/limits", findings);
    limits.headerBytes =
        static_cast<std::uint32_t>(limitOr(reader, "max_header_bytes", maxHeaderBytes, limits.headerBytes, warnings));
    limits.bodyBytes = static_cast<std::uint64_t>(
        limitOr(reader, "max_body_bytes", maxBytes, static_cast<std::int64_t>(limits.bodyBytes), warnings));
    limits.headerTimeout =
        Millis(limitOr(reader, "header_timeout_ms", maxTimeoutMs, limits.headerTimeout.count(), warnings));
    limits.idleTimeout = Millis(limitOr(reader, "idle_timeout_ms", maxTimeoutMs, limits.idleTimeout.count(), warnings));
    return limits;
}

std::vector<WeightedService> decodeServices(JsonReader &action, Findings &findings)
{
    std::vector<WeightedService> services;
    const json &weighted = action.child("weighted_services");
    if (weighted.is_array()) {
        for (std::size_t i = 0; i < weighted.size(); ++i) {
            JsonReader entry(weighted[i], action.placeOf("weighted_services") + "/" + std::to_string(i), findings);
            const std::string service = entry.requiredText("service");
            const auto weight =
                static_cast<std::uint32_t>(std::clamp<std::int64_t>(integerOr(entry, "weight", 1), 0, maxWeight));
            if (weight > 0) {
                services.push_back(WeightedService{service, weight});
            }
        }
    }
    const std::string service = action.text("service", "");
    if (services.empty() && !service.empty()) {
        services.push_back(WeightedService{service, 1});
    }
    if (services.empty()) {
        findings.add(action.placeOf("service"), "a route needs a service");
    }
    return services;
}

/**
 * Returns whether requests of this kind may run more than once. An unknown kind may be one that must not: its routes
 * are served, each request at most once, and the operator gets a warning.
 */
bool decodeIdempotent(JsonReader &rule, Findings &warnings)
{
    const std::string kind = rule.requiredText("kind");
    if (kind == names::retryableKind || kind == names::largeResponseKind) {
        return true;
    }
    if (kind != names::nonRetryableKind) {
        warnings.add(rule.placeOf("kind"), "unknown kind \"" + kind + "\": its requests are never repeated");
    }
    return false;
}

Route decodeRule(const json &value, const std::string &host, const std::string &place, Findings &findings,
                 Findings &warnings)
{
    Route route;
    JsonReader rule(value, place, findings);
    route.host = host;
    route.idempotent = decodeIdempotent(rule, warnings);
    route.responseTime = Millis(integerOr(rule, "target_latency_ms", route.responseTime.count()));
    route.priority = static_cast<int>(std::clamp<std::int64_t>(integerOr(rule, "priority", 0), 0, maxPriority));
    const json &isPublic = rule.child("public");
    route.isPublic = isPublic.is_boolean() && isPublic.get<bool>();
    JsonReader match(rule.child("match"), place + "/match", findings);
    route.prefix = match.requiredText("path_prefix");
    route.name = rule.text("name", host + route.prefix);
    JsonReader action(rule.child("action"), place + "/action", findings);
    route.timeout = Millis(integerOr(action, "timeout_ms", defaultTimeoutMs));
    route.maxAttempts = static_cast<int>(std::clamp<std::int64_t>(integerOr(action, "max_attempts", 1), 1, 100));
    route.services = decodeServices(action, findings);
    return route;
}

/** Returns a number from 0 to @p max; a number outside counts as 0, with a warning. */
double limitOrZero(JsonReader &reader, const std::string &key, double max, Findings &warnings)
{
    const json &value = reader.child(key);
    if (value.is_null()) {
        return 0.0;
    }
    const double number = value.is_number() ? value.get<double>() : -1.0;
    if (!(number >= 0.0 && number <= max)) {
        warnings.add(reader.placeOf(key), "must be a number from 0 to " + std::to_string(static_cast<long>(max)));
        return 0.0;
    }
    return number;
}

/** Returns the keys that can be used. The messages name places only, never keys. */
std::vector<std::string> decodeKeys(JsonReader &reader, Findings &warnings)
{
    std::vector<std::string> keys;
    const json &list = reader.child("api_keys");
    for (std::size_t i = 0; list.is_array() && i < list.size(); ++i) {
        const std::string place = reader.placeOf("api_keys") + "/" + std::to_string(i);
        const std::string key = list[i].is_string() ? list[i].get<std::string>() : std::string();
        if (key.empty() || key.size() > CustomerTable::maxKeyBytes) {
            warnings.add(place, "must be a text of 1 to 255 bytes");
        } else if (keys.size() == CustomerTable::maxKeysPerCustomer) {
            warnings.add(place, "more than 255 keys");
        } else {
            keys.push_back(key);
        }
    }
    return keys;
}

/**
 * Reads the customers. A fault in one of them is a warning: the others must not wait for it, least of all a key that is
 * taken away. What is faulty is not used: its keys are unknown, a faulty limit is none.
 */
void decodeCustomers(const json &list, FleetConfig &config)
{
    Findings &warnings = config.warnings;
    std::set<std::string> names;
    std::vector<std::string> places;
    for (std::size_t i = 0; i < list.size(); ++i) {
        const std::string place = "/tenants/" + std::to_string(i);
        JsonReader reader(list[i], place, warnings);
        const std::string name = reader.requiredText("name");
        if (name.empty() || name.size() > CustomerTable::maxNameBytes || !names.insert(name).second) {
            warnings.add(place + "/name", "must be a text of 1 to 255 bytes that no other customer has");
            continue;
        }
        Customer customer;
        customer.name = name;
        if (reader.has("priority")) {
            customer.priority =
                static_cast<int>(std::clamp<std::int64_t>(integerOr(reader, "priority", 0), 0, maxPriority));
        }
        customer.quota.ratePerSecond = limitOrZero(reader, "rate_per_s", maxRatePerSecond, warnings);
        customer.quota.burst = limitOrZero(reader, "burst", maxBurst, warnings);
        config.customers.add(customer, decodeKeys(reader, warnings));
        places.push_back(place);
    }
    for (const KeyConflict &conflict : config.customers.finish()) {
        warnings.add(places.at(conflict.customer), "a key of it is also another customer's; it belongs to neither");
    }
}

} // namespace

FleetConfig decodeConfigFromTree(const std::string &document, Findings &findings)
{
    FleetConfig config;
    const json value = parseJsonWithComments(document, "config", findings);
    if (!findings.empty()) {
        return config;
    }
    JsonReader reader(value, "", findings);
    config.version = decodeVersion(reader.requiredText("version"), findings);
    config.limits = decodeLimits(reader.child("limits"), findings, config.warnings);
    config.source = document;
    const json &customers = reader.child("tenants");
    config.requiresKeys = customers.is_array();
    if (config.requiresKeys) {
        decodeCustomers(customers, config);
    } else if (!customers.is_null()) {
        findings.add("/tenants", "must be a list");
    }
    const json &listeners = reader.child("listeners");
    if (!listeners.is_array()) {
        findings.add("/listeners", "must be a list");
        return config;
    }
    for (std::size_t i = 0; i < listeners.size(); ++i) {
        const std::string place = "/listeners/" + std::to_string(i);
        JsonReader listener(listeners[i], place, findings);
        const std::string host = listener.requiredText("host");
        const json &rules = listener.child("rules");
        for (std::size_t j = 0; rules.is_array() && j < rules.size(); ++j) {
            config.addRoute(
                decodeRule(rules[j], host, place + "/rules/" + std::to_string(j), findings, config.warnings));
        }
    }
    return config;
}

} // namespace waxwing::testing
