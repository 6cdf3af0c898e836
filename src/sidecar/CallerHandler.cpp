#include "src/sidecar/CallerHandler.h"

#include "include/fleet/Freshness.h"
#include "include/report/BurnRecorder.h"
#include "platform/CallerDialect.h"
#include "src/http/ResponseFlow.h"
#include "src/node/NodeCore.h"
#include "src/sidecar/Forwarder.h"
#include "src/sidecar/LocalHome.h"
#include "src/sidecar/config/ConfigSync.h"
#include "src/sidecar/limits/QuotaService.h"

#include <algorithm>

namespace waxwing {

namespace {

constexpr unsigned badRequest = 400;
constexpr unsigned firstClientError = 400;
constexpr unsigned unauthorized = 401;
constexpr unsigned noRoute = 404;
constexpr unsigned tooManyRequests = 429;
constexpr unsigned badGateway = 502;
constexpr unsigned unavailable = 503;
constexpr unsigned gatewayTimeout = 504;
/** A node without a configuration receives one within about this time. */
constexpr Millis noConfigRetryAfter{1000};
/** The same for a node that cannot confirm its configuration. */
constexpr Millis notConfirmedRetryAfter{1000};
constexpr Millis minQuotaRetryAfter{50};
/** Responses that use up the memory for bodies are sent within about this time. */
constexpr Millis nodeBytesRetryAfter{1000};
/** Bounds the wait of a request whose configuration changes each time while it waits for a grant. */
constexpr int maxJudgements = 3;

unsigned statusOf(const ForwardResult &result)
{
    if (result.outcome == Outcome::NotRun) {
        return result.reason == keyRevokedReason ? unauthorized : unavailable;
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

CallerHandler::CallerHandler(NodeCore &core, const KeyAdmissionTuning &keyAdmission)
    : core_(core)
    , keyAdmission_(keyAdmission)
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
                            {"ageMs", age ? std::to_string(millisOf(*age).count()) : ""},
                            {"draining", core_.draining ? "yes" : "no"}});
    }
    return HttpReply{jsonResponse(ready ? ok : unavailable, "{}\n"), AfterResponse::KeepOpen};
}

void CallerHandler::configChanged()
{
    balancer_.clear();
}

void CallerHandler::setFlow(std::shared_ptr<ResponseFlow> flow)
{
    flow_ = std::move(flow);
}

std::optional<CallerHandler::Refusal> CallerHandler::reserveBytes(const ForwardJob &job, const CallerWatchPtr &caller)
{
    if (core_.memory->isExceeded()) {
        return Refusal{unavailable, job.requestId, nodeBytesReason, nodeBytesRetryAfter, "", ""};
    }
    if (!flow_) {
        return std::nullopt;
    }
    caller->requestId = job.requestId;
    caller->reservation = flow_->reserve(job.route->name, job.request.body.size());
    if (caller->reservation) {
        return std::nullopt;
    }
    // The callers that are refused at one time return spread over twice the expected time.
    std::uniform_real_distribution<double> spread(1.0, 2.0);
    const auto retryAfter =
        std::chrono::duration_cast<Millis>(flow_->retryAfter(job.route->name) * spread(core_.random));
    return Refusal{unavailable, job.requestId, nodeBytesReason, retryAfter, "", ""};
}

void CallerHandler::releaseBytes(const CallerWatchPtr &caller)
{
    if (flow_ && caller->reservation) {
        flow_->release(*caller->reservation);
        caller->reservation.reset();
    }
}

HttpReply CallerHandler::refuse(const Refusal &refusal)
{
    const ConfigSync &config = core_.service<ConfigSync>("config");
    const std::optional<Duration> age = config.provenAge();
    core_.metrics.count("refused_" + refusal.reason);
    core_.events.writeRequest(Severity::Warning, "refused",
                              {{"request", refusal.requestId},
                               {"status", std::to_string(refusal.status)},
                               {"reason", refusal.reason},
                               {"customer", refusal.customer},
                               {"config", std::to_string(config.version())},
                               {"provenAgeMs", age ? std::to_string(millisOf(*age).count()) : ""},
                               {"decidedBy", refusal.decidedBy},
                               {"retryAfterMs", std::to_string(refusal.retryAfter.count())}});
    return HttpReply{platform::errorResponse(refusal.status, refusal.requestId, refusal.reason, refusal.retryAfter),
                     AfterResponse::KeepOpen};
}

Admission CallerHandler::admit(const FleetConfig &config, const Route &route, const Credential &credential) const
{
    const std::optional<Duration> age = core_.service<ConfigSync>("config").provenAge();
    return admitCaller(config, AdmissionQuery{route, credential, age}, keyAdmission_);
}

std::optional<CallerHandler::Refusal> CallerHandler::admitCustomer(ForwardJob &job, const Credential &credential)
{
    job.priority = job.route->priority;
    job.recheckKey = nullptr;
    if (!job.config->requiresKeys) {
        return std::nullopt;
    }
    platform::removeCredential(job.request);
    const Admission admission = admit(*job.config, *job.route, credential);
    if (admission.result == AdmissionResult::Unauthorized) {
        return Refusal{unauthorized, job.requestId, admission.reason, Millis(0), "", ""};
    }
    if (admission.result == AdmissionResult::Unconfirmed) {
        return Refusal{unavailable, job.requestId, admission.reason, notConfirmedRetryAfter, "", ""};
    }
    if (!admission.customer) {
        return std::nullopt;
    }
    const Customer &customer = *admission.customer;
    if (!job.customer.empty()) {
        if (customer.name != job.customer) {
            return Refusal{unauthorized, job.requestId, keyRevokedReason, Millis(0), job.customer, ""};
        }
        setCustomer(job, customer, credential);
        return std::nullopt;
    }
    const QuotaVerdict verdict = core_.service<QuotaService>("quotas").admit(customer);
    if (!verdict.admitted) {
        const Millis retryAfter = std::max(minQuotaRetryAfter, verdict.retryAfter);
        return Refusal{tooManyRequests,  job.requestId, "quota", retryAfter, std::string(customer.name),
                       verdict.decidedBy};
    }
    job.countedAt = verdict.countedAt;
    platform::addCustomer(job.request, customer.name);
    job.customer = customer.name;
    setCustomer(job, customer, credential);
    return std::nullopt;
}

void CallerHandler::setCustomer(ForwardJob &job, const Customer &customer, const Credential &credential)
{
    job.priority = customer.priority.value_or(job.route->priority);
    job.recheckKey = [this, credential, route = job.route, name = job.customer] {
        const std::shared_ptr<const FleetConfig> current = core_.service<ConfigSync>("config").current();
        const Admission again = admit(*current, *route, credential);
        const bool movedToOther = again.customer && again.customer->name != name;
        return movedToOther ? AdmissionResult::Unauthorized : again.result;
    };
}

std::optional<CallerHandler::Refusal> CallerHandler::judge(ForwardJob &job, const platform::CallerRequest &request)
{
    const ConfigSync &config = core_.service<ConfigSync>("config");
    if (!config.current()) {
        return Refusal{unavailable, job.requestId, "no-configuration", noConfigRetryAfter, "", ""};
    }
    // A newer configuration can come into force while a request waits for its grant, and applies to it then.
    for (int i = 0; i < maxJudgements && job.config != config.current(); ++i) {
        if (std::optional<Refusal> refusal = judgeBy(config.current(), job, request)) {
            return refusal;
        }
    }
    return std::nullopt;
}

std::optional<CallerHandler::Refusal> CallerHandler::judgeBy(const std::shared_ptr<const FleetConfig> &config,
                                                             ForwardJob &job, const platform::CallerRequest &request)
{
    job.config = config;
    job.route = config->routeFor(request.host, job.request.target);
    if (job.route == nullptr) {
        return Refusal{noRoute, job.requestId, "no-route", Millis(0), "", ""};
    }
    const Millis timeout = job.route->timeout;
    job.deadline = job.arrived + std::min(timeout, request.timeout.value_or(timeout));
    return admitCustomer(job, request.credential);
}

HttpReply CallerHandler::handle(HttpRequest request, const CallerWatchPtr &caller)
{
    const auto job = std::make_shared<ForwardJob>();
    job->arrived = core_.clock.now();
    Expected<platform::CallerRequest> decoded =
        platform::decodeCallerRequest(std::move(request), core_.settings.server->service);
    if (!decoded) {
        return refuse(Refusal{badRequest, "", decoded.error().message, Millis(0), "", ""});
    }
    job->requestId = decoded->id;
    job->request = std::move(decoded->forward);
    std::optional<Refusal> refusal = judge(*job, *decoded);
    refusal = refusal ? refusal : reserveBytes(*job, caller);
    if (refusal) {
        giveBackQuota(*job);
        return refuse(*refusal);
    }
    const Route &route = *job->route;
    job->service = balancer_.pick(route);
    job->control = std::make_shared<RunControl>();
    if (caller->disconnected) {
        job->control->cancel();
    }
    caller->onDisconnect = [control = job->control] { control->cancel(); };
    return answer(*job, core_.service<Forwarder>("forwarder").run(job), caller);
}

void CallerHandler::giveBackQuota(const ForwardJob &job)
{
    if (job.countedAt) {
        core_.service<QuotaService>("quotas").giveBack(job.customer, *job.countedAt);
    }
}

HttpReply CallerHandler::answer(const ForwardJob &job, ForwardResult result, const CallerWatchPtr &caller)
{
    const Duration took = core_.clock.now() - job.arrived;
    const Route &route = *job.route;
    if (result.outcome == Outcome::NotRun) {
        giveBackQuota(job);
    }
    core_.service<BurnRecorder>("burn").record(job.service, route.name, burnResultOf(result, took, route));
    core_.metrics.count(std::string("outcome_") + outcomeName(result.outcome));
    core_.metrics.observe("request", took);
    const bool hasResponse = result.outcome == Outcome::Ran;
    const unsigned status = hasResponse ? result.response.status : statusOf(result);
    core_.events.writeRequest(status >= firstClientError ? Severity::Warning : Severity::Info, "answered",
                              {{"request", job.requestId},
                               {"route", route.name},
                               {"service", job.service},
                               {"customer", job.customer},
                               {"priority", std::to_string(job.priority)},
                               {"objectiveMs", std::to_string(route.responseTime.count())},
                               {"config", std::to_string(job.config->version)},
                               {"outcome", outcomeName(result.outcome)},
                               {"status", std::to_string(status)},
                               {"reason", result.reason},
                               {"callerGone", job.control->cancelled ? "yes" : "no"},
                               {"tookMs", std::to_string(millisOf(took).count())}});
    if (status >= firstClientError) {
        releaseBytes(caller);
    }
    if (hasResponse) {
        return HttpReply{std::move(result.response), AfterResponse::KeepOpen};
    }
    return HttpReply{platform::errorResponse(status, job.requestId, result.reason, result.retryAfter),
                     AfterResponse::KeepOpen};
}

} // namespace waxwing
