#pragma once

#include "include/base/Clock.h"

namespace waxwing {

/**
 * How long an answer on one path may take before the path is in doubt: smoothed round trip and its mean deviation, as
 * TCP sets its retransmission timeout (RFC 6298). With one timeout for all paths, those to a busy VM or over a narrow
 * link were taken for broken whenever they were busy. Not thread safe.
 */
class RttEstimator
{
public:
    /** An answer took @p sample. */
    void add(Duration sample);
    /** The path was taken for broken and was not: doubles the timeout until an answer is measured. */
    void noteSpuriousTimeout();
    /** @p least: what a healthy path may always take, with some time for a busy VM. */
    Duration timeout(Duration least) const;

private:
    Duration smoothed_{0};
    Duration deviation_{0};
    int spuriousTimeouts_ = 0;
};

} // namespace waxwing
