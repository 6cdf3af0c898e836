#pragma once

#include "include/base/Clock.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace waxwing {

/**
 * Recent refills that a full token bucket lost, one sum for each interval of time (slot) of the last window. Computes
 * how many tokens of a take that becomes known late the bucket has regained meanwhile: had they been taken in time, the
 * bucket would not have been full. Uses a fixed amount of memory. Not thread safe.
 */
class OverflowHistory
{
public:
    /** @p window: the span over which the quota is enforced. */
    OverflowHistory(Millis window, SteadyTime now);

    /**
     * Records that the bucket lost @p tokensPerSecond from @p from to @p until; 0 only advances the time to @p until.
     * @pre no earlier call has a later @p until.
     */
    void note(double tokensPerSecond, SteadyTime from, SteadyTime until);
    /**
     * Returns how many of @p tokens, taken at @p takenAt, lost refills cover. These refills cover no other tokens.
     * Refills lost since the last note() are not known.
     */
    double cover(double tokens, SteadyTime takenAt);

private:
    /** 50 ms each with a window of 5 s. */
    static constexpr std::size_t slots = 100;

    std::int64_t indexOf(SteadyTime time) const;
    /** Returns the sum of the slot; a slot and the one a window later share it. */
    float &lostIn(std::int64_t index);

    Duration slotLength_;
    /** Index of the latest slot. */
    std::int64_t last_;
    /** Tokens lost in each slot of the last window. */
    std::array<float, slots> lost_{};
};

} // namespace waxwing
