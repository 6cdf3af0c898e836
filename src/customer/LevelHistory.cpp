#include "include/customer/LevelHistory.h"

#include <algorithm>

namespace waxwing {

namespace {

/** At least the nodes' report interval, since a token may be taken that much later than its request arrived. */
constexpr Millis minSlotLength{50};
/**
 * The levels of the slot in which a token was taken, and of the next one, are ignored: a request that was reported late
 * has not yet lowered them. A token counts as taken up to two slots later than it was.
 */
constexpr std::int64_t reportSlots = 2;

} // namespace

LevelHistory::LevelHistory(Millis window, SteadyTime since)
    : slotLength_(std::max<Duration>(minSlotLength, 2 * Duration(window) / static_cast<std::int64_t>(slots)))
    , first_(indexOf(since))
    , last_(first_)
{ }

std::int64_t LevelHistory::indexOf(SteadyTime time) const
{
    return time.time_since_epoch() / slotLength_;
}

float &LevelHistory::peakOf(std::int64_t index)
{
    constexpr auto count = static_cast<std::int64_t>(slots);
    return peaks_.at(static_cast<std::size_t>((index % count + count) % count));
}

void LevelHistory::note(double level, SteadyTime now)
{
    const auto value = static_cast<float>(level);
    const std::int64_t current = indexOf(now);
    if (current > last_) {
        // The level only rises between two calls, so it was not higher in the slots without a call.
        const auto oldest = std::max(last_ + 1, current - static_cast<std::int64_t>(slots) + 1);
        for (std::int64_t i = oldest; i <= current; ++i) {
            peakOf(i) = value;
        }
        last_ = current;
        first_ = std::max(first_, current - static_cast<std::int64_t>(slots) + 1);
        return;
    }
    peakOf(last_) = std::max(peakOf(last_), value);
}

double LevelHistory::putBack(double tokens, SteadyTime takenAt, double capacity)
{
    const std::int64_t taken = indexOf(takenAt);
    if (taken < first_) {
        return 0.0;
    }
    double rest = tokens;
    for (std::int64_t i = taken + reportSlots; i <= last_; ++i) {
        float &peak = peakOf(i);
        rest = std::clamp(capacity - static_cast<double>(peak), 0.0, rest);
        peak += static_cast<float>(rest);
    }
    return rest;
}

} // namespace waxwing
