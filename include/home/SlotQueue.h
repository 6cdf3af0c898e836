#pragma once

#include "include/base/Clock.h"
#include "include/health/GrayFilter.h"
#include "include/health/WorkTimeModel.h"
#include "include/home/CustomerUse.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <string>
#include <vector>

namespace waxwing {

class CallAdmission;

/** Load and health of a home's server, as reported to the nodes that send it work. */
struct HomeLoad {
    /** Slots of the server, free or in use. */
    std::int32_t slots = 0;
    std::int32_t freeSlots = 0;
    std::int32_t queued = 0;
    /** Expected wait for a slot of a new request of the given priority. */
    Millis wait{0};
    /** Probability that the server is gray. */
    double grayProbability = 0.0;
    /** Ratio of the current work time to the usual one. */
    double slowdown = 1.0;
    /** Recent share of requests that the server shed although it had free slots. */
    double shedRate = 0.0;
};

/** A request as submitted to the home of one server. */
struct SlotRequest {
    std::uint64_t id = 0;
    std::string route;
    /** Empty for a request without a customer. */
    std::string customer;
    /** If the server fails the request, the sender can and will send it to another one. */
    bool retryable = false;
    int priority = 0;
    /** Time by which a response meets the route's objective. */
    SteadyTime objective;
    /** Time at which the caller gives up. */
    SteadyTime deadline;
    /** Longest time in the queue of this home. After it, another home is expected to be better. */
    Millis queueTimeout{0};
    /** The sender has no better home and knows that the server here is likely gray. */
    bool acceptsGray = false;
    /**
     * The request itself waits at its sender. Its slot is held from its start on, and its work begins with
     * SlotQueue::beginHeld().
     */
    bool isReservation = false;
};

enum class SlotAction {
    Start,
    Queue,
    Refuse,
};

/** Why a home refuses a request. The names appear in logs and replies. */
enum class RefusalReason {
    None,
    /** No server beside this node accepts work. */
    NoServer,
    /** No slot is expected to be free within the queue timeout, or too many requests wait. */
    Busy,
    /** The server is likely gray. The request can't be retried, or another probe is in progress or too recent. */
    LikelyGray,
    /** The deadline has passed. */
    TooLate,
    /** Its nested calls will likely fail, and it can't start in time behind the requests whose calls don't. */
    CallsUnserved,
};

const char *refusalReasonName(RefusalReason reason);

struct SlotDecision {
    SlotAction action = SlotAction::Refuse;
    RefusalReason reason = RefusalReason::None;
};

struct SlotTuning {
    /**
     * From this probability on, the server gets no work that can't be retried, except with @c acceptsGray. A single
     * failure raises a server with the stationary probability above it. After a slow failure, 1.9 s without evidence or
     * one success bring it below again; after a fast one, 5.9 s, or three successes 350 ms apart (11 at once).
     */
    double grayThreshold = 0.45;
    /**
     * From this probability on, requests that can't be retried are refused even with @c acceptsGray: three of four
     * would be lost, and a refused caller can at least retry safely.
     */
    double certainGrayThreshold = 0.8;
    /**
     * Above @c grayThreshold, retryable requests are let through as probes, one at a time and with this interval
     * between them. The interval grows by the factor with each failed probe: 12 s of failures take at most 16 probes,
     * instead of up to 80. The maximum stays below the two seconds over which the floor of servers in use is measured.
     */
    Millis initialProbeInterval{150};
    Millis maxProbeInterval{1200};
    double probeIntervalFactor = 1.7;
    /**
     * After the first failed probe, a request without @c acceptsGray becomes a probe only after this many intervals, up
     * to the maximum: other homes have free slots for it. In a large fleet some sender has such a request whenever a
     * probe is due.
     */
    double uninformedSenderFactor = 2.0;
    Millis maxUninformedProbeInterval{1800};
    /**
     * A likely gray server that has started nothing for this long and runs nothing admits one request with
     * @c acceptsGray: a retryable one, or later any. It may have recovered, and the floor requires a request in every
     * two seconds. With 700 ms instead of 1000 ms for any request, gray servers failed half as many requests more.
     */
    Millis idleProbeInterval{600};
    Millis idleAnyInterval{1000};
    /** Requests of the own node prefer a server that has started nothing for this long, if few homes are usable. */
    Millis idleInterval{400};
    /**
     * Likelihood ratio (gray server to healthy server) of a fast failure, and of one after the usual work time. A
     * healthy server mostly fails a request after working on it, a gray server mostly before.
     */
    double fastFailureRatio = 500.0;
    double slowFailureRatio = 6.0;
    /**
     * Work counts as overdue when a healthy server would still run this share of such work, and a gray server hangs in
     * this share of its work.
     */
    double overdueSurvival = 0.05;
    double hangShare = 0.6;
    /**
     * Upper bound on the likelihood ratio of all work together that runs and is not overdue: a server that is slow as a
     * whole lets all of its work run for longer.
     */
    double maxSilenceRatio = 12.0;
    /** A failure within this fraction of the usual work time is a fast one. */
    double fastFailureFraction = 0.2;
    /** Weight of the newest work time in the moving average. */
    double smoothing = 0.1;
    /** Work time assumed until the first success: of a route, or of any route for the mean. */
    Millis defaultWorkTime{200};
    /**
     * Time constant with which the slot time used by each rank decays, and upper bound on the share of the slots that
     * more urgent ranks use. The bound keeps expected waits finite.
     */
    Millis occupancyTimeConstant{2000};
    double maxOccupancy = 0.9;
    /** Share of requests that the server sheds: weight of the newest result, and half-life without results. */
    double shedSmoothing = 0.15;
    Millis shedHalfLife{2000};
    /**
     * Share of a request that a waiting reservation counts as in expected waits: its sender holds two, and only one of
     * them gets the request.
     */
    double reservationWeight = 0.5;
    /** Largest number of waiting requests. It bounds memory and is far above what queue timeouts allow. */
    std::size_t maxWaiting = 256;
    GrayTuning gray;
    CustomerUseTuning customerUse;
};

/**
 * Makes every decision about the one server beside a node: which requests start, in which order the others wait, and
 * which are refused. Only the home sends work to its server, so slots are counted exactly and the server never gets
 * more requests than it has slots. A request that is refused here never reaches the server. Opens no socket and takes
 * the time as a parameter. Not thread safe.
 */
class SlotQueue
{
public:
    explicit SlotQueue(SlotTuning tuning = {});

    /** Sets the server's number of slots. @p newProcess: the server was restarted, so earlier evidence is discarded. */
    void setServer(std::uint32_t slots, bool newProcess, SteadyTime now);
    /** Records that the server accepts no more work. Removes and returns all waiting requests. */
    std::vector<std::uint64_t> clearServer();
    /** Removes and returns all waiting requests. Running requests continue. */
    std::vector<std::uint64_t> removeWaiting();
    bool hasServer() const;

    SlotDecision submit(const SlotRequest &request, SteadyTime now);
    /** Removes a waiting request. Returns false if it is not waiting. */
    bool cancel(std::uint64_t id);
    /**
     * Records that the work of a started reservation begins now. Returns false if @p id holds no slot. Until then the
     * held slot counts neither as work in progress nor as use by the customer.
     */
    bool beginHeld(std::uint64_t id, SteadyTime now);
    /** Frees the slot of a started request or of a held slot. */
    void release(std::uint64_t id, SteadyTime now);
    /**
     * Adds the result of a finished request. @p took: how long the server worked on it. A failure much sooner than the
     * usual work time is strong evidence of a gray server. A later one is weaker evidence: healthy servers mostly fail
     * a request after working on it.
     */
    void addResult(const std::string &route, bool failed, Duration took, SteadyTime now);

    /**
     * Records that the server shed a request although it had a free slot. The request has not run, so it costs only a
     * send: other homes are preferred, but work that can't be retried is still admitted.
     */
    void noteShed(SteadyTime now);
    /**
     * Sets a check for routes whose work may be waiting for a nested call now: its age says nothing about the server.
     */
    void setCallCheck(std::function<bool(const std::string &route)> mayWaitForCall);
    /**
     * Sets a function that returns for how long this node was stalled between two times. Work ages only while the node
     * can read a response. Without this, a stall of 200 ms made all work that ran count as overdue, and the server as
     * gray.
     */
    void setStallCheck(std::function<Duration(SteadyTime since, SteadyTime now)> stalledBetween);
    /**
     * Orders requests whose nested calls will likely fail behind others of their priority, and refuses those that can't
     * start in time there. @p admission must outlive this object.
     */
    void setCallAdmission(CallAdmission &admission);
    /**
     * Records work that has run for longer than nearly all work of its route as a failure, once each: a server that
     * hangs sends no response that could show it. Younger work counts by its age for as long as it runs.
     */
    void noteOverdueWork(SteadyTime now);
    /**
     * Withdraws the failure that noteOverdueWork() recorded for a run, which has succeeded and so did not hang. Works
     * of one server that are slow at the same time would otherwise each count as a failure. Does nothing for a run that
     * was not counted. @pre release() has not been called for @p id.
     */
    void withdrawOverdue(std::uint64_t id);
    /** Returns true if the run was counted by noteOverdueWork(). */
    bool isOverdue(std::uint64_t id) const;
    /**
     * Adds other evidence against the server. @p ratio: likelihood ratio of a gray to a healthy server. @p took: since
     * the start of the run that shows it.
     */
    void addEvidence(double ratio, Duration took, SteadyTime now);

    struct PollResult {
        std::vector<std::uint64_t> start;
        std::vector<std::uint64_t> expired;
        /** Removed for RefusalReason::CallsUnserved. */
        std::vector<std::uint64_t> callsUnserved;
    };
    /**
     * Starts waiting requests in free slots, most urgent first. Removes those whose queue timeout has passed or that
     * will not start before it, and those that the server may no longer get because it is likely gray or their nested
     * calls will likely fail.
     */
    PollResult poll(SteadyTime now);
    /** Returns when poll() is due if nothing else happens before; SteadyTime::max() if nothing waits. */
    SteadyTime nextPollTime(SteadyTime now) const;

    /**
     * Returns true if the server has had no request for @c idleInterval and would now admit one. @p retryable: only
     * such a request is a probe of a server that is likely gray.
     */
    bool needsRequest(bool retryable, SteadyTime now) const;

    /** Returns the load as it applies to a request of @p priority. */
    HomeLoad load(int priority, SteadyTime now) const;
    std::size_t running() const;
    std::size_t waiting() const;
    double grayProbability(SteadyTime now) const;
    /** Returns the moving average of the work time of @p route, or @c defaultWorkTime if none has succeeded here. */
    Duration expectedWorkTime(const std::string &route) const;
    /** Returns true if a request of @p route has succeeded here. */
    bool hasWorkTime(const std::string &route) const;

private:
    struct Waiting {
        SlotRequest request;
        SteadyTime expiresAt;
    };
    /** The order in which requests are served. The members count in this order; the lesser rank goes first. */
    struct Rank {
        /** A response is expected after the objective: behind all priorities. */
        bool late = false;
        int priority = 0;
        /** The nested calls will likely fail: behind the other requests of the priority. */
        bool callsFail = false;
        /** The customer sends far more than usual: behind the other customers of the priority. */
        bool aboveUsual = false;

        bool operator<(const Rank &other) const;
        bool operator==(const Rank &other) const;
    };
    struct Running {
        bool probe = false;
        Rank rank;
        SteadyTime since;
        std::string route;
        std::string customer;
        /** Of a reservation whose work has not begun. */
        bool held = false;
        /** Counted as evidence against the server. */
        bool overdue = false;
        /** The likelihood ratio that it was counted with. */
        double overdueRatio = 1.0;
    };
    /** Slot time used by one rank, in seconds, with exponential decay. */
    struct Occupancy {
        double seconds = 0.0;
        SteadyTime at;
    };
    struct WorkTime {
        double recent = 0.0;
        double baseline = 0.0;
        WorkTimeModel model;
    };

    bool isMoreUrgent(const SlotRequest &a, const SlotRequest &b, SteadyTime now) const;
    bool hasFreeSlot() const;
    /** Returns true if the server runs nothing and has started nothing for @p interval. */
    bool isIdleFor(Duration interval, SteadyTime now) const;
    /** Returns whether the server may get @p request, if it is gray with @p probability. */
    RefusalReason grayRefusal(const SlotRequest &request, double probability, SteadyTime now) const;
    /** Returns the interval between the last probe and @p request as the next one. */
    Duration probeIntervalFor(const SlotRequest &request) const;
    void start(const SlotRequest &request, double grayProbability, SteadyTime now);
    void addCustomerUse(const Running &run, SteadyTime now);
    void noteFailure(double ratio, SteadyTime startedAt, SteadyTime now);
    /** Returns the probability that work of a healthy server still runs at this age; 1 if that is not known. */
    double survivalOf(const Running &run, SteadyTime now) const;
    /** Returns the likelihood ratio (gray server to healthy server) of work that still runs. */
    double unfinishedRatio(double survival) const;
    /** Returns the running work whose age is evidence, in the order of its starts. */
    std::vector<UnfinishedRun> unfinishedRuns(SteadyTime now) const;
    Duration expectedWait(const SlotRequest &request, SteadyTime now) const;
    /** Returns the number of waiting requests for which @p isAhead; reservations count as @c reservationWeight. */
    template<typename Predicate>
    double countWaiting(Predicate isAhead) const;
    /**
     * Returns the wait behind @p ahead queued requests at the mean work time, including more urgent requests that
     * arrive meanwhile.
     */
    Duration waitBehind(double ahead, const Rank &rank, SteadyTime now) const;
    /**
     * Returns true if the request will miss its objective, or its customer sends far more than usual, and more urgent
     * requests leave no slot for it before its queue timeout. Its caller is refused at once instead of at the timeout.
     */
    bool willTimeOut(const Waiting &one, SteadyTime now) const;
    /** Returns true if the nested calls of the request will likely fail, and it is not due as a probe. */
    bool isDeferred(const SlotRequest &request, SteadyTime now) const;
    /** Returns true if a deferred request has no chance left to start in time for a response by its deadline. */
    bool isUnserved(const SlotRequest &request, SteadyTime expiresAt, SteadyTime now) const;
    /** Returns the recent share of the slots that ranks more urgent than @p rank used. */
    double occupancyAbove(const Rank &rank, SteadyTime now) const;
    Duration meanWorkTime() const;
    double slowdown() const;
    double shedRate(SteadyTime now) const;
    Rank rankOf(const SlotRequest &request, SteadyTime now) const;
    bool isFarAboveUsual(const SlotRequest &request, SteadyTime now) const;

    SlotTuning tuning_;
    GrayFilter gray_;
    std::uint32_t slots_ = 0;
    std::list<Waiting> waiting_;
    std::map<std::uint64_t, Running> running_;
    std::map<std::string, WorkTime> workTimes_;
    /** Moving average over all routes, in seconds. */
    double meanWorkTime_ = 0.0;
    double shedShare_ = 0.0;
    SteadyTime shedAt_;
    SteadyTime lastProbe_;
    /** Of any request, or when the server became usable. */
    SteadyTime lastStart_;
    Duration probeInterval_;
    /**
     * By rank. Accounts for more urgent requests that arrive later and start first, which the queue length does not
     * include. Without it, less urgent requests would be admitted and would time out in the queue.
     */
    std::map<Rank, Occupancy> occupancy_;
    CustomerUse customerUse_;
    std::function<bool(const std::string &route)> mayWaitForCall_;
    std::function<Duration(SteadyTime since, SteadyTime now)> stalledBetween_;
    /** Null if requests are ordered without regard to their nested calls. */
    CallAdmission *callAdmission_ = nullptr;
};

} // namespace waxwing
