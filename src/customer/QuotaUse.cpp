#include "include/customer/QuotaUse.h"

#include <numeric>
#include <tuple>

namespace waxwing {

bool ReportId::isKnown() const
{
    return sequence != 0;
}

bool ReportId::operator<(const ReportId &other) const
{
    return std::tie(origin, sequence) < std::tie(other.origin, other.sequence);
}

std::int64_t QuotaUse::taken() const
{
    return std::accumulate(returned.begin(), returned.end(), used,
                           [](std::int64_t sum, const QuotaReturn &one) { return sum + one.count; });
}

bool QuotaUse::isFromStandIn() const
{
    // Without identifiers: an ingress that has admitted requests has seen them.
    return !forwarded.empty() || (!id.isKnown() && used > 0 && seen == 0 && wanted == 0);
}

} // namespace waxwing
