#pragma once

#include "include/base/Clock.h"

namespace waxwing {

/** Limits a rate, with bursts. Not thread safe. */
class TokenBucket
{
public:
    /** @pre @p perSecond >= 0 and @p burst >= 0. Starts full. */
    TokenBucket(double perSecond, double burst, SteadyTime now);
    /** Takes @p tokens. Returns false and takes none if there are fewer. */
    bool tryTake(double tokens, SteadyTime now);
    /** Takes @p tokens like tryTake(), but only if at least @p minTokens are there. */
    bool tryTakeAbove(double tokens, double minTokens, SteadyTime now);
    /** Takes @p tokens even if the balance becomes negative, for costs known only afterwards. */
    void take(double tokens, SteadyTime now);
    /** Returns the balance. */
    double level(SteadyTime now);
    /** Returns true if the balance is positive. */
    bool hasAny(SteadyTime now);
    /** Changes the rate from the last call with a time on; tokens above a lower burst are lost. */
    void setRate(double perSecond, double burst);

private:
    void refill(SteadyTime now);

    double perSecond_;
    double burst_;
    double tokens_;
    SteadyTime refilledAt_;
};

} // namespace waxwing
