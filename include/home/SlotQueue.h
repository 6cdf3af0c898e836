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
    std::int32_t freeSlots = 0;
    std::int32_t queued = 0;
    /** What a request of the asked priority that came now would wait for its slot. */
    Millis wait{0};
    /** Probability that the server is gray. */
    double doubt = 0.0;
    /** Work takes this many times as long as usual; 1 is usual. */
    double slowdown = 1.0;
};

/** A request as the home of one server decides about it. */
struct SlotRequest {
    std::uint64_t id = 0;
    std::string route;
    bool idempotent = false;
    int priority = 0;
    /** Finished by then it counts in full. */
    SteadyTime objective;
    /** Nobody waits for it after this. */
    SteadyTime deadline;
    /** How long the sender would rather have it wait here than try another home. */
    Millis patience{0};
    /** The sender knows of the doubt about the server and has nothing better. */
    bool acceptsDoubt = false;
};

enum class SlotVerdict {
    Start,
    Wait,
    Refused,
};

/** Why a home refuses; the words stand in logs and replies. */
enum class RefusalReason {
    None,
    /** There is no server beside this node, or it leaves. */
    NoServer,
    /** Its slots and the request's patience are spent. */
    Busy,
    /** The server may be gray, and the request can't be tried again. */
    Doubtful,
    /** Too little time is left. */
    TooLate,
};

const char *refusalName(RefusalReason reason);

struct SlotDecision {
    SlotVerdict verdict = SlotVerdict::Refused;
    RefusalReason reason = RefusalReason::None;
};

struct SlotTuning {
    /**
     * From this doubt on the server gets no work that can't be tried again. A single failure puts a server that was
     * as usual above it, and about four seconds without evidence, or three good answers, put it below.
     */
    double doubtful = 0.45;
    /** While in doubt, idempotent requests go to the server one at a time and at most this often. */
    Millis trialEvery{150};
    /**
     * How much likelier a failure is from a gray server: one that came at once, and one after the usual work time. Of
     * 331 failures seen on a quiet day 277 came at once, none of them from a server that was well.
     */
    double quickFailureRatio = 500.0;
    double slowFailureRatio = 6.0;
    /** A failure within this part of the usual work time came at once. */
    double quickPart = 0.2;
    /** Weight of the newest work time in the mean. */
    double smoothing = 0.1;
    /** A home of which nothing is known yet plans with this work time. */
    Millis assumedWork{200};
    /** Bounds of the correction of expected waits, and the weight of the newest wait in it. */
    double leastWaitFactor = 0.5;
    double mostWaitFactor = 30.0;
    double waitSmoothing = 0.15;
    /** A wait that patience ended would have been longer: counted as this many times what was seen. */
    double unservedWaitFactor = 1.5;
    /** Requests that may wait at once: memory's bound, far above what patience allows. */
    std::size_t mostWaiting = 256;
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

    /** A server process is there with this many slots. @p fresh: it is another process than before. */
    void setServer(std::uint32_t slots, bool fresh, SteadyTime now);
    /** It takes no more work: returns the requests that waited. */
    std::vector<std::uint64_t> clearServer();
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

    /** Other evidence: how much likelier it is from a gray server than from a well one. */
    void addEvidence(double ratio, SteadyTime now);

    struct Due {
        std::vector<std::uint64_t> start;
        std::vector<std::uint64_t> expired;
    };
    /** Starts waiting requests in free slots, most urgent first, and takes out those that waited long enough. */
    Due poll(SteadyTime now);
    /** When poll() should be called even if nothing else happens; SteadyTime::max() if nothing waits. */
    SteadyTime nextDue() const;

    /** As it stands for a request of @p priority. */
    HomeLoad load(int priority, SteadyTime now) const;
    std::size_t running() const;
    std::size_t waiting() const;
    double doubt(SteadyTime now) const;
    /** Smoothed work time of @p route here; the assumed one if it never ran. */
    Duration typicalWork(const std::string &route) const;

private:
    struct Waiting {
        SlotRequest request;
        SteadyTime until;
        SteadyTime since;
        /** What it was expected to wait. */
        Duration expected{0};
    };
    struct Running {
        bool trial = false;
        std::string route;
        SteadyTime since;
    };
    struct WorkTime {
        double recent = 0.0;
        double usual = 0.0;
    };

    bool isMoreUrgent(const SlotRequest &a, const SlotRequest &b, SteadyTime now) const;
    bool hasFreeSlot() const;
    RefusalReason doubtRefuses(const SlotRequest &request, SteadyTime now) const;
    void start(const SlotRequest &request, SteadyTime now);
    Duration expectedWait(const SlotRequest &request, SteadyTime now) const;
    /** Waits of @p ahead requests that go first, by the mean work time, corrected by what was seen. */
    Duration waitBehind(std::ptrdiff_t ahead, int priority) const;
    /** The wait of a request ended. @p served: by a slot, not by its patience. */
    void noteWaited(const Waiting &one, bool served, SteadyTime now);
    Duration meanWork() const;
    double slowdown() const;

    SlotTuning tuning_;
    GrayFilter gray_;
    std::uint32_t slots_ = 0;
    std::list<Waiting> waiting_;
    std::map<std::uint64_t, Running> running_;
    std::map<std::string, WorkTime> work_;
    /** Smoothed seconds over all routes. */
    double meanWork_ = 0.0;
    SteadyTime lastTrial_;
    /**
     * Real over expected waits by priority. Work that is more urgent and comes later goes first, which the estimate
     * can't see; without the correction the less urgent would be let in to wait in vain.
     */
    std::map<int, double> waitFactor_;
};

} // namespace waxwing
