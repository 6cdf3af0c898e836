#pragma once

#include "include/base/Clock.h"
#include "include/base/TokenBucket.h"
#include "include/customer/CountedReports.h"
#include "include/customer/LevelHistory.h"
#include "include/customer/OverflowHistory.h"
#include "include/customer/QuotaUse.h"
#include "include/fleet/CustomerTable.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace waxwing {

/** How far requests may exceed a quota, as the platform tolerates it. */
struct QuotaTuning {
    /** In any span of this length, at most (rate x window + burst) x (1 + over) + slack requests run. */
    Millis window{5000};
    double over = 0.1;
    double slack = 20.0;
};

/** How the nodes treat a customer's requests. */
enum class QuotaMode : std::uint8_t {
    /** Nodes admit requests and report them afterwards. */
    Open = 0,
    /** The customer is near its limit: each request needs a grant of the counter first. */
    Metered = 1,
};

/** The nodes of a counter's region, this one included. */
struct RegionNodes {
    std::size_t all = 1;
    /** Those to which this node knows no failed path. */
    std::size_t reachable = 1;
};

/** How a counter has dealt with one report. */
struct CountedUse {
    /** Requests granted, including those that were granted before with a reply that was lost. */
    std::uint32_t granted = 0;
    /** Requests that were not counted before, including those granted now. */
    std::int64_t added = 0;
    /** All requests that are counted for the report of an ingress; the same as @c added for that of a stand-in. */
    std::int64_t total = 0;
    /** Returned tokens that came too late to count. */
    double lateReturns = 0.0;
    /** Reports, or parts of a stand-in's report, that were counted before. */
    std::uint32_t repeated = 0;
};

/** What a new counter knows of the window before it. */
enum class CounterStart {
    /** No node has counted for the customer within the window, so the bucket is full. */
    Fresh,
    /** This node has counted, or another one that has stopped. What was granted is unknown: the bucket is empty. */
    AfterLoss,
    /**
     * Another node ranks before this one and may still be counting for the nodes that it reaches. The bucket begins
     * with a negative level, and for half a minute all nodes of the region are expected to report.
     */
    InPlaceOfOther,
};

/**
 * Counts the requests of one customer at all nodes of a region, as a token bucket with the region's part of the
 * customer's rate and burst. The parts of all regions add up to the quota, so regions stay within it together even if
 * they are cut off from each other; a region that needs more borrows tokens from the others. Requests that
 * were admitted before the counter knew of them may overdraw it; grants overdraw it by a part of the tolerance only.
 * Not thread safe.
 */
class QuotaCounter
{
public:
    /** @p limit: the region's part of the customer's limit. @pre no later call has an earlier time. */
    QuotaCounter(QuotaLimit limit, const QuotaTuning &tuning, CounterStart start, SteadyTime now);

    /** Changes the limit; tokens above the new burst are lost. */
    void setLimit(QuotaLimit limit, SteadyTime now);
    /**
     * Counts a report, and grants what it wants. A report that was counted before, or a part of a stand-in's report
     * that was, is not counted again. @p node: the sender. @p nodes: those of the region now; not used for the report
     * of a stand-in.
     */
    CountedUse count(const std::string &node, const QuotaUse &use, const RegionNodes &nodes, SteadyTime now);
    /**
     * Takes the tokens of requests that @p node has admitted. Negative: a node of an earlier build, which does not
     * state the ages, gives back; this counts only while no other counter can have granted them. @p seen: requests
     * that came to the node since its last report, admitted or not. @p nodes: those of the region now.
     */
    void record(const std::string &node, std::int64_t used, std::uint32_t seen, const RegionNodes &nodes,
                SteadyTime now);
    /**
     * Gives back tokens. Those count that the bucket would hold now if they had never been taken; the others would have
     * overflowed it meanwhile, or were taken before this counter began. Returns how many count.
     */
    double giveBack(const QuotaReturn &tokens, SteadyTime now);
    /**
     * Takes the tokens of requests that another node has counted in place of this one. A bucket that began empty after
     * a loss covers those of the first such report. @p used: without the tokens that the bucket has regained since.
     */
    void recordStandIn(double used, SteadyTime now);
    /** Grants up to @p wanted requests and takes their tokens. */
    std::uint32_t grant(std::uint32_t wanted, SteadyTime now);
    /** Returns true if the bucket is so low that tokens of other regions' counters are needed. */
    bool needsLoan(SteadyTime now);
    /** Returns how many tokens to ask for: those missing to the full burst. */
    double loanWanted(SteadyTime now);
    /** Takes up to @p wanted tokens for another region's counter, and keeps half of the burst. */
    double lend(double wanted, SteadyTime now);
    /** Adds tokens that another region's counter has lent. */
    void borrow(double tokens, SteadyTime now);
    /** Returns how nodes must treat the customer. Metered mode ends when part of the burst is there again. */
    QuotaMode mode(SteadyTime now);
    /** Returns the time until a grant is possible, at most as long as a denial lasts. */
    Millis retryAfter(SteadyTime now);
    /** Returns when requests were last recorded; the start if none were. */
    SteadyTime lastUsed() const;

private:
    struct Arrivals {
        SteadyTime at;
        std::uint32_t count = 0;
    };

    void countFromIngress(const std::string &node, const QuotaUse &use, const RegionNodes &nodes, CountedUse &counted);
    void countFromStandIn(const QuotaUse &use, CountedUse &counted);
    /** Notes that the node with this hash of its name reports, after @p seen requests came to it. */
    void noteReporter(std::uint64_t origin, std::uint32_t seen);
    /** Refills the bucket for the time since the last call, and notes the tokens that it loses because it is full. */
    void refill(SteadyTime now);
    /** Advances the time, refills the bucket and returns its level in tokens. */
    double level(SteadyTime now);
    /** Returns how many requests above rate and burst a window may have. */
    double tolerance() const;
    /** Returns the level above which requests are granted; negative. */
    double grantFloor() const;
    std::size_t reportersWithin(Duration time) const;
    /** Returns the share of the customer's nodes that report here, as far as the recent reports show it. */
    double reportingShare() const;
    /** Returns the share of the rate that this counter may grant. */
    double reachableShare() const;

    QuotaLimit limit_;
    QuotaTuning tuning_;
    TokenBucket bucket_;
    LevelHistory levels_;
    OverflowHistory overflow_;
    /** Time of the last call. */
    SteadyTime now_;
    SteadyTime lastUsed_;
    SteadyTime createdAt_;
    CounterStart start_ = CounterStart::Fresh;
    /** A node that has counted in place of this one has reported. */
    bool hasStandInReport_ = false;
    QuotaMode mode_ = QuotaMode::Open;
    RegionNodes nodes_;
    /** Requests of the customer that were reported here since the start. */
    double reportedRequests_ = 0.0;
    CountedReports reports_;
    /** When each node last reported, here or through a stand-in, by the hash of its name. */
    std::map<std::uint64_t, SteadyTime> reporters_;
    /** The reported requests of the last few seconds, oldest first. */
    std::deque<Arrivals> arrivals_;
};

} // namespace waxwing
