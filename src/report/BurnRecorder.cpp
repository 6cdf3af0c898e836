#include "include/report/BurnRecorder.h"

#include <nlohmann/json.hpp>

#include <array>

namespace waxwing {

namespace {

struct Window {
    const char *label;
    std::chrono::hours length;
};

constexpr std::array<Window, 3> windows = {Window{"1h", std::chrono::hours(1)}, Window{"6h", std::chrono::hours(6)},
                                           Window{"3d", std::chrono::hours(72)}};

WallTime sliceStart(WallTime at, Millis length)
{
    const auto sinceEpoch = millisOf(at.time_since_epoch());
    return WallTime(sinceEpoch - sinceEpoch % length);
}

} // namespace

std::uint64_t BurnCounts::total() const
{
    return good + bad();
}

std::uint64_t BurnCounts::bad() const
{
    return late + failed + refused + unknown;
}

void BurnCounts::add(const BurnCounts &other)
{
    good += other.good;
    late += other.late;
    failed += other.failed;
    refused += other.refused;
    unknown += other.unknown;
}

BurnRecorder::BurnRecorder(const Clock &clock)
    : clock_(clock)
{ }

void BurnRecorder::coarsen(BurnSlices &slices, WallTime now)
{
    BurnSlices kept;
    for (const BurnSlice &one : slices) {
        if (now - one.start > retention) {
            continue;
        }
        const auto age = now - one.start;
        const Millis length = age <= fineRetention ? slice : (age <= hourlyRetention ? hourlySlice : coarseSlice);
        const WallTime start = sliceStart(one.start, length);
        if (!kept.empty() && kept.back().start >= start) {
            kept.back().counts.add(one.counts);
        } else {
            kept.push_back(BurnSlice{start, one.counts});
        }
    }
    kept.reserve(kept.size() + 1);
    slices = std::move(kept);
}

void BurnRecorder::record(const std::string &service, const std::string &className, BurnResult result)
{
    BurnSlices &all = slices_[service + "/" + className];
    const WallTime start = sliceStart(clock_.wallNow(), slice);
    if (all.empty() || all.back().start < start) {
        coarsen(all, start);
        all.push_back(BurnSlice{start, {}});
    }
    BurnCounts &counts = all.back().counts;
    switch (result) {
    case BurnResult::Good:
        ++counts.good;
        break;
    case BurnResult::Late:
        ++counts.late;
        break;
    case BurnResult::Failed:
        ++counts.failed;
        break;
    case BurnResult::Refused:
        ++counts.refused;
        break;
    case BurnResult::Unknown:
        ++counts.unknown;
        break;
    }
}

const std::map<std::string, BurnSlices> &BurnRecorder::slices() const
{
    return slices_;
}

std::string BurnRecorder::json() const
{
    nlohmann::json out = nlohmann::json::object();
    for (const auto &[name, all] : slices_) {
        nlohmann::json list = nlohmann::json::array();
        for (const BurnSlice &one : all) {
            const BurnCounts &c = one.counts;
            const auto ms = millisOf(one.start.time_since_epoch()).count();
            list.push_back({ms, c.good, c.late, c.failed, c.refused, c.unknown});
        }
        out[name] = std::move(list);
    }
    return out.dump();
}

std::vector<BurnRate> burnRates(const BurnSlices &slices, double successRate, WallTime now)
{
    std::vector<BurnRate> rates;
    for (const Window &window : windows) {
        BurnRate rate;
        rate.label = window.label;
        for (const BurnSlice &one : slices) {
            if (now - one.start <= window.length) {
                rate.counts.add(one.counts);
            }
        }
        const double allowed = 1.0 - successRate;
        if (rate.counts.total() > 0 && allowed > 0.0) {
            const double badShare = static_cast<double>(rate.counts.bad()) / static_cast<double>(rate.counts.total());
            rate.burn = badShare / allowed;
        }
        rates.push_back(rate);
    }
    return rates;
}

} // namespace waxwing
