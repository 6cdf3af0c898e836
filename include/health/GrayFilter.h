#pragma once

#include "include/base/Clock.h"

#include <optional>

namespace waxwing {

/** What is known of gray servers beforehand; each phase then shows its own share of failures and its own length. */
struct GrayTuning {
    /** Share of requests that a sound server fails: one in a hundred, by the users' account. */
    double healthyFailureRate = 0.012;
    /** Share that a gray one fails: 40 to 75 in a hundred, by the users' account. */
    double grayFailureRate = 0.6;
    /** How many requests of a phase weigh as much as grayFailureRate in the estimate of this phase's share. */
    double priorWeight = 2.0;
    /** How long a gray phase lasts on average: 5 to 8 s, by the users' account. */
    Millis meanGrayDuration = std::chrono::milliseconds(6500);
    /** A phase that has lasted longer than meanGrayDuration is expected to last as long again, up to this. */
    Millis maxGrayDuration = std::chrono::seconds(20);
    /** How long a server is well in between; with meanGrayDuration it says that one in six is gray at any time. */
    Millis meanHealthyDuration = std::chrono::seconds(30);
    /** However many good answers came: a server can turn gray between two of them. */
    double minProbability = 0.002;
    /** However many failures came: the phase can end between two of them, and good answers then count. */
    double maxProbability = 0.99;
};

/**
 * Probability that a server is gray now, from what its requests met: the forward filter of a hidden Markov model with
 * two states. Gray phases end by themselves, so the probability moves back to what is usual as time passes without
 * evidence, and a server needs no ejection time.
 *
 * Phases differ: some fail half of the requests for a few seconds, some nearly all for a quarter of a minute. So the
 * share of failures and the length are estimated anew in each phase. With fixed ones, a server in a long phase was
 * tried again up to six times a second, and each trial cost a second send. Not thread safe.
 */
class GrayFilter
{
public:
    explicit GrayFilter(GrayTuning tuning = {});
    /** A request ended well. */
    void addSuccess(SteadyTime now);
    /** A request failed. @p ratio: how much likelier such a failure is from a gray server than from a well one. */
    void addFailure(double ratio, SteadyTime now);
    /** Probability that the server is gray, 0 to 1. */
    double grayProbability(SteadyTime now) const;
    /** A new process: nothing is known of it. */
    void reset(SteadyTime now);

private:
    /** A stretch of time in which the server was likelier gray than not. */
    struct Phase {
        SteadyTime since;
        SteadyTime lastFailure;
        double failures = 0.0;
        double successes = 0.0;
    };

    void applyRatio(double ratio, SteadyTime now);
    /** Share of requests that fail in the phase that runs. */
    double currentFailureRate() const;
    /** How long the phase that runs is expected to go on. */
    Duration expectedGrayDuration() const;

    GrayTuning tuning_;
    double probability_;
    SteadyTime updatedAt_;
    std::optional<Phase> phase_;
};

} // namespace waxwing
