#pragma once

#include "include/base/Clock.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace waxwing {

/**
 * Recent highest levels of a token bucket, one for each interval of time (slot). Computes how many tokens that were
 * taken a while ago the bucket would still hold if they had never been taken: those that would have overflowed the full
 * bucket since then are lost. If only the others are put back, the tokens taken in any span, less those put back, stay
 * within the bucket's rate and burst. Uses a fixed amount of memory. Not thread safe.
 */
class LevelHistory
{
public:
    /** Tokens that were taken before @p since are lost. @p window: the span over which the quota is enforced. */
    LevelHistory(Millis window, SteadyTime since);

    /** Records the bucket's level at @p now, in tokens. @pre no earlier call has a later time. */
    void note(double level, SteadyTime now);
    /**
     * Returns how many of @p tokens, taken at @p takenAt, a bucket of @p capacity tokens would still hold, and adds
     * them to the levels recorded since then. @pre note() was called with the current time.
     */
    double putBack(double tokens, SteadyTime takenAt, double capacity);

private:
    /** Slots for two windows: no request that is older can lie in a window with a new one. */
    static constexpr std::size_t slots = 200;

    std::int64_t indexOf(SteadyTime time) const;
    float &peakOf(std::int64_t index);

    Duration slotLength_;
    std::int64_t first_;
    std::int64_t last_;
    std::array<float, slots> peaks_{};
};

} // namespace waxwing
