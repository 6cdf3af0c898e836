#pragma once

#include "include/base/Clock.h"

namespace waxwing {

/**
 * Measures by how much a message on one link was delayed in transit, without comparing clocks. When a network cut
 * heals, a link delivers work that was written to it before the cut, seconds after the sender handed that work to
 * another home. Each end measures the age of the link's Hello on its own clock; the difference when a message arrives
 * is the transit time of Hello and message together. The smallest difference seen is the link's base delay; the rest is
 * excess delay. Not thread safe.
 */
class LinkDelayEstimator
{
public:
    /**
     * Returns the excess delay of a message that has just arrived, never negative. @p ageHere: age of the Hello here
     * now. @p ageThere: its age at the sender when the message was sent.
     */
    Millis excessDelay(Duration ageHere, Duration ageThere);

private:
    /**
     * Upper bound, so that a Hello that was itself delayed does not count as base delay. The longest round trip in use
     * is far shorter.
     */
    Duration baseDelay_ = std::chrono::milliseconds(500);
};

} // namespace waxwing
