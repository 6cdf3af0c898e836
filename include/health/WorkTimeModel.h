#pragma once

#include "include/base/Clock.h"

namespace waxwing {

/**
 * Learns how long the work of one route takes at a server: a log-normal distribution, from the moving mean and variance
 * of the logarithm. Not thread safe.
 */
class WorkTimeModel
{
public:
    /** Adds the work time of a success. */
    void add(Duration workTime);
    /** Returns the probability that work which will end still runs at @p age; 1 before the first sample. */
    double survival(Duration age) const;

private:
    double mean_ = 0.0;
    double variance_ = 0.0;
    int samples_ = 0;
};

} // namespace waxwing
