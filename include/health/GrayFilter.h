#pragma once

#include "include/base/Clock.h"

#include <deque>
#include <optional>
#include <vector>

namespace waxwing {

/** Initial assumptions about gray servers. Failure rate and length are estimated anew in each gray phase. */
struct GrayTuning {
    /** Share of requests that a healthy server fails: one in a hundred, as users report. */
    double healthyFailureRate = 0.012;
    /** Share of requests that a gray server fails: 40 to 75 in a hundred, as users report. */
    double grayFailureRate = 0.6;
    /** Weight of @c grayFailureRate in the estimate for a phase, in requests of that phase. */
    double priorWeight = 2.0;
    /** Mean length of a gray phase: 5 to 8 s, as users report. */
    Millis meanGrayDuration = std::chrono::milliseconds(6500);
    /** A phase that has lasted longer than @c meanGrayDuration is expected to last as long again, up to this. */
    Millis maxGrayDuration = std::chrono::seconds(20);
    /**
     * Mean time between gray phases. Together with @c meanGrayDuration it means that one server in six is gray at any
     * time.
     */
    Millis meanHealthyDuration = std::chrono::seconds(30);
    /** Lower bound, after any number of successes: a server can turn gray between two of them. */
    double minProbability = 0.002;
    /** Upper bound, after any number of failures: the phase can end between two of them, and successes then count. */
    double maxProbability = 0.99;
    /**
     * Results count in the order in which their runs started, if these started within this time and are among this many
     * latest ones. Each estimate goes through all of them.
     */
    Millis orderingWindow = std::chrono::seconds(3);
    std::size_t maxOrdered = 128;
};

/** A run without a result yet. */
struct UnfinishedRun {
    SteadyTime startedAt;
    /** Likelihood ratio (gray server to healthy server) of the run's age. */
    double ratio = 1.0;
};

/**
 * Estimates the probability that a server is gray now from the results of its requests and from those that still run.
 * It is the forward filter of a hidden Markov model with two states. Runs count in the order of their starts, so a
 * success outweighs only the silence of runs that started before its own. Gray phases end by themselves, so without
 * evidence the probability returns to its stationary value over time, and a server needs no ejection time.
 *
 * Phases differ: some fail half of the requests for a few seconds, others nearly all of them for 15 seconds. The
 * failure rate and the length are therefore estimated anew in each phase. With fixed values, a server in a long phase
 * was probed up to six times a second, and each probe cost a retry. Not thread safe.
 */
class GrayFilter
{
public:
    explicit GrayFilter(GrayTuning tuning = {});
    /** Records the success of a run. @pre @p startedAt <= @p now. */
    void addSuccess(SteadyTime startedAt, SteadyTime now);
    /**
     * Records the failure of a run. @p ratio: likelihood ratio of such a failure (gray server to healthy server). @pre
     * @p startedAt <= @p now.
     */
    void addFailure(double ratio, SteadyTime startedAt, SteadyTime now);
    /**
     * Removes a failure that proved to be none, as if it had never been added. Does nothing if it was added before the
     * ordering window or before the latest @c maxOrdered results. @p ratio and @p startedAt: the same values as in
     * addFailure().
     */
    void withdrawFailure(double ratio, SteadyTime startedAt);
    /**
     * Returns the probability that the server is gray, 0 to 1. @p unfinished: the runs whose age is evidence, in the
     * order of their starts.
     */
    double grayProbability(SteadyTime now, const std::vector<UnfinishedRun> &unfinished = {}) const;
    /** Discards all evidence, for a new process of the server. */
    void reset(SteadyTime now);

private:
    /** A gray phase: from a failure that raises the probability to 0.5 or more, until it is below 0.1. */
    struct Phase {
        SteadyTime since;
        SteadyTime lastFailure;
        double failures = 0.0;
        double successes = 0.0;
    };

    struct Evidence {
        SteadyTime at;
        double ratio = 1.0;
    };
    /** A probability and the time of the last evidence in it. */
    struct Estimate {
        double probability = 0.0;
        SteadyTime at;
    };
    struct State {
        /** After all evidence before @c recent. */
        Estimate base;
        /** In the order of time. */
        std::vector<Evidence> recent;
        std::optional<Phase> phase;
    };
    /** A success or a failure as it was added. */
    struct Result {
        bool failed = false;
        /** Likelihood ratio of a failure; not used for a success. */
        double ratio = 1.0;
        SteadyTime startedAt;
        SteadyTime addedAt;
    };

    void add(const Result &result);
    void apply(State &state, const Result &result) const;
    void applySuccess(State &state, const Result &success) const;
    void applyFailure(State &state, const Result &failure) const;
    void addEvidence(State &state, const Evidence &evidence, SteadyTime now) const;
    /** Returns @p estimate without evidence until @p now. */
    Estimate decayed(const State &state, const Estimate &estimate, SteadyTime now) const;
    Estimate updated(const State &state, const Estimate &estimate, const Evidence &evidence) const;
    double probabilityOf(const State &state, SteadyTime now, const std::vector<UnfinishedRun> &unfinished = {}) const;
    /** Returns the estimated share of requests that fail in the current phase. */
    double currentFailureRate(const State &state) const;
    /** Returns for how long the current phase is expected to continue. */
    Duration expectedGrayDuration(const State &state) const;

    GrayTuning tuning_;
    State state_;
    /**
     * State before @c latest_, from which it is computed anew without a withdrawn failure. The weights of successes and
     * the phases depend on the failures before them, so no single correction undoes a failure.
     */
    State settled_;
    /** The results added within the ordering window, at most @c maxOrdered, in the order in which they were added. */
    std::deque<Result> latest_;
};

} // namespace waxwing
