#include "src/sidecar/CallerHandler.h"

#include "include/fleet/Freshness.h"
#include "include/report/BurnRecorder.h"
#include "platform/CallerDialect.h"
#include "src/node/NodeCore.h"
#include "src/sidecar/ConfigSync.h"
#include "src/sidecar/Forwarder.h"

#include <algorithm>

namespace waxwing {

namespace {

constexpr unsigned badRequest = 400;
constexpr unsigned firstClientError = 400;
constexpr unsigned noRoute = 404;
constexpr unsigned badGateway = 502;
constexpr unsigned unavailable = 503;
constexpr unsigned gatewayTimeout = 504;
/** A node without a configuration receives one within about this time. */
constexpr Millis noConfigRetryAfter{1000};

Millis toMillis(Duration value)
{
    return std::chrono::duration_cast<Millis>(value);
}

unsigned statusOf(const ForwardResult &result)
{
    if (result.outcome == Outcome::NotRun) {
        return unavailable;
    }
    return result.reason == "timeout" || result.reason == "server-timeout" ? gatewayTimeout : badGateway;
}

BurnResult burnResultOf(const ForwardResult &result, Duration took, const Route &route)
{
    constexpr unsigned firstServerError = 500;
    if (result.outcome == Outcome::NotRun) {
        return BurnResult::Refused;
    }
    if (result.outcome == Outcome::Unknown) {
        return BurnResult::Unknown;
    }
    if (result.response.status >= firstServerError) {
        return BurnResult::Failed;
    }
    return took > route.responseTime ? BurnResult::Late : BurnResult::Good;
}

} // namespace

CallerHandler::CallerHandler(NodeCore &core)
    : core_(core)
{ }

HttpReply CallerHandler::handleReadiness(const HttpRequest &request)
{
    constexpr unsigned ok = 200;
    if (!platform::isReadinessCheck(request)) {
        return HttpReply{jsonResponse(noRoute, "{\"error\":\"unknown path\"}\n"), AfterResponse::KeepOpen};
    }
    ConfigSync &config = core_.service<ConfigSync>("config");
    const std::uint64_t version = config.version();
    const SteadyTime now = core_.clock.now();
    const bool ready = !core_.draining && version > 0 && config.freshness().mayServeCallers(now, lastReady_);
    if (ready != lastReady_) {
        lastReady_ = ready;
        const std::optional<Duration> age = config.freshness().age(now);
        core_.events.write(Severity::Info, ready ? "node_ready" : "node_not_ready",
                           {{"config", std::to_string(version)},
                            {"ageMs", age ? std::to_string(toMillis(*age).count()) : ""},
                            {"draining", core_.draining ? "yes" : "no"}});
    }
    return HttpReply{jsonResponse(ready ? ok : unavailable, "{}\n"), AfterResponse::KeepOpen};
}

void CallerHandler::configChanged()
{
    balancer_.clear();
}

HttpReply CallerHandler::refuse(unsigned status, const std::string &requestId, const std::string &reason,
                                Millis retryAfter)
{
    core_.metrics.count("refused_" + reason);
    core_.events.writeRequest(Severity::Warning, "refused",
                              {{"request", requestId}, {"status", std::to_string(status)}, {"reason", reason}});
    return HttpReply{platform::errorResponse(status, requestId, reason, retryAfter), AfterResponse::KeepOpen};
}

HttpReply CallerHandler::handle(HttpRequest request, const CallerWatchPtr &caller)
{
    const auto job = std::make_shared<ForwardJob>();
    job->arrived = core_.clock.now();
    Expected<platform::CallerRequest> decoded =
        platform::decodeCallerRequest(std::move(request), core_.settings.server->service);
    if (!decoded) {
        return refuse(badRequest, "", decoded.error().message, Millis(0));
    }
    job->requestId = decoded->id;
    job->config = core_.service<ConfigSync>("config").current();
    if (!job->config) {
        return refuse(unavailable, job->requestId, "no-configuration", noConfigRetryAfter);
    }
    job->route = job->config->routeFor(decoded->host, decoded->forward.target);
    if (job->route == nullptr) {
        return refuse(noRoute, job->requestId, "no-route", Millis(0));
    }
    const Route &route = *job->route;
    job->service = balancer_.pick(route);
    job->request = std::move(decoded->forward);
    job->deadline = job->arrived + std::min(route.timeout, decoded->timeout.value_or(route.timeout));
    job->control = std::make_shared<RunControl>();
    caller->onDisconnect = [control = job->control] { control->cancel(); };
    ForwardResult result = core_.service<Forwarder>("forwarder").run(job);
    const Duration took = core_.clock.now() - job->arrived;
    core_.service<BurnRecorder>("burn").record(job->service, route.name, burnResultOf(result, took, route));
    core_.metrics.count(std::string("outcome_") + outcomeName(result.outcome));
    core_.metrics.observe("request", took);
    const bool hasResponse = result.outcome == Outcome::Ran;
    const unsigned status = hasResponse ? result.response.status : statusOf(result);
    core_.events.writeRequest(status >= firstClientError ? Severity::Warning : Severity::Info, "answered",
                              {{"request", job->requestId},
                               {"route", route.name},
                               {"service", job->service},
                               {"config", std::to_string(job->config->version)},
                               {"outcome", outcomeName(result.outcome)},
                               {"status", std::to_string(status)},
                               {"reason", result.reason},
                               {"callerGone", job->control->cancelled ? "yes" : "no"},
                               {"tookMs", std::to_string(toMillis(took).count())}});
    if (hasResponse) {
        return HttpReply{std::move(result.response), AfterResponse::KeepOpen};
    }
    return HttpReply{platform::errorResponse(status, job->requestId, result.reason, result.retryAfter),
                     AfterResponse::KeepOpen};
}

} // namespace waxwing
