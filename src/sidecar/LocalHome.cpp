#include "src/sidecar/LocalHome.h"

#include "include/base/Ids.h"
#include "platform/ServerDialect.h"
#include "src/fiber/FiberLoop.h"
#include "src/node/NodeCore.h"
#include "src/node/PoisonService.h"
#include "src/sidecar/RosterKeeper.h"

#include <algorithm>
#include <tuple>

namespace waxwing {

namespace {

/** Also how often memory of ended works is cleared. */
constexpr Millis idleTick{1000};
constexpr Millis leastTick{1};
/** How long the end of a Work is remembered; a sender asks within its deadline, and most are shorter. */
constexpr Millis memory = std::chrono::seconds(12);
constexpr std::size_t mostRemembered = 2000;
/** A question may have been under way for so long. */
constexpr Millis longestTransit{1500};
/** Of answers larger than this so many bytes are held for senders that ask: three seconds of a 13 Mbit/s link. */
constexpr std::size_t largeAnswer = 16UL * 1024;
constexpr std::size_t mostLargeBytes = 5UL * 1024 * 1024;
/** Less than this can't be used by any server. */
constexpr Millis leastTime{5};
/** Servers close idle connections after about ten seconds, some sooner. */
constexpr Millis mostIdle{5000};
/** Work that can't be tried again goes on a connection that was in use just now, or on a new one. */
constexpr Millis mostIdleForOther{2500};
/** A server that stayed silent till the deadline, which is much longer than its usual work, is likelier gray. */
constexpr double silenceRatio = 8.0;
constexpr int silenceFactor = 4;

std::string millisText(Duration value)
{
    return std::to_string(std::chrono::duration_cast<Millis>(value).count());
}

} // namespace

bool WorkKey::operator<(const WorkKey &other) const
{
    return std::tie(origin, id) < std::tie(other.origin, other.id);
}

struct LocalHome::Job {
    const WorkKey &key;
    const Work &work;
    RunControlPtr control;
    std::uint64_t id = 0;
    SteadyTime deadline;
    SteadyTime arrived;
    WorkReply reply;
    /** A call that the server made for it failed. */
    bool callFailed = false;
};

LocalHome::LocalHome(NodeCore &core)
    : core_(core)
    , origins_([this](const std::string &zone, const std::set<std::string> &services) {
        return shareOfZone(zone, services);
    })
{ }

void LocalHome::start()
{
    spawnFiber([this] { expiryLoop(); });
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
        change = server_.take(*heartbeat, *core_.settings.server);
        cause = std::string("heartbeat ") + serverStateName(heartbeat->state) + " sequence "
                + std::to_string(heartbeat->sequence) + " of " + heartbeat->server;
    } else if (const auto &farewell = (*call)->farewell) {
        change = server_.takeFarewell(farewell->serverId, farewell->incarnation);
        cause = "farewell of " + farewell->serverId;
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
        dropWaiting(queue_.clearServer());
    }
    if (change != ServerChange::None) {
        const Announcement *known = server_.known();
        core_.events.write(Severity::Info, change == ServerChange::Started ? "server_serves" : "server_leaves",
                           {{"server", known == nullptr ? "" : known->server}, {"cause", cause}});
    }
    pollQueue();
}

void LocalHome::dropWaiting(const std::vector<std::uint64_t> &ids)
{
    for (const std::uint64_t id : ids) {
        const auto turn = turns_.find(id);
        if (turn != turns_.end()) {
            turn->second.gate->open();
        }
    }
}

void LocalHome::pollQueue()
{
    const SlotQueue::Due due = queue_.poll(core_.clock.now());
    for (const std::uint64_t id : due.start) {
        const auto turn = turns_.find(id);
        if (turn != turns_.end()) {
            turn->second.started = true;
            turn->second.gate->open();
        } else {
            queue_.release(id, core_.clock.now());
        }
    }
    dropWaiting(due.expired);
}

void LocalHome::expiryLoop()
{
    while (true) {
        // Woken by the first request that waits, and then at the time when one has waited long enough.
        const SteadyTime before = core_.clock.now();
        const SteadyTime due = queue_.nextDue(before);
        const Duration pause =
            due == SteadyTime::max() ? Duration(idleTick) : std::clamp<Duration>(due - before, leastTick, idleTick);
        expiry_.wait(core_.ioContext, pause);
        const SteadyTime now = core_.clock.now();
        if (queue_.waiting() > 0) {
            pollQueue();
        }
        while (!ended_.empty() && (now - ended_.front().first >= memory || ended_.size() > mostRemembered)) {
            forgottenUntil_ = std::max(forgottenUntil_, ended_.front().first);
            forget(ended_.front().second);
            ended_.pop_front();
        }
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

void LocalHome::remember(const WorkKey &key, const WorkReply &reply)
{
    Entry &entry = entries_[key];
    entry.phase = Phase::Ended;
    entry.control.reset();
    entry.reply = reply;
    entry.endedAt = core_.clock.now();
    ended_.emplace_back(entry.endedAt, key);
    if (reply.response.body.size() > largeAnswer) {
        largeAnswers_.push_back(key);
        largeBytes_ += reply.response.body.size();
        boundLargeAnswers();
    }
}

void LocalHome::boundLargeAnswers()
{
    while (largeBytes_ > mostLargeBytes) {
        const auto oldest = entries_.find(largeAnswers_.front());
        largeAnswers_.pop_front();
        if (oldest == entries_.end()) {
            continue;
        }
        WorkReply &reply = oldest->second.reply;
        largeBytes_ -= reply.response.body.size();
        reply.response = HttpResponse();
        reply.outcome = Outcome::Unknown;
        reply.reason = "answer-dropped";
    }
}

void LocalHome::forget(const WorkKey &key)
{
    const auto found = entries_.find(key);
    if (found == entries_.end()) {
        return;
    }
    if (found->second.reply.response.body.size() > largeAnswer) {
        largeBytes_ -= found->second.reply.response.body.size();
    }
    entries_.erase(found);
}

bool LocalHome::awaitTurn(Job &job, const std::function<void()> &onAdmitted)
{
    SlotRequest request;
    request.id = job.id;
    request.route = job.work.route;
    request.repeatable = job.work.repeatable;
    request.priority = job.work.priority;
    request.objective = job.arrived + job.work.untilObjective;
    request.deadline = job.deadline;
    request.patience = job.work.patience;
    request.acceptsDoubt = job.work.acceptsDoubt;
    const SlotDecision decision = queue_.submit(request, job.arrived);
    if (decision.verdict == SlotVerdict::Refused) {
        job.reply = refusal(job, refusalName(decision.reason));
        return false;
    }
    if (onAdmitted) {
        onAdmitted();
    }
    if (decision.verdict == SlotVerdict::Start) {
        return true;
    }
    const auto gate = std::make_shared<FiberGate>();
    turns_[job.id] = Turn{gate, false};
    expiry_.wake();
    const auto leave = [this, gate, id = job.id] {
        queue_.cancel(id);
        gate->open();
    };
    job.control->interrupt = leave;
    job.control->onWithdraw = leave;
    gate->wait();
    job.control->interrupt = {};
    job.control->onWithdraw = {};
    const bool started = turns_[job.id].started;
    turns_.erase(job.id);
    if (!started || job.control->cancelled) {
        queue_.release(job.id, core_.clock.now());
        job.reply = refusal(job, job.control->cancelled ? "cancelled" : "waited-in-vain");
        return false;
    }
    return true;
}

WorkReply LocalHome::run(const WorkKey &key, const Work &work, const RunControlPtr &control,
                         const std::function<void()> &onAdmitted)
{
    const SteadyTime now = core_.clock.now();
    Job job{key, work, control, nextJob_++, now + work.remaining, now, {}};
    const auto known = entries_.find(key);
    if (known != entries_.end()) {
        return refusal(job, "forbidden");
    }
    if (stopped_ || work.service != core_.settings.server->service) {
        job.reply = refusal(job, stopped_ ? "stopping" : "other-service");
        job.reply.load = load(work.priority);
        return job.reply;
    }
    if (core_.service<PoisonService>("poison").mustRefuse(requestDigest(work.service, work.request))) {
        job.reply = refusal(job, endsServersReason);
        job.reply.load = load(work.priority);
        return job.reply;
    }
    noteOrigin(key, work.route);
    Entry entry;
    entry.jobId = job.id;
    entry.idempotent = work.idempotent;
    entry.control = control;
    entries_[key] = entry;
    if (awaitTurn(job, onAdmitted)) {
        handOver(job);
        queue_.release(job.id, core_.clock.now());
        pollQueue();
    }
    job.reply.id = key.id;
    job.reply.load = load(work.priority);
    job.reply.innerCall = origins_.isInnerCall(work.route);
    if (entries_[key].phase == Phase::Forbidden) {
        ended_.emplace_back(core_.clock.now(), key);
    } else {
        remember(key, job.reply);
    }
    core_.events.writeRequest(job.reply.serverFault ? Severity::Warning : Severity::Info, "home_done",
                              {{"request", work.requestId},
                               {"from", key.origin.id},
                               {"outcome", outcomeName(job.reply.outcome)},
                               {"reason", job.reply.reason},
                               {"status", std::to_string(job.reply.response.status)},
                               {"server", job.reply.server},
                               {"workedMs", std::to_string(job.reply.worked.count())},
                               {"hereMs", millisText(core_.clock.now() - now)},
                               {"doubt", std::to_string(job.reply.load.doubt)},
                               {"queued", std::to_string(job.reply.load.queued)}});
    return job.reply;
}

void LocalHome::handOver(Job &job)
{
    const Announcement *serving = server_.serving();
    const SteadyTime now = core_.clock.now();
    const auto left = std::chrono::duration_cast<Millis>(job.deadline - now);
    if (serving == nullptr || left < leastTime) {
        job.reply = refusal(job, serving == nullptr ? "no-server" : "too-late");
        return;
    }
    entries_[job.key].phase = Phase::Running;
    job.reply.server = serving->server;
    job.reply.reachedServer = true;
    ExchangeCancel cancel;
    ExchangeOptions options;
    options.allowed = left;
    options.cancel = &cancel;
    options.mostIdle = job.work.idempotent ? mostIdle : mostIdleForOther;
    const std::string requestId = platform::requestIdOf(job.work.request);
    options.belongs = [&requestId](const HttpResponse &response) { return platform::belongsTo(response, requestId); };
    const HttpRequest stamped = platform::stampForServer(job.work.request, serving->server, left);
    if (job.work.idempotent) {
        job.control->interrupt = [&cancel] { cancel.cancel(); };
    }
    innerCalls_.begin(job.id, job.work.route, job.work.priority, now);
    const auto answer = core_.client.exchange(core_.settings.server->address, stamped, options);
    job.callFailed = innerCalls_.sawFailedCall(job.id);
    innerCalls_.end(job.id, core_.clock.now());
    job.reply.calls = innerCalls_.rates(job.work.route);
    job.control->interrupt = {};
    const Duration worked = core_.clock.now() - now;
    job.reply.worked = std::chrono::duration_cast<Millis>(worked);
    judge(job, answer, worked);
}

void LocalHome::judge(Job &job, const tl::expected<HttpResponse, ExchangeError> &answer, Duration worked)
{
    const SteadyTime now = core_.clock.now();
    if (!answer) {
        judgeFailure(job, answer.error(), worked);
        return;
    }
    WorkReply &reply = job.reply;
    switch (platform::classifyAnswer(*answer)) {
    case platform::ServerAnswer::Answer:
        queue_.addResult(job.work.route, false, worked, now);
        reply.outcome = Outcome::Ran;
        reply.response = *answer;
        break;
    case platform::ServerAnswer::Failure:
        if (!job.callFailed) {
            queue_.addResult(job.work.route, true, worked, now);
        }
        reply.outcome = Outcome::Ran;
        reply.serverFault = true;
        reply.response = *answer;
        break;
    case platform::ServerAnswer::NotRun:
        queue_.noteShed(now);
        reply.outcome = Outcome::NotRun;
        reply.reason = "server-shed";
        break;
    case platform::ServerAnswer::OtherServer:
        reply.outcome = Outcome::NotRun;
        reply.reason = "other-server";
        server_.noteReplaced();
        serverChanged(ServerChange::Left, "another server answers at its address");
        break;
    case platform::ServerAnswer::Unusable:
        queue_.addResult(job.work.route, true, worked, now);
        reply.outcome = Outcome::Unknown;
        reply.serverFault = true;
        reply.reason = "unusable-answer";
        break;
    }
}

void LocalHome::judgeFailure(Job &job, const ExchangeError &error, Duration worked)
{
    const SteadyTime now = core_.clock.now();
    WorkReply &reply = job.reply;
    reply.reason = std::string("server-") + exchangeFailureName(error.failure);
    if (!error.mayHaveSentBytes) {
        reply.outcome = Outcome::NotRun;
        reply.reachedServer = false;
        if (error.failure == ExchangeFailure::Connect) {
            // Nobody listens: the process ended. It comes back with a new heartbeat.
            server_.noteReplaced();
            serverChanged(ServerChange::Left, "connection refused");
        } else if (!job.control->cancelled) {
            queue_.addEvidence(silenceRatio, now);
        }
        return;
    }
    reply.outcome = Outcome::Unknown;
    reply.serverFault = true;
    if (job.control->cancelled) {
        reply.reason = "cancelled";
        return;
    }
    if (error.failure == ExchangeFailure::Timeout) {
        // Routes whose work never ends within their timeout say nothing about the server.
        const bool knows = queue_.knowsWork(job.work.route);
        if (knows && worked > silenceFactor * queue_.typicalWork(job.work.route)) {
            queue_.addEvidence(silenceRatio, now);
        }
        return;
    }
    if (error.failure == ExchangeFailure::Reset && diedWith(job)) {
        return;
    }
    if (!error.onKeptConnection || error.failure != ExchangeFailure::Reset) {
        queue_.addResult(job.work.route, true, worked, now);
    }
}

bool LocalHome::diedWith(const Job &job)
{
    // A request may end each server that begins it, and its caller sends it again. What tells it from a broken
    // connection: nobody listens at the server's address any more.
    const Announcement *known = server_.known();
    if (known == nullptr) {
        return false;
    }
    const std::string server = known->server + "@" + hexText(known->incarnation);
    const Endpoint address = core_.settings.server->address;
    if (!core_.client.hasEnded(address)) {
        return false;
    }
    core_.service<PoisonService>("poison").noteDeath(requestDigest(job.work.service, job.work.request), server);
    if (server_.serving() != nullptr) {
        server_.noteReplaced();
        serverChanged(ServerChange::Left, "its process ended");
    }
    return true;
}

void LocalHome::withdraw(const WorkKey &key)
{
    const auto found = entries_.find(key);
    if (found != entries_.end() && found->second.phase == Phase::Waiting) {
        found->second.control->withdraw();
    }
}

void LocalHome::cancel(const WorkKey &key)
{
    const auto found = entries_.find(key);
    if (found == entries_.end()) {
        // A Work with a large body may be overtaken by its Cancel.
        entries_[key].phase = Phase::Forbidden;
        ended_.emplace_back(core_.clock.now(), key);
    } else if (found->second.control) {
        found->second.control->cancel();
    }
}

FenceReply LocalHome::fence(const WorkKey &key, bool onlyAsk, Duration sentAgo)
{
    FenceReply reply;
    const auto found = entries_.find(key);
    if (found == entries_.end()) {
        // One that was sent before the last work forgotten had ended may have run, ended and been forgotten as well.
        const SteadyTime sentAt = core_.clock.now() - sentAgo - longestTransit;
        if (!onlyAsk && sentAt > forgottenUntil_) {
            entries_[key].phase = Phase::Forbidden;
            ended_.emplace_back(core_.clock.now(), key);
            reply.state = FenceState::NeverRuns;
        }
        return reply;
    }
    Entry &entry = found->second;
    switch (entry.phase) {
    case Phase::Forbidden:
        reply.state = FenceState::NeverRuns;
        break;
    case Phase::Waiting:
        if (onlyAsk) {
            reply.state = FenceState::Underway;
            break;
        }
        entry.phase = Phase::Forbidden;
        entry.control->cancel();
        reply.state = FenceState::NeverRuns;
        break;
    case Phase::Running:
        reply.state = FenceState::Underway;
        break;
    case Phase::Ended:
        reply.state = FenceState::Ended;
        reply.reply = entry.reply;
        break;
    }
    return reply;
}

bool LocalHome::isUnderway(const WorkKey &key) const
{
    const auto found = entries_.find(key);
    return found != entries_.end() && (found->second.phase == Phase::Waiting || found->second.phase == Phase::Running);
}

void LocalHome::stopTaking()
{
    if (!stopped_) {
        stopped_ = true;
        dropWaiting(queue_.takeWaiting());
    }
}

HomeLoad LocalHome::load(int priority) const
{
    return queue_.load(priority, core_.clock.now());
}

std::size_t LocalHome::busy() const
{
    return queue_.running() + queue_.waiting();
}

void LocalHome::noteArrival(const std::string &route, const std::string &service)
{
    innerCalls_.arrived(route, service, core_.clock.now());
}

bool LocalHome::isInnerCall(const std::string &route) const
{
    return innerCalls_.isInnerCall(route);
}

std::optional<int> LocalHome::rankOfCaller(const std::string &service) const
{
    return innerCalls_.rankOfCaller(service);
}

void LocalHome::noteFailedCall(const std::string &route, const std::string &service)
{
    innerCalls_.failed(route, service);
}

void LocalHome::noteToldInnerCall(const std::string &route)
{
    innerCalls_.noteTold(route);
}

double LocalHome::shareOfZone(const std::string &zone, const std::set<std::string> &services) const
{
    double all = 0.0;
    double named = 0.0;
    for (const RosterEntryPtr &entry : core_.service<RosterKeeper>("roster").roster().all()) {
        if (entry->zone == zone) {
            all += 1.0;
            named += services.count(entry->service) != 0 ? 1.0 : 0.0;
        }
    }
    return all > 0.0 ? named / all : 1.0;
}

void LocalHome::noteOrigin(const WorkKey &key, const std::string &route)
{
    if (key.origin.id == core_.self.id) {
        origins_.note(route, core_.settings.zone, core_.settings.server->service);
    } else if (const RosterEntryPtr sender = core_.service<RosterKeeper>("roster").roster().find(key.origin.id)) {
        origins_.note(route, sender->zone, sender->service);
    }
}

bool LocalHome::serverLeft() const
{
    return server_.known() != nullptr && server_.serving() == nullptr;
}

} // namespace waxwing
