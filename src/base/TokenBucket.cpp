#include "include/base/TokenBucket.h"

#include <algorithm>

namespace waxwing {

TokenBucket::TokenBucket(double perSecond, double burst, SteadyTime now)
    : perSecond_(perSecond)
    , burst_(burst)
    , tokens_(burst)
    , refilledAt_(now)
{ }

void TokenBucket::refill(SteadyTime now)
{
    const double seconds = secondsOf(now - refilledAt_);
    tokens_ = std::min(burst_, tokens_ + seconds * perSecond_);
    refilledAt_ = now;
}

bool TokenBucket::tryTake(double tokens, SteadyTime now)
{
    refill(now);
    if (tokens_ < tokens) {
        return false;
    }
    tokens_ -= tokens;
    return true;
}

bool TokenBucket::tryTakeAbove(double tokens, double minTokens, SteadyTime now)
{
    refill(now);
    return tokens_ >= minTokens && tryTake(tokens, now);
}

void TokenBucket::take(double tokens, SteadyTime now)
{
    refill(now);
    tokens_ -= tokens;
}

double TokenBucket::level(SteadyTime now)
{
    refill(now);
    return tokens_;
}

bool TokenBucket::hasAny(SteadyTime now)
{
    refill(now);
    return tokens_ > 0.0;
}

void TokenBucket::setRate(double perSecond, double burst)
{
    perSecond_ = perSecond;
    burst_ = burst;
}

} // namespace waxwing
