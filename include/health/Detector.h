#pragma once

#include "include/base/Clock.h"
#include "include/intent/ClassIntent.h"

#include <deque>
#include <functional>
#include <memory>

namespace waxwing {

/** What one real request says about the server that ran it. Refused (shed) work says nothing and is no evidence. */
enum class Evidence {
    /** Whole answer in time. */
    Good,
    /** Answer later than the intent's response time, or none yet at that time. */
    Late,
    /** A request known to be late is still unanswered another step later. */
    StillWaiting,
    /** Reset, cut, garbled or a server error. */
    Failed,
};

/** After a request became late, each further step of this length is StillWaiting evidence. Thread safe. */
Millis lateStepOf(Millis responseTime);

/** Decides from evidence whether one server is sick. Not thread safe. */
class Detector
{
public:
    virtual ~Detector() = default;
    /** @p peerBadShare: share of bad evidence among the other servers of the same service, 0 to 1. */
    virtual void add(Evidence evidence, double peerBadShare, SteadyTime now) = 0;
    virtual bool isUnhealthy() const = 0;
    /** How far the evidence has come towards sick: 1 or more is sick. */
    virtual double suspicion() const = 0;
    virtual void reset() = 0;
};

using DetectorFactory = std::function<std::unique_ptr<Detector>(EjectionPolicy)>;

/** Baseline: sick after a number of bad results in a row. */
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

/** Baseline: sick when the bad share in a sliding window is far above that of the peers. */
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
 * Sequential test (CUSUM of the log-likelihood ratio): each result shifts a score by how much likelier it is from a
 * sick server than from the peers. The threshold is the one thing that the intent's care sets.
 */
class CusumDetector final : public Detector
{
public:
    explicit CusumDetector(EjectionPolicy policy);
    void add(Evidence evidence, double peerBadShare, SteadyTime now) override;
    bool isUnhealthy() const override;
    double suspicion() const override;
    void reset() override;
    /** Score at which a server counts as sick. Thread safe. */
    static double threshold(EjectionPolicy policy);

private:
    double threshold_;
    double score_ = 0.0;
};

} // namespace waxwing
