#pragma once

#include <cstdint>

namespace waxwing {

/** Limits retries to a share of first attempts, so that they never amplify an overload. Not thread safe. */
class RetryBudget
{
public:
    /** @pre 0 <= @p share <= 1; @p burst >= 1: retries allowed at once after an idle time. */
    explicit RetryBudget(double share = 0.1, double burst = 10.0);
    /** Records a first attempt. */
    void noteAttempt();
    /** Takes one retry from the budget. Returns false and takes none if less than one is left. */
    bool tryRetry();

private:
    double share_;
    double burst_;
    double tokens_;
};

} // namespace waxwing
