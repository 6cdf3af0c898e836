#include "include/fleet/TransitMeter.h"

#include <algorithm>

namespace waxwing {

Millis TransitMeter::lateness(Duration ageHere, Duration ageThere)
{
    const Duration underWay = std::max(Duration(0), ageHere - ageThere);
    shortest_ = std::min(shortest_, underWay);
    return std::chrono::duration_cast<Millis>(underWay - shortest_);
}

} // namespace waxwing
