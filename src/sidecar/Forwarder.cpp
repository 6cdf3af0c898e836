#include "src/sidecar/Forwarder.h"

#include "src/fiber/FiberLoop.h"
#include "src/fiber/WaitPoint.h"
#include "src/link/PeerHub.h"
#include "src/node/NodeCore.h"
#include "src/sidecar/LocalHome.h"
#include "src/sidecar/NewsService.h"
#include "src/sidecar/PathWatch.h"
#include "src/sidecar/RosterKeeper.h"
#include "src/sidecar/SecondSendService.h"
#include "src/sidecar/WorkSender.h"

#include <algorithm>

namespace waxwing {

namespace {

/** Weight of the newest work time and answer in a route's means. */
constexpr double workSmoothing = 0.1;
constexpr double bytesPerKilobyte = 1024.0;
/** Before any work of a route was seen it is planned with this part of its objective. */
constexpr double assumedWorkPart = 0.3;
/** An idempotent request that takes this many times the usual work time is tried elsewhere beside. */
constexpr double hedgeFactor = 3.0;
constexpr Millis leastHedge{120};
/** Part of the objective that must be left for a second try to be of use. */
constexpr double hedgeLatest = 0.75;
/** Only news as young as a round trip between regions is reason enough to refuse without asking. */
constexpr Millis freshNews{100};
constexpr Millis leastRetryAfter{300};
constexpr Millis leastTime{5};
/** A stopping node begins nothing that would likely run beyond its end: so many times the usual work, within bounds. */
constexpr double stopWorkFactor = 2.0;
constexpr Millis leastStopTime{500};
constexpr Millis longestStopTime{3000};
/** A round trip between regions, and some time for a busy home. */
constexpr Millis certaintyWait{120};

Millis toMillis(Duration value)
{
    return std::chrono::duration_cast<Millis>(value);
}

/** Rank of work that other work waits for; callers' work follows in the order of its routes' ranks. */
constexpr int innerCallRank = 0;
constexpr int firstCallerRank = 1;

} // namespace

struct Forwarder::Run {
    explicit Run(std::shared_ptr<const ForwardJob> jobIn)
        : held(std::move(jobIn))
        , job(*held)
        , objective(job.arrived + job.route->responseTime)
    { }

    std::shared_ptr<const ForwardJob> held;
    const ForwardJob &job;
    /** Answered by then it counts in full. */
    SteadyTime objective;
    /** Made by the server beside this node for a work that it runs. */
    bool innerCall = false;
    /** Of the request, and of a server's call that of the work which waits for it. */
    int worthRank = firstCallerRank;
    WaitPoint point;
    std::vector<PlacementPtr> placements;
    HomeSearch search;
    /** Homes whose server had it, or may have. */
    std::set<std::string> reached;
    /** A home was asked in vain what became of the request, and it was not tried elsewhere since. */
    bool mayRepeatLost = false;
    /** A repeat was allowed and found no home that takes it. */
    bool noOtherHome = false;
    /** The node stops: it is not sent any more, and what waits for a server is taken back. */
    bool withdrawn = false;
    bool over = false;
};

Forwarder::Forwarder(NodeCore &core, LocalHome &home, WorkSender &sender, SecondSendService &secondSends,
                     PathWatch &paths)
    : core_(core)
    , home_(home)
    , sender_(sender)
    , secondSends_(secondSends)
    , paths_(paths)
    , ranking_([&core] { return core.random(); })
{
    paths_.setHooks(PathWatch::Hooks{[this](const std::string &node) { ranking_.notePathFailure(node); },
                                     [this](const std::string &node) { ranking_.notePathGood(node); }});
}

std::vector<RankedHome> Forwarder::homesOf(const std::string &service) const
{
    std::vector<RankedHome> homes;
    bool listed = false;
    for (const RosterEntryPtr &entry : core_.service<RosterKeeper>("roster").roster().homesOf(service)) {
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

Duration Forwarder::typicalWork(const Route &route) const
{
    const auto found = stats_.find(route.name);
    const double seconds = found != stats_.end() && found->second.work > 0.0
                               ? found->second.work
                               : assumedWorkPart * std::chrono::duration<double>(route.responseTime).count();
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

int Forwarder::urgencyOf(const Run &run)
{
    return run.innerCall ? innerCallRank : firstCallerRank + run.job.route->priority;
}

HomeNeed Forwarder::needOf(const Run &run) const
{
    const SteadyTime now = core_.clock.now();
    const Duration work = typicalWork(*run.job.route);
    const auto stats = stats_.find(run.job.route->name);
    HomeNeed need;
    need.repeatable = canRepeat(run);
    need.priority = urgencyOf(run);
    need.untilObjective = toMillis(run.objective - now);
    need.untilDeadline = toMillis(run.job.deadline - now);
    need.work = toMillis(work);
    need.settles = run.search.settles();
    need.answerKilobytes = stats == stats_.end() ? 0.0 : stats->second.kilobytes;
    return need;
}

SteadyTime Forwarder::hedgeTime(const Run &run) const
{
    const auto usual = std::chrono::duration_cast<Duration>(typicalWork(*run.job.route) * hedgeFactor);
    const auto latest = std::chrono::duration_cast<Duration>(run.job.route->responseTime * hedgeLatest);
    return run.job.arrived + std::max<Duration>(leastHedge, std::min(usual, latest));
}

CallRates Forwarder::repeatsOf(const Run &run) const
{
    CallRates repeats;
    const auto found = stats_.find(run.job.route->name);
    if (found != stats_.end()) {
        repeats = found->second.calls;
    }
    repeats[run.job.service] += 1.0;
    return repeats;
}

SecondSend Forwarder::purposeOf(const Run &run) const
{
    return secondSends_.purposeOf(run.job.service, run.worthRank);
}

bool Forwarder::canRepeat(const Run &run) const
{
    const Route &route = *run.job.route;
    const bool room = static_cast<int>(run.reached.size()) + 1 < route.mostServers;
    return route.idempotent && room && secondSends_.mayHave(repeatsOf(run), purposeOf(run));
}

bool Forwarder::maySendAgain(Run &run, SecondSend purpose, const char *why)
{
    const Route &route = *run.job.route;
    const bool room = static_cast<int>(run.reached.size()) < route.mostServers;
    const auto wanted = [&] {
        const bool time = core_.clock.now() + leastTime < std::min(run.job.deadline, latestStart(run));
        return time && !run.over && !run.job.control->cancelled;
    };
    const CallRates repeats = repeatsOf(run);
    const bool budget = room && wanted() && secondSends_.spend(repeats, purpose);
    // Borrowing takes some round trips. A caller that left meanwhile must not have its request sent to a server.
    const bool may = budget && wanted();
    if (budget && !may) {
        secondSends_.giveBack(repeats);
    }
    if (!budget && room && wanted() && purpose != SecondSend::Hedge) {
        secondSends_.noteDenied(run.job.service, run.worthRank);
    }
    core_.events.writeRequest(
        may ? Severity::Info : Severity::Warning, "second_send",
        {{"request", run.job.requestId},
         {"service", run.job.service},
         {"why", why},
         {"servers", std::to_string(run.reached.size())},
         {"allowed", may ? "yes" : (!room ? "no-servers-used" : (!wanted() ? "no-time" : "no-budget"))}});
    core_.metrics.count(may ? "second_sends" : "second_sends_refused");
    return may;
}

void Forwarder::launch(const RunPtr &run, Try reason)
{
    auto placement = std::make_shared<Placement>();
    placement->control = std::make_shared<RunControl>();
    placement->control->onFateUnknown = [run = run.get(), placement = placement.get()] {
        placement->fateUnknown = true;
        run->mayRepeatLost = true;
        run->point.wake();
    };
    run->placements.push_back(placement);
    spawnFiber([this, run, placement, reason] {
        place(run, placement, reason);
        placement->ended = true;
        placement->control->onFateUnknown = {};
        if (reason != Try::First && !placement->reachedServer) {
            secondSends_.giveBack(repeatsOf(*run));
            // Asking the same homes once more would find none again.
            run->noOtherHome = run->noOtherHome || reason == Try::Again;
        }
        run->point.wake();
    });
}

void Forwarder::place(const RunPtr &run, const PlacementPtr &placement, Try reason)
{
    const ForwardJob &job = run->job;
    placement->reply.outcome = Outcome::NotRun;
    placement->reply.reason = "no-sound-home";
    while (!placement->control->cancelled && !run->over && run->search.mayGoOn()) {
        const SteadyTime now = core_.clock.now();
        if (run->withdrawn || now >= latestStart(*run)) {
            placement->reply.reason = "stopping";
            return;
        }
        HomeChoice choice = ranking_.choose(homesOf(job.service), run->search.excluded(), needOf(*run), now);
        if (choice.node.empty() || now + leastTime >= job.deadline) {
            return;
        }
        const bool heardNow = choice.loadAge >= Millis(0) && choice.loadAge <= freshNews;
        if (choice.hopeless && heardNow) {
            // Every home would keep it beyond its deadline. The caller is better off to hear that at once.
            placement->reply.reason = "no-room";
            placement->reply.load.wait = choice.wait;
            return;
        }
        if (reason == Try::Hedge) {
            choice.patience = Millis(0);
        }
        if (sendOnce(run, placement, choice)) {
            return;
        }
    }
}

bool Forwarder::sendOnce(const RunPtr &run, const PlacementPtr &placement, const HomeChoice &choice)
{
    const ForwardJob &job = run->job;
    const SteadyTime now = core_.clock.now();
    Work work;
    work.requestId = job.requestId;
    work.service = job.service;
    work.route = job.route->name;
    work.idempotent = job.route->idempotent;
    work.repeatable = canRepeat(*run);
    work.acceptsDoubt = choice.acceptsDoubt;
    work.priority = static_cast<std::uint8_t>(urgencyOf(*run));
    work.remaining = toMillis(job.deadline - now);
    work.untilObjective = toMillis(run->objective - now);
    work.patience = choice.patience;
    work.versions = core_.service<NewsService>("news").versions();
    work.request = job.request;
    placement->home = choice.node;
    ranking_.noteSent(choice.node);
    // Counted from now on: a second placement beside this one must not use the same server.
    run->reached.insert(choice.node);
    run->search.noteSent(choice.node);
    SendResult result;
    if (choice.node == core_.self.id) {
        result.reply = home_.run(WorkKey{core_.self, nextLocalWork_++}, work, placement->control);
    } else {
        const RosterEntryPtr entry = core_.service<RosterKeeper>("roster").roster().find(choice.node);
        if (entry != nullptr) {
            result = sender_.run(*entry, entry->region != core_.settings.region, std::move(work), job.deadline,
                                 placement->control);
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
        ranking_.notePathGood(choice.node);
        ranking_.noteLoad(choice.node, reply.load, urgencyOf(*run), after);
    }
    const bool noServer = reply.reason == refusalName(RefusalReason::NoServer) || reply.reason == "stopping"
                          || reply.reason == "other-service" || reply.reason == "other-server";
    if (noServer) {
        ranking_.noteNoServer(choice.node, after);
    }
    const bool doubtful = reply.reason == refusalName(RefusalReason::Doubtful);
    if (doubtful) {
        ranking_.noteDoubtful(RankedHome{choice.node, choice.distance}, after);
    }
    learn(job.route->name, reply);
    core_.events.writeRequest(result.pathFailed ? Severity::Warning : Severity::Info, "sent",
                              {{"request", job.requestId},
                               {"home", choice.node},
                               {"loss", std::to_string(static_cast<int>(choice.loss))},
                               {"loadAgeMs", std::to_string(choice.loadAge.count())},
                               {"patienceMs", std::to_string(choice.patience.count())},
                               {"expectedWaitMs", std::to_string(choice.wait.count())},
                               {"toldWaitMs", std::to_string(reply.load.wait.count())},
                               {"acceptsDoubt", choice.acceptsDoubt ? "yes" : "no"},
                               {"outcome", outcomeName(reply.outcome)},
                               {"reason", reply.reason},
                               {"pathFailed", result.pathFailed ? "yes" : "no"},
                               {"tookMs", std::to_string(toMillis(after - now).count())}});
    placement->reply = reply;
    placement->reachedServer = placement->reachedServer || reply.reachedServer || reply.outcome == Outcome::Unknown;
    const bool refused = reply.outcome == Outcome::NotRun && !reply.reachedServer;
    if (refused) {
        // A refusal is news about the home; with it the same one may still be the best.
        run->reached.erase(choice.node);
        // A fenced Work never runs, and the fresh link that brought the word may carry the next one.
        const bool reachable = !result.pathFailed || reply.reason == fencedReason;
        if (reachable && !noServer && !doubtful) {
            run->search.noteRefused(choice.node);
        }
        return placement->control->cancelled || reply.reason == endsServersReason;
    }
    if (reply.outcome == Outcome::NotRun && !placement->control->cancelled) {
        // It was an arrival at a server, though it did not run: another one is a second send.
        run->reached.erase(choice.node);
        return !maySendAgain(*run, purposeOf(*run), "server-refused");
    }
    return true;
}

void Forwarder::learn(const std::string &route, const WorkReply &reply)
{
    const bool ran = reply.outcome == Outcome::Ran && !reply.serverFault;
    if (ran) {
        RouteStats &stats = stats_[route];
        const auto smooth = [](double &mean, double sample) {
            mean = mean == 0.0 ? sample : mean + workSmoothing * (sample - mean);
        };
        smooth(stats.work, std::chrono::duration<double>(reply.worked).count());
        smooth(stats.kilobytes, static_cast<double>(reply.response.body.size()) / bytesPerKilobyte);
    }
    if (reply.reachedServer) {
        stats_[route].calls = reply.calls;
    }
    if (reply.innerCall) {
        home_.noteToldInnerCall(route);
    }
}

ForwardResult Forwarder::finish(const RunPtr &run, const WorkReply &reply)
{
    run->over = true;
    for (const PlacementPtr &placement : run->placements) {
        if (!placement->ended) {
            placement->control->cancel();
        }
    }
    ForwardResult result;
    const bool failed = reply.outcome != Outcome::Ran || reply.serverFault;
    if (run->innerCall && failed) {
        home_.noteFailedCall(run->job.route->name, run->job.service);
    }
    result.outcome = reply.outcome;
    result.reason = reply.reason;
    result.response = reply.response;
    if (reply.outcome == Outcome::NotRun && reply.reason != endsServersReason) {
        result.retryAfter = std::max(leastRetryAfter, reply.load.wait);
    }
    return result;
}

ForwardResult Forwarder::timedOut(const RunPtr &run, bool atOnce)
{
    for (const PlacementPtr &placement : run->placements) {
        placement->control->cancel();
    }
    run->over = true;
    const auto allEnded = [&] {
        return std::all_of(run->placements.begin(), run->placements.end(),
                           [](const PlacementPtr &one) { return one->ended; });
    };
    // What only waited in a queue has not run, and its home says so within a round trip. That is worth as much to the
    // caller as an answer: it may come again.
    const SteadyTime until = core_.clock.now() + certaintyWait;
    while (!atOnce && !allEnded() && core_.clock.now() < until) {
        run->point.wait(core_.ioContext, until - core_.clock.now());
    }
    WorkReply reply;
    const bool notRun = allEnded()
                        && std::all_of(run->placements.begin(), run->placements.end(),
                                       [](const PlacementPtr &one) { return one->reply.outcome == Outcome::NotRun; });
    reply.outcome = notRun ? Outcome::NotRun : Outcome::Unknown;
    reply.reason = "timeout";
    return finish(run, reply);
}

ForwardResult Forwarder::run(const std::shared_ptr<const ForwardJob> &held)
{
    const ForwardJob &job = *held;
    const auto run = std::make_shared<Run>(held);
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
    run->innerCall = home_.isInnerCall(job.route->name);
    run->worthRank = firstCallerRank + job.route->priority;
    if (run->innerCall) {
        run->worthRank = home_.rankOfCaller(job.service).value_or(innerCallRank);
    }
    secondSends_.noteRequest(job.service);
    if (run->innerCall) {
        // Late it still lets its parent be in time; not answered at all it fails the parent.
        run->objective = job.deadline;
    }
    job.control->interrupt = [run] { run->point.wake(); };
    launch(run, Try::First);
    const bool repeatable = job.route->idempotent && job.route->mostServers > 1;
    bool hedged = false;
    std::size_t judged = 0;
    WorkReply last;
    bool hasLast = false;
    while (true) {
        const SteadyTime now = core_.clock.now();
        const SteadyTime hedgeAt = repeatable && !hedged ? hedgeTime(*run) : SteadyTime::max();
        const std::size_t ended = static_cast<std::size_t>(std::count_if(
            run->placements.begin(), run->placements.end(), [](const PlacementPtr &one) { return one->ended; }));
        const SteadyTime withdrawAt = run->withdrawn ? SteadyTime::max() : latestStart(*run);
        if (now >= withdrawAt) {
            withdraw(*run);
            continue;
        }
        if (job.control->cancelled || ending_ || now >= job.deadline) {
            job.control->interrupt = {};
            return timedOut(run, job.control->cancelled || ending_);
        }
        if (ended > judged) {
            for (const PlacementPtr &placement : run->placements) {
                const bool good =
                    placement->ended && placement->reply.outcome == Outcome::Ran && !placement->reply.serverFault;
                if (good) {
                    job.control->interrupt = {};
                    return finish(run, placement->reply);
                }
            }
            judged = ended;
            for (const PlacementPtr &placement : run->placements) {
                const bool better =
                    placement->ended
                    && (!hasLast || placement->reply.outcome == Outcome::Ran || last.outcome == Outcome::NotRun);
                if (better) {
                    last = placement->reply;
                    hasLast = true;
                }
            }
            if (ended == run->placements.size()) {
                const bool failed = last.outcome != Outcome::NotRun && !run->noOtherHome;
                const bool again = failed && repeatable && maySendAgain(*run, purposeOf(*run), "failed");
                if (!again) {
                    job.control->interrupt = {};
                    return finish(run, last);
                }
                hedged = true;
                launch(run, Try::Again);
            }
            continue;
        }
        if (run->mayRepeatLost) {
            run->mayRepeatLost = false;
            const bool allLost = std::all_of(run->placements.begin(), run->placements.end(),
                                             [](const PlacementPtr &one) { return one->ended || one->fateUnknown; });
            const bool again = repeatable && allLost && !run->noOtherHome;
            if (again && maySendAgain(*run, purposeOf(*run), "fate-unknown")) {
                hedged = true;
                launch(run, Try::Again);
            }
            continue;
        }
        if (now >= hedgeAt) {
            hedged = true;
            if (maySendAgain(*run, SecondSend::Hedge, "slow")) {
                launch(run, Try::Hedge);
            }
            continue;
        }
        run->point.wait(core_.ioContext, std::min({job.deadline, hedgeAt, withdrawAt}) - now);
    }
}

void Forwarder::rosterChanged()
{
    std::set<std::string> known = {core_.self.id};
    for (const RosterEntryPtr &entry : core_.service<RosterKeeper>("roster").roster().all()) {
        known.insert(entry->id);
    }
    ranking_.keepOnly(known);
}

void Forwarder::stopBy(SteadyTime until)
{
    stopBy_ = until;
    for (const RunPtr &run : active_) {
        run->point.wake();
    }
}

void Forwarder::endAll()
{
    ending_ = true;
    for (const RunPtr &run : active_) {
        run->point.wake();
    }
}

SteadyTime Forwarder::latestStart(const Run &run) const
{
    if (stopBy_ == SteadyTime::max()) {
        return stopBy_;
    }
    const auto work = std::chrono::duration_cast<Duration>(typicalWork(*run.job.route) * stopWorkFactor);
    return stopBy_ - std::clamp<Duration>(work, leastStopTime, longestStopTime);
}

void Forwarder::withdraw(Run &run)
{
    run.withdrawn = true;
    for (const PlacementPtr &placement : run.placements) {
        if (!placement->ended) {
            placement->control->withdraw();
        }
    }
}

} // namespace waxwing
