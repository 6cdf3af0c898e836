#pragma once

#include "include/customer/QuotaUse.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>

namespace waxwing {

/**
 * The reports that a counter has counted for one customer, so that a report which it receives again, from its ingress
 * or through a stand-in, is counted once. Keeps a report for one quota window, and at most @c maxReports of them; a
 * report that is no longer known is counted again. Not thread safe.
 */
class CountedReports
{
public:
    /** Bounds the memory; docs/CAPACITY.md states the bytes. */
    static constexpr std::size_t maxReports = 1024;

    /** @p window: the span over which the quota is enforced; a report is kept for as long after its first add(). */
    explicit CountedReports(Millis window);

    /**
     * Returns how many of @p count requests of the report @p id are not counted yet, and counts them. Reports without
     * an identifier are always counted in full. @pre no earlier call has a later time.
     */
    std::int64_t add(const ReportId &id, std::int64_t count, SteadyTime now);
    /**
     * Returns how many requests of the report @p id are counted; 0 if it is not known. Expired reports are removed only
     * by add().
     */
    std::int64_t countOf(const ReportId &id) const;
    bool contains(const ReportId &id) const;
    std::size_t size() const;

private:
    struct Expiry {
        ReportId id;
        SteadyTime at;
    };

    void removeOldest();

    Millis window_;
    std::map<ReportId, std::int64_t> counts_;
    /** The reports in @c counts_, oldest first. */
    std::deque<Expiry> expiries_;
};

} // namespace waxwing
