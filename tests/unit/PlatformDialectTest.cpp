#include "platform/CallerDialect.h"
#include "platform/ConfigDecoder.h"
#include "platform/DepartureRecord.h"
#include "platform/Names.h"
#include "platform/ServerDialect.h"
#include "src/sidecar/SidecarTuning.h"

#include <doctest/doctest.h>

using namespace waxwing;
using namespace waxwing::platform;

namespace {

HttpRequest callerRequest()
{
    return HttpRequest{"POST",
                       "/seats/7",
                       {{"Host", "desk.example"},
                        {names::requestId, "a1"},
                        {names::timeoutMs, "4000"},
                        {names::callerService, "forged"},
                        {names::expectedServer, "forged"},
                        {"Connection", "keep-alive"},
                        {"X-Other", "kept"}},
                       "body"};
}

HttpRequest serverCall(const std::string &call, const std::string &body)
{
    return HttpRequest{"POST", std::string(names::serverCalls) + "i-1/" + call, {}, body};
}

const std::string goodHeartbeat =
    R"({"service":"desk","address":"127.0.0.1:8080","zone":"z","version":"v1","slots":3,"state":"ready",)"
    R"("cold_remaining_ms":1500.5,"sequence":4,"born":1700000000000})";

std::string heartbeatWith(const std::string &from, const std::string &to)
{
    std::string text = goodHeartbeat;
    text.replace(text.find(from), from.size(), to);
    return text;
}

bool isRefused(const std::string &body)
{
    const auto call = decodeServerCall(serverCall(names::heartbeatCall, body));
    return call && !*call;
}

HttpResponse serverResponse(unsigned status, HeaderList headers)
{
    return HttpResponse{status, std::move(headers), "x"};
}

const std::string document = R"({"version":"r12",
 "limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000.0},
 "listeners":[{"host":"desk.example","rules":[
  {"name":"browse","kind":"safe","target_latency_ms":1000,"priority":2,"match":{"path_prefix":"/dates/"},
   "action":{"weighted_services":[{"service":"desk","weight":90},{"service":"desk2","weight":10}],
             "timeout_ms":1500.0,"max_attempts":2}},
  {"name":"book","kind":"unsafe","target_latency_ms":1000,"priority":1,"match":{"path_prefix":"/seats/"},
   "action":{"service":"desk","max_attempts":2}}]}],
 "clusters":[{"name":"desk","health_path":"/healthz","max_connections":390}],"unknown":{}})";

} // namespace

TEST_CASE("caller dialect, request, is decoded without the caller's values of headers that the system sets")
{
    const auto decoded = decodeCallerRequest(callerRequest(), "desk");
    REQUIRE(decoded);
    CHECK(decoded->id == "a1");
    CHECK(decoded->host == "desk.example");
    CHECK(decoded->timeout == Millis(4000));
    const HeaderList &headers = decoded->forward.headers;
    CHECK(headerValue(headers, names::callerService) == "desk");
    CHECK(headerValue(headers, names::expectedServer).empty());
    CHECK(headerValue(headers, names::timeoutMs).empty());
    CHECK(headerValue(headers, names::requestId) == "a1");
    CHECK(headerValue(headers, "X-Other") == "kept");
    CHECK(headerValue(headers, "Connection").empty());
}

TEST_CASE("caller dialect, missing id or timeout that is no number, reports the header at fault")
{
    HttpRequest request = callerRequest();
    request.headers[1].second = "";
    REQUIRE_FALSE(decodeCallerRequest(request, "desk"));
    request = callerRequest();
    request.headers[2].second = "4s";
    const auto decoded = decodeCallerRequest(request, "desk");
    REQUIRE_FALSE(decoded);
    CHECK(decoded.error().message.find(names::timeoutMs) != std::string::npos);
}

TEST_CASE("caller dialect, refusal, carries the id and the retry delay in fractions of seconds")
{
    const HttpResponse response = errorResponse(503, "a1", "no-room", Millis(350));
    CHECK(headerValue(response.headers, "Retry-After") == "0.350");
    CHECK(headerValue(response.headers, names::requestId) == "a1");
    CHECK(headerValue(errorResponse(404, "a1", "no-route", Millis(0)).headers, "Retry-After").empty());
}

TEST_CASE("server dialect, heartbeat, is decoded into an announcement")
{
    const auto call = decodeServerCall(serverCall(names::heartbeatCall, goodHeartbeat));
    REQUIRE(call);
    REQUIRE(*call);
    REQUIRE((*call)->heartbeat);
    const Announcement &heartbeat = *(*call)->heartbeat;
    CHECK(heartbeat.server == "i-1");
    CHECK(heartbeat.service == "desk");
    CHECK(heartbeat.port == 8080);
    CHECK(heartbeat.incarnation == 1700000000000);
    CHECK(heartbeat.sequence == 4);
    CHECK(heartbeat.cold == Millis(1500));
}

TEST_CASE("server dialect, heartbeat not written by a server, is refused")
{
    CHECK(isRefused("not json"));
    CHECK(isRefused("[]"));
    CHECK(isRefused(heartbeatWith("\"ready\"", "\"resting\"")));
    CHECK(isRefused(heartbeatWith("\"sequence\":4", "\"sequence\":\"4\"")));
    CHECK(isRefused(heartbeatWith("\"slots\":3", "\"slots\":-3")));
    CHECK(isRefused(heartbeatWith("\"slots\":3", "\"slots\":0")));
    CHECK(isRefused(heartbeatWith(",\"born\":1700000000000", "")));
    CHECK(isRefused(heartbeatWith("1700000000000", "1.5")));
    CHECK(isRefused(heartbeatWith("127.0.0.1:8080", "desk.example:8080")));
    CHECK(isRefused(heartbeatWith("\"service\":\"desk\",", "")));
}

TEST_CASE("server dialect, deregistration with or without the start time, names the process that leaves")
{
    const auto plain = decodeServerCall(serverCall(names::leaveCall, ""));
    REQUIRE((plain && *plain && (*plain)->deregistration));
    CHECK_FALSE((*plain)->deregistration->incarnation);
    const auto dated = decodeServerCall(serverCall(names::leaveCall, R"({"born":1700000000000})"));
    REQUIRE((dated && *dated && (*dated)->deregistration));
    CHECK((*dated)->deregistration->incarnation == 1700000000000);
    CHECK_FALSE(decodeServerCall(HttpRequest{"GET", "/v1/status", {}, ""}));
}

TEST_CASE("server dialect, responses, are classified by their headers and not by status alone")
{
    const std::pair<std::string, std::string> seal{names::signature, "s"};
    CHECK(classifyResponse(serverResponse(200, {seal})) == ServerResponse::Answer);
    CHECK(classifyResponse(serverResponse(404, {seal})) == ServerResponse::Answer);
    CHECK(classifyResponse(serverResponse(500, {seal})) == ServerResponse::Failure);
    CHECK(classifyResponse(serverResponse(503, {seal, {names::notRun, "1"}})) == ServerResponse::NotRun);
    CHECK(classifyResponse(serverResponse(503, {seal})) == ServerResponse::Failure);
    CHECK(classifyResponse(serverResponse(421, {})) == ServerResponse::OtherServer);
    CHECK(classifyResponse(serverResponse(200, {})) == ServerResponse::Unusable);
    CHECK(classifyResponse(serverResponse(200, {seal, {"Content-Encoding", "gzip"}})) == ServerResponse::Unusable);
}

TEST_CASE("server dialect, response that names another request, does not match this one")
{
    CHECK(matchResponse(serverResponse(200, {{names::requestId, "a1"}}), "a1") == ResponseMatch::Matches);
    CHECK(matchResponse(serverResponse(200, {{names::requestId, "a2"}}), "a1") == ResponseMatch::OtherRequest);
    CHECK(matchResponse(serverResponse(503, {}), "a1") == ResponseMatch::Unidentified);
}

TEST_CASE("configuration decoder, operator's document, becomes routes with their settings")
{
    Findings findings;
    const FleetConfig config = decodeConfig(document, findings);
    REQUIRE(findings.empty());
    CHECK(config.version == 12);
    CHECK(config.limits.bodyBytes == 67108864);
    CHECK(config.limits.idleTimeout == Millis(15000));
    const Route *browse = config.routeFor("desk.example", "/dates/1");
    REQUIRE(browse != nullptr);
    CHECK(browse->idempotent);
    CHECK(browse->timeout == Millis(1500));
    CHECK(browse->maxAttempts == 2);
    CHECK(browse->services.size() == 2);
    const Route *book = config.routeFor("desk.example", "/seats/1");
    REQUIRE(book != nullptr);
    CHECK_FALSE(book->idempotent);
    CHECK(book->services.front().service == "desk");
    CHECK(book->timeout > std::chrono::hours(1));
}

TEST_CASE("configuration decoder, faults, are reported together with their locations")
{
    Findings findings;
    decodeConfig(R"({"version":"12","listeners":[{"host":"h","rules":[{"kind":"safe","match":{},"action":{}}]}]})",
                 findings);
    const std::string text = findings.text();
    CHECK(text.find("/version") != std::string::npos);
    CHECK(text.find("/listeners/0/rules/0/match/path_prefix") != std::string::npos);
    CHECK(text.find("/listeners/0/rules/0/action/service") != std::string::npos);
}

// Guards against limits that wrap around: -1 bytes of body became 16 EiB, and a number beyond all integers is
// undefined.
TEST_CASE("configuration decoder, limits out of range, keep their defaults and are reported with their locations")
{
    Findings findings;
    const FleetConfig config = decodeConfig(
        R"({"version":"r1","limits":{"max_header_bytes":-1,"max_body_bytes":-1,"header_timeout_ms":1e300,
            "idle_timeout_ms":0},"listeners":[]})",
        findings);
    const CallerLimits defaults;
    CHECK(findings.empty());
    CHECK(config.limits.headerBytes == defaults.headerBytes);
    CHECK(config.limits.bodyBytes == defaults.bodyBytes);
    CHECK(config.limits.headerTimeout == defaults.headerTimeout);
    CHECK(config.limits.idleTimeout == defaults.idleTimeout);
    CHECK(config.warnings.all().size() == 4);
}

TEST_CASE("configuration decoder, kinds of requests, decide what may be retried and an unknown one is never retried")
{
    // Guards against downloads that are treated as work that must run once: they got no retry, and each gray server
    // lost some.
    const auto ruleOf = [](const std::string &kind) {
        return R"({"kind":")" + kind + R"(","match":{"path_prefix":"/)" + kind
               + R"(/"},"action":{"service":"s","max_attempts":2}})";
    };
    Findings findings;
    const FleetConfig config =
        decodeConfig(R"({"version":"r1","listeners":[{"host":"h","rules":[)" + ruleOf("safe") + "," + ruleOf("download")
                         + "," + ruleOf("unsafe") + "," + ruleOf("keyed") + "]}]}",
                     findings);
    CHECK(findings.empty());
    CHECK(config.routeFor("h", "/safe/1")->idempotent);
    CHECK(config.routeFor("h", "/download/1")->idempotent);
    CHECK_FALSE(config.routeFor("h", "/unsafe/1")->idempotent);
    CHECK_FALSE(config.routeFor("h", "/keyed/1")->idempotent);
    REQUIRE(config.warnings.all().size() == 1);
    CHECK(config.warnings.all().front().place == "/listeners/0/rules/3/kind");
}

TEST_CASE("departure record, notice of a server, is read as it was written")
{
    for (const ServerDeparture &departure :
         {ServerDeparture{"i1", 1764800000123ULL, std::nullopt}, ServerDeparture{"i1", 100, 7}}) {
        const auto read = decodeDeparture(encodeDeparture(departure));
        REQUIRE(read);
        CHECK(*read == departure);
    }
    for (const char *other : {"17", "{}", R"({"server":"i1"})", R"({"server":1,"born":2})",
                              R"({"server":"i1","born":2,"sequence":"x"})", "not JSON"}) {
        CHECK_FALSE(decodeDeparture(other));
    }
}

TEST_CASE("registry entry, encoded and decoded, is unchanged and a malformed one is rejected")
{
    const RegistryEntry entry{"n1", Endpoint{"10.1.0.5", 7380}, "z1", "r1", "desk", 0};
    const auto read = decodeRegistryEntry("n1", encodeRegistryEntry(entry), 9);
    REQUIRE(read);
    CHECK(read->links == entry.links);
    CHECK(read->service == "desk");
    CHECK(read->revision == 9);
    CHECK_FALSE(decodeRegistryEntry("n1", R"({"links":"nowhere","zone":"z","region":"r","service":"s"})", 9));
    CHECK_FALSE(decodeRegistryEntry("n1", "17", 9));
}

TEST_CASE("bounds decoder, list of texts or object, gives the same values")
{
    Findings findings;
    const FleetBounds texts = decodeBounds(R"(["grace_s=6","retry_budget_ratio=0.2","budget_slack=62"])", findings);
    const FleetBounds object = decodeBounds(R"({"grace_s":6,"retry_budget_ratio":0.2,"budget_slack":62})", findings);
    CHECK(findings.empty());
    CHECK(texts.stopGrace == Millis(6000));
    CHECK(texts.retryShare == object.retryShare);
    CHECK(texts.retrySlack == 62.0);
    CHECK(object.stopGrace == texts.stopGrace);
    decodeBounds(R"(["grace_s"])", findings);
    CHECK_FALSE(findings.empty());
}

// Guards against a retry budget that ignores the settings, with or without bounds of the platform.
TEST_CASE("retry tuning, fractions in the settings, are used with and without bounds")
{
    NodeSettings settings;
    Findings findings;
    CHECK(makeSidecarTuning(settings, findings).retry.usableShare == FleetRetryTuning().usableShare);
    CHECK(makeSidecarTuning(settings, findings).retry.usableSlack == FleetRetryTuning().usableSlack);
    settings.retries = RetrySettings{0.5, 0.3};
    for (const char *bounds : {"", R"(["budget_slack=62"])"}) {
        settings.bounds = bounds;
        const FleetRetryTuning retry = makeSidecarTuning(settings, findings).retry;
        CHECK(retry.usableShare == 0.5);
        CHECK(retry.usableSlack == 0.3);
    }
    CHECK(findings.empty());
}

TEST_CASE("flow control, part of the contract not in force, is off whatever the settings say")
{
    NodeSettings settings;
    settings.flow.nodeBytes = 7;
    Findings findings;
    CHECK(!makeSidecarTuning(settings, findings).flow);
    settings.contracts = {"other"};
    CHECK(!makeSidecarTuning(settings, findings).flow);
    settings.contracts = {"other", names::slowReading};
    const SidecarTuning tuning = makeSidecarTuning(settings, findings);
    REQUIRE(tuning.flow);
    CHECK(tuning.flow->nodeBytes == 7);
    CHECK(findings.empty());
}
