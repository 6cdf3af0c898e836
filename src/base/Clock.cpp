#include "include/base/Clock.h"

#include <ctime>

namespace waxwing {

SteadyTime SystemClock::now() const
{
    // CLOCK_BOOTTIME includes the time for which the VM was suspended. With the steady clock, a resumed node would
    // still honor deadlines and leases that expired long ago for all other nodes.
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return SteadyTime(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

WallTime SystemClock::wallNow() const
{
    return std::chrono::system_clock::now();
}

} // namespace waxwing
