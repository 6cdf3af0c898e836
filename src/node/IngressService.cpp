#include "src/node/IngressService.h"

#include "include/base/JsonReader.h"
#include "src/fiber/FiberLoop.h"
#include "src/link/PeerHub.h"
#include "src/node/ClaimService.h"
#include "src/node/DispatchService.h"
#include "src/node/HomeService.h"
#include "src/node/IntentService.h"
#include "src/node/NodeCore.h"

#include <algorithm>
#include <charconv>

namespace waxwing {

namespace {

constexpr const char *outcomeHeader = "Waxwing-Outcome";
constexpr const char *reasonHeader = "Waxwing-Reason";
constexpr const char *retryAfterMsHeader = "Waxwing-Retry-After-Ms";
const std::string reservedPrefix = "/.waxwing/";
constexpr std::size_t maxKeyBytes = 256;
constexpr std::size_t maxCustomerBytes = 128;
constexpr unsigned firstServerError = 500;

std::string withoutPort(std::string_view host)
{
    return std::string(host.substr(0, host.find(':')));
}

std::string serviceOf(const HttpRequest &request)
{
    const std::string_view named = headerValue(request.headers, "Waxwing-Service");
    return named.empty() ? withoutPort(headerValue(request.headers, "Host")) : std::string(named);
}

/** Returns the HTTP status for a request that has no server response to return. */
unsigned statusOf(const ExecReply &reply)
{
    if (reply.reason == "request-ends-servers" || reply.reason == "other-request") {
        return 422;
    }
    if (reply.reason == "malformed-ticket") {
        return 400;
    }
    if (reply.reason == "answer-not-kept" || reply.reason == "in-doubt" || reply.reason == "ticket-expired") {
        return 409;
    }
    if (reply.outcome == Outcome::NotRun) {
        return reply.reason == "queue-full" ? 429 : 503;
    }
    return 504;
}

std::string retryAfterSeconds(Millis wait)
{
    constexpr std::int64_t second = 1000;
    return std::to_string((wait.count() + second - 1) / second);
}

} // namespace

struct IngressService::Admitted {
    std::shared_ptr<const ServiceIntent> intent;
    const ClassIntent *cls = nullptr;
    std::string key;
    Exec exec;
};

IngressService::IngressService(NodeCore &core)
    : core_(core)
{ }

HttpReply IngressService::refuse(unsigned status, const std::string &reason, const std::string &message,
                                 Millis retryAfter)
{
    core_.metrics.count("refused_" + reason);
    HttpReply reply;
    const nlohmann::json body = {{"outcome", "not-run"}, {"reason", reason}, {"message", message}};
    reply.response = jsonResponse(status, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n");
    reply.response.headers.emplace_back(outcomeHeader, "not-run");
    reply.response.headers.emplace_back(reasonHeader, reason);
    if (retryAfter > Millis(0)) {
        reply.response.headers.emplace_back("Retry-After", retryAfterSeconds(retryAfter));
        reply.response.headers.emplace_back(retryAfterMsHeader, std::to_string(retryAfter.count()));
    }
    return reply;
}

HttpReply IngressService::handle(HttpRequest request, const CallerWatchPtr &caller)
{
    const SteadyTime started = core_.clock.now();
    if (request.target.compare(0, reservedPrefix.size(), reservedPrefix) == 0) {
        if (request.target != "/.waxwing/ticket" || request.method != "POST") {
            return refuse(404, "unknown-path", "POST /.waxwing/ticket is the only path here", Millis(0));
        }
        return HttpReply{
            jsonResponse(200, "{\"ticket\":\"" + core_.service<ClaimService>("claims").issueTicket() + "\"}\n"),
            AfterResponse::KeepOpen};
    }
    if (core_.draining) {
        return refuse(503, "stopping", "this node is stopping; another one will serve you", Millis(200));
    }
    Admitted admitted;
    const std::string service = serviceOf(request);
    IntentService &intents = core_.service<IntentService>("intents");
    admitted.intent = intents.find(service);
    if (!admitted.intent) {
        if (!intents.hasAny()) {
            return refuse(503, "no-configuration", "this node has not learned any configuration yet", Millis(500));
        }
        return refuse(404, "unknown-service", "no service named " + service + " (header Host or Waxwing-Service)",
                      Millis(0));
    }
    admitted.cls = admitted.intent->classFor(request.method, request.target);
    if (admitted.cls == nullptr) {
        return refuse(404, "unknown-class",
                      "no class of " + service + " takes " + request.method + " " + request.target, Millis(0));
    }
    Exec &exec = admitted.exec;
    exec.service = service;
    exec.className = admitted.cls->name;
    exec.customer = std::string(headerValue(request.headers, "Waxwing-Customer")).substr(0, maxCustomerBytes);
    exec.remaining = admitted.cls->deadline;
    const std::string_view deadline = headerValue(request.headers, "Waxwing-Deadline-Ms");
    if (!deadline.empty()) {
        std::int64_t ms = 0;
        const auto parsed = std::from_chars(deadline.data(), deadline.data() + deadline.size(), ms);
        if (parsed.ec != std::errc() || parsed.ptr != deadline.data() + deadline.size() || ms <= 0) {
            return refuse(400, "malformed-deadline", "Waxwing-Deadline-Ms is a whole number of milliseconds",
                          Millis(0));
        }
        exec.remaining = std::min(exec.remaining, Millis(ms));
    }
    if (!admitted.cls->idempotent) {
        admitted.key = std::string(headerValue(request.headers, "Idempotency-Key"));
        if (admitted.key.size() > maxKeyBytes) {
            return refuse(400, "malformed-key", "Idempotency-Key is longer than 256 bytes", Millis(0));
        }
    }
    exec.request = std::move(request);
    ++running_;
    ExecReply reply = runAdmitted(admitted, caller);
    --running_;
    return makeReply(admitted, std::move(reply), core_.clock.now() - started);
}

ExecReply IngressService::runAdmitted(const Admitted &admitted, const CallerWatchPtr &caller)
{
    if (!admitted.key.empty()) {
        // A request with a key continues after its caller disconnects, because the caller may resend it and must then
        // get the same response.
        return core_.service<ClaimService>("claims").run(admitted.key, admitted.exec, *admitted.cls);
    }
    const auto control = std::make_shared<RunControl>();
    caller->onDisconnect = [control] { control->cancel(); };
    return core_.service<DispatchService>("dispatch").run(admitted.exec, *admitted.cls, control);
}

void IngressService::record(const Admitted &admitted, const ExecReply &reply, Duration took)
{
    BurnResult result = BurnResult::Good;
    if (reply.outcome == Outcome::NotRun) {
        result = BurnResult::Refused;
    } else if (reply.outcome == Outcome::Unknown) {
        result = BurnResult::Unknown;
    } else if (reply.response.status >= firstServerError) {
        result = BurnResult::Failed;
    } else if (took > admitted.cls->responseTime) {
        result = BurnResult::Late;
    }
    core_.service<BurnRecorder>("burn").record(admitted.exec.service, admitted.exec.className, result);
    core_.metrics.count(std::string("outcome_") + outcomeName(reply.outcome));
    core_.metrics.observe("request", took);
}

HttpReply IngressService::makeReply(const Admitted &admitted, ExecReply reply, Duration took)
{
    record(admitted, reply, took);
    if (reply.outcome != Outcome::Ran) {
        core_.events.write(Severity::Info, "request_not_answered",
                           {{"service", admitted.exec.service},
                            {"class", admitted.exec.className},
                            {"outcome", outcomeName(reply.outcome)},
                            {"reason", reply.reason},
                            {"server", reply.server},
                            {"customer", admitted.exec.customer},
                            {"key", admitted.key}});
    }
    HttpReply out;
    const bool hasResponse = reply.outcome == Outcome::Ran && reply.reason.empty();
    if (hasResponse) {
        out.response = std::move(reply.response);
    } else {
        const nlohmann::json body = {{"outcome", outcomeName(reply.outcome)}, {"reason", reply.reason}};
        out.response = jsonResponse(statusOf(reply), body.dump() + "\n");
        out.response.headers.emplace_back(reasonHeader, reply.reason);
    }
    out.response.headers.emplace_back(outcomeHeader, outcomeName(reply.outcome));
    if (!reply.server.empty()) {
        out.response.headers.emplace_back("Waxwing-Server", reply.server);
    }
    if (!hasResponse && reply.retryAfter > Millis(0)) {
        out.response.headers.emplace_back("Retry-After", retryAfterSeconds(reply.retryAfter));
        out.response.headers.emplace_back(retryAfterMsHeader, std::to_string(reply.retryAfter.count()));
    }
    return out;
}

void IngressService::handleExec(LinkId link, const Exec &exec)
{
    spawnFiber([this, link, exec] {
        ExecReply reply;
        // The reply if the class is unknown here, in which case the request is not run now. The owner of a ticket can't
        // rule out an earlier attempt and reports Unknown; a home reports NotRun.
        reply.outcome = exec.stage == ExecStage::Claim ? Outcome::Unknown : Outcome::NotRun;
        reply.reason = "unknown-class";
        reply.retryAfter = Millis(500);
        const auto intent = core_.service<IntentService>("intents").find(exec.service);
        const ClassIntent *cls = intent ? intent->classNamed(exec.className) : nullptr;
        if (cls != nullptr && exec.stage == ExecStage::Claim) {
            reply = core_.service<ClaimService>("claims").claimLocally(exec, *cls);
        } else if (cls != nullptr) {
            const auto control = std::make_shared<RunControl>();
            remote_[{link, exec.id}] = control;
            reply = core_.service<HomeService>("homes").run(exec, control);
            remote_.erase({link, exec.id});
        }
        reply.id = exec.id;
        core_.service<PeerHub>("peers").reply(link, reply);
    });
}

void IngressService::handleCancel(LinkId link, std::uint64_t id)
{
    const auto found = remote_.find({link, id});
    if (found != remote_.end()) {
        found->second->cancel();
    }
}

std::size_t IngressService::running() const
{
    return running_;
}

} // namespace waxwing
