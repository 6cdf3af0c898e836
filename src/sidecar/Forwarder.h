#pragma once

#include "include/customer/KeyAdmission.h"
#include "include/fleet/FleetConfig.h"
#include "include/route/HomeRanking.h"
#include "include/route/HomeSearch.h"
#include "include/route/RouteStats.h"
#include "include/schedule/ReservationPlanner.h"
#include "include/wire/Messages.h"
#include "src/node/RunControl.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace waxwing {

struct NodeCore;
class LocalHome;
class PathMonitor;
class RetryBudgetService;
class SlotRequester;
struct SlotWaitResult;
class WorkSender;
enum class RetryReason;

/** Reason of a request that was not sent because its key was taken away meanwhile. */
constexpr const char *keyRevokedReason = "key-revoked";

/** A caller's request on its way to a server. */
struct ForwardJob {
    /** Owns @c route, so that the route stays valid when a newer configuration is applied. */
    std::shared_ptr<const FleetConfig> config;
    const Route *route = nullptr;
    std::string service;
    std::string requestId;
    /** The customer that sent the request; empty if none is known. */
    std::string customer;
    /** When the request was counted against its customer's quota; nothing if it has none. */
    std::optional<SteadyTime> countedAt;
    /** Rank of the request among those of callers; 0 is the most urgent. */
    int priority = 0;
    /** Checks the key again before each send. Not set if the request needs no key. */
    std::function<AdmissionResult()> recheckKey;
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
 * Forwards callers' requests to servers: chooses a home and tries another one when a home refuses. Within the fleet's
 * retry budget, it retries requests that a server has received but not run, and retries or hedges idempotent requests.
 * Not thread safe.
 */
class Forwarder
{
public:
    Forwarder(NodeCore &core, LocalHome &home, WorkSender &sender, RetryBudgetService &retryBudgets, PathMonitor &paths,
              SlotRequester &slots);

    /**
     * Runs @p job and returns how it ended. @p job is kept until its last attempt has ended, which may be after the
     * return. @pre called from a fiber.
     */
    ForwardResult run(const std::shared_ptr<const ForwardJob> &job);
    /** Drops the state of nodes that are no longer in the registry. */
    void registryChanged();
    /** Returns queued requests whose key the new configuration does not have. */
    void configChanged();
    /**
     * Sets when the node exits. A request that has not started when too little time is left to complete it before
     * @p deadline is refused as not run, so that its caller can retry elsewhere. Otherwise its connection would close
     * without a response and the caller would not know whether it ran.
     */
    void setStopDeadline(SteadyTime deadline);
    /**
     * Ends all active requests with the outcome known so far. Responses to pipelined requests are sent in order, so one
     * request at a slow server would block responses behind it that are ready.
     */
    void abortAll();

private:
    /** A request that is being forwarded. */
    struct Run;
    using RunPtr = std::shared_ptr<Run>;
    /** One attempt to run the request. It moves from home to home until one accepts the request. */
    struct Attempt {
        RunControlPtr control;
        bool ended = false;
        /** No node could report the outcome when it was queried. Queries continue until the attempt ends. */
        bool outcomeUnknown = false;
        WorkReply reply;
        std::string home;
        /** A server has received the request, or may have. */
        bool reachedServer = false;
    };
    using AttemptPtr = std::shared_ptr<Attempt>;
    /** Why an attempt is made. */
    enum class AttemptKind {
        First,
        /** The previous attempt failed, or its outcome is unknown. */
        Retry,
        /** The previous attempt is slow. */
        Hedge,
    };

    void startAttempt(const RunPtr &run, AttemptKind kind);
    void runAttempt(const RunPtr &run, const AttemptPtr &attempt, AttemptKind kind);
    /**
     * Returns true if the attempt has ended, false if another home is to be tried. @p reservation: id of the
     * reservation for which the home holds a slot; 0: none.
     */
    bool sendToHome(const RunPtr &run, const AttemptPtr &attempt, const HomeChoice &choice, std::uint64_t reservation);
    /**
     * Returns true if no home has room now, so that the request reserves the next free slot of several homes. If the
     * best home has none, but another one, sets @p choice to it.
     */
    bool shouldReserve(const Run &run, HomeChoice &choice);
    /**
     * Returns true if a hedge would be refused, since it doesn't queue: no home has a free slot, and those who wait for
     * one are offered it.
     */
    bool isHedgeUseless(const Run &run, const HomeChoice &choice) const;
    /** Reserves at several homes and waits for an offer. Without one, sets the reply of @p attempt. */
    SlotWaitResult awaitSlot(const RunPtr &run, const AttemptPtr &attempt);
    /**
     * Returns the reason under which a request is refused that no home has room for: @p otherwise, unless a home
     * refused it because its nested calls would fail.
     */
    static std::string refusalReason(const Run &run, const char *otherwise);
    /** Returns the choice of the home that offers @p slot. @p choice: the home that was the best before the wait. */
    HomeChoice choiceOf(const Run &run, const SlotWaitResult &slot, HomeChoice choice) const;
    std::vector<ReservationCandidate> reservationCandidates(const Run &run) const;
    void noteOffer(const std::string &home, const SlotOffer &offer, int priority);
    std::vector<RankedHome> homesOf(const std::string &service) const;
    HomeQuery homeQueryOf(const Run &run) const;
    static int priorityOf(const Run &run);
    /** Returns why the request must not be sent any more; empty if it may be. */
    static std::string keyProblem(const Run &run);
    /** Returns the retry budget tokens that one more attempt costs, by service, nested calls included. */
    CallRates retryCostOf(const Run &run) const;
    /** Returns the reason under which a retry after a failure is accounted. */
    RetryReason retryReasonOf(const Run &run) const;
    /** Returns true if the request can be retried when the next attempt fails. */
    bool canRetry(const Run &run) const;
    /** Returns the time after which the request is sent to no further home; max() unless this node is stopping. */
    SteadyTime latestStart(const Run &run) const;
    void cancelQueued(Run &run);
    /** Takes the tokens for one more attempt from the retry budget. Returns false if the attempt must not be made. */
    bool reserveRetry(Run &run, RetryReason reason, const char *why);
    ForwardResult finish(const RunPtr &run, const WorkReply &reply);
    /** Returns true if the end of the nested call @p run says something about the called service. */
    bool isCallEvidence(const Run &run) const;
    /**
     * Cancels all attempts and returns how the request ended. Unless @p immediately, waits for up to a round trip until
     * the homes confirm that queued requests have not run.
     */
    ForwardResult finishTimedOut(const RunPtr &run, bool immediately);

    NodeCore &core_;
    LocalHome &home_;
    WorkSender &sender_;
    RetryBudgetService &retryBudgets_;
    PathMonitor &paths_;
    SlotRequester &slots_;
    HomeRanking ranking_;
    RouteStats stats_;
    std::uint64_t nextLocalWork_ = 1;
    std::set<RunPtr> active_;
    SteadyTime stopDeadline_ = SteadyTime::max();
    bool aborting_ = false;
};

} // namespace waxwing
