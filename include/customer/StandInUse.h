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
     * Adds the requests that @p use reported, and @p granted ones. @p burst: of the counter's limit; what was granted
     * beyond it has been refilled at the first counter as well. Ignores the report of another stand-in, so that nodes
     * with different registries don't pass the same use back and forth.
     */
    void add(const QuotaUse &use, std::uint32_t granted, double burst);
    /** Returns the unreported requests of each customer and removes them. */
    std::vector<QuotaUse> take();
    /** Adds the requests of a report that was not acknowledged. */
    void restore(const QuotaUse &use);
    bool isEmpty() const;

private:
    struct Pending {
        QuotaLimit limit;
        std::int64_t used = 0;
        /** Upper bound of @c used: the burst of the limit; the restored number until add() is called. */
        std::int64_t maxUsed = 0;
    };

    std::map<std::string, Pending> pending_;
};

} // namespace waxwing
