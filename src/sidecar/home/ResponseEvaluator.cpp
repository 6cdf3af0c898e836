#include "src/sidecar/home/ResponseEvaluator.h"

#include "include/base/Ids.h"
#include "include/home/SlotQueue.h"
#include "platform/ServerDialect.h"
#include "src/fiber/FiberLoop.h"
#include "src/node/NodeCore.h"
#include "src/node/PoisonService.h"
#include "src/sidecar/home/ServerMemoryGate.h"
#include "src/sidecar/home/ServerPresence.h"

namespace waxwing {

namespace {

/** How much more likely a gray server is than a healthy one to send no response by the deadline. */
constexpr double timeoutLikelihoodRatio = 8.0;
/** A timeout counts against the server only after this many times the route's expected work time. */
constexpr int timeoutWorkFactor = 4;

std::uint64_t digestOf(const Work &work)
{
    return requestDigest(work.service, work.request, platform::customerOf(work.request));
}

} // namespace

ResponseEvaluator::ResponseEvaluator(NodeCore &core, SlotQueue &queue, ServerPresence &server)
    : core_(core)
    , queue_(queue)
    , server_(server)
{
    server_.setStartHook([this](const Announcement &process) { confirmCrashes(process); });
}

void ResponseEvaluator::setMemory(ServerMemoryGate &memory)
{
    memory_ = &memory;
}

void ResponseEvaluator::evaluate(HomeJob &job, const tl::expected<HttpResponse, ExchangeError> &response,
                                 Duration processingTime)
{
    if (response) {
        handleResponse(job, *response, processingTime);
    } else {
        handleFailure(job, response.error(), processingTime);
    }
}

void ResponseEvaluator::handleResponse(HomeJob &job, const HttpResponse &response, Duration processingTime)
{
    const SteadyTime now = core_.clock.now();
    WorkReply &reply = job.reply;
    const platform::ServerResponse kind = platform::classifyResponse(response);
    const bool notRun = kind == platform::ServerResponse::NotRun || kind == platform::ServerResponse::OtherServer;
    if (memory_ != nullptr && !notRun) {
        memory_->noteCompleted();
    }
    if (kind == platform::ServerResponse::Answer || kind == platform::ServerResponse::Failure) {
        noteCompleted(job, response);
    }
    switch (kind) {
    case platform::ServerResponse::Answer:
        queue_.withdrawOverdue(job.id);
        queue_.addResult(job.work.route, false, processingTime, now);
        reply.outcome = Outcome::Ran;
        reply.response = response;
        break;
    case platform::ServerResponse::Failure:
        if (!job.callFailed) {
            addFailure(job, processingTime);
        }
        reply.outcome = Outcome::Ran;
        reply.serverFault = true;
        reply.response = response;
        break;
    case platform::ServerResponse::NotRun:
        queue_.noteShed(now);
        reply.outcome = Outcome::NotRun;
        reply.reason = "server-shed";
        break;
    case platform::ServerResponse::OtherServer:
        reply.outcome = Outcome::NotRun;
        reply.reason = "other-server";
        server_.noteReplaced(job.incarnation, "another server answers at its address");
        break;
    case platform::ServerResponse::Unusable:
        addFailure(job, processingTime);
        reply.outcome = Outcome::Unknown;
        reply.serverFault = true;
        reply.reason = "unusable-answer";
        break;
    }
}

void ResponseEvaluator::handleFailure(HomeJob &job, const ExchangeError &error, Duration processingTime)
{
    const SteadyTime now = core_.clock.now();
    WorkReply &reply = job.reply;
    reply.reason = std::string("server-") + exchangeFailureName(error.failure);
    if (!error.mayHaveSentBytes) {
        reply.outcome = Outcome::NotRun;
        reply.reachedServer = false;
        if (error.failure == ExchangeFailure::Connect) {
            // The port is closed, so the process has ended. A new process registers with a new heartbeat.
            server_.noteReplaced(job.incarnation, "connection refused");
        } else if (!job.control->cancelled && !queue_.isOverdue(job.id)) {
            queue_.addEvidence(timeoutLikelihoodRatio, processingTime, now);
        }
        return;
    }
    reply.outcome = Outcome::Unknown;
    reply.serverFault = true;
    // A hedge that succeeds elsewhere cancels the work that hangs here, which may be the only sign of the hang.
    queue_.noteOverdueWork(core_.clock.now());
    if (job.control->cancelled) {
        reply.reason = "cancelled";
        return;
    }
    if (error.failure == ExchangeFailure::Timeout) {
        // Until a request of the route has completed here, a timeout is no evidence against the server.
        const bool isNew = queue_.hasWorkTime(job.work.route) && !queue_.isOverdue(job.id);
        if (isNew && processingTime > timeoutWorkFactor * queue_.expectedWorkTime(job.work.route)) {
            queue_.addEvidence(timeoutLikelihoodRatio, processingTime, now);
        }
        return;
    }
    if (memory_ != nullptr && error.connectionEnded) {
        memory_->noteReset();
    }
    if (error.connectionEnded && detectCrash(job)) {
        return;
    }
    if (!error.onReusedConnection || error.failure != ExchangeFailure::Reset) {
        addFailure(job, processingTime);
    }
}

void ResponseEvaluator::addFailure(const HomeJob &job, Duration processingTime)
{
    // The silence of an overdue run is stronger evidence than the failure after it.
    if (!queue_.isOverdue(job.id)) {
        queue_.addResult(job.work.route, true, processingTime, core_.clock.now());
    }
}

bool ResponseEvaluator::detectCrash(const HomeJob &job)
{
    // A poison request crashes every server that runs it, and its caller retries it. A crash differs from a broken
    // connection in that no process listens at the server's address any more, or another one does.
    const bool stopped = core_.client.hasStoppedListening(core_.settings.server->address);
    const Announcement *latest = server_.latest();
    if (!stopped && (latest == nullptr || latest->incarnation <= job.incarnation)) {
        suspected_.add(SuspectedCrash{job.reply.server, job.incarnation, digestOf(job.work), core_.clock.now()});
        return false;
    }
    noteCrash(job.reply.server, job.incarnation, digestOf(job.work));
    server_.noteReplaced(job.incarnation, "its process ended");
    return true;
}

void ResponseEvaluator::noteCrash(const std::string &server, std::uint64_t incarnation, std::uint64_t digest)
{
    const std::string process = server + "@" + hexText(incarnation);
    if (!server_.isLeaving(incarnation)) {
        core_.service<PoisonService>("poison").noteDeath(digest, process);
    }
    if (memory_ != nullptr) {
        memory_->noteCrash(process);
    }
}

void ResponseEvaluator::noteCompleted(const HomeJob &job, const HttpResponse &response)
{
    const std::uint64_t digest = digestOf(job.work);
    if (!response.isCloseDelimited) {
        core_.service<PoisonService>("poison").noteCompleted(digest);
        return;
    }
    // The response may have ended because the process is ending. Its caller doesn't wait until that is known.
    spawnFiber([this, digest, server = job.reply.server, incarnation = job.incarnation] {
        sleepFor(core_.ioContext, HttpClient::exitGrace);
        if (core_.client.acceptsConnections(core_.settings.server->address, HttpClient::connectProbeTimeout)) {
            core_.service<PoisonService>("poison").noteCompleted(digest);
        } else {
            noteCrash(server, incarnation, digest);
            server_.noteReplaced(incarnation, "its process ended");
        }
    });
}

void ResponseEvaluator::confirmCrashes(const Announcement &process)
{
    for (const SuspectedCrash &crash : suspected_.confirm(process.incarnation, core_.clock.now())) {
        noteCrash(crash.server, crash.incarnation, crash.digest);
    }
}

} // namespace waxwing
