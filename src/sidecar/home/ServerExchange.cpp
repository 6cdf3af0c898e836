#include "src/sidecar/home/ServerExchange.h"

#include "include/limit/NestedCallTracker.h"
#include "platform/ServerDialect.h"
#include "src/node/NodeCore.h"
#include "src/sidecar/home/ServerPresence.h"

namespace waxwing {

namespace {

/** No server can respond in less time than this. */
constexpr Millis minTimeLeft{5};
/** Maximum idle time of a reused connection: servers close theirs after about ten seconds, some sooner. */
constexpr Millis maxIdle{5000};
/** The same for work that can't be retried (not idempotent): it uses a recently used connection or a new one. */
constexpr Millis maxIdleNonIdempotent{2500};

} // namespace

ServerExchange::ServerExchange(NodeCore &core, SlotQueue &queue, ServerPresence &server, WorkTable &works,
                               NestedCallTracker &nestedCalls)
    : core_(core)
    , server_(server)
    , works_(works)
    , nestedCalls_(nestedCalls)
    , evaluator_(core, queue, server)
{ }

void ServerExchange::setFlow(ServerMemoryGate &memory, std::uint64_t maxResponseBytes,
                             std::function<bool()> holdsTooMuch)
{
    evaluator_.setMemory(memory);
    maxResponseBytes_ = maxResponseBytes;
    holdsTooMuch_ = std::move(holdsTooMuch);
}

void ServerExchange::run(HomeJob &job)
{
    const Announcement *serving = server_.serving();
    const SteadyTime now = core_.clock.now();
    const auto left = millisOf(job.deadline - now);
    if (serving == nullptr || left < minTimeLeft) {
        job.refuse(serving == nullptr ? "no-server" : "too-late");
        return;
    }
    if (holdsTooMuch_ && holdsTooMuch_()) {
        job.refuse(nodeBytesReason);
        return;
    }
    works_.noteRunning(job.key);
    job.reply.server = serving->server;
    job.incarnation = serving->incarnation;
    job.reply.reachedServer = true;
    ExchangeCancel cancel;
    ExchangeOptions options;
    options.timeout = left;
    options.cancel = &cancel;
    options.maxResponseBytes = maxResponseBytes_.value_or(options.maxResponseBytes);
    options.maxIdle = job.work.idempotent ? maxIdle : maxIdleNonIdempotent;
    options.requestId = platform::requestIdOf(job.work.request);
    options.matchResponse = [this, &options](const HttpResponse &response) {
        const ResponseMatch match = platform::matchResponse(response, options.requestId);
        if (match != ResponseMatch::Matches) {
            core_.metrics.count(match == ResponseMatch::OtherRequest ? "server_responses_to_other_requests"
                                                                     : "server_responses_unidentified");
        }
        return match;
    };
    const HttpRequest forwarded = platform::addServerHeaders(job.work.request, serving->server, left);
    if (job.work.idempotent) {
        job.control->interrupt = [&cancel] { cancel.cancel(); };
    }
    nestedCalls_.begin(job.id, job.work.route, job.work.priority, now);
    const auto response = core_.client.exchange(core_.settings.server->address, forwarded, options);
    job.callFailed = nestedCalls_.hadFailedCall(job.id);
    nestedCalls_.end(job.id, core_.clock.now());
    job.reply.calls = nestedCalls_.rates(job.work.route);
    job.control->interrupt = {};
    const Duration processingTime = core_.clock.now() - now;
    job.reply.processingTime = millisOf(processingTime);
    evaluator_.evaluate(job, response, processingTime);
}

} // namespace waxwing
