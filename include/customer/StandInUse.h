#pragma once

#include "include/customer/QuotaLedger.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace waxwing {

/**
 * The requests that this node has counted as a stand-in for the first-ranked counters of customers, and has not yet
 * reported to them. A first-ranked counter may be counting for other nodes at the same time, or return with a bucket
 * that was refilled meanwhile: without these reports both would grant the whole rate. Not thread safe.
 */
class StandInUse
{
public:
    /**
     * Adds the requests that this node has @p counted for @p use. A report without admitted requests is added too, so
     * that the first counter does not take its ingress as cut off. @p burst: of the counter's limit; what was counted
     * beyond it has been refilled at the first counter as well. Ignores the report of another stand-in, so that nodes
     * with different registries don't pass the same use back and forth. @p counted: the result of QuotaCounter::count()
     * for @p use.
     */
    void add(const QuotaUse &use, const CountedUse &counted, double burst, SteadyTime now);
    /** Returns the unreported requests of each customer and removes them. */
    std::vector<QuotaUse> take(SteadyTime now);
    /** Adds the requests of a report that was not acknowledged. @p use: as returned by take(). */
    void restore(const QuotaUse &use);
    bool isEmpty() const;

private:
    /** Reports of ingresses that are kept for one customer; the requests of further ones have no identifier. */
    static constexpr std::size_t maxForwarded = 256;

    struct Forwarded {
        std::int64_t count = 0;
        std::uint32_t seen = 0;
        SteadyTime countedAt;
    };
    struct Pending {
        QuotaLimit limit;
        /** Requests counted here and not yet reported. */
        std::int64_t used = 0;
        /** Upper bound of @c used: the burst of the limit. */
        std::int64_t maxUsed = 0;
        std::map<ReportId, Forwarded> reports;
    };

    /**
     * Adds a report, or raises the count of one that is known. Ignores one without an identifier or beyond
     * @c maxForwarded.
     */
    static void addReport(Pending &pending, const ReportId &id, const Forwarded &report);

    std::map<std::string, Pending> pending_;
};

} // namespace waxwing
