#pragma once

#include "include/base/Clock.h"

namespace waxwing::testing {

/** A clock that moves only when advance() is called. */
class ManualClock final : public Clock
{
public:
    SteadyTime now() const override
    {
        return now_;
    }
    WallTime wallNow() const override
    {
        return WallTime(now_.time_since_epoch());
    }
    void advance(Duration by)
    {
        now_ += by;
    }

private:
    SteadyTime now_ = SteadyTime(std::chrono::hours(1000));
};

} // namespace waxwing::testing
