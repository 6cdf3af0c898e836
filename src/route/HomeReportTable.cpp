#include "include/route/HomeReportTable.h"

#include "include/base/Ids.h"

#include <algorithm>

namespace waxwing {

HomeReportTable::HomeReportTable(std::string self, std::uint64_t firstSequence, HomeReportTuning tuning)
    : self_(std::move(self))
    , nextSequence_(firstSequence)
    , tuning_(tuning)
{ }

void HomeReportTable::setOwn(const HomeLoad &load, SteadyTime now)
{
    entries_[self_] = Entry{nextSequence_++, now, now, load, tuning_.sendsPerReport};
}

bool HomeReportTable::add(const HomeReport &report, SteadyTime now)
{
    if (report.node == self_ || report.age < Millis(0) || report.age > tuning_.maxAge) {
        return false;
    }
    const auto found = entries_.find(report.node);
    const bool isKnown = found != entries_.end() && now - found->second.receivedAt < tuning_.forgetAfter;
    if (isKnown && report.sequence <= found->second.sequence) {
        return false;
    }
    entries_[report.node] = Entry{report.sequence, now - report.age, now, report.load, tuning_.sendsPerReport};
    return true;
}

bool HomeReportTable::isDue(const Entry &entry, SteadyTime now) const
{
    return entry.sendsLeft > 0 && now - entry.madeAt <= tuning_.maxAge;
}

bool HomeReportTable::hasUnsent(SteadyTime now) const
{
    return std::any_of(entries_.begin(), entries_.end(), [&](const auto &one) { return isDue(one.second, now); });
}

std::vector<HomeReport> HomeReportTable::take(SteadyTime now)
{
    std::vector<std::map<std::string, Entry>::iterator> due;
    for (auto entry = entries_.begin(); entry != entries_.end(); ++entry) {
        if (isDue(entry->second, now)) {
            due.push_back(entry);
        }
    }
    const std::size_t count = std::min(due.size(), tuning_.maxReports);
    std::partial_sort(due.begin(), due.begin() + static_cast<std::ptrdiff_t>(count), due.end(),
                      [](const auto &a, const auto &b) { return a->second.madeAt > b->second.madeAt; });
    std::vector<HomeReport> reports;
    reports.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        Entry &entry = due[i]->second;
        --entry.sendsLeft;
        reports.push_back(
            HomeReport{due[i]->first, entry.sequence, std::chrono::ceil<Millis>(now - entry.madeAt), entry.load});
    }
    return reports;
}

void HomeReportTable::keepOnly(const std::set<std::string> &known)
{
    for (auto entry = entries_.begin(); entry != entries_.end();) {
        entry = known.count(entry->first) != 0 ? std::next(entry) : entries_.erase(entry);
    }
}

std::uint64_t reportGroup(const std::string &node, std::size_t zoneSize)
{
    std::uint64_t groups = 1;
    while (zoneSize > groups * maxReportGroup) {
        groups *= 2;
    }
    return stableHash(node) % groups;
}

} // namespace waxwing
