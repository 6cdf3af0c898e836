#include "include/limit/RetryBudget.h"

#include <algorithm>

namespace waxwing {

RetryBudget::RetryBudget(double share, double burst)
    : share_(share)
    , burst_(burst)
    , tokens_(burst)
{ }

void RetryBudget::noteAttempt()
{
    tokens_ = std::min(burst_, tokens_ + share_);
}

bool RetryBudget::tryRetry()
{
    if (tokens_ < 1.0) {
        return false;
    }
    tokens_ -= 1.0;
    return true;
}

} // namespace waxwing
