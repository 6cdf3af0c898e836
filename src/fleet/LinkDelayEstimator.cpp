#include "include/fleet/LinkDelayEstimator.h"

#include <algorithm>

namespace waxwing {

Millis LinkDelayEstimator::excessDelay(Duration ageHere, Duration ageThere)
{
    const Duration transitTime = std::max(Duration(0), ageHere - ageThere);
    baseDelay_ = std::min(baseDelay_, transitTime);
    return millisOf(transitTime - baseDelay_);
}

} // namespace waxwing
