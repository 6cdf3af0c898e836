#include "src/sidecar/LocalHome.h"

#include "include/base/Ids.h"
#include "platform/ServerDialect.h"
#include "src/fiber/FiberLoop.h"
#include "src/node/NodeCore.h"
#include "src/node/PoisonService.h"
#include "src/sidecar/ConfigSync.h"
#include "src/sidecar/RegistrySync.h"

#include <algorithm>

namespace waxwing {

namespace {

/** Longest time between two polls of the queue, and between two evictions of old results. */
constexpr Millis maxPollInterval{1000};
constexpr Millis minPollInterval{1};
/** No server can respond in less time than this. */
constexpr Millis minTimeLeft{5};
/** Maximum idle time of a reused connection: servers close theirs after about ten seconds, some sooner. */
constexpr Millis maxIdle{5000};
/** The same for work that can't be retried (not idempotent): it uses a recently used connection or a new one. */
constexpr Millis maxIdleNonIdempotent{2500};
/** How much more likely a gray server is than a healthy one to send no response by the deadline. */
constexpr double timeoutLikelihoodRatio = 8.0;
/** A timeout counts against the server only after this many times the route's expected work time. */
constexpr int timeoutWorkFactor = 4;

/** Reason for a request or reservation that left the queue without a slot. */
constexpr const char *timedOutReason = "queue-timeout";
constexpr const char *stoppingReason = "stopping";

std::string millisText(Duration value)
{
    return std::to_string(millisOf(value).count());
}

} // namespace

struct LocalHome::Job {
    const WorkKey &key;
    const Work &work;
    RunControlPtr control;
    std::uint64_t id = 0;
    SteadyTime deadline;
    SteadyTime arrived;
    WorkReply reply;
    /** When the request joins the queue for a slot. */
    SteadyTime queuedAt;
    /** The request has waited for the server's memory, and its sender knows that it was accepted. */
    bool accepted = false;
    /** A nested call that the server may have made for this work failed. */
    bool callFailed = false;
};

LocalHome::LocalHome(NodeCore &core)
    : core_(core)
    , works_(core.clock)
    , origins_(
          [this](const std::string &zone, const std::set<std::string> &services) { return zoneShare(zone, services); })
{
    queue_.setCallCheck(
        [this](const std::string &route) { return callsInProgress_ > 0 && !nestedCalls_.rates(route).empty(); });
}

void LocalHome::start()
{
    spawnFiber([this] { expiryLoop(); });
}

void LocalHome::setFlow(const FlowSettings &flow, std::function<bool()> holdsTooMuch)
{
    holdsTooMuch_ = std::move(holdsTooMuch);
    memory_ = std::make_unique<ServerMemoryGate>(core_);
    maxResponseBytes_ = flow.nodeBytes;
}

void LocalHome::enableCallAdmission()
{
    callAdmission_ = std::make_unique<CallAdmission>(
        [this](const std::string &route) -> const CallRates & { return nestedCalls_.rates(route); });
    queue_.setCallAdmission(*callAdmission_);
}

std::uint64_t LocalHome::requestBytes() const
{
    return requestBytes_;
}

std::optional<HttpResponse> LocalHome::handleServerCall(const HttpRequest &request)
{
    const std::optional<Expected<platform::ServerCall>> call = platform::decodeServerCall(request);
    if (!call) {
        return std::nullopt;
    }
    if (!*call) {
        core_.metrics.count("heartbeats_unreadable");
        core_.events.write(Severity::Warning, "heartbeat_unreadable", {{"reason", call->error().message}});
        return platform::serverCallReply(false, call->error().message);
    }
    ServerChange change = ServerChange::None;
    std::string cause;
    if (const auto &heartbeat = (*call)->heartbeat) {
        change = server_.update(*heartbeat, *core_.settings.server);
        cause = std::string("heartbeat ") + serverStateName(heartbeat->state) + " sequence "
                + std::to_string(heartbeat->sequence) + " of " + heartbeat->server;
    } else if (const auto &deregistration = (*call)->deregistration) {
        change = server_.deregister(deregistration->serverId, deregistration->incarnation);
        cause = "deregistration of " + deregistration->serverId;
    }
    if (change == ServerChange::Ignored) {
        core_.metrics.count("heartbeats_ignored");
        core_.events.write(Severity::Warning, "heartbeat_ignored", {{"cause", cause}});
        return platform::serverCallReply(false, "not the server beside this node, or older than what is known");
    }
    serverChanged(change, cause);
    return platform::serverCallReply(true, {});
}

void LocalHome::serverChanged(ServerChange change, const std::string &cause)
{
    const SteadyTime now = core_.clock.now();
    if (const Announcement *serving = server_.serving()) {
        queue_.setServer(serving->slots, change == ServerChange::Started, now);
    } else {
        const std::string reason = refusalReasonName(RefusalReason::NoServer);
        releaseQueued(queue_.clearServer(), reason);
        if (reservations_.onClosed) {
            reservations_.onClosed(reason);
        }
    }
    if (change != ServerChange::None) {
        const Announcement *latest = server_.latest();
        core_.events.write(Severity::Info, change == ServerChange::Started ? "server_serves" : "server_leaves",
                           {{"server", latest == nullptr ? "" : latest->server}, {"cause", cause}});
    }
    pollQueue();
}

void LocalHome::releaseQueued(const std::vector<std::uint64_t> &ids, const std::string &reason)
{
    for (const std::uint64_t id : ids) {
        const auto found = queuedJobs_.find(id);
        if (found != queuedJobs_.end()) {
            found->second.latch->release();
        } else if (reservations_.onRemoved) {
            reservations_.onRemoved(id, reason);
        }
    }
}

void LocalHome::pollQueue()
{
    bool hasUnusedSlot = true;
    while (hasUnusedSlot) {
        hasUnusedSlot = false;
        const SlotQueue::PollResult result = queue_.poll(core_.clock.now());
        for (const std::uint64_t id : result.start) {
            const auto found = queuedJobs_.find(id);
            if (found != queuedJobs_.end()) {
                found->second.started = true;
                found->second.latch->release();
            } else if (!reservations_.onStarted || !reservations_.onStarted(id)) {
                queue_.release(id, core_.clock.now());
                hasUnusedSlot = true;
            }
        }
        releaseQueued(result.expired, timedOutReason);
        for (const std::uint64_t id : result.callsUnserved) {
            core_.metrics.count("refused_calls_unserved");
            const auto found = queuedJobs_.find(id);
            if (found != queuedJobs_.end()) {
                found->second.callsUnserved = true;
            }
        }
        releaseQueued(result.callsUnserved, refusalReasonName(RefusalReason::CallsUnserved));
    }
}

SlotDecision LocalHome::submit(const SlotRequest &request, SteadyTime now)
{
    noteOverdueWork();
    if (callAdmission_ && callAdmission_->expectsFailure(request.route, now)) {
        core_.metrics.count("calls_expected_to_fail");
    }
    const SlotDecision decision = queue_.submit(request, now);
    if (decision.reason == RefusalReason::CallsUnserved) {
        core_.metrics.count("refused_calls_unserved");
    }
    return decision;
}

void LocalHome::noteCallResult(const std::string &service, bool succeeded)
{
    if (callAdmission_) {
        callAdmission_->addResult(service, succeeded, core_.clock.now());
        reportCalledServices();
    }
}

void LocalHome::reportCalledServices()
{
    for (const CallServiceStatus &status : callAdmission_->update(core_.clock.now())) {
        core_.metrics.set("call_success_share_" + status.service, status.successShare);
        if (status.change != CallServiceStatus::Change::None) {
            const bool degraded = status.change == CallServiceStatus::Change::Degraded;
            core_.events.write(degraded ? Severity::Warning : Severity::Info,
                               degraded ? "call_service_degraded" : "call_service_recovered",
                               {{"service", status.service},
                                {"successShare", std::to_string(status.successShare)},
                                {"results", std::to_string(status.results)}});
        }
    }
}

void LocalHome::expiryLoop()
{
    while (true) {
        // Wakes when a request is queued, and at the next time when the queue must be polled.
        const SteadyTime before = core_.clock.now();
        const SteadyTime due = queue_.nextPollTime(before);
        const Duration pause = due == SteadyTime::max()
                                   ? Duration(maxPollInterval)
                                   : std::clamp<Duration>(due - before, minPollInterval, maxPollInterval);
        expiry_.wait(core_.ioContext, pause);
        if (queue_.waiting() > 0) {
            pollQueue();
        }
        if (callAdmission_) {
            reportCalledServices();
        }
        works_.evictOld();
    }
}

WorkReply LocalHome::refusal(const Job &job, const std::string &reason) const
{
    WorkReply reply;
    reply.id = job.key.id;
    reply.outcome = Outcome::NotRun;
    reply.reason = reason;
    return reply;
}

void LocalHome::noteOverdueWork()
{
    queue_.noteOverdueWork(core_.clock.now());
}

void LocalHome::noteCallStarted()
{
    ++callsInProgress_;
}

void LocalHome::noteCallEnded()
{
    --callsInProgress_;
}

bool LocalHome::awaitAdmission(Job &job, const std::function<void()> &onAdmitted)
{
    return (!memory_ || awaitMemory(job, onAdmitted)) && awaitSlot(job, onAdmitted);
}

bool LocalHome::awaitMemory(Job &job, const std::function<void()> &onAdmitted)
{
    ServerMemoryGate::Request request;
    request.id = job.id;
    request.bytes = job.work.request.body.size();
    request.until = std::min(job.deadline, job.arrived + job.work.queueTimeout);
    request.control = job.control;
    const ServerMemoryGate::Result result = memory_->admit(request, [&] {
        job.accepted = true;
        if (onAdmitted) {
            onAdmitted();
        }
    });
    job.queuedAt = job.accepted ? core_.clock.now() : job.queuedAt;
    switch (result) {
    case ServerMemoryGate::Result::Admitted:
        return true;
    case ServerMemoryGate::Result::TooLarge:
        job.reply = refusal(job, tooLargeReason);
        break;
    case ServerMemoryGate::Result::TimedOut:
        job.reply = refusal(job, job.accepted ? "queue-timeout" : refusalReasonName(RefusalReason::Busy));
        break;
    case ServerMemoryGate::Result::Cancelled:
        job.reply = refusal(job, "cancelled");
        break;
    }
    return false;
}

void LocalHome::setReservationHooks(ReservationHooks hooks)
{
    reservations_ = std::move(hooks);
}

std::uint64_t LocalHome::nextSlotId()
{
    return nextJob_++;
}

SlotDecision LocalHome::submitReservation(const SlotRequest &request)
{
    const SlotDecision decision = submit(request, core_.clock.now());
    if (decision.action == SlotAction::Queue) {
        expiry_.notify();
    }
    return decision;
}

void LocalHome::freeSlot(std::uint64_t slotId)
{
    queue_.cancel(slotId);
    queue_.release(slotId, core_.clock.now());
    pollQueue();
}

std::string LocalHome::closedReason(const std::string &service) const
{
    if (stopped_) {
        return stoppingReason;
    }
    return service == core_.settings.server->service ? "" : "other-service";
}

bool LocalHome::claimSlot(Job &job)
{
    if (job.work.reservation == 0 || !reservations_.claim) {
        return false;
    }
    const std::optional<std::uint64_t> slotId = reservations_.claim(job.key.origin, job.work.reservation);
    if (!slotId) {
        return false;
    }
    job.id = *slotId;
    return queue_.beginHeld(*slotId, core_.clock.now());
}

bool LocalHome::awaitSlot(Job &job, const std::function<void()> &onAdmitted)
{
    if (claimSlot(job)) {
        if (onAdmitted && !job.accepted) {
            onAdmitted();
        }
        return true;
    }
    SlotRequest request;
    request.id = job.id;
    request.route = job.work.route;
    request.customer = platform::customerOf(job.work.request);
    request.retryable = job.work.retryable;
    request.priority = job.work.priority;
    request.objective = job.arrived + job.work.untilObjective;
    request.deadline = job.deadline;
    request.queueTimeout = std::max(Millis(0), job.work.queueTimeout - millisOf(job.queuedAt - job.arrived));
    request.acceptsGray = job.work.acceptsGray;
    const SlotDecision decision = submit(request, job.queuedAt);
    if (decision.action == SlotAction::Refuse) {
        job.reply = refusal(job, refusalReasonName(decision.reason));
        return false;
    }
    if (onAdmitted && !job.accepted) {
        onAdmitted();
    }
    if (decision.action == SlotAction::Start) {
        return true;
    }
    const auto latch = std::make_shared<FiberLatch>();
    queuedJobs_[job.id] = QueuedJob{latch};
    expiry_.notify();
    const auto cancelWait = [this, latch, id = job.id] {
        queue_.cancel(id);
        latch->release();
    };
    job.control->interrupt = cancelWait;
    job.control->onCancelQueued = cancelWait;
    latch->wait();
    job.control->interrupt = {};
    job.control->onCancelQueued = {};
    const QueuedJob waited = queuedJobs_[job.id];
    queuedJobs_.erase(job.id);
    if (!waited.started || job.control->cancelled) {
        queue_.release(job.id, core_.clock.now());
        const char *reason = waited.callsUnserved ? refusalReasonName(RefusalReason::CallsUnserved) : timedOutReason;
        job.reply = refusal(job, job.control->cancelled ? "cancelled" : reason);
        return false;
    }
    return true;
}

bool LocalHome::isKeyChecked(const Work &work) const
{
    const auto config = core_.service<ConfigSync>("config").current();
    return work.keyChecked || !config || !config->requiresKeys;
}

WorkReply LocalHome::run(const WorkKey &key, const Work &work, const RunControlPtr &control,
                         const std::function<void()> &onAdmitted)
{
    const SteadyTime now = core_.clock.now();
    Job job{key, work, control, nextJob_++, now + work.remaining, now, {}, now};
    if (works_.contains(key)) {
        return refusal(job, "forbidden");
    }
    if (const std::string closed = closedReason(work.service); !closed.empty()) {
        job.reply = refusal(job, closed);
        job.reply.load = load(work.priority);
        return job.reply;
    }
    if (!isKeyChecked(work)) {
        job.reply = refusal(job, "key-not-checked");
        job.reply.load = load(work.priority);
        return job.reply;
    }
    if (core_.service<PoisonService>("poison").mustRefuse(requestDigest(work.service, work.request))) {
        job.reply = refusal(job, poisonReason);
        job.reply.load = load(work.priority);
        return job.reply;
    }
    noteOrigin(key, work.route);
    works_.addQueued(key, control);
    requestBytes_ += work.request.body.size();
    // A Work that takes over the slot of its reservation gets that slot's id.
    const std::uint64_t memoryId = job.id;
    if (awaitAdmission(job, onAdmitted)) {
        dispatch(job);
        queue_.release(job.id, core_.clock.now());
        pollQueue();
    }
    requestBytes_ -= work.request.body.size();
    if (memory_) {
        memory_->release(memoryId);
    }
    job.reply.id = key.id;
    noteOverdueWork();
    job.reply.load = load(work.priority);
    job.reply.nestedCall = origins_.isNestedCall(work.route);
    works_.finish(key, job.reply);
    core_.events.writeRequest(job.reply.serverFault ? Severity::Warning : Severity::Info, "home_done",
                              {{"request", work.requestId},
                               {"from", key.origin.id},
                               {"outcome", outcomeName(job.reply.outcome)},
                               {"reason", job.reply.reason},
                               {"status", std::to_string(job.reply.response.status)},
                               {"server", job.reply.server},
                               {"workedMs", std::to_string(job.reply.processingTime.count())},
                               {"hereMs", millisText(core_.clock.now() - now)},
                               {"grayProbability", std::to_string(job.reply.load.grayProbability)},
                               {"queued", std::to_string(job.reply.load.queued)}});
    return job.reply;
}

void LocalHome::dispatch(Job &job)
{
    const Announcement *serving = server_.serving();
    const SteadyTime now = core_.clock.now();
    const auto left = millisOf(job.deadline - now);
    if (serving == nullptr || left < minTimeLeft) {
        job.reply = refusal(job, serving == nullptr ? "no-server" : "too-late");
        return;
    }
    if (holdsTooMuch_ && holdsTooMuch_()) {
        job.reply = refusal(job, nodeBytesReason);
        return;
    }
    works_.noteRunning(job.key);
    job.reply.server = serving->server;
    job.reply.reachedServer = true;
    ExchangeCancel cancel;
    ExchangeOptions options;
    options.timeout = left;
    options.cancel = &cancel;
    options.maxResponseBytes = memory_ ? maxResponseBytes_ : options.maxResponseBytes;
    options.maxIdle = job.work.idempotent ? maxIdle : maxIdleNonIdempotent;
    const std::string requestId = platform::requestIdOf(job.work.request);
    options.matchesRequest = [&requestId](const HttpResponse &response) {
        return platform::isResponseTo(response, requestId);
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
    handleResponse(job, response, processingTime);
}

void LocalHome::handleResponse(Job &job, const tl::expected<HttpResponse, ExchangeError> &response,
                               Duration processingTime)
{
    const SteadyTime now = core_.clock.now();
    if (!response) {
        handleFailure(job, response.error(), processingTime);
        return;
    }
    WorkReply &reply = job.reply;
    if (memory_) {
        memory_->noteCompleted();
    }
    switch (platform::classifyResponse(*response)) {
    case platform::ServerResponse::Answer:
        queue_.withdrawOverdue(job.id);
        queue_.addResult(job.work.route, false, processingTime, now);
        reply.outcome = Outcome::Ran;
        reply.response = *response;
        break;
    case platform::ServerResponse::Failure:
        if (!job.callFailed) {
            queue_.addResult(job.work.route, true, processingTime, now);
        }
        reply.outcome = Outcome::Ran;
        reply.serverFault = true;
        reply.response = *response;
        break;
    case platform::ServerResponse::NotRun:
        queue_.noteShed(now);
        reply.outcome = Outcome::NotRun;
        reply.reason = "server-shed";
        break;
    case platform::ServerResponse::OtherServer:
        reply.outcome = Outcome::NotRun;
        reply.reason = "other-server";
        server_.noteReplaced();
        serverChanged(ServerChange::Stopped, "another server answers at its address");
        break;
    case platform::ServerResponse::Unusable:
        queue_.addResult(job.work.route, true, processingTime, now);
        reply.outcome = Outcome::Unknown;
        reply.serverFault = true;
        reply.reason = "unusable-answer";
        break;
    }
}

void LocalHome::handleFailure(Job &job, const ExchangeError &error, Duration processingTime)
{
    const SteadyTime now = core_.clock.now();
    WorkReply &reply = job.reply;
    reply.reason = std::string("server-") + exchangeFailureName(error.failure);
    if (!error.mayHaveSentBytes) {
        reply.outcome = Outcome::NotRun;
        reply.reachedServer = false;
        if (error.failure == ExchangeFailure::Connect) {
            // The port is closed, so the process has ended. A new process registers with a new heartbeat.
            server_.noteReplaced();
            serverChanged(ServerChange::Stopped, "connection refused");
        } else if (!job.control->cancelled) {
            queue_.addEvidence(timeoutLikelihoodRatio, processingTime, now);
        }
        return;
    }
    reply.outcome = Outcome::Unknown;
    reply.serverFault = true;
    // A hedge that succeeds elsewhere cancels the work that hangs here, which may be the only sign of the hang.
    noteOverdueWork();
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
    if (memory_ && error.failure == ExchangeFailure::Reset) {
        memory_->noteReset();
    }
    if (error.failure == ExchangeFailure::Reset && detectCrash(job)) {
        return;
    }
    if (!error.onReusedConnection || error.failure != ExchangeFailure::Reset) {
        queue_.addResult(job.work.route, true, processingTime, now);
    }
}

bool LocalHome::detectCrash(const Job &job)
{
    // A poison request crashes every server that runs it, and its caller retries it. A crash differs from a broken
    // connection in that no process listens at the server's address any more.
    const Announcement *latest = server_.latest();
    if (latest == nullptr) {
        return false;
    }
    const std::string server = latest->server + "@" + hexText(latest->incarnation);
    const Endpoint address = core_.settings.server->address;
    if (!core_.client.hasStoppedListening(address)) {
        return false;
    }
    core_.service<PoisonService>("poison").noteDeath(requestDigest(job.work.service, job.work.request), server);
    if (memory_) {
        memory_->noteCrash(server);
    }
    if (server_.serving() != nullptr) {
        server_.noteReplaced();
        serverChanged(ServerChange::Stopped, "its process ended");
    }
    return true;
}

void LocalHome::cancelQueued(const WorkKey &key)
{
    works_.cancelQueued(key);
}

void LocalHome::cancel(const WorkKey &key)
{
    works_.cancel(key);
}

FenceReply LocalHome::fence(const WorkKey &key, bool queryOnly, Duration workAge)
{
    return works_.fence(key, queryOnly, workAge);
}

bool LocalHome::isInProgress(const WorkKey &key) const
{
    return works_.isInProgress(key);
}

void LocalHome::stopAccepting()
{
    if (!stopped_) {
        stopped_ = true;
        releaseQueued(queue_.removeWaiting(), stoppingReason);
        if (reservations_.onClosed) {
            reservations_.onClosed(stoppingReason);
        }
    }
}

bool LocalHome::needsRequest(const std::string &service, bool retryable) const
{
    return closedReason(service).empty() && queue_.needsRequest(retryable, core_.clock.now());
}

HomeLoad LocalHome::load(int priority) const
{
    return queue_.load(priority, core_.clock.now());
}

std::size_t LocalHome::inProgressCount() const
{
    return queue_.running() + queue_.waiting();
}

void LocalHome::noteArrival(const std::string &route, const std::string &service)
{
    nestedCalls_.arrived(route, service, core_.clock.now());
}

bool LocalHome::isNestedCall(const std::string &route) const
{
    return nestedCalls_.isNestedCall(route);
}

std::optional<int> LocalHome::callerRank(const std::string &service) const
{
    return nestedCalls_.callerRank(service);
}

void LocalHome::noteFailedCall(const std::string &route, const std::string &service)
{
    nestedCalls_.failed(route, service);
}

void LocalHome::noteNestedCall(const std::string &route)
{
    nestedCalls_.markNested(route);
}

double LocalHome::zoneShare(const std::string &zone, const std::set<std::string> &services) const
{
    double all = 0.0;
    double matching = 0.0;
    for (const RegistryEntryPtr &entry : core_.service<RegistrySync>("registry").registry().all()) {
        if (entry->zone == zone) {
            all += 1.0;
            matching += services.count(entry->service) != 0 ? 1.0 : 0.0;
        }
    }
    return all > 0.0 ? matching / all : 1.0;
}

void LocalHome::noteOrigin(const WorkKey &key, const std::string &route)
{
    if (key.origin.id == core_.self.id) {
        origins_.note(route, core_.settings.zone, core_.settings.server->service);
    } else if (const RegistryEntryPtr sender = core_.service<RegistrySync>("registry").registry().find(key.origin.id)) {
        origins_.note(route, sender->zone, sender->service);
    }
}

bool LocalHome::serverLeft() const
{
    return server_.latest() != nullptr && server_.serving() == nullptr;
}

} // namespace waxwing
