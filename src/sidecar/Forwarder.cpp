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

#include <algorithm>

namespace waxwing {

namespace {

/** Weight of the newest work time and answer in a route's means. */
constexpr double workSmoothing = 0.1;
constexpr double bytesPerKilobyte = 1024.0;
/** Before any work of a route was seen it is planned with this part of its objective. */
constexpr double assumedWorkFraction = 0.3;
/** An idempotent request that takes this many times the usual work time is tried elsewhere beside. */
constexpr double hedgeDelayFactor = 3.0;
constexpr Millis minHedgeDelay{120};
/** Part of the objective that must be left for a second try to be of use. */
constexpr double maxHedgeFraction = 0.75;
/** Only news as young as a round trip between regions is reason enough to refuse without asking. */
constexpr Millis maxFreshLoadAge{100};
constexpr Millis minRetryAfter{300};
constexpr Millis minTimeLeft{5};
/** A stopping node begins nothing that would likely run beyond its end: so many times the usual work, within bounds. */
constexpr double stopWorkFactor = 2.0;
constexpr Millis minStopReserve{500};
constexpr Millis maxStopReserve{3000};
/** A round trip between regions, and some time for a busy home. */
constexpr Millis cancelReplyTimeout{120};

Millis toMillis(Duration value)
{
    return std::chrono::duration_cast<Millis>(value);
}

/** Rank of work that other work waits for; callers' work follows in the order of its routes' ranks. */
constexpr int innerCallRank = 0;
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
    /** Answered by then it counts in full. */
    SteadyTime objective;
    /** Made by the server beside this node for a work that it runs. */
    bool nestedCall = false;
    /** Of the request, and of a server's call that of the work which waits for it. */
    int budgetRank = callerRankOffset;
    FiberNotifier notifier;
    std::vector<AttemptPtr> attempts;
    HomeSearch search;
    /** Homes whose server had it, or may have. */
    std::set<std::string> reachedHomes;
    /** A home was asked in vain what became of the request, and it was not tried elsewhere since. */
    bool hasLostAttempt = false;
    /** A repeat was allowed and found no home that takes it. */
    bool noOtherHome = false;
    /** The node stops: it is not sent any more, and what waits for a server is taken back. */
    bool queuedCancelled = false;
    bool finished = false;
};

Forwarder::Forwarder(NodeCore &core, LocalHome &home, WorkSender &sender, RetryBudgetService &retryBudgets,
                     PathMonitor &paths)
    : core_(core)
    , home_(home)
    , sender_(sender)
    , retryBudgets_(retryBudgets)
    , paths_(paths)
    , ranking_([&core] { return core.random(); })
{
    paths_.setHooks(PathMonitor::Hooks{[this](const std::string &node) { ranking_.notePathFailure(node); },
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
    // The server beside this node needs no entry in the store to be found.
    if (!listed && core_.settings.server->service == service) {
        homes.push_back(RankedHome{core_.self.id, Distance::SameNode});
    }
    return homes;
}

Duration Forwarder::expectedWorkTime(const Route &route) const
{
    const auto found = stats_.find(route.name);
    const double seconds = found != stats_.end() && found->second.workSeconds > 0.0
                               ? found->second.workSeconds
                               : assumedWorkFraction * std::chrono::duration<double>(route.responseTime).count();
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

int Forwarder::priorityOf(const Run &run)
{
    return run.nestedCall ? innerCallRank : callerRankOffset + run.job.route->priority;
}

HomeQuery Forwarder::homeQueryOf(const Run &run) const
{
    const SteadyTime now = core_.clock.now();
    const Duration workTime = expectedWorkTime(*run.job.route);
    const auto stats = stats_.find(run.job.route->name);
    HomeQuery need;
    need.retryable = canRetry(run);
    need.priority = priorityOf(run);
    need.untilObjective = toMillis(run.objective - now);
    need.untilDeadline = toMillis(run.job.deadline - now);
    need.workTime = toMillis(workTime);
    need.mustQueue = run.search.mustQueue();
    need.responseKilobytes = stats == stats_.end() ? 0.0 : stats->second.kilobytes;
    return need;
}

SteadyTime Forwarder::hedgeTime(const Run &run) const
{
    const auto usual = std::chrono::duration_cast<Duration>(expectedWorkTime(*run.job.route) * hedgeDelayFactor);
    const auto latest = std::chrono::duration_cast<Duration>(run.job.route->responseTime * maxHedgeFraction);
    return run.job.arrived + std::max<Duration>(minHedgeDelay, std::min(usual, latest));
}

CallRates Forwarder::retryCostOf(const Run &run) const
{
    CallRates repeats;
    const auto found = stats_.find(run.job.route->name);
    if (found != stats_.end()) {
        repeats = found->second.calls;
    }
    repeats[run.job.service] += 1.0;
    return repeats;
}

RetryReason Forwarder::retryReasonOf(const Run &run) const
{
    return retryBudgets_.reasonFor(run.job.service, run.budgetRank);
}

bool Forwarder::canRetry(const Run &run) const
{
    const Route &route = *run.job.route;
    const bool room = static_cast<int>(run.reachedHomes.size()) + 1 < route.maxAttempts;
    return route.idempotent && room && retryBudgets_.canAfford(retryCostOf(run), retryReasonOf(run));
}

bool Forwarder::reserveRetry(Run &run, RetryReason purpose, const char *why)
{
    const Route &route = *run.job.route;
    const bool room = static_cast<int>(run.reachedHomes.size()) < route.maxAttempts;
    const auto wanted = [&] {
        const bool time = core_.clock.now() + minTimeLeft < std::min(run.job.deadline, latestStart(run));
        return time && !run.finished && !run.job.control->cancelled;
    };
    const CallRates repeats = retryCostOf(run);
    const bool budget = room && wanted() && retryBudgets_.spend(repeats, purpose);
    // Borrowing takes some round trips. A caller that left meanwhile must not have its request sent to a server.
    const bool may = budget && wanted();
    if (budget && !may) {
        retryBudgets_.giveBack(repeats);
    }
    if (!budget && room && wanted() && purpose != RetryReason::Hedge) {
        retryBudgets_.noteDenied(run.job.service, run.budgetRank);
    }
    core_.events.writeRequest(
        may ? Severity::Info : Severity::Warning, "second_send",
        {{"request", run.job.requestId},
         {"service", run.job.service},
         {"why", why},
         {"servers", std::to_string(run.reachedHomes.size())},
         {"allowed", may ? "yes" : (!room ? "no-servers-used" : (!wanted() ? "no-time" : "no-budget"))}});
    core_.metrics.count(may ? "second_sends" : "second_sends_refused");
    return may;
}

void Forwarder::startAttempt(const RunPtr &run, AttemptKind reason)
{
    auto attempt = std::make_shared<Attempt>();
    attempt->control = std::make_shared<RunControl>();
    attempt->control->onOutcomeUnknown = [run = run.get(), attempt = attempt.get()] {
        attempt->outcomeUnknown = true;
        run->hasLostAttempt = true;
        run->notifier.notify();
    };
    run->attempts.push_back(attempt);
    spawnFiber([this, run, attempt, reason] {
        runAttempt(run, attempt, reason);
        attempt->ended = true;
        attempt->control->onOutcomeUnknown = {};
        if (reason != AttemptKind::First && !attempt->reachedServer) {
            retryBudgets_.giveBack(retryCostOf(*run));
            // Asking the same homes once more would find none again.
            run->noOtherHome = run->noOtherHome || reason == AttemptKind::Retry;
        }
        run->notifier.notify();
    });
}

void Forwarder::runAttempt(const RunPtr &run, const AttemptPtr &attempt, AttemptKind reason)
{
    const ForwardJob &job = run->job;
    attempt->reply.outcome = Outcome::NotRun;
    attempt->reply.reason = "no-sound-home";
    while (!attempt->control->cancelled && !run->finished && run->search.canContinue()) {
        const SteadyTime now = core_.clock.now();
        if (run->queuedCancelled || now >= latestStart(*run)) {
            attempt->reply.reason = "stopping";
            return;
        }
        HomeChoice choice = ranking_.choose(homesOf(job.service), run->search.excluded(), homeQueryOf(*run), now);
        if (choice.node.empty() || now + minTimeLeft >= job.deadline) {
            return;
        }
        const bool loadIsFresh = choice.loadAge >= Millis(0) && choice.loadAge <= maxFreshLoadAge;
        if (choice.missesDeadline && loadIsFresh) {
            // Every home would keep it beyond its deadline. The caller is better off to hear that at once.
            attempt->reply.reason = "no-room";
            attempt->reply.load.wait = choice.wait;
            return;
        }
        if (reason == AttemptKind::Hedge) {
            choice.queueTimeout = Millis(0);
        }
        if (sendToHome(run, attempt, choice)) {
            return;
        }
    }
}

bool Forwarder::sendToHome(const RunPtr &run, const AttemptPtr &attempt, const HomeChoice &choice)
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
    work.remaining = toMillis(job.deadline - now);
    work.untilObjective = toMillis(run->objective - now);
    work.queueTimeout = choice.queueTimeout;
    work.versions = core_.service<StateUpdateService>("state-updates").versions();
    work.request = job.request;
    attempt->home = choice.node;
    ranking_.noteSent(choice.node);
    // Counted from now on: a second placement beside this one must not use the same server.
    run->reachedHomes.insert(choice.node);
    run->search.noteSent(choice.node);
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
            result.reply.reason = "left-the-roster";
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
    const bool doubtful = reply.reason == refusalReasonName(RefusalReason::LikelyGray);
    if (doubtful) {
        ranking_.noteLikelyGray(RankedHome{choice.node, choice.distance}, after);
    }
    updateStats(job.route->name, reply);
    core_.events.writeRequest(result.pathFailed ? Severity::Warning : Severity::Info, "sent",
                              {{"request", job.requestId},
                               {"home", choice.node},
                               {"loss", std::to_string(static_cast<int>(choice.loss))},
                               {"loadAgeMs", std::to_string(choice.loadAge.count())},
                               {"patienceMs", std::to_string(choice.queueTimeout.count())},
                               {"expectedWaitMs", std::to_string(choice.wait.count())},
                               {"toldWaitMs", std::to_string(reply.load.wait.count())},
                               {"acceptsDoubt", choice.acceptsGray ? "yes" : "no"},
                               {"outcome", outcomeName(reply.outcome)},
                               {"reason", reply.reason},
                               {"pathFailed", result.pathFailed ? "yes" : "no"},
                               {"tookMs", std::to_string(toMillis(after - now).count())}});
    attempt->reply = reply;
    attempt->reachedServer = attempt->reachedServer || reply.reachedServer || reply.outcome == Outcome::Unknown;
    const bool refused = reply.outcome == Outcome::NotRun && !reply.reachedServer;
    if (refused) {
        // A refusal is news about the home; with it the same one may still be the best.
        run->reachedHomes.erase(choice.node);
        // A fenced Work never runs, and the fresh link that brought the word may carry the next one.
        const bool reachable = !result.pathFailed || reply.reason == fencedReason;
        if (reachable && !noServer && !doubtful) {
            run->search.noteRefused(choice.node);
        }
        return attempt->control->cancelled || reply.reason == poisonReason;
    }
    if (reply.outcome == Outcome::NotRun && !attempt->control->cancelled) {
        // It was an arrival at a server, though it did not run: another one is a second send.
        run->reachedHomes.erase(choice.node);
        return !reserveRetry(*run, retryReasonOf(*run), "server-refused");
    }
    return true;
}

void Forwarder::updateStats(const std::string &route, const WorkReply &reply)
{
    const bool ran = reply.outcome == Outcome::Ran && !reply.serverFault;
    if (ran) {
        RouteStats &stats = stats_[route];
        const auto smooth = [](double &mean, double sample) {
            mean = mean == 0.0 ? sample : mean + workSmoothing * (sample - mean);
        };
        smooth(stats.workSeconds, std::chrono::duration<double>(reply.processingTime).count());
        smooth(stats.kilobytes, static_cast<double>(reply.response.body.size()) / bytesPerKilobyte);
    }
    if (reply.reachedServer) {
        stats_[route].calls = reply.calls;
    }
    if (reply.nestedCall) {
        home_.noteNestedCall(route);
    }
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
    result.outcome = reply.outcome;
    result.reason = reply.reason;
    result.response = reply.response;
    if (reply.outcome == Outcome::NotRun && reply.reason != poisonReason) {
        result.retryAfter = std::max(minRetryAfter, reply.load.wait);
    }
    return result;
}

ForwardResult Forwarder::finishTimedOut(const RunPtr &run, bool atOnce)
{
    for (const AttemptPtr &attempt : run->attempts) {
        attempt->control->cancel();
    }
    run->finished = true;
    const auto allEnded = [&] {
        return std::all_of(run->attempts.begin(), run->attempts.end(),
                           [](const AttemptPtr &one) { return one->ended; });
    };
    // What only waited in a queue has not run, and its home says so within a round trip. That is worth as much to the
    // caller as an answer: it may come again.
    const SteadyTime until = core_.clock.now() + cancelReplyTimeout;
    while (!atOnce && !allEnded() && core_.clock.now() < until) {
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
        ~Active()
        {
            runs.erase(run);
        }
    } const active{active_, run};
    home_.noteArrival(job.route->name, job.service);
    run->nestedCall = home_.isNestedCall(job.route->name);
    run->budgetRank = callerRankOffset + job.route->priority;
    if (run->nestedCall) {
        run->budgetRank = home_.callerRank(job.service).value_or(innerCallRank);
    }
    retryBudgets_.noteRequest(job.service);
    if (run->nestedCall) {
        // Late it still lets its parent be in time; not answered at all it fails the parent.
        run->objective = job.deadline;
    }
    job.control->interrupt = [run] { run->notifier.notify(); };
    startAttempt(run, AttemptKind::First);
    const bool retryable = job.route->idempotent && job.route->maxAttempts > 1;
    bool hedged = false;
    std::size_t judged = 0;
    WorkReply last;
    bool hasLast = false;
    while (true) {
        const SteadyTime now = core_.clock.now();
        const SteadyTime hedgeAt = retryable && !hedged ? hedgeTime(*run) : SteadyTime::max();
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
        if (ended > judged) {
            for (const AttemptPtr &attempt : run->attempts) {
                const bool good =
                    attempt->ended && attempt->reply.outcome == Outcome::Ran && !attempt->reply.serverFault;
                if (good) {
                    job.control->interrupt = {};
                    return finish(run, attempt->reply);
                }
            }
            judged = ended;
            for (const AttemptPtr &attempt : run->attempts) {
                const bool better =
                    attempt->ended
                    && (!hasLast || attempt->reply.outcome == Outcome::Ran || last.outcome == Outcome::NotRun);
                if (better) {
                    last = attempt->reply;
                    hasLast = true;
                }
            }
            if (ended == run->attempts.size()) {
                const bool failed = last.outcome != Outcome::NotRun && !run->noOtherHome;
                const bool again = failed && retryable && reserveRetry(*run, retryReasonOf(*run), "failed");
                if (!again) {
                    job.control->interrupt = {};
                    return finish(run, last);
                }
                hedged = true;
                startAttempt(run, AttemptKind::Retry);
            }
            continue;
        }
        if (run->hasLostAttempt) {
            run->hasLostAttempt = false;
            const bool allLost = std::all_of(run->attempts.begin(), run->attempts.end(),
                                             [](const AttemptPtr &one) { return one->ended || one->outcomeUnknown; });
            const bool again = retryable && allLost && !run->noOtherHome;
            if (again && reserveRetry(*run, retryReasonOf(*run), "fate-unknown")) {
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
    std::set<std::string> known = {core_.self.id};
    for (const RegistryEntryPtr &entry : core_.service<RegistrySync>("registry").registry().all()) {
        known.insert(entry->id);
    }
    ranking_.keepOnly(known);
}

void Forwarder::setStopDeadline(SteadyTime until)
{
    stopDeadline_ = until;
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
    const auto work = std::chrono::duration_cast<Duration>(expectedWorkTime(*run.job.route) * stopWorkFactor);
    return stopDeadline_ - std::clamp<Duration>(work, minStopReserve, maxStopReserve);
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
