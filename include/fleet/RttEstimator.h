#pragma once

#include "include/base/Clock.h"

namespace waxwing {

/**
 * Computes how long a response on one path may take before the path is suspected: smoothed round trip time and its mean
 * deviation, as in TCP's retransmission timeout (RFC 6298). With one timeout for all paths, those to a busy VM or over
 * a narrow link were treated as failed whenever they were busy. Not thread safe.
 */
class RttEstimator
{
public:
    /** Adds the round trip time of a response. */
    void add(Duration sample);
    /**
     * Records a timeout on a path that had not failed. Each one, up to a limit, doubles the timeout until the next
     * response is measured.
     */
    void noteSpuriousTimeout();
    /**
     * Returns the timeout, at least @p minTimeout, which covers a round trip on a healthy path and some delay at a busy
     * VM.
     */
    Duration timeout(Duration minTimeout) const;

private:
    Duration smoothed_{0};
    Duration deviation_{0};
    int spuriousTimeouts_ = 0;
};

} // namespace waxwing
