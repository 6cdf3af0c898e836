#pragma once

#include <chrono>

namespace waxwing {

using SteadyTime = std::chrono::steady_clock::time_point;
using WallTime = std::chrono::system_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
using Millis = std::chrono::milliseconds;

/** Thread safe, as the next two. */
constexpr double secondsOf(Duration value)
{
    return std::chrono::duration<double>(value).count();
}

constexpr Duration durationOf(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

/** Rounds towards zero. */
constexpr Millis millisOf(Duration value)
{
    return std::chrono::duration_cast<Millis>(value);
}

/** Source of time. All decisions read the time through this interface, so that tests can control it. */
class Clock
{
public:
    virtual ~Clock() = default;
    /** Monotonic time that includes the time for which the VM is suspended; never decreases. Thread safe. */
    virtual SteadyTime now() const = 0;
    /** Wall-clock time for events, reports, stored objects and record versions; may jump. Thread safe. */
    virtual WallTime wallNow() const = 0;
};

/** Reads CLOCK_BOOTTIME and the wall clock of the operating system. */
class SystemClock final : public Clock
{
public:
    SteadyTime now() const override;
    WallTime wallNow() const override;
};

} // namespace waxwing
