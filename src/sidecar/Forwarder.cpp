#include "src/sidecar/Forwarder.h"

#include "src/fiber/FiberLoop.h"
#include "src/fiber/FiberNotifier.h"
#include "src/link/PeerHub.h"
#include "src/node/NodeCore.h"
#include "src/sidecar/LocalHome.h"
#include "src/sidecar/PathMonitor.h"
#include "src/sidecar/RegistrySync.h"
#include "src/sidecar/RetryBudgetService.h"
#include "src/sidecar/StateUpdateService.h"
#include "src/sidecar/WorkSender.h"
#include "src/sidecar/ingress/SlotRequester.h"

#include <algorithm>
#include <random>

namespace waxwing {

namespace {

/** A request is refused without being sent only if the load report is at most a round trip between regions old. */
constexpr Millis maxFreshLoadAge{100};
constexpr Millis minRetryAfter{300};
/**
 * Shortest Retry-After of a request whose nested calls are expected to fail: by then the homes' evidence has expired or
 * was renewed. It is multiplied by a random factor up to the given one, so that callers don't return together.
 */
constexpr Millis callsUnservedRetryAfter{2000};
constexpr double callsUnservedSpread = 2.0;
constexpr Millis minTimeLeft{5};
/** A stopping node starts a request only if this many times its expected work time is left, within the bounds below. */
constexpr double stopWorkFactor = 2.0;
constexpr Millis minStopReserve{500};
constexpr Millis maxStopReserve{3000};
/** Time for a home to reply to a Cancel: a round trip between regions, with a margin for a busy home. */
constexpr Millis cancelReplyTimeout{120};

/** Nested calls are the most urgent, since other work waits for them; callers' requests follow by route priority. */
constexpr int nestedCallRank = 0;
constexpr int callerRankOffset = 1;

} // namespace

struct Forwarder::Run {
    explicit Run(std::shared_ptr<const ForwardJob> jobIn)
        : jobPtr(std::move(jobIn))
        , job(*jobPtr)
        , objective(job.arrived + job.route->responseTime)
    { }

    std::shared_ptr<const ForwardJob> jobPtr;
    const ForwardJob &job;
    /** End of the response time objective; for a nested call, the deadline. */
    SteadyTime objective;
    /** Made by the server beside this node on behalf of a request that it runs. */
    bool nestedCall = false;
    /** Rank for the retry budget; a nested call has the rank of the request that waits for it. */
    int budgetRank = callerRankOffset;
    FiberNotifier notifier;
    std::vector<AttemptPtr> attempts;
    HomeSearch search;
    /** Homes whose server has run the request, or may have; their number is limited by the route's maxAttempts. */
    std::set<std::string> reachedHomes;
    /** Homes to which the request was sent, and the number of reservations made for it. */
    std::set<std::string> triedHomes;
    std::size_t reservationsMade = 0;
    /** The outcome of an attempt could not be queried, and no retry has been considered since. */
    bool hasLostAttempt = false;
    /** A retry was allowed but no home accepted it. */
    bool noOtherHome = false;
    /** This node is stopping: queued attempts are cancelled and no further home is tried. */
    bool queuedCancelled = false;
    /** Attempts that wait for a slot; a hedge would find none either. */
    int waitingForSlot = 0;
    /** Refusals by homes that expect its nested calls to fail. */
    int callsUnserved = 0;
    bool finished = false;
};

Forwarder::Forwarder(NodeCore &core, LocalHome &home, WorkSender &sender, RetryBudgetService &retryBudgets,
                     PathMonitor &paths, SlotRequester &slots)
    : core_(core)
    , home_(home)
    , sender_(sender)
    , retryBudgets_(retryBudgets)
    , paths_(paths)
    , slots_(slots)
    , ranking_([&core] { return core.random(); })
{
    slots_.setOfferListener(
        [this](const std::string &node, const SlotOffer &offer, int priority) { noteOffer(node, offer, priority); });
    paths_.setHooks(PathMonitor::Hooks{[this](const std::string &node) {
                                           ranking_.notePathFailure(node);
                                           slots_.homeLost(node);
                                       },
                                       [this](const std::string &node) { ranking_.notePathRecovered(node); }});
}

std::vector<RankedHome> Forwarder::homesOf(const std::string &service) const
{
    std::vector<RankedHome> homes;
    bool listed = false;
    for (const RegistryEntryPtr &entry : core_.service<RegistrySync>("registry").registry().homesOf(service)) {
        Distance distance = Distance::OtherRegion;
        if (entry->id == core_.self.id) {
            distance = Distance::SameNode;
            listed = true;
        } else if (entry->zone == core_.settings.zone) {
            distance = Distance::SameZone;
        } else if (entry->region == core_.settings.region) {
            distance = Distance::SameRegion;
        }
        homes.push_back(RankedHome{entry->id, distance});
    }
    // The server beside this node is usable without a registry entry.
    if (!listed && core_.settings.server->service == service) {
        homes.push_back(RankedHome{core_.self.id, Distance::SameNode});
    }
    return homes;
}

int Forwarder::priorityOf(const Run &run)
{
    return run.nestedCall ? nestedCallRank : callerRankOffset + run.job.priority;
}

std::string Forwarder::keyProblem(const Run &run)
{
    const AdmissionResult result = run.job.recheckKey ? run.job.recheckKey() : AdmissionResult::Admitted;
    if (result == AdmissionResult::Admitted) {
        return {};
    }
    return result == AdmissionResult::Unauthorized ? keyRevokedReason : unconfirmedReason;
}

HomeQuery Forwarder::homeQueryOf(const Run &run) const
{
    const SteadyTime now = core_.clock.now();
    HomeQuery query;
    query.retryable = canRetry(run);
    query.priority = priorityOf(run);
    query.untilObjective = millisOf(run.objective - now);
    query.untilDeadline = millisOf(run.job.deadline - now);
    query.workTime = millisOf(stats_.expectedWorkTime(*run.job.route));
    query.mustQueue = run.search.mustQueue();
    query.responseKilobytes = stats_.responseKilobytes(run.job.route->name);
    query.ownHomeIdle = home_.needsRequest(run.job.service, query.retryable);
    return query;
}

CallRates Forwarder::retryCostOf(const Run &run) const
{
    CallRates cost = stats_.calls(run.job.route->name);
    cost[run.job.service] += 1.0;
    return cost;
}

RetryReason Forwarder::retryReasonOf(const Run &run) const
{
    return retryBudgets_.reasonFor(run.job.service, run.budgetRank);
}

bool Forwarder::canRetry(const Run &run) const
{
    const Route &route = *run.job.route;
    const bool hasAttemptsLeft = static_cast<int>(run.reachedHomes.size()) + 1 < route.maxAttempts;
    return route.idempotent && hasAttemptsLeft && retryBudgets_.canAfford(retryCostOf(run), retryReasonOf(run));
}

bool Forwarder::reserveRetry(Run &run, RetryReason reason, const char *why)
{
    const Route &route = *run.job.route;
    const bool hasAttemptsLeft = static_cast<int>(run.reachedHomes.size()) < route.maxAttempts;
    const auto canStillRun = [&] {
        const bool hasTimeLeft = core_.clock.now() + minTimeLeft < std::min(run.job.deadline, latestStart(run));
        return hasTimeLeft && !run.finished && !run.job.control->cancelled;
    };
    const CallRates cost = retryCostOf(run);
    const bool reserved = hasAttemptsLeft && canStillRun() && retryBudgets_.spend(cost, reason);
    // A token transfer takes some round trips. If the caller has disconnected by then, the request must not be sent.
    const bool allowed = reserved && canStillRun();
    if (reserved && !allowed) {
        retryBudgets_.refund(cost);
    }
    if (!reserved && hasAttemptsLeft && canStillRun() && reason != RetryReason::Hedge) {
        retryBudgets_.noteDenied(run.job.service, run.budgetRank);
    }
    core_.events.writeRequest(
        allowed ? Severity::Info : Severity::Warning, "retry_requested",
        {{"request", run.job.requestId},
         {"service", run.job.service},
         {"why", why},
         {"servers", std::to_string(run.reachedHomes.size())},
         {"allowed",
          allowed ? "yes" : (!hasAttemptsLeft ? "no-servers-used" : (!canStillRun() ? "no-time" : "no-budget"))}});
    core_.metrics.count(allowed ? "retries_allowed" : "retries_denied");
    return allowed;
}

void Forwarder::startAttempt(const RunPtr &run, AttemptKind kind)
{
    auto attempt = std::make_shared<Attempt>();
    attempt->control = std::make_shared<RunControl>();
    attempt->control->onOutcomeUnknown = [run = run.get(), attempt = attempt.get()] {
        attempt->outcomeUnknown = true;
        run->hasLostAttempt = true;
        run->notifier.notify();
    };
    run->attempts.push_back(attempt);
    spawnFiber([this, run, attempt, kind] {
        runAttempt(run, attempt, kind);
        attempt->ended = true;
        attempt->control->onOutcomeUnknown = {};
        if (kind != AttemptKind::First && !attempt->reachedServer) {
            retryBudgets_.refund(retryCostOf(*run));
            // Another retry would try the same homes, which have all refused.
            run->noOtherHome = run->noOtherHome || kind == AttemptKind::Retry;
        }
        run->notifier.notify();
    });
}

void Forwarder::runAttempt(const RunPtr &run, const AttemptPtr &attempt, AttemptKind kind)
{
    const ForwardJob &job = run->job;
    attempt->reply.outcome = Outcome::NotRun;
    attempt->reply.reason = "no-sound-home";
    // A hedge is useful only where a slot is free now.
    bool canReserve = kind != AttemptKind::Hedge && slots_.mayWait(*job.route);
    while (!attempt->control->cancelled && !run->finished && run->search.canContinue()) {
        const SteadyTime now = core_.clock.now();
        if (const std::string problem = keyProblem(*run); !problem.empty()) {
            attempt->reply.reason = problem;
            return;
        }
        if (run->queuedCancelled || now >= latestStart(*run)) {
            attempt->reply.reason = "stopping";
            return;
        }
        const std::vector<RankedHome> homes = homesOf(job.service);
        for (const std::string &node : ranking_.takePathsToCheck(homes, now)) {
            paths_.check(node);
        }
        HomeChoice choice = ranking_.choose(homes, run->search.excluded(), homeQueryOf(*run), now);
        if (now + minTimeLeft >= job.deadline) {
            return;
        }
        std::uint64_t reservation = 0;
        if (canReserve && shouldReserve(*run, choice)) {
            const SlotWaitResult slot = awaitSlot(run, attempt);
            if (slot.end == SlotWaitEnd::NoOffer) {
                return;
            }
            if (slot.end == SlotWaitEnd::Cancelled) {
                continue;
            }
            // The key may have been taken away, or its configuration grown old, during the wait.
            if (const std::string problem = keyProblem(*run); !problem.empty()) {
                slots_.release(slot);
                attempt->reply.reason = problem;
                return;
            }
            canReserve = slot.end == SlotWaitEnd::Offered;
            if (canReserve) {
                choice = choiceOf(*run, slot, choice);
                reservation = slot.reservation;
            }
        }
        if (choice.node.empty() || (kind == AttemptKind::Hedge && isHedgeUseless(*run, choice))) {
            return;
        }
        const bool loadIsFresh = choice.loadAge >= Millis(0) && choice.loadAge <= maxFreshLoadAge;
        if (reservation == 0 && choice.missesDeadline && loadIsFresh) {
            // Every home would queue the request beyond its deadline. Refusing it now lets the caller retry sooner.
            attempt->reply.reason = refusalReason(*run, "no-room");
            attempt->reply.load.wait = choice.wait;
            return;
        }
        if (kind == AttemptKind::Hedge) {
            choice.queueTimeout = Millis(0);
        } else if (canReserve) {
            choice.queueTimeout = slots_.directQueueTimeout(choice);
        }
        if (sendToHome(run, attempt, choice, reservation)) {
            return;
        }
    }
}

bool Forwarder::shouldReserve(const Run &run, HomeChoice &choice)
{
    if (!slots_.shouldReserve(choice) && run.triedHomes.empty()) {
        return false;
    }
    const std::vector<ReservationCandidate> candidates = reservationCandidates(run);
    if (!slots_.canReserve(candidates)) {
        return false;
    }
    std::set<std::string> excluded = slots_.homesWithoutRoom(candidates);
    excluded.insert(run.search.excluded().begin(), run.search.excluded().end());
    excluded.insert(run.triedHomes.begin(), run.triedHomes.end());
    const HomeChoice other = ranking_.choose(homesOf(run.job.service), excluded, homeQueryOf(run), core_.clock.now());
    if (other.node.empty() || !slots_.mayBeSent(run.triedHomes.size())) {
        return true;
    }
    choice = other;
    return false;
}

bool Forwarder::isHedgeUseless(const Run &run, const HomeChoice &choice) const
{
    return slots_.mayWait(*run.job.route) && slots_.offersSlots(choice.node) && slots_.shouldReserve(choice);
}

std::vector<ReservationCandidate> Forwarder::reservationCandidates(const Run &run) const
{
    const std::vector<RankedHome> homes = homesOf(run.job.service);
    const std::vector<HomeStatus> statuses = ranking_.statusOf(homes, homeQueryOf(run), core_.clock.now());
    std::vector<ReservationCandidate> candidates;
    for (std::size_t i = 0; i < homes.size(); ++i) {
        if (run.reachedHomes.count(homes[i].node) == 0) {
            candidates.push_back(ReservationCandidate{homes[i].node, homes[i].distance, statuses[i]});
        }
    }
    return candidates;
}

SlotWaitResult Forwarder::awaitSlot(const RunPtr &run, const AttemptPtr &attempt)
{
    const ForwardJob &job = run->job;
    SlotWait want;
    want.requestId = job.requestId;
    want.service = job.service;
    want.route = job.route->name;
    want.customer = job.customer;
    want.priority = static_cast<std::uint8_t>(priorityOf(*run));
    want.retryable = canRetry(*run);
    want.need.objective = run->objective;
    want.need.deadline = job.deadline;
    want.need.workTime = millisOf(stats_.expectedWorkTime(*job.route));
    want.need.responseKilobytes = stats_.responseKilobytes(job.route->name);
    want.need.tried = run->triedHomes;
    want.need.made = run->reservationsMade;
    want.until = latestStart(*run);
    want.callsUnserved = run->callsUnserved;
    want.candidates = [this, run] { return reservationCandidates(*run); };
    want.control = attempt->control;
    ++run->waitingForSlot;
    SlotWaitResult result = slots_.wait(want);
    --run->waitingForSlot;
    run->reservationsMade += result.made;
    run->callsUnserved = std::max(run->callsUnserved, result.callsUnserved);
    run->notifier.notify();
    if (result.end == SlotWaitEnd::NoOffer) {
        attempt->reply.outcome = Outcome::NotRun;
        attempt->reply.reason = refusalReason(*run, "no-slot");
        attempt->reply.load.wait = result.retryAfter;
    }
    return result;
}

std::string Forwarder::refusalReason(const Run &run, const char *otherwise)
{
    return run.callsUnserved > 0 ? refusalReasonName(RefusalReason::CallsUnserved) : otherwise;
}

HomeChoice Forwarder::choiceOf(const Run &run, const SlotWaitResult &slot, HomeChoice choice) const
{
    if (slot.home == choice.node) {
        return choice;
    }
    choice.node = slot.home;
    choice.acceptsGray = false;
    for (const RankedHome &home : homesOf(run.job.service)) {
        choice.distance = home.node == slot.home ? home.distance : choice.distance;
    }
    return choice;
}

void Forwarder::noteOffer(const std::string &home, const SlotOffer &offer, int priority)
{
    const SteadyTime now = core_.clock.now();
    ranking_.noteLoad(home, offer.load, priority, now);
    if (offer.reason == refusalReasonName(RefusalReason::NoServer) || offer.reason == "stopping"
        || offer.reason == "other-service") {
        ranking_.noteNoServer(home, now);
    }
}

bool Forwarder::sendToHome(const RunPtr &run, const AttemptPtr &attempt, const HomeChoice &choice,
                           std::uint64_t reservation)
{
    const ForwardJob &job = run->job;
    const SteadyTime now = core_.clock.now();
    Work work;
    work.requestId = job.requestId;
    work.service = job.service;
    work.route = job.route->name;
    work.idempotent = job.route->idempotent;
    work.retryable = canRetry(*run);
    work.acceptsGray = choice.acceptsGray;
    work.priority = static_cast<std::uint8_t>(priorityOf(*run));
    work.remaining = millisOf(job.deadline - now);
    work.untilObjective = millisOf(run->objective - now);
    work.queueTimeout = choice.queueTimeout;
    work.versions = core_.service<StateUpdateService>("state-updates").versions();
    work.request = job.request;
    work.keyChecked = true;
    work.reservation = reservation;
    const std::size_t requestBytes = job.request.body.size();
    attempt->home = choice.node;
    ranking_.noteSent(choice.node);
    // Recorded before the send, so that a concurrent attempt does not use the same server.
    run->reachedHomes.insert(choice.node);
    run->search.noteSent(choice.node);
    run->triedHomes.insert(choice.node);
    SendResult result;
    if (choice.node == core_.self.id) {
        result.reply = home_.run(WorkKey{core_.self, nextLocalWork_++}, work, attempt->control);
    } else {
        const RegistryEntryPtr entry = core_.service<RegistrySync>("registry").registry().find(choice.node);
        if (entry != nullptr) {
            result = sender_.run(*entry, entry->region != core_.settings.region, std::move(work), job.deadline,
                                 attempt->control);
        } else {
            result.reply.outcome = Outcome::NotRun;
            result.reply.reason = "left-the-registry";
        }
    }
    ranking_.noteDone(choice.node);
    const SteadyTime after = core_.clock.now();
    const WorkReply &reply = result.reply;
    if (result.pathFailed) {
        paths_.noteFailure(choice.node);
    } else if (reply.outcome != Outcome::Unknown || reply.reachedServer) {
        ranking_.notePathRecovered(choice.node);
        ranking_.noteLoad(choice.node, reply.load, priorityOf(*run), after);
    }
    const bool noServer = reply.reason == refusalReasonName(RefusalReason::NoServer) || reply.reason == "stopping"
                          || reply.reason == "other-service" || reply.reason == "other-server";
    if (noServer) {
        ranking_.noteNoServer(choice.node, after);
    }
    const bool likelyGray = reply.reason == refusalReasonName(RefusalReason::LikelyGray);
    if (likelyGray) {
        ranking_.noteLikelyGray(RankedHome{choice.node, choice.distance}, after);
    }
    run->callsUnserved += reply.reason == refusalReasonName(RefusalReason::CallsUnserved) ? 1 : 0;
    stats_.add(job.route->name, reply);
    if (reply.nestedCall) {
        home_.noteNestedCall(job.route->name);
    }
    core_.events.writeRequest(result.pathFailed ? Severity::Warning : Severity::Info, "sent",
                              {{"request", job.requestId},
                               {"home", choice.node},
                               {"distance", distanceName(choice.distance)},
                               {"bytes", std::to_string(requestBytes + reply.response.body.size())},
                               {"loss", std::to_string(static_cast<int>(choice.loss))},
                               {"loadAgeMs", std::to_string(choice.loadAge.count())},
                               {"queueTimeoutMs", std::to_string(choice.queueTimeout.count())},
                               {"expectedWaitMs", std::to_string(choice.wait.count())},
                               {"reportedWaitMs", std::to_string(reply.load.wait.count())},
                               {"acceptsGray", choice.acceptsGray ? "yes" : "no"},
                               {"outcome", outcomeName(reply.outcome)},
                               {"reason", reply.reason},
                               {"pathFailed", result.pathFailed ? "yes" : "no"},
                               {"tookMs", std::to_string(millisOf(after - now).count())}});
    attempt->reply = reply;
    attempt->reachedServer = attempt->reachedServer || reply.reachedServer || reply.outcome == Outcome::Unknown;
    const bool refused = reply.outcome == Outcome::NotRun && !reply.reachedServer;
    if (refused) {
        // No server received the request, so this send does not count as an attempt.
        run->reachedHomes.erase(choice.node);
        // A fenced Work never runs, and the new link that carried the fence reply may carry the next Work.
        const bool reachable = !result.pathFailed || reply.reason == fencedReason;
        if (reachable && !noServer && !likelyGray) {
            // The home may be tried again: with the load that its refusal reported it may still be the best one.
            run->search.noteRefused(choice.node);
        }
        return attempt->control->cancelled || reply.reason == poisonReason || run->callsUnserved >= maxCallsUnserved;
    }
    if (reply.outcome == Outcome::NotRun && !attempt->control->cancelled) {
        // The server received the request but did not run it, so the next send counts as a retry.
        run->reachedHomes.erase(choice.node);
        return !reserveRetry(*run, retryReasonOf(*run), "server-refused");
    }
    return true;
}

ForwardResult Forwarder::finish(const RunPtr &run, const WorkReply &reply)
{
    run->finished = true;
    for (const AttemptPtr &attempt : run->attempts) {
        if (!attempt->ended) {
            attempt->control->cancel();
        }
    }
    ForwardResult result;
    const bool failed = reply.outcome != Outcome::Ran || reply.serverFault;
    if (run->nestedCall && failed) {
        home_.noteFailedCall(run->job.route->name, run->job.service);
    }
    if (run->nestedCall && isCallEvidence(*run)) {
        home_.noteCallResult(run->job.service, !failed);
    }
    result.outcome = reply.outcome;
    result.reason = reply.reason;
    result.response = reply.response;
    if (reply.outcome == Outcome::NotRun && reply.reason != poisonReason) {
        result.retryAfter = std::max(minRetryAfter, reply.load.wait);
        if (reply.reason == refusalReasonName(RefusalReason::CallsUnserved)) {
            std::uniform_real_distribution<double> factor(1.0, callsUnservedSpread);
            const Millis base = std::max(callsUnservedRetryAfter, result.retryAfter);
            result.retryAfter = std::chrono::duration_cast<Millis>(base * factor(core_.random));
        }
    }
    return result;
}

bool Forwarder::isCallEvidence(const Run &run) const
{
    // A server drops its call early when its own caller has gone. Later, the called service was too slow for it.
    const bool dropped =
        run.job.control->cancelled && core_.clock.now() < run.job.arrived + run.job.route->responseTime;
    return !dropped && !aborting_;
}

ForwardResult Forwarder::finishTimedOut(const RunPtr &run, bool immediately)
{
    for (const AttemptPtr &attempt : run->attempts) {
        attempt->control->cancel();
    }
    run->finished = true;
    const auto allEnded = [&] {
        return std::all_of(run->attempts.begin(), run->attempts.end(),
                           [](const AttemptPtr &one) { return one->ended; });
    };
    // A request that was only queued has not run, and its home confirms that within a round trip. The caller can then
    // retry safely.
    const SteadyTime until = core_.clock.now() + cancelReplyTimeout;
    while (!immediately && !allEnded() && core_.clock.now() < until) {
        run->notifier.wait(core_.ioContext, until - core_.clock.now());
    }
    WorkReply reply;
    const bool notRun = allEnded()
                        && std::all_of(run->attempts.begin(), run->attempts.end(),
                                       [](const AttemptPtr &one) { return one->reply.outcome == Outcome::NotRun; });
    reply.outcome = notRun ? Outcome::NotRun : Outcome::Unknown;
    reply.reason = "timeout";
    return finish(run, reply);
}

ForwardResult Forwarder::run(const std::shared_ptr<const ForwardJob> &jobPtr)
{
    const ForwardJob &job = *jobPtr;
    const auto run = std::make_shared<Run>(jobPtr);
    active_.insert(run);
    struct Active {
        std::set<RunPtr> &runs;
        const RunPtr &run;
        LocalHome &home;
        ~Active()
        {
            runs.erase(run);
            if (run->nestedCall) {
                home.noteCallEnded();
            }
        }
    } const active{active_, run, home_};
    home_.noteArrival(job.route->name, job.service);
    run->nestedCall = home_.isNestedCall(job.route->name);
    if (run->nestedCall) {
        home_.noteCallStarted();
    }
    run->budgetRank = callerRankOffset + job.priority;
    if (run->nestedCall) {
        run->budgetRank = home_.callerRank(job.service).value_or(nestedCallRank);
    }
    retryBudgets_.noteRequest(job.service);
    if (run->nestedCall) {
        // The request that waits for a nested call fails without a response, but can still succeed with a late one.
        run->objective = job.deadline;
    }
    job.control->interrupt = [run] { run->notifier.notify(); };
    startAttempt(run, AttemptKind::First);
    const bool retryable = job.route->idempotent && job.route->maxAttempts > 1;
    bool hedged = false;
    std::size_t evaluated = 0;
    WorkReply lastReply;
    bool hasLastReply = false;
    while (true) {
        const SteadyTime now = core_.clock.now();
        const bool mayHedge = retryable && !hedged && run->waitingForSlot == 0;
        const SteadyTime hedgeAt = mayHedge ? stats_.hedgeTime(*job.route, job.arrived) : SteadyTime::max();
        const std::size_t ended = static_cast<std::size_t>(std::count_if(
            run->attempts.begin(), run->attempts.end(), [](const AttemptPtr &one) { return one->ended; }));
        const SteadyTime cancelQueuedAt = run->queuedCancelled ? SteadyTime::max() : latestStart(*run);
        if (now >= cancelQueuedAt) {
            cancelQueued(*run);
            continue;
        }
        if (job.control->cancelled || aborting_ || now >= job.deadline) {
            job.control->interrupt = {};
            return finishTimedOut(run, job.control->cancelled || aborting_);
        }
        if (ended > evaluated) {
            for (const AttemptPtr &attempt : run->attempts) {
                const bool succeeded =
                    attempt->ended && attempt->reply.outcome == Outcome::Ran && !attempt->reply.serverFault;
                if (succeeded) {
                    job.control->interrupt = {};
                    return finish(run, attempt->reply);
                }
            }
            evaluated = ended;
            for (const AttemptPtr &attempt : run->attempts) {
                const bool preferred = attempt->ended
                                       && (!hasLastReply || attempt->reply.outcome == Outcome::Ran
                                           || lastReply.outcome == Outcome::NotRun);
                if (preferred) {
                    lastReply = attempt->reply;
                    hasLastReply = true;
                }
            }
            if (ended == run->attempts.size()) {
                const bool failed = lastReply.outcome != Outcome::NotRun && !run->noOtherHome;
                const bool retry = failed && retryable && reserveRetry(*run, retryReasonOf(*run), "failed");
                if (!retry) {
                    job.control->interrupt = {};
                    return finish(run, lastReply);
                }
                hedged = true;
                startAttempt(run, AttemptKind::Retry);
            }
            continue;
        }
        if (run->hasLostAttempt) {
            run->hasLostAttempt = false;
            const bool nonePending = std::all_of(run->attempts.begin(), run->attempts.end(), [](const AttemptPtr &one) {
                return one->ended || one->outcomeUnknown;
            });
            const bool retry = retryable && nonePending && !run->noOtherHome;
            if (retry && reserveRetry(*run, retryReasonOf(*run), "outcome-unknown")) {
                hedged = true;
                startAttempt(run, AttemptKind::Retry);
            }
            continue;
        }
        if (now >= hedgeAt) {
            hedged = true;
            if (reserveRetry(*run, RetryReason::Hedge, "slow")) {
                startAttempt(run, AttemptKind::Hedge);
            }
            continue;
        }
        run->notifier.wait(core_.ioContext, std::min({job.deadline, hedgeAt, cancelQueuedAt}) - now);
    }
}

void Forwarder::registryChanged()
{
    std::set<std::string> nodes = {core_.self.id};
    for (const RegistryEntryPtr &entry : core_.service<RegistrySync>("registry").registry().all()) {
        nodes.insert(entry->id);
    }
    ranking_.keepOnly(nodes);
}

void Forwarder::configChanged()
{
    for (const RunPtr &run : active_) {
        if (keyProblem(*run) == keyRevokedReason) {
            cancelQueued(*run);
        }
    }
}

void Forwarder::setStopDeadline(SteadyTime deadline)
{
    stopDeadline_ = deadline;
    for (const RunPtr &run : active_) {
        run->notifier.notify();
    }
}

void Forwarder::abortAll()
{
    aborting_ = true;
    for (const RunPtr &run : active_) {
        run->notifier.notify();
    }
}

SteadyTime Forwarder::latestStart(const Run &run) const
{
    if (stopDeadline_ == SteadyTime::max()) {
        return stopDeadline_;
    }
    const auto reserve = std::chrono::duration_cast<Duration>(stats_.expectedWorkTime(*run.job.route) * stopWorkFactor);
    return stopDeadline_ - std::clamp<Duration>(reserve, minStopReserve, maxStopReserve);
}

void Forwarder::cancelQueued(Run &run)
{
    run.queuedCancelled = true;
    for (const AttemptPtr &attempt : run.attempts) {
        if (!attempt->ended) {
            attempt->control->cancelQueued();
        }
    }
}

} // namespace waxwing
