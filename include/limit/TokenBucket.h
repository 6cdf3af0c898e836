#pragma once

#include "include/base/Clock.h"

namespace waxwing {

/** A rate with a burst. Not thread safe. */
class TokenBucket
{
public:
    /** @pre @p perSecond >= 0 and @p burst >= 0. Starts full. */
    TokenBucket(double perSecond, double burst, SteadyTime now);
    /** Takes @p tokens; false, and nothing taken, if there are fewer. */
    bool tryTake(double tokens, SteadyTime now);
    /** As tryTake(), but only while at least @p least are there. */
    bool tryTakeAbove(double tokens, double least, SteadyTime now);
    /** Takes @p tokens even below zero, for costs known only afterwards. */
    void take(double tokens, SteadyTime now);
    /** True if any token is left. */
    bool hasAny(SteadyTime now);
    void setRate(double perSecond, double burst);

private:
    void refill(SteadyTime now);

    double perSecond_;
    double burst_;
    double tokens_;
    SteadyTime refilledAt_;
};

} // namespace waxwing
