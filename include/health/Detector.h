#pragma once

#include "include/base/Clock.h"
#include "include/intent/ClassIntent.h"

#include <deque>
#include <functional>
#include <memory>

namespace waxwing {

/** Evidence from one real request about the server that ran it. A shed request is no evidence. */
enum class Evidence {
    /** Complete response within the intent's response time. */
    Good,
    /** Response after the intent's response time, or none yet at that time. */
    Late,
    /** A late request is still without a response one step later. */
    StillWaiting,
    /** Connection reset, truncated or malformed response, or server error. */
    Failed,
};

/**
 * Returns the length of a step: after a request became late, each further step adds StillWaiting evidence. Thread safe.
 */
Millis lateStepOf(Millis responseTime);

/** Decides from evidence whether one server is unhealthy. Not thread safe. */
class Detector
{
public:
    virtual ~Detector() = default;
    /** Adds evidence. @p peerBadShare: share of bad evidence among the other servers of the same service, 0 to 1. */
    virtual void add(Evidence evidence, double peerBadShare, SteadyTime now) = 0;
    virtual bool isUnhealthy() const = 0;
    /** Returns the evidence relative to the threshold: from 1 on the server is unhealthy. */
    virtual double suspicion() const = 0;
    virtual void reset() = 0;
};

using DetectorFactory = std::function<std::unique_ptr<Detector>(EjectionPolicy)>;

/** Baseline: unhealthy after a number of bad results in a row. */
class ConsecutiveDetector final : public Detector
{
public:
    explicit ConsecutiveDetector(EjectionPolicy policy);
    void add(Evidence evidence, double peerBadShare, SteadyTime now) override;
    bool isUnhealthy() const override;
    double suspicion() const override;
    void reset() override;

private:
    int limit_;
    int consecutive_ = 0;
};

/** Baseline: unhealthy when the share of bad results in a sliding window is far above that of the peers. */
class OutlierDetector final : public Detector
{
public:
    explicit OutlierDetector(EjectionPolicy policy);
    void add(Evidence evidence, double peerBadShare, SteadyTime now) override;
    bool isUnhealthy() const override;
    double suspicion() const override;
    void reset() override;

private:
    struct Sample {
        SteadyTime at;
        bool bad;
    };
    double margin_;
    std::size_t minSamples_;
    std::deque<Sample> window_;
    std::size_t bad_ = 0;
    double peerBadShare_ = 0.0;
};

/**
 * Sequential test (CUSUM of the log-likelihood ratio): each result shifts a score by how much likelier it is from an
 * unhealthy server than from the peers. The intent's ejection policy sets only the threshold.
 */
class CusumDetector final : public Detector
{
public:
    explicit CusumDetector(EjectionPolicy policy);
    void add(Evidence evidence, double peerBadShare, SteadyTime now) override;
    bool isUnhealthy() const override;
    double suspicion() const override;
    void reset() override;
    /** Returns the score from which on a server is unhealthy. Thread safe. */
    static double threshold(EjectionPolicy policy);

private:
    double threshold_;
    double score_ = 0.0;
};

} // namespace waxwing
