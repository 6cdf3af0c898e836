#include "include/customer/StandInUse.h"

#include <algorithm>
#include <cmath>

namespace waxwing {

void StandInUse::addReport(Pending &pending, const ReportId &id, const Forwarded &report)
{
    const auto found = pending.reports.find(id);
    if (found != pending.reports.end()) {
        found->second.count = std::max(found->second.count, report.count);
        found->second.countedAt = std::max(found->second.countedAt, report.countedAt);
    } else if (id.isKnown() && pending.reports.size() < maxForwarded) {
        pending.reports.emplace(id, report);
    }
}

void StandInUse::add(const QuotaUse &use, const CountedUse &counted, double burst, SteadyTime now)
{
    // A report whose requests were all denied shows the first counter that its ingress is not cut off.
    const bool hasChange = counted.added > 0 || (use.id.isKnown() && use.seen > 0 && counted.repeated == 0);
    if (use.isFromStandIn() || !hasChange) {
        return;
    }
    Pending &pending = pending_[use.customer];
    pending.limit = use.limit;
    pending.maxUsed = std::max<std::int64_t>(1, std::llround(burst));
    pending.used = std::min(pending.maxUsed, pending.used + std::max<std::int64_t>(0, counted.added));
    addReport(pending, use.id, Forwarded{counted.total, use.seen, now});
}

std::vector<QuotaUse> StandInUse::take(SteadyTime now)
{
    std::vector<QuotaUse> uses;
    uses.reserve(pending_.size());
    for (const auto &[customer, pending] : pending_) {
        QuotaUse use;
        use.customer = customer;
        use.limit = pending.limit;
        use.used = pending.used;
        use.maxUsed = pending.maxUsed;
        use.madeAt = now;
        for (const auto &[id, report] : pending.reports) {
            use.forwarded.push_back(ForwardedReport{id, report.count, report.seen, millisOf(now - report.countedAt)});
        }
        uses.push_back(std::move(use));
    }
    pending_.clear();
    return uses;
}

void StandInUse::restore(const QuotaUse &use)
{
    Pending &pending = pending_[use.customer];
    pending.limit = use.limit;
    pending.maxUsed = std::max(pending.maxUsed, use.maxUsed);
    pending.used = std::min(pending.maxUsed, pending.used + use.used);
    for (const ForwardedReport &report : use.forwarded) {
        addReport(pending, report.id, Forwarded{report.count, report.seen, use.madeAt - report.age});
    }
}

bool StandInUse::isEmpty() const
{
    return pending_.empty();
}

} // namespace waxwing
