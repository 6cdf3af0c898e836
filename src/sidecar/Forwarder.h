#pragma once

#include "include/fleet/FleetConfig.h"
#include "include/limit/InnerCallMeter.h"
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
class PathWatch;
class SecondSendService;
class WorkSender;
enum class SecondSend;

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
    Forwarder(NodeCore &core, LocalHome &home, WorkSender &sender, SecondSendService &secondSends, PathWatch &paths);

    /** @pre called from a fiber. @p job is kept until the last of its sends has ended, which may be after the return.
     */
    ForwardResult run(const std::shared_ptr<const ForwardJob> &job);
    /** The roster changed: forgets nodes that are gone. */
    void rosterChanged();
    /**
     * The node ends at @p until. A request that has not begun to run so long before that it could be answered in time
     * is refused then: its caller can have it run elsewhere, while a broken connection would leave it without a word.
     */
    void stopBy(SteadyTime until);
    /**
     * Ends everything that is still under way with what is known of it. Answers of pipelined requests go out in order,
     * so that one request at a slow server would keep back all answers behind it, ready as they are.
     */
    void endAll();

private:
    struct Run;
    using RunPtr = std::shared_ptr<Run>;
    /** One try to have the request run by one server. */
    struct Placement {
        RunControlPtr control;
        bool ended = false;
        /** Its home can't be asked what became of it. */
        bool fateUnknown = false;
        WorkReply reply;
        std::string home;
        /** It was at a server, or may have been. */
        bool reachedServer = false;
    };
    using PlacementPtr = std::shared_ptr<Placement>;
    struct RouteStats {
        /** Smoothed work time in seconds; 0: none seen. */
        double work = 0.0;
        /** Smoothed size of the answers. */
        double kilobytes = 0.0;
        /** Calls that a run makes. */
        CallRates calls;
    };

    /** Why a request is given to a home. */
    enum class Try {
        First,
        /** The one before failed, or nobody knows what became of it. */
        Again,
        /** The one before takes long. */
        Hedge,
    };

    void launch(const RunPtr &run, Try reason);
    void place(const RunPtr &run, const PlacementPtr &placement, Try reason);
    bool sendOnce(const RunPtr &run, const PlacementPtr &placement, const HomeChoice &choice);
    std::vector<RankedHome> homesOf(const std::string &service) const;
    HomeNeed needOf(const Run &run) const;
    static int urgencyOf(const Run &run);
    Duration typicalWork(const Route &route) const;
    SteadyTime hedgeTime(const Run &run) const;
    /** Second sends that one more send of the run's route is, by service. */
    CallRates repeatsOf(const Run &run) const;
    /** What a second send after a failure of the run is for. */
    SecondSend purposeOf(const Run &run) const;
    /** If the next send fails, the request can and will be sent once more. */
    bool canRepeat(const Run &run) const;
    /** From then on it is not worth beginning here any more; max() unless the node stops. */
    SteadyTime latestStart(const Run &run) const;
    void withdraw(Run &run);
    bool maySendAgain(Run &run, SecondSend purpose, const char *why);
    void learn(const std::string &route, const WorkReply &reply);
    ForwardResult finish(const RunPtr &run, const WorkReply &reply);
    /** @p atOnce: without waiting for the homes' word on what has not begun. */
    ForwardResult timedOut(const RunPtr &run, bool atOnce);

    NodeCore &core_;
    LocalHome &home_;
    WorkSender &sender_;
    SecondSendService &secondSends_;
    PathWatch &paths_;
    HomeRanking ranking_;
    std::map<std::string, RouteStats> stats_;
    std::uint64_t nextLocalWork_ = 1;
    std::set<RunPtr> active_;
    SteadyTime stopBy_ = SteadyTime::max();
    bool ending_ = false;
};

} // namespace waxwing
