#pragma once

#include "include/base/Clock.h"

#include <string>
#include <unordered_map>

namespace waxwing {

struct CustomerUseTuning {
    /** Time constants of the recent and of the usual use. */
    Millis recentSpan{1000};
    Millis usualSpan{30000};
    /** From this multiple of its usual use on, a customer is far above it. */
    double factor = 3.0;
    /** Recent use below this number of requests is no sign, however small the usual one is. */
    double minRequests = 2.5;
    /** Until then the usual use is not known. */
    Millis learningTime{5000};
    /** Customers beyond this number are not tracked until others have been idle for @c usualSpan. */
    std::size_t maxCustomers = 4096;
};

/**
 * Slot time that each customer uses at one home, recently and usually, as decaying sums. Opens no socket and takes the
 * time as a parameter. Not thread safe.
 */
class CustomerUse
{
public:
    explicit CustomerUse(CustomerUseTuning tuning = {});

    /** Adds a started request. @p slotTime: its expected work time. @pre @p now never decreases. */
    void add(const std::string &customer, Duration slotTime, SteadyTime now);
    /**
     * Returns true if the recent use of @p customer is far above its usual one, for a request of @p slotTime. False for
     * a customer that is not tracked.
     */
    bool isFarAboveUsual(const std::string &customer, Duration slotTime, SteadyTime now) const;
    std::size_t size() const;

private:
    /** In seconds of slot time, as of @c at. */
    struct Use {
        double recent = 0.0;
        double usual = 0.0;
        SteadyTime at;
    };

    /** Returns @p use decayed to @p now. */
    Use decayed(const Use &use, SteadyTime now) const;
    void removeIdle(SteadyTime now);

    CustomerUseTuning tuning_;
    std::unordered_map<std::string, Use> uses_;
    /** First request of any customer. */
    SteadyTime since_;
};

} // namespace waxwing
