#include "include/customer/OverflowHistory.h"

#include <algorithm>

namespace waxwing {

OverflowHistory::OverflowHistory(Millis window, SteadyTime now)
    : slotLength_(std::max(Duration(window), Duration(Millis(1))) / static_cast<std::int64_t>(slots))
    , last_(indexOf(now))
{ }

std::int64_t OverflowHistory::indexOf(SteadyTime time) const
{
    return time.time_since_epoch() / slotLength_;
}

float &OverflowHistory::lostIn(std::int64_t index)
{
    constexpr auto count = static_cast<std::int64_t>(slots);
    return lost_.at(static_cast<std::size_t>((index % count + count) % count));
}

void OverflowHistory::note(double tokensPerSecond, SteadyTime from, SteadyTime until)
{
    const std::int64_t current = indexOf(until);
    const std::int64_t oldest = current - static_cast<std::int64_t>(slots) + 1;
    for (std::int64_t i = std::max(last_ + 1, oldest); i <= current; ++i) {
        lostIn(i) = 0.0F;
    }
    last_ = std::max(last_, current);
    for (std::int64_t i = std::max(indexOf(from), oldest); i <= current; ++i) {
        const SteadyTime begin = std::max(from, SteadyTime(i * slotLength_));
        const SteadyTime end = std::min(until, SteadyTime((i + 1) * slotLength_));
        lostIn(i) += static_cast<float>(tokensPerSecond * std::max(0.0, secondsOf(end - begin)));
    }
}

double OverflowHistory::cover(double tokens, SteadyTime takenAt)
{
    // What was lost in the slot of the take may have been lost before it.
    const std::int64_t oldest = last_ - static_cast<std::int64_t>(slots) + 1;
    double rest = tokens;
    for (std::int64_t i = std::max(indexOf(takenAt) + 1, oldest); i <= last_ && rest > 0.0; ++i) {
        float &lost = lostIn(i);
        const double used = std::min(rest, static_cast<double>(lost));
        lost -= static_cast<float>(used);
        rest -= used;
    }
    return tokens - rest;
}

} // namespace waxwing
