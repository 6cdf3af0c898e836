#include "include/fleet/LinkDelayEstimator.h"

#include <algorithm>

namespace waxwing {

Millis LinkDelayEstimator::excessDelay(Duration ageHere, Duration ageThere)
{
    const Duration underWay = std::max(Duration(0), ageHere - ageThere);
    baseDelay_ = std::min(baseDelay_, underWay);
    return std::chrono::duration_cast<Millis>(underWay - baseDelay_);
}

} // namespace waxwing
