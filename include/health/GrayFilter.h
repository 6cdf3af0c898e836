#pragma once

#include "include/base/Clock.h"

namespace waxwing {

/** What is known of gray servers beforehand. */
struct GrayTuning {
    /** Share of requests that a sound server fails: one in a hundred, by the users' account. */
    double failsWhenWell = 0.012;
    /** Share that a gray one fails: 40 to 75 in a hundred, by the users' account. */
    double failsWhenGray = 0.6;
    /** How long a gray phase lasts on average: 5 to 8 s, by the users' account. */
    Millis meanGray = std::chrono::milliseconds(6500);
    /** How long a server is well in between; with meanGray it says that one in six is gray at any time. */
    Millis meanWell = std::chrono::seconds(30);
    /** However many good answers came: a server can turn gray between two of them. */
    double leastDoubt = 0.002;
};

/**
 * Probability that a server is gray now, from what its requests met: the forward filter of a hidden Markov model with
 * two states. Gray phases end by themselves, so the probability moves back to what is usual as time passes without
 * evidence, and a server needs no ejection time. Not thread safe.
 */
class GrayFilter
{
public:
    explicit GrayFilter(GrayTuning tuning = {});
    /** A request ended: @p failed by the server's fault or not. */
    void add(bool failed, SteadyTime now);
    /** Evidence of any likelihood ratio: how much likelier it is from a gray server than from a well one. */
    void addRatio(double ratio, SteadyTime now);
    /** Probability that the server is gray, 0 to 1. */
    double doubt(SteadyTime now) const;
    /** A new process: nothing is known of it. */
    void reset(SteadyTime now);

private:
    GrayTuning tuning_;
    double doubt_;
    SteadyTime at_;
};

} // namespace waxwing
