#include "include/health/Detector.h"

#include <algorithm>
#include <cmath>

namespace waxwing {

namespace {

constexpr Millis outlierWindow = std::chrono::seconds(10);

/** Lower bound of the share of bad results that counts as normal. Below it a single bad result would weigh too much. */
constexpr double minHealthyShare = 0.005;
constexpr double minUnhealthyShare = 0.25;
constexpr double maxShare = 0.98;
/**
 * Log-likelihood ratio of one more step of waiting, about ln 2: at a healthy server about half of the late requests end
 * within it.
 */
constexpr double stillWaitingLogRatio = 0.65;

constexpr Millis minLateStep{25};
constexpr Millis maxLateStep{110};

int consecutiveLimit(EjectionPolicy policy)
{
    switch (policy) {
    case EjectionPolicy::Fast:
        return 3;
    case EjectionPolicy::Balanced:
        return 5;
    case EjectionPolicy::Careful:
        return 8;
    }
    return 5;
}

bool isBad(Evidence evidence)
{
    return evidence != Evidence::Good;
}

} // namespace

Millis lateStepOf(Millis responseTime)
{
    return std::clamp(responseTime / 4, minLateStep, maxLateStep);
}

ConsecutiveDetector::ConsecutiveDetector(EjectionPolicy policy)
    : limit_(consecutiveLimit(policy))
{ }

void ConsecutiveDetector::add(Evidence evidence, double, SteadyTime)
{
    if (evidence == Evidence::StillWaiting) {
        return;
    }
    consecutive_ = isBad(evidence) ? consecutive_ + 1 : 0;
}

bool ConsecutiveDetector::isUnhealthy() const
{
    return consecutive_ >= limit_;
}

double ConsecutiveDetector::suspicion() const
{
    return static_cast<double>(consecutive_) / limit_;
}

void ConsecutiveDetector::reset()
{
    consecutive_ = 0;
}

OutlierDetector::OutlierDetector(EjectionPolicy policy)
    : margin_(policy == EjectionPolicy::Fast ? 0.15 : (policy == EjectionPolicy::Balanced ? 0.25 : 0.4))
    , minSamples_(policy == EjectionPolicy::Fast ? 5 : (policy == EjectionPolicy::Balanced ? 10 : 20))
{ }

void OutlierDetector::add(Evidence evidence, double peerBadShare, SteadyTime now)
{
    if (evidence == Evidence::StillWaiting) {
        return;
    }
    peerBadShare_ = peerBadShare;
    window_.push_back(Sample{now, isBad(evidence)});
    bad_ += isBad(evidence) ? 1 : 0;
    while (now - window_.front().at > outlierWindow) {
        bad_ -= window_.front().bad ? 1 : 0;
        window_.pop_front();
    }
}

bool OutlierDetector::isUnhealthy() const
{
    return suspicion() >= 1.0;
}

double OutlierDetector::suspicion() const
{
    if (window_.size() < minSamples_) {
        return 0.0;
    }
    const double share = static_cast<double>(bad_) / static_cast<double>(window_.size());
    return std::max(0.0, share - peerBadShare_) / margin_;
}

void OutlierDetector::reset()
{
    window_.clear();
    bad_ = 0;
}

double CusumDetector::threshold(EjectionPolicy policy)
{
    switch (policy) {
    case EjectionPolicy::Fast:
        return 9.0;
    case EjectionPolicy::Balanced:
        return 15.0;
    case EjectionPolicy::Careful:
        return 23.0;
    }
    return 15.0;
}

CusumDetector::CusumDetector(EjectionPolicy policy)
    : threshold_(threshold(policy))
{ }

void CusumDetector::add(Evidence evidence, double peerBadShare, SteadyTime)
{
    const double healthy = std::clamp(peerBadShare * 1.5, minHealthyShare, maxShare);
    const double unhealthy = std::clamp(healthy * 3.0, minUnhealthyShare, 0.99);
    double step = 0.0;
    switch (evidence) {
    case Evidence::Good:
        step = std::log((1.0 - unhealthy) / (1.0 - healthy));
        break;
    case Evidence::Late:
    case Evidence::Failed:
        step = std::log(unhealthy / healthy);
        break;
    case Evidence::StillWaiting:
        // If the peers are late as well, further waiting is weak evidence about this server.
        step = stillWaitingLogRatio * std::max(0.0, 1.0 - healthy * 2.0);
        break;
    }
    // The cap lets an unhealthy server that the floor keeps in service recover soon with good results.
    score_ = std::clamp(score_ + step, 0.0, threshold_ * 1.5);
}

bool CusumDetector::isUnhealthy() const
{
    return score_ >= threshold_;
}

double CusumDetector::suspicion() const
{
    return score_ / threshold_;
}

void CusumDetector::reset()
{
    score_ = 0.0;
}

} // namespace waxwing
