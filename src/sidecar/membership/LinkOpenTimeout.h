#pragma once

#include "include/base/Clock.h"

namespace waxwing {

/**
 * Returns the timeout for opening a link to a node. Opening takes three round trips: about 3 ms each within a region,
 * 60 ms between regions. The rest is margin for nodes that are descheduled for 100 ms when they have used up their CPU
 * quota. Thread safe.
 */
constexpr Millis linkOpenTimeout(bool otherRegion)
{
    return otherRegion ? Millis(450) : Millis(200);
}

} // namespace waxwing
