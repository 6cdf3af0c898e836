#pragma once

#include "include/base/Clock.h"

namespace waxwing {

/**
 * Tells how late a message arrives on one link without comparing clocks. A cut that heals delivers what was written
 * into the link before it, seconds later, when its sender has long given the work to another home. Both ends say how
 * old the link's Hello is to them; the difference is the time under way of Hello and message together. The shortest one
 * seen is the link's own delay, and what exceeds it is lateness. Not thread safe.
 */
class LinkDelayEstimator
{
public:
    /** @p ageHere and @p ageThere: of the Hello, here now and at the sender when it sent. Never negative. */
    Millis excessDelay(Duration ageHere, Duration ageThere);

private:
    /** A Hello that was itself late must not pass as the link's own delay; the longest round trip in use is far less.
     */
    Duration baseDelay_ = std::chrono::milliseconds(500);
};

} // namespace waxwing
