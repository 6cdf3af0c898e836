#pragma once

#include "include/fleet/FleetConfig.h"
#include "include/limit/NestedCallTracker.h"
#include "include/route/HomeRanking.h"
#include "include/route/HomeSearch.h"
#include "include/wire/Messages.h"
#include "src/node/RunControl.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace waxwing {

struct NodeCore;
class LocalHome;
class PathMonitor;
class RetryBudgetService;
class WorkSender;
enum class RetryReason;

/** A caller's request on its way to a server. */
struct ForwardJob {
    /** Keeps the route alive, whatever version comes meanwhile. */
    std::shared_ptr<const FleetConfig> config;
    const Route *route = nullptr;
    std::string service;
    std::string requestId;
    HttpRequest request;
    SteadyTime arrived;
    SteadyTime deadline;
    RunControlPtr control;
};

/** How a forwarded request ended. */
struct ForwardResult {
    Outcome outcome = Outcome::NotRun;
    std::string reason;
    Millis retryAfter{0};
    HttpResponse response;
};

/**
 * Brings a caller's request to a server: chooses homes, goes on to another one when a home refuses, sends idempotent
 * work again where that is worth it and within the fleet's budget. Not thread safe.
 */
class Forwarder
{
public:
    Forwarder(NodeCore &core, LocalHome &home, WorkSender &sender, RetryBudgetService &retryBudgets,
              PathMonitor &paths);

    /** @pre called from a fiber. @p job is kept until the last of its sends has ended, which may be after the return.
     */
    ForwardResult run(const std::shared_ptr<const ForwardJob> &job);
    /** The roster changed: forgets nodes that are gone. */
    void registryChanged();
    /**
     * The node ends at @p until. A request that has not begun to run so long before that it could be answered in time
     * is refused then: its caller can have it run elsewhere, while a broken connection would leave it without a word.
     */
    void setStopDeadline(SteadyTime until);
    /**
     * Ends everything that is still under way with what is known of it. Answers of pipelined requests go out in order,
     * so that one request at a slow server would keep back all answers behind it, ready as they are.
     */
    void abortAll();

private:
    struct Run;
    using RunPtr = std::shared_ptr<Run>;
    /** One try to have the request run by one server. */
    struct Attempt {
        RunControlPtr control;
        bool ended = false;
        /** Its home can't be asked what became of it. */
        bool outcomeUnknown = false;
        WorkReply reply;
        std::string home;
        /** It was at a server, or may have been. */
        bool reachedServer = false;
    };
    using AttemptPtr = std::shared_ptr<Attempt>;
    struct RouteStats {
        /** Smoothed work time in seconds; 0: none seen. */
        double workSeconds = 0.0;
        /** Smoothed size of the answers. */
        double kilobytes = 0.0;
        /** Calls that a run makes. */
        CallRates calls;
    };

    /** Why a request is given to a home. */
    enum class AttemptKind {
        First,
        /** The one before failed, or nobody knows what became of it. */
        Retry,
        /** The one before takes long. */
        Hedge,
    };

    void startAttempt(const RunPtr &run, AttemptKind reason);
    void runAttempt(const RunPtr &run, const AttemptPtr &attempt, AttemptKind reason);
    bool sendToHome(const RunPtr &run, const AttemptPtr &attempt, const HomeChoice &choice);
    std::vector<RankedHome> homesOf(const std::string &service) const;
    HomeQuery homeQueryOf(const Run &run) const;
    static int priorityOf(const Run &run);
    Duration expectedWorkTime(const Route &route) const;
    SteadyTime hedgeTime(const Run &run) const;
    /** Second sends that one more send of the run's route is, by service. */
    CallRates retryCostOf(const Run &run) const;
    /** What a second send after a failure of the run is for. */
    RetryReason retryReasonOf(const Run &run) const;
    /** If the next send fails, the request can and will be sent once more. */
    bool canRetry(const Run &run) const;
    /** From then on it is not worth beginning here any more; max() unless the node stops. */
    SteadyTime latestStart(const Run &run) const;
    void cancelQueued(Run &run);
    bool reserveRetry(Run &run, RetryReason purpose, const char *why);
    void updateStats(const std::string &route, const WorkReply &reply);
    ForwardResult finish(const RunPtr &run, const WorkReply &reply);
    /** @p atOnce: without waiting for the homes' word on what has not begun. */
    ForwardResult finishTimedOut(const RunPtr &run, bool atOnce);

    NodeCore &core_;
    LocalHome &home_;
    WorkSender &sender_;
    RetryBudgetService &retryBudgets_;
    PathMonitor &paths_;
    HomeRanking ranking_;
    std::map<std::string, RouteStats> stats_;
    std::uint64_t nextLocalWork_ = 1;
    std::set<RunPtr> active_;
    SteadyTime stopDeadline_ = SteadyTime::max();
    bool aborting_ = false;
};

} // namespace waxwing
