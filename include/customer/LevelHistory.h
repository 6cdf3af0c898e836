#pragma once

#include "include/base/Clock.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace waxwing {

/**
 * Recent highest levels of a token bucket, one for each slot of time. Tells how many tokens that were taken a while ago
 * the bucket would still hold if they had never been taken: those that would have overflowed a full bucket since then
 * are lost. A bucket that tokens are put back into only by this measure has granted, less the tokens put back, no more
 * in any span than the bucket's rate and burst allow. Bounded state; not thread safe.
 */
class LevelHistory
{
public:
    /** Tokens that were taken before @p since are lost. @p window: the span in which requests are limited. */
    LevelHistory(Millis window, SteadyTime since);

    /** Records the level. @pre no earlier call has a later time. */
    void note(double level, SteadyTime now);
    /**
     * Returns how many of @p tokens, taken at @p takenAt, a bucket of @p capacity would still hold, and counts them in
     * the levels since then. @pre note() was called for the present.
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
