#include "include/settings/NodeSettings.h"

#include "include/base/Ids.h"
#include "include/base/JsonReader.h"

#include <arpa/inet.h>
#include <charconv>
#include <limits>
#include <tuple>

namespace waxwing {

namespace {

constexpr Millis minDuration{1};
constexpr Millis maxDuration = std::chrono::hours(24);

bool isIpAddress(const std::string &text)
{
    in6_addr scratch{};
    return inet_pton(AF_INET, text.c_str(), &scratch) == 1 || inet_pton(AF_INET6, text.c_str(), &scratch) == 1;
}

Endpoint requiredEndpoint(JsonReader &reader, const std::string &key, Findings &findings)
{
    const std::string text = reader.requiredText(key);
    return text.empty() ? Endpoint{} : parseEndpoint(text, reader.placeOf(key), findings);
}

void readListen(const nlohmann::json &value, NodeSettings &settings, Findings &findings)
{
    JsonReader reader(value, "/listen", findings);
    settings.callers = requiredEndpoint(reader, "callers", findings);
    settings.peers = requiredEndpoint(reader, "peers", findings);
    settings.operators = requiredEndpoint(reader, "operators", findings);
    settings.advertisedPeers = settings.peers;
    if (reader.has("advertisedPeers")) {
        settings.advertisedPeers = requiredEndpoint(reader, "advertisedPeers", findings);
    }
    if (reader.has("readiness")) {
        settings.readiness = requiredEndpoint(reader, "readiness", findings);
    }
    if (reader.has("metrics")) {
        settings.metrics = requiredEndpoint(reader, "metrics", findings);
    }
    reader.rejectUnknown();
    const bool sameAsOperators = settings.callers.port != 0 && settings.callers == settings.operators;
    if (sameAsOperators || (settings.peers.port != 0 && settings.callers == settings.peers)
        || (settings.peers.port != 0 && settings.operators == settings.peers)) {
        findings.add("/listen", "callers, peers and operators must differ");
    }
}

void readServer(const nlohmann::json &value, NodeSettings &settings, Findings &findings)
{
    if (value.is_null()) {
        return;
    }
    JsonReader reader(value, "/server", findings);
    LocalServer server;
    server.service = reader.requiredText("service");
    server.address = requiredEndpoint(reader, "address", findings);
    reader.rejectUnknown();
    settings.server = std::move(server);
    if (settings.readiness.address.empty()) {
        findings.add("/listen/readiness", "is required with a /server");
    }
}

void readLimits(const nlohmann::json &value, NodeLimits &limits, Findings &findings)
{
    if (value.is_null()) {
        return;
    }
    constexpr std::int64_t million = 1000000;
    JsonReader reader(value, "/limits", findings);
    const auto read = [&](const char *key, auto &field, std::int64_t min, std::int64_t max) {
        field =
            static_cast<std::decay_t<decltype(field)>>(reader.integer(key, static_cast<std::int64_t>(field), min, max));
    };
    read("memoryMegabytes", limits.memoryMegabytes, NodeLimits::minMemoryMegabytes, million);
    read("bodyBytes", limits.bodyBytes, 1024, 64 * million);
    read("headerBytes", limits.headerBytes, 1024, million);
    read("callerConnections", limits.callerConnections, 1, million);
    read("pipelinedRequests", limits.pipelinedRequests, 1, 1000);
    read("pipelinedBytes", limits.pipelinedBytes, 1024, 64 * million);
    read("queuePerClass", limits.queuePerClass, 1, 100000);
    read("claims", limits.claims, 1, 10 * million);
    read("claimAnswerBytes", limits.claimAnswerBytes, 0, 1024 * million);
    read("fleetKeyWritesPerSecond", limits.fleetKeyWritesPerSecond, 0, 1000);
    read("fleetPledgeCallsPerSecond", limits.fleetPledgeCallsPerSecond, 1, 10000);
    read("regionBytesPerSecond", limits.regionBytesPerSecond, 0, 10000 * million);
    reader.rejectUnknown();
}

void readTimes(const nlohmann::json &value, NodeTimes &times, Findings &findings)
{
    if (value.is_null()) {
        return;
    }
    JsonReader reader(value, "/times", findings);
    const auto read = [&](const char *key, Millis &field) {
        field = reader.duration(key, field, minDuration, maxDuration);
    };
    read("ticketValidity", times.ticketValidity);
    read("announceTimeout", times.announceTimeout);
    read("ping", times.ping);
    read("pingTimeout", times.pingTimeout);
    read("antiEntropy", times.antiEntropy);
    read("watch", times.watch);
    read("stopWithin", times.stopWithin);
    read("firstEjection", times.firstEjection);
    read("ramp", times.ramp);
    reader.rejectUnknown();
    if (times.pingTimeout <= times.ping) {
        findings.add("/times/pingTimeout", "must be longer than /times/ping");
    }
}

void readWaiting(const nlohmann::json &value, WaitingSettings &waiting, Findings &findings)
{
    if (value.is_null()) {
        return;
    }
    constexpr std::int64_t maxRequests = 100000;
    JsonReader reader(value, "/waiting", findings);
    waiting.minObjective = reader.duration("minObjective", waiting.minObjective, Millis(0), maxDuration);
    waiting.maxRequests =
        static_cast<std::uint32_t>(reader.integer("maxRequests", waiting.maxRequests, 0, maxRequests));
    waiting.limitedCustomers = reader.boolean("limitedCustomers", waiting.limitedCustomers);
    reader.rejectUnknown();
}

void readFlow(const nlohmann::json &value, FlowSettings &flow, Findings &findings)
{
    if (value.is_null()) {
        return;
    }
    constexpr std::int64_t minBytes = 64L * 1024;
    constexpr std::int64_t maxBytes = 1024L * 1024 * 1024;
    JsonReader reader(value, "/flow", findings);
    const auto read = [&](const char *key, std::uint64_t &field) {
        field = static_cast<std::uint64_t>(reader.integer(key, static_cast<std::int64_t>(field), minBytes, maxBytes));
    };
    read("connectionBytes", flow.connectionBytes);
    read("nodeBytes", flow.nodeBytes);
    flow.stall = reader.duration("stall", flow.stall, minDuration, maxDuration);
    reader.rejectUnknown();
    if (flow.connectionBytes > flow.nodeBytes) {
        findings.add("/flow/connectionBytes", "must be at most /flow/nodeBytes");
    }
}

void readNestedCalls(const nlohmann::json &value, NestedCallSettings &nestedCalls, Findings &findings)
{
    if (value.is_null()) {
        return;
    }
    JsonReader reader(value, "/nestedCalls", findings);
    nestedCalls.admission = reader.boolean("admission", nestedCalls.admission);
    reader.rejectUnknown();
}

void readRetries(const nlohmann::json &value, RetrySettings &retries, Findings &findings)
{
    if (value.is_null()) {
        return;
    }
    JsonReader reader(value, "/retries", findings);
    retries.usableShare = reader.number("usableShare", retries.usableShare, 0.0, 1.0);
    retries.usableSlack = reader.number("usableSlack", retries.usableSlack, 0.0, 1.0);
    reader.rejectUnknown();
}

void readContracts(const nlohmann::json &value, std::set<std::string> &contracts, Findings &findings)
{
    if (!value.is_null() && !value.is_array()) {
        findings.add("/contracts", "must be a list of names");
    }
    for (std::size_t i = 0; value.is_array() && i < value.size(); ++i) {
        if (value[i].is_string()) {
            contracts.insert(value[i].get<std::string>());
        } else {
            findings.add("/contracts/" + std::to_string(i), "must be a string");
        }
    }
}

} // namespace

std::string Endpoint::text() const
{
    return address + ":" + std::to_string(port);
}

bool Endpoint::operator<(const Endpoint &other) const
{
    return std::tie(address, port) < std::tie(other.address, other.port);
}

bool Endpoint::operator==(const Endpoint &other) const
{
    return port == other.port && address == other.address;
}

Endpoint parseEndpoint(const std::string &text, const std::string &place, Findings &findings)
{
    Endpoint endpoint;
    const std::size_t colon = text.rfind(':');
    const char *end = text.data() + text.size();
    unsigned port = 0;
    const bool hasPort = colon != std::string::npos && colon + 1 < text.size();
    const auto parsed = hasPort ? std::from_chars(text.data() + colon + 1, end, port) : std::from_chars_result{};
    endpoint.address = text.substr(0, colon);
    if (!hasPort || parsed.ec != std::errc() || parsed.ptr != end || port > std::numeric_limits<std::uint16_t>::max()
        || !isIpAddress(endpoint.address)) {
        findings.add(place, "must be an IP address and a port such as 127.0.0.1:8080, not \"" + text + "\"");
        return {};
    }
    endpoint.port = static_cast<std::uint16_t>(port);
    return endpoint;
}

NodeSettings parseNodeSettings(const std::string &text, const std::string &source, Findings &findings)
{
    NodeSettings settings;
    const nlohmann::json document = parseJsonWithComments(text, source, findings);
    if (!findings.empty()) {
        return settings;
    }
    JsonReader reader(document, "", findings);
    settings.node = reader.requiredText("node");
    settings.zone = reader.requiredText("zone");
    settings.region = reader.requiredText("region");
    if (!settings.node.empty() && !isValidName(settings.node)) {
        findings.add("/node", "must be 1 to 63 letters, digits, '-', '_' or '.'");
    }
    if (!reader.has("listen")) {
        findings.add("/listen", "is missing");
    }
    const nlohmann::json &listen = reader.child("listen");
    if (!listen.is_null()) {
        readListen(listen, settings, findings);
    }
    readServer(reader.child("server"), settings, findings);
    const nlohmann::json &bounds = reader.child("bounds");
    settings.bounds = bounds.is_null() ? "" : bounds.dump();
    settings.objectApi = requiredEndpoint(reader, "objectApi", findings);
    const nlohmann::json &seeds = reader.child("seeds");
    if (!seeds.is_null() && !seeds.is_array()) {
        findings.add("/seeds", "must be a list of endpoints");
    }
    for (std::size_t i = 0; seeds.is_array() && i < seeds.size(); ++i) {
        const std::string place = "/seeds/" + std::to_string(i);
        if (!seeds[i].is_string()) {
            findings.add(place, "must be a string");
            continue;
        }
        settings.seeds.push_back(parseEndpoint(seeds[i].get<std::string>(), place, findings));
    }
    readLimits(reader.child("limits"), settings.limits, findings);
    readTimes(reader.child("times"), settings.times, findings);
    readWaiting(reader.child("waiting"), settings.waiting, findings);
    readFlow(reader.child("flow"), settings.flow, findings);
    readNestedCalls(reader.child("nestedCalls"), settings.nestedCalls, findings);
    readRetries(reader.child("retries"), settings.retries, findings);
    settings.bootstrap = reader.boolean("bootstrap", settings.bootstrap);
    readContracts(reader.child("contracts"), settings.contracts, findings);
    reader.rejectUnknown();
    return settings;
}

} // namespace waxwing
