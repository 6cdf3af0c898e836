#pragma once

#include "include/base/TokenBucket.h"
#include "include/customer/CounterElection.h"
#include "include/customer/QuotaLedger.h"
#include "include/customer/StandInUse.h"
#include "tests/support/EventSchedule.h"

#include <boost/random/mersenne_twister.hpp>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace waxwing::testing {

/** How a fleet keeps one customer within its quota. */
enum class QuotaPolicy {
    /** The decisions of the production code: a counter a region, reports, grants near the limit, loans. */
    RegionCounters,
    /** Each node has an equal, fixed part of the quota. */
    EqualShares,
    /** One counter for the whole fleet grants every request before it runs. */
    CentralGrants,
};

/** The requests of one customer and what happens meanwhile. Times are from the start of the run. */
struct QuotaFleetLoad {
    int nodes = 102;
    int regions = 3;
    QuotaLimit limit{136.0, 136.0};
    QuotaTuning tuning;
    double requestsPerSecond = 85.0;
    /** The request rate is multiplied by @c hotFactor from @c hotFrom to @c hotUntil. */
    double hotFactor = 1.0;
    Millis hotFrom{0};
    Millis hotUntil{0};
    /** All requests come to the first nodes, this many; 0: to all. */
    int usedNodes = 0;
    /** This share of the nodes can't reach the others for a time. */
    double cutShare = 0.0;
    Millis cutFrom{0};
    Millis cutUntil{0};
    /** When the node that counts in the first region is killed; it is back after @c downTime with nothing. */
    std::vector<Millis> counterKills;
    Millis downTime{2000};
    /** When the customer's first counter of the first region is paused for @c pauseLength; it goes on with its state.
     */
    std::vector<Millis> counterPauses;
    Millis pauseLength{750};
    /** These faults of links within a region hold from @c faultsFrom to @c faultsUntil; all nodes are alive. */
    Millis faultsFrom{0};
    Millis faultsUntil{0};
    /** This share of the replies to reports is lost. */
    double lostReplies = 0.0;
    /** This share of the replies to reports arrives later by @c lateBy. */
    double lateReplies = 0.0;
    Millis lateBy{300};
    /** So many ingresses of the first region can't exchange messages with the customer's first counter. */
    int cutIngresses = 0;
    /** Ingresses identify their reports; without it they are of an earlier build. */
    bool identifiedReports = true;
    /** Stand-ins report to the first counter. */
    bool standInReports = true;
    /** A new limit from a time on. */
    std::optional<QuotaLimit> laterLimit;
    Millis laterLimitFrom{0};
    /**
     * Admitted requests wait for a slot in this time. At its end all slots are free at once. A request that gets none
     * is refused as not run after a wait between @c minWait and @c maxWait, and its token is given back.
     */
    Millis scarceFrom{0};
    Millis scarceUntil{0};
    double scarceSlotsPerSecond = 0.0;
    Millis minWait{200};
    Millis maxWait{10000};
    /** How often a caller repeats a request that got no slot, 1 s later each time. */
    int repeats = 0;
    Millis length{12000};
};

struct QuotaFleetOutcome {
    int requests = 0;
    int admitted = 0;
    /** Requests that a token bucket at a single place would have admitted. */
    int owed = 0;
    /** Requests refused because of the quota. */
    int refusedForQuota = 0;
    /** Requests that ran. */
    int ran = 0;
    /** By how many requests the worst window exceeds (rate x window + burst) x (1 + over) + slack; negative: below. */
    double worstOverrun = 0.0;
    /** The most requests that were both sent and run within one window. */
    int worstWindow = 0;
    /** Delay of admitted requests by questions to a counter. */
    Millis medianDelay{0};
    Millis p99Delay{0};
    int messagesInRegion = 0;
    int messagesBetweenRegions = 0;

    /** Share of the owed requests that the fleet admitted fewer than a single bucket would have. */
    double refusedOwedShare() const;
};

/**
 * Simulates the nodes of a fleet and one customer's requests. Ledger, counter and election are the production code;
 * links have a fixed delay, and a cut loses what is sent across it. Seeded; opens no socket.
 */
class QuotaFleetModel
{
public:
    QuotaFleetModel(QuotaFleetLoad load, QuotaPolicy policy, std::uint32_t seed);
    QuotaFleetOutcome run();

private:
    struct Node {
        std::string name;
        int region = 0;
        bool isCut = false;
        bool isDead = false;
        bool isPaused = false;
        /** What arrived during the pause. */
        std::vector<std::function<void()>> held;
        SteadyTime startedAt;
        std::optional<QuotaLedger> ledger;
        CounterElection election;
        std::optional<QuotaCounter> counter;
        StandInUse standInUse;
        bool isStandInReportPending = false;
        /** For equal shares. Its limit does not change during the run. */
        std::optional<TokenBucket> share;
        QuotaMode announced = QuotaMode::Open;
        SteadyTime announcedAt;
        SteadyTime borrowedAt;
    };
    /** An admitted request that waits for a slot. */
    struct Waiting {
        std::size_t node = 0;
        SteadyTime sentAt;
        SteadyTime admittedAt;
        int repeats = 0;
    };
    struct Run {
        SteadyTime sentAt;
        SteadyTime ranAt;
    };
    struct Reply {
        std::uint32_t granted = 0;
        QuotaMode mode = QuotaMode::Open;
        Millis retryAfter{0};
    };

    /** Delivers a message unless it crosses a cut or an end of it is down. */
    void send(std::size_t from, std::size_t to, std::function<void()> onArrival);
    /** The same for the reply to a report, which may be lost or late. */
    void sendReply(std::size_t from, std::size_t to, const std::function<void()> &onArrival);
    ReportId firstReportOf(const Node &node) const;
    bool hasFaults() const;
    bool isLinkCut(std::size_t one, std::size_t other) const;
    void scheduleArrivals();
    void scheduleTroubles();
    void schedulePauses();
    void startNode(std::size_t node);
    /** @p repeats: how often its caller may still repeat the request. */
    void arrive(std::size_t node, int repeats);
    void ask(std::size_t node, SteadyTime arrivedAt, int repeats);
    /** Asks the node's present counter; @p attempt: how many were asked before. */
    void askNext(std::size_t node, const QuotaUse &use, SteadyTime arrivedAt, int repeats, int attempt);
    void admit(std::size_t node, SteadyTime arrivedAt, int repeats);
    void refuseForQuota();
    /** Gives a free slot to the request that has waited longest. */
    void startOldest();
    void refuseForSlot(std::uint64_t id);
    void flush(std::size_t node);
    void flushStandIn(std::size_t node);
    Reply countAll(std::size_t counter, std::size_t from, const std::vector<QuotaUse> &uses);
    Reply count(std::size_t counter, std::size_t from, const QuotaUse &use);
    QuotaCounter &counterAt(std::size_t node);
    /** Returns the nodes of its region, without those to which it knows a failed path. */
    RegionNodes regionNodes(std::size_t index) const;
    void borrow(std::size_t counter);
    QuotaLimit currentLimit() const;
    /** Returns the limit of one counter: the region's part, or the whole. */
    QuotaLimit counterLimit() const;
    std::optional<std::size_t> counterOf(std::size_t node);
    std::size_t firstCounterOf(int region);
    double worstOverrun() const;
    int worstWindow();

    static const std::string customer;

    QuotaFleetLoad load_;
    QuotaPolicy policy_;
    QuotaTuning tuning_;
    boost::random::mt19937 random_;
    SteadyTime start_ = SteadyTime(std::chrono::hours(1000));
    EventSchedule events_{start_};
    /** A bucket at a single place, for the requests that are owed. */
    TokenBucket ideal_;
    std::vector<Node> nodes_;
    std::unordered_map<std::string, std::size_t> indexes_;
    std::vector<SteadyTime> admittedAt_;
    std::vector<Millis> delays_;
    std::map<std::uint64_t, Waiting> waiting_;
    std::uint64_t nextWaiting_ = 0;
    std::vector<Run> runs_;
    QuotaFleetOutcome outcome_;
};

} // namespace waxwing::testing
