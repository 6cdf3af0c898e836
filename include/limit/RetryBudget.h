#pragma once

#include <cstdint>

namespace waxwing {

/**
 * Lets retries be at most a share of first attempts, so that they never amplify an overload.
 * Not thread safe.
 */
class RetryBudget
{
public:
    /** @pre 0 <= @p share <= 1; @p burst >= 1: retries that may come at once after quiet. */
    explicit RetryBudget(double share = 0.1, double burst = 10.0);
    /** A first attempt was made. */
    void noteAttempt();
    /** Takes one retry from the budget; false if none is left. */
    bool tryRetry();

private:
    double share_;
    double burst_;
    double tokens_;
};

} // namespace waxwing
