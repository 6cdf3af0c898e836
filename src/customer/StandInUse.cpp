#include "include/customer/StandInUse.h"

#include <algorithm>
#include <cmath>

namespace waxwing {

void StandInUse::add(const QuotaUse &use, std::uint32_t granted, double burst)
{
    const std::int64_t counted = std::max<std::int64_t>(0, use.taken()) + granted;
    if (use.isFromStandIn() || counted == 0) {
        return;
    }
    Pending &pending = pending_[use.customer];
    pending.limit = use.limit;
    pending.maxUsed = std::max<std::int64_t>(1, std::llround(burst));
    pending.used = std::min(pending.maxUsed, pending.used + counted);
}

std::vector<QuotaUse> StandInUse::take()
{
    std::vector<QuotaUse> uses;
    uses.reserve(pending_.size());
    for (const auto &[customer, pending] : pending_) {
        QuotaUse use;
        use.customer = customer;
        use.limit = pending.limit;
        use.used = pending.used;
        uses.push_back(std::move(use));
    }
    pending_.clear();
    return uses;
}

void StandInUse::restore(const QuotaUse &use)
{
    const auto [found, isNew] = pending_.emplace(use.customer, Pending{use.limit, use.used, use.used});
    if (!isNew) {
        found->second.used = std::min(found->second.maxUsed, found->second.used + use.used);
    }
}

bool StandInUse::isEmpty() const
{
    return pending_.empty();
}

} // namespace waxwing
