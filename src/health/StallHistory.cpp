#include "include/health/StallHistory.h"

#include <algorithm>

namespace waxwing {

StallHistory::StallHistory(StallTuning tuning)
    : tuning_(tuning)
{ }

void StallHistory::start(SteadyTime now)
{
    lastTick_ = now;
}

void StallHistory::tick(SteadyTime now)
{
    if (const std::optional<Stall> stall = openStall(now)) {
        stalls_.push_back(*stall);
        if (stalls_.size() > tuning_.maxStalls) {
            stalls_.pop_front();
        }
    }
    lastTick_ = now;
}

void StallHistory::stop()
{
    lastTick_.reset();
}

std::optional<StallHistory::Stall> StallHistory::openStall(SteadyTime now) const
{
    if (!lastTick_ || now - *lastTick_ <= tuning_.tickInterval + tuning_.tolerance) {
        return std::nullopt;
    }
    return Stall{*lastTick_ + tuning_.tickInterval, now};
}

Duration StallHistory::stalledBetween(SteadyTime since, SteadyTime now) const
{
    Duration total(0);
    const auto add = [&](const Stall &stall) {
        total += std::max(Duration(0), std::min(stall.to, now) - std::max(stall.from, since));
    };
    for (const Stall &stall : stalls_) {
        add(stall);
    }
    if (const std::optional<Stall> stall = openStall(now)) {
        add(*stall);
    }
    return total;
}

Millis StallHistory::tickInterval() const
{
    return tuning_.tickInterval;
}

} // namespace waxwing
