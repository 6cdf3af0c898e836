#include "src/node/HomeService.h"

#include "src/fiber/FiberLoop.h"
#include "src/node/GossipService.h"
#include "src/node/IntentService.h"
#include "src/node/NodeCore.h"
#include "src/node/PoisonService.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace waxwing {

namespace {

constexpr Millis busyTick{20};
constexpr Millis idleTick{100};
constexpr Millis unconfirmedDeathRetention = std::chrono::seconds(10);
constexpr Millis minTimeForRetry{5};
constexpr unsigned firstServerError = 500;
constexpr unsigned unavailable = 503;
constexpr const char *notRunHeader = "Waxwing-Not-Run";
constexpr const char *deadlineHeader = "Waxwing-Deadline-Ms";

/** 501 and 505 are caused by the request and 503 by load; every other 5xx is a failure of the server. */
bool isServerFault(unsigned status)
{
    return status >= firstServerError && status != unavailable && status != 501 && status != 505;
}

bool isNotRunResponse(const HttpResponse &response)
{
    return response.status == unavailable && headerValue(response.headers, notRunHeader) == "true";
}

Millis retryAfterOf(const HttpResponse &response, Millis fallback)
{
    const std::string text(headerValue(response.headers, "Retry-After"));
    const int seconds = std::atoi(text.c_str());
    return seconds > 0 && seconds < 3600 ? std::chrono::seconds(seconds) : fallback;
}

DetectorFactory cusumDetectors()
{
    return [](EjectionPolicy policy) { return std::make_unique<CusumDetector>(policy); };
}

} // namespace

/** State of one request at this home. */
struct HomeService::RunState {
    const Exec &exec;
    RunControlPtr control;
    ServiceHome *home = nullptr;
    std::shared_ptr<const ServiceIntent> intent;
    const ClassIntent *cls = nullptr;
    std::uint64_t id = 0;
    std::uint64_t digest = 0;
    SteadyTime deadline;
    std::set<std::string> tried;
    std::string server;
    /** Set once a server may have received a part of the request, unless that server reported that it was not run. */
    bool mayHaveRun = false;
    ExecReply reply;

    void setNotRun(const std::string &reason, Millis retryAfter)
    {
        reply.outcome = mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
        reply.reason = reason;
        reply.retryAfter = retryAfter;
    }
};

HomeService::HomeService(NodeCore &core)
    : core_(core)
{
    core_.service<IntentService>("intents").onChange([this](const std::string &service) { applyIntent(service); });
}

void HomeService::start()
{
    spawnFiber([this] { tickLoop(); });
}

ServiceHome &HomeService::homeFor(const std::string &service)
{
    std::unique_ptr<ServiceHome> &home = homes_[service];
    if (!home) {
        HomeTuning tuning;
        tuning.announceTimeout = core_.settings.times.announceTimeout;
        tuning.queuePerClass = core_.settings.limits.queuePerClass;
        tuning.health.firstEjection = core_.settings.times.firstEjection;
        tuning.health.ramp = core_.settings.times.ramp;
        const auto inServiceOf = [this, service](const NodeRef &ref) -> std::optional<std::uint32_t> {
            GossipService &gossip = core_.service<GossipService>("gossip");
            if (!gossip.isUp(ref)) {
                return std::nullopt;
            }
            const auto &services = gossip.node(ref.id)->services;
            const auto found = services.find(service);
            return found == services.end() ? 0 : found->second;
        };
        home = std::make_unique<ServiceHome>(service, core_.self, tuning, cusumDetectors(), inServiceOf);
        applyIntent(service);
    }
    return *home;
}

void HomeService::applyIntent(const std::string &service)
{
    const auto home = homes_.find(service);
    const std::shared_ptr<const ServiceIntent> intent = core_.service<IntentService>("intents").find(service);
    if (home != homes_.end() && home->second) {
        home->second->setIntent(intent ? *intent : ServiceIntent{service, {}});
    }
}

HttpResponse HomeService::announce(const std::string &body)
{
    Findings findings;
    const Announcement announcement = parseAnnouncement(body, findings);
    if (!findings.empty()) {
        core_.metrics.count("announcements_refused");
        core_.events.write(Severity::Warning, "announcement_refused", {{"findings", findings.text()}});
        nlohmann::json out = {{"findings", nlohmann::json::array()}};
        for (const Finding &finding : findings.all()) {
            out["findings"].push_back({{"place", finding.place}, {"message", finding.message}});
        }
        return jsonResponse(400, out.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n");
    }
    ServiceHome &home = homeFor(announcement.service);
    const SteadyTime now = core_.clock.now();
    const Announcement *known = home.find(announcement.server);
    const std::optional<Announcement> before = known != nullptr ? std::optional<Announcement>(*known) : std::nullopt;
    if (home.announce(announcement, now)) {
        core_.events.write(Severity::Info, "server_announced",
                           {{"service", announcement.service},
                            {"server", announcement.server},
                            {"incarnation", std::to_string(announcement.incarnation)},
                            {"state", serverStateName(announcement.state)}});
        for (const UnconfirmedDeath &death : unconfirmedDeaths_) {
            const bool sameServer = death.service == announcement.service && death.server == announcement.server;
            if (sameServer && death.incarnation != announcement.incarnation) {
                core_.service<PoisonService>("poison").noteDeath(death.digest, death.server + "@"
                                                                                   + std::to_string(death.incarnation));
            }
        }
    } else if (before && before->state != announcement.state) {
        core_.events.write(Severity::Info, "server_state",
                           {{"service", announcement.service},
                            {"server", announcement.server},
                            {"from", serverStateName(before->state)},
                            {"to", serverStateName(announcement.state)}});
    }
    pollQueue(home);
    nlohmann::json homes = nlohmann::json::array();
    for (const NodeRecord *node : core_.service<GossipService>("gossip").nodes()) {
        constexpr std::size_t maxListedHomes = 8;
        if (node->state == NodeState::Up && node->ref != core_.self && homes.size() < maxListedHomes) {
            homes.push_back(node->address + ":" + std::to_string(node->httpPort));
        }
    }
    return jsonResponse(200,
                        nlohmann::json{{"home", core_.self.id}, {"move", redirectServers_}, {"homes", homes}}.dump());
}

void HomeService::pollQueue(ServiceHome &home)
{
    const ServiceHome::PollResult due = home.poll(core_.clock.now());
    for (const ServiceHome::Assignment &assignment : due.assigned) {
        const auto found = waiting_.find(assignment.id);
        if (found != waiting_.end()) {
            found->second.server = assignment.server;
            found->second.latch->release();
        }
    }
    for (const std::uint64_t id : due.expired) {
        const auto found = waiting_.find(id);
        if (found != waiting_.end()) {
            found->second.expired = true;
            found->second.latch->release();
        }
    }
}

bool HomeService::admit(RunState &run)
{
    HomeRequest request;
    request.id = run.id;
    request.className = run.exec.className;
    request.customer = run.exec.customer;
    request.deadline = run.deadline;
    request.exclude = run.tried;
    const Admission admission = run.home->submit(request, core_.clock.now());
    switch (admission.kind) {
    case Admission::Kind::Assigned:
        run.server = admission.server;
        return true;
    case Admission::Kind::Refused:
        run.setNotRun(admission.reason, admission.retryAfter);
        return false;
    case Admission::Kind::Queued:
        break;
    }
    Waiting &waiting = waiting_[run.id];
    waiting.latch = std::make_shared<FiberLatch>();
    run.control->interrupt = [latch = waiting.latch] { latch->release(); };
    const std::shared_ptr<FiberLatch> latch = waiting.latch;
    latch->wait();
    run.control->interrupt = {};
    const Waiting done = waiting_[run.id];
    waiting_.erase(run.id);
    if (!done.server.empty()) {
        run.server = done.server;
        return true;
    }
    run.home->cancel(run.id);
    run.setNotRun(done.expired ? "expired-in-queue" : "cancelled", Millis(1000));
    return false;
}

bool HomeService::mayRetry(RunState &run)
{
    const bool timeLeft = run.deadline - core_.clock.now() > minTimeForRetry;
    return timeLeft && !run.control->cancelled && budgets_[run.exec.service].tryRetry();
}

void HomeService::noteDeath(RunState &run, const std::string &server, std::uint64_t incarnation)
{
    run.home->noteDeath(server);
    core_.service<PoisonService>("poison").noteDeath(run.digest, server + "@" + std::to_string(incarnation));
}

bool HomeService::handleFailure(RunState &run, const Attempt &attempt, const ExchangeError &error,
                                std::uint64_t incarnation)
{
    const SteadyTime now = core_.clock.now();
    run.tried.insert(run.server);
    run.reply.server = run.server;
    if (!error.mayHaveSentBytes) {
        run.home->addEvidence(run.server, Evidence::Failed, now);
        run.setNotRun("server-unreachable", Millis(500));
        return mayRetry(run);
    }
    run.mayHaveRun = true;
    const bool abandoned = run.control->cancelled || attempt.retriedElsewhere;
    const Announcement *announced = run.home->find(run.server);
    bool died = false;
    if (error.connectionEnded && !abandoned && announced != nullptr) {
        died = core_.client.hasStoppedListening(Endpoint{announced->address, announced->port});
        if (died) {
            noteDeath(run, run.server, incarnation);
        } else {
            unconfirmedDeaths_.push_back(UnconfirmedDeath{run.exec.service, run.server, incarnation, run.digest, now});
        }
    }
    if (!died && !abandoned && error.failure != ExchangeFailure::Timeout) {
        // A timeout adds no evidence here: recordLateness() added it in steps while the request ran.
        run.home->addEvidence(run.server, Evidence::Failed, now);
    }
    const bool late = error.failure == ExchangeFailure::Timeout;
    run.setNotRun(died ? "server-died" : (late ? "server-timeout" : "server-answer-lost"), Millis(1000));
    run.reply.outcome = Outcome::Unknown;
    if (attempt.retriedElsewhere) {
        return run.deadline - now > minTimeForRetry;
    }
    return run.cls->idempotent && mayRetry(run);
}

bool HomeService::attempt(RunState &run)
{
    const SteadyTime started = core_.clock.now();
    const Announcement *announced = run.home->find(run.server);
    if (announced == nullptr) {
        run.home->release(run.id, run.server, Duration(0));
        run.setNotRun("no-server", Millis(1000));
        return false;
    }
    const Endpoint endpoint{announced->address, announced->port};
    const std::uint64_t incarnation = announced->incarnation;
    if (!core_.service<PoisonService>("poison").admit(run.digest)) {
        run.home->release(run.id, run.server, Duration(0));
        run.setNotRun("request-ends-servers", Millis(0));
        return false;
    }
    HttpRequest request = run.exec.request;
    const Millis left = std::max(Millis(1), millisOf(run.deadline - started));
    request.headers.emplace_back(deadlineHeader, std::to_string(left.count()));

    attempts_.push_back(Attempt{run.exec.service, run.server, started, run.cls->responseTime, 0, run.cls->idempotent,
                                false, run.tried, run.control});
    const auto current = std::prev(attempts_.end());
    ExchangeCancel exchange;
    run.control->interrupt = [&exchange] { exchange.cancel(); };
    const auto response = core_.client.exchange(endpoint, request, run.deadline - started, &exchange);
    run.control->interrupt = {};
    const Attempt finished = *current;
    attempts_.erase(current);
    const SteadyTime now = core_.clock.now();
    run.home->release(run.id, run.server, now - started);
    if (!response) {
        const bool retry = handleFailure(run, finished, response.error(), incarnation);
        pollQueue(*run.home);
        return retry;
    }
    run.reply.server = run.server;
    if (isNotRunResponse(*response)) {
        core_.metrics.count("server_shed");
        run.tried.insert(run.server);
        run.setNotRun("server-shed", retryAfterOf(*response, Millis(1000)));
        pollQueue(*run.home);
        return mayRetry(run);
    }
    if (!response->isCloseDelimited) {
        // A response without a length may also have ended because its server is ending.
        core_.service<PoisonService>("poison").noteCompleted(run.digest);
    }
    const bool fault = isServerFault(response->status);
    if (fault) {
        run.home->addEvidence(run.server, Evidence::Failed, now);
    } else if (finished.lateSteps == 0) {
        run.home->addEvidence(run.server, Evidence::Good, now);
    }
    pollQueue(*run.home);
    run.mayHaveRun = true;
    run.reply.outcome = Outcome::Ran;
    run.reply.reason.clear();
    run.reply.retryAfter = Millis(0);
    run.reply.response = *response;
    if (fault && run.cls->idempotent && mayRetry(run)) {
        run.tried.insert(run.server);
        return true;
    }
    return false;
}

ExecReply HomeService::run(const Exec &exec, const RunControlPtr &control)
{
    RunState run{exec, control, nullptr, nullptr, nullptr, nextId_++, 0, {}, {}, {}, false, {}};
    run.reply.id = exec.id;
    run.intent = core_.service<IntentService>("intents").find(exec.service);
    run.cls = run.intent ? run.intent->classNamed(exec.className) : nullptr;
    const auto home = homes_.find(exec.service);
    if (home == homes_.end() || run.cls == nullptr) {
        run.setNotRun(run.cls == nullptr ? "unknown-class" : "no-server", Millis(1000));
        return run.reply;
    }
    run.home = home->second.get();
    run.digest = requestDigest(exec.service, exec.request, exec.customer);
    run.deadline = core_.clock.now() + exec.remaining;
    budgets_[exec.service].noteAttempt();
    ++running_;
    bool retry = true;
    while (retry) {
        const ExecReply before = run.reply;
        const bool hadResponse = before.outcome == Outcome::Ran;
        if (!admit(run)) {
            if (hadResponse) {
                // The retry found no server, so the first response is returned.
                run.reply = before;
            }
            break;
        }
        retry = attempt(run);
    }
    --running_;
    const SteadyTime now = core_.clock.now();
    run.reply.freeSlots = static_cast<std::int32_t>(run.home->freeSlots(now));
    run.reply.queued = static_cast<std::int32_t>(run.home->queued());
    return run.reply;
}

void HomeService::recordLateness(Attempt &attempt, SteadyTime now)
{
    const auto home = homes_.find(attempt.service);
    const Duration over = now - attempt.startedAt - attempt.responseTime;
    if (over < Duration(0) || home == homes_.end()) {
        return;
    }
    const auto steps = 1 + static_cast<int>(over / lateStepOf(attempt.responseTime));
    for (; attempt.lateSteps < steps; ++attempt.lateSteps) {
        const Evidence evidence = attempt.lateSteps == 0 ? Evidence::Late : Evidence::StillWaiting;
        home->second->addEvidence(attempt.server, evidence, now);
        const bool mayMove = attempt.lateSteps == 0 && attempt.idempotent && !attempt.retriedElsewhere;
        std::set<std::string> tried = attempt.tried;
        tried.insert(attempt.server);
        if (mayMove && home->second->hasFreeSlotExcluding(tried, now) && budgets_[attempt.service].tryRetry()) {
            // Idempotent work doesn't wait for a stalled server: it is cancelled there and retried at another one.
            attempt.retriedElsewhere = true;
            core_.metrics.count("late_requests_moved");
            if (attempt.control->interrupt) {
                attempt.control->interrupt();
            }
        }
    }
}

void HomeService::logDecisions(const std::string &service, const std::vector<HomeDecision> &decisions)
{
    for (const HomeDecision &decision : decisions) {
        std::vector<EventField> fields = {{"service", service}, {"server", decision.server}};
        fields.insert(fields.end(), decision.fields.begin(), decision.fields.end());
        core_.events.write(Severity::Warning, decision.event, std::move(fields));
        core_.metrics.count("decision_" + decision.event);
    }
}

void HomeService::publishServices()
{
    std::map<std::string, std::uint32_t> services;
    for (const auto &[service, home] : homes_) {
        if (!home->hasNoServers() && !redirectServers_) {
            services[service] = home->inService();
        }
    }
    core_.service<GossipService>("gossip").publishServices(std::move(services));
}

void HomeService::tickLoop()
{
    while (true) {
        sleepFor(core_.ioContext, attempts_.empty() && waiting_.empty() ? idleTick : busyTick);
        const SteadyTime now = core_.clock.now();
        for (Attempt &attempt : attempts_) {
            recordLateness(attempt, now);
        }
        for (const auto &[service, home] : homes_) {
            logDecisions(service, home->tick(now));
            pollQueue(*home);
        }
        unconfirmedDeaths_.erase(
            std::remove_if(unconfirmedDeaths_.begin(), unconfirmedDeaths_.end(),
                           [&](const UnconfirmedDeath &one) { return now - one.at >= unconfirmedDeathRetention; }),
            unconfirmedDeaths_.end());
        publishServices();
    }
}

const std::map<std::string, std::unique_ptr<ServiceHome>> &HomeService::homes() const
{
    return homes_;
}

void HomeService::addPeerEvidence(const std::string &service, bool bad)
{
    const auto home = homes_.find(service);
    if (home != homes_.end()) {
        home->second->addPeerEvidence(bad, core_.clock.now());
    }
}

void HomeService::redirectServers()
{
    redirectServers_ = true;
    publishServices();
}

std::size_t HomeService::running() const
{
    return running_;
}

std::size_t HomeService::presentServers() const
{
    std::size_t present = 0;
    for (const auto &[service, home] : homes_) {
        for (const ServerView &view : home->servers()) {
            present += view.present ? 1 : 0;
        }
    }
    return present;
}

} // namespace waxwing
