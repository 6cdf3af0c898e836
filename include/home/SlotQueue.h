#pragma once

#include "include/base/Clock.h"
#include "include/health/GrayFilter.h"

#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <vector>

namespace waxwing {

/** How busy and how sound a home's server is, as told to the nodes that send it work. */
struct HomeLoad {
    /** Of the server, busy or not. */
    std::int32_t slots = 0;
    std::int32_t freeSlots = 0;
    std::int32_t queued = 0;
    /** What a request of the asked priority that came now would wait for its slot. */
    Millis wait{0};
    /** Probability that the server is gray. */
    double grayProbability = 0.0;
    /** Work takes this many times as long as usual; 1 is usual. */
    double slowdown = 1.0;
    /** Share of requests that the server turned away lately though it had free slots. */
    double shedRate = 0.0;
};

/** A request as the home of one server decides about it. */
struct SlotRequest {
    std::uint64_t id = 0;
    std::string route;
    /** If the server fails it, the sender can and will send it to another one. */
    bool retryable = false;
    int priority = 0;
    /** Finished by then it counts in full. */
    SteadyTime objective;
    /** Nobody waits for it after this. */
    SteadyTime deadline;
    /** How long the sender would rather have it wait here than try another home. */
    Millis queueTimeout{0};
    /** The sender knows of the doubt about the server and has nothing better. */
    bool acceptsGray = false;
};

enum class SlotAction {
    Start,
    Queue,
    Refuse,
};

/** Why a home refuses; the words stand in logs and replies. */
enum class RefusalReason {
    None,
    /** There is no server beside this node, or it leaves. */
    NoServer,
    /** Its slots and the request's patience are spent. */
    Busy,
    /** The server may be gray, and the request can't be tried again, or a trial was made just now. */
    LikelyGray,
    /** Too little time is left. */
    TooLate,
};

const char *refusalReasonName(RefusalReason reason);

struct SlotDecision {
    SlotAction action = SlotAction::Refuse;
    RefusalReason reason = RefusalReason::None;
};

struct SlotTuning {
    /**
     * From this doubt on the server gets no work that can't be tried again. A single failure puts a server that was
     * as usual above it, and about four seconds without evidence, or three good answers, put it below.
     */
    double grayThreshold = 0.45;
    /**
     * From this doubt on also a sender that knows of it is refused: three of four requests would be lost there, and a
     * refused caller at least knows that it may come again.
     */
    double certainGrayThreshold = 0.8;
    /**
     * While in doubt, repeatable requests go to the server one at a time, with this pause between them. It grows by the
     * factor with each trial that fails: 12 s of failures take at most 16 trials, where up to 80 were possible. The
     * longest one stays below the two seconds in which the floor of servers in use is judged.
     */
    Millis initialProbeInterval{150};
    Millis maxProbeInterval{1200};
    double probeIntervalFactor = 1.7;
    /**
     * After the first trial, requests whose sender does not know of the doubt wait for so many pauses, up to the bound:
     * other homes have room for them. In a large fleet there is such a sender whenever a trial may be made.
     */
    double uninformedSenderFactor = 2.0;
    Millis maxUninformedProbeInterval{1800};
    /**
     * How much likelier a failure is from a gray server: one that came at once, and one after the usual work time. A
     * sound server fails mostly after having worked on the request, a gray one mostly before.
     */
    double fastFailureRatio = 500.0;
    double slowFailureRatio = 6.0;
    /** A failure within this part of the usual work time came at once. */
    double fastFailureFraction = 0.2;
    /** Weight of the newest work time in the mean. */
    double smoothing = 0.1;
    /** A home of which nothing is known yet plans with this work time. */
    Millis defaultWorkTime{200};
    /** Memory of how much of the slots each rank takes, and the most that is believed of it: waits stay finite. */
    Millis occupancyTimeConstant{2000};
    double maxOccupancy = 0.9;
    /** The share of requests that the server turns away: weight of the newest one, and half-life without any. */
    double shedSmoothing = 0.15;
    Millis shedHalfLife{2000};
    /** Requests that may wait at once: memory's bound, far above what patience allows. */
    std::size_t maxWaiting = 256;
    GrayTuning gray;
};

/**
 * Every decision about the one server beside a node: which request starts, which waits in which order, which is
 * refused. The home is the only process that hands work to its server, so slots are counted exactly and a server is
 * never sent more than it will take. A refusal here is no arrival at the server. Opens no socket and is given the
 * time. Not thread safe.
 */
class SlotQueue
{
public:
    explicit SlotQueue(SlotTuning tuning = {});

    /** A server process is there with this many slots. @p newProcess: it is another process than before. */
    void setServer(std::uint32_t slots, bool newProcess, SteadyTime now);
    /** It takes no more work: returns the requests that waited. */
    std::vector<std::uint64_t> clearServer();
    /** Takes out all requests that wait; the server goes on with what it runs. */
    std::vector<std::uint64_t> removeWaiting();
    bool hasServer() const;

    SlotDecision submit(const SlotRequest &request, SteadyTime now);
    /** Takes a waiting request out; false if it is not waiting. */
    bool cancel(std::uint64_t id);
    /** A started request no longer holds its slot. */
    void release(std::uint64_t id, SteadyTime now);
    /**
     * What a finished request showed. @p took: how long the server worked on it. A failure that comes at once, without
     * the time that the work takes, is nearly always a gray server's; one after the usual time is mostly the request's.
     */
    void addResult(const std::string &route, bool failed, Duration took, SteadyTime now);

    /**
     * The server turned a request away though it had a free slot. It has not run, so nothing is lost but a send: that
     * makes other homes better, and is no reason to keep work that can't be repeated away.
     */
    void noteShed(SteadyTime now);
    /** Other evidence against the server. @p ratio: how much likelier it is from a gray server than from a well one. */
    void addEvidence(double ratio, SteadyTime now);

    struct PollResult {
        std::vector<std::uint64_t> start;
        std::vector<std::uint64_t> expired;
    };
    /** Starts waiting requests in free slots, most urgent first, and takes out those that waited long enough. */
    PollResult poll(SteadyTime now);
    /** When poll() should be called even if nothing else happens; SteadyTime::max() if nothing waits. */
    SteadyTime nextPollTime(SteadyTime now) const;

    /** As it stands for a request of @p priority. */
    HomeLoad load(int priority, SteadyTime now) const;
    std::size_t running() const;
    std::size_t waiting() const;
    double grayProbability(SteadyTime now) const;
    /** Smoothed work time of @p route here; the assumed one if it never ran. */
    Duration expectedWorkTime(const std::string &route) const;
    /** A request of @p route ended well here. */
    bool hasWorkTime(const std::string &route) const;

private:
    struct Waiting {
        SlotRequest request;
        SteadyTime expiresAt;
    };
    struct Running {
        bool probe = false;
        int rank = 0;
        SteadyTime since;
    };
    /** Slot time that one rank took, in seconds, fading. */
    struct Occupancy {
        double seconds = 0.0;
        SteadyTime at;
    };
    struct WorkTime {
        double recent = 0.0;
        double baseline = 0.0;
    };

    bool isMoreUrgent(const SlotRequest &a, const SlotRequest &b, SteadyTime now) const;
    bool hasFreeSlot() const;
    RefusalReason grayRefusal(const SlotRequest &request, SteadyTime now) const;
    /** From one trial to the next one, if that is @p request. */
    Duration probeIntervalFor(const SlotRequest &request) const;
    void start(const SlotRequest &request, SteadyTime now);
    void noteFailure(double ratio, SteadyTime now);
    Duration expectedWait(const SlotRequest &request, SteadyTime now) const;
    /** Waits of @p ahead requests that go first, by the mean work time, and of those more urgent that will come. */
    Duration waitBehind(std::ptrdiff_t ahead, int rank, SteadyTime now) const;
    /**
     * It is late by now, and those that can be in time leave no room for it: its caller is better off to hear so than
     * to wait until its time is over.
     */
    bool willTimeOut(const Waiting &one, SteadyTime now) const;
    /** Share of the slots that work more urgent than @p rank took lately. */
    double occupancyAbove(int rank, SteadyTime now) const;
    Duration meanWorkTime() const;
    double slowdown() const;
    double shedRate(SteadyTime now) const;
    /** The rank in which it is served: its priority, and after all of these if it is late already. */
    int rankOf(const SlotRequest &request, SteadyTime now) const;

    SlotTuning tuning_;
    GrayFilter gray_;
    std::uint32_t slots_ = 0;
    std::list<Waiting> waiting_;
    std::map<std::uint64_t, Running> running_;
    std::map<std::string, WorkTime> workTimes_;
    /** Smoothed seconds over all routes. */
    double meanWorkTime_ = 0.0;
    double shedShare_ = 0.0;
    SteadyTime shedAt_;
    SteadyTime lastProbe_;
    Duration probeInterval_;
    /**
     * By rank. Work that is more urgent and comes later goes first, which the queue's length can't show; without this
     * the less urgent would be let in to wait in vain.
     */
    std::map<int, Occupancy> occupancy_;
};

} // namespace waxwing
