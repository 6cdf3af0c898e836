#include "include/customer/CountedReports.h"

#include <algorithm>

namespace waxwing {

CountedReports::CountedReports(Millis window)
    : window_(window)
{ }

std::int64_t CountedReports::add(const ReportId &id, std::int64_t count, SteadyTime now)
{
    if (!id.isKnown()) {
        return count;
    }
    while (!expiries_.empty() && expiries_.front().at <= now) {
        removeOldest();
    }
    const auto found = counts_.find(id);
    if (found != counts_.end()) {
        const std::int64_t added = std::max<std::int64_t>(0, count - found->second);
        found->second += added;
        return added;
    }
    // Only for a new report, so that a repeated one does not remove itself and is counted again.
    if (expiries_.size() >= maxReports) {
        removeOldest();
    }
    counts_.emplace(id, count);
    expiries_.push_back(Expiry{id, now + window_});
    return count;
}

void CountedReports::removeOldest()
{
    counts_.erase(expiries_.front().id);
    expiries_.pop_front();
}

std::int64_t CountedReports::countOf(const ReportId &id) const
{
    const auto found = counts_.find(id);
    return found == counts_.end() ? 0 : found->second;
}

bool CountedReports::contains(const ReportId &id) const
{
    return counts_.count(id) > 0;
}

std::size_t CountedReports::size() const
{
    return counts_.size();
}

} // namespace waxwing
