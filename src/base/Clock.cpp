#include "include/base/Clock.h"

#include <ctime>

namespace waxwing {

SteadyTime SystemClock::now() const
{
    // The boot clock counts the time for which the VM was suspended. By the steady clock a node that wakes would
    // believe deadlines and leases that ended long ago for everybody else.
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return SteadyTime(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

WallTime SystemClock::wallNow() const
{
    return std::chrono::system_clock::now();
}

} // namespace waxwing
