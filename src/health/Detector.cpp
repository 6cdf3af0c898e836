#include "include/health/Detector.h"

#include <algorithm>
#include <cmath>

namespace waxwing {

namespace {

constexpr Millis outlierWindow = std::chrono::seconds(10);

/** Least share of bad results taken for normal: below it a single one would weigh too much. */
constexpr double leastHealthyShare = 0.005;
constexpr double leastSickShare = 0.25;
constexpr double mostShare = 0.98;
/** A healthy server's late request ends within a further step about half of the time. */
constexpr double stillWaitingRatio = 0.65;

constexpr Millis leastLateStep{25};
constexpr Millis mostLateStep{110};

int consecutiveLimit(EjectionCare care)
{
    switch (care) {
    case EjectionCare::Fast:
        return 3;
    case EjectionCare::Balanced:
        return 5;
    case EjectionCare::Careful:
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
    return std::clamp(responseTime / 4, leastLateStep, mostLateStep);
}

ConsecutiveDetector::ConsecutiveDetector(EjectionCare care)
    : limit_(consecutiveLimit(care))
{ }

void ConsecutiveDetector::add(Evidence evidence, double, SteadyTime)
{
    if (evidence == Evidence::StillWaiting) {
        return;
    }
    inRow_ = isBad(evidence) ? inRow_ + 1 : 0;
}

bool ConsecutiveDetector::sick() const
{
    return inRow_ >= limit_;
}

double ConsecutiveDetector::suspicion() const
{
    return static_cast<double>(inRow_) / limit_;
}

void ConsecutiveDetector::reset()
{
    inRow_ = 0;
}

OutlierDetector::OutlierDetector(EjectionCare care)
    : margin_(care == EjectionCare::Fast ? 0.15 : (care == EjectionCare::Balanced ? 0.25 : 0.4))
    , leastSamples_(care == EjectionCare::Fast ? 5 : (care == EjectionCare::Balanced ? 10 : 20))
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

bool OutlierDetector::sick() const
{
    return suspicion() >= 1.0;
}

double OutlierDetector::suspicion() const
{
    if (window_.size() < leastSamples_) {
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

double CusumDetector::threshold(EjectionCare care)
{
    switch (care) {
    case EjectionCare::Fast:
        return 9.0;
    case EjectionCare::Balanced:
        return 15.0;
    case EjectionCare::Careful:
        return 23.0;
    }
    return 15.0;
}

CusumDetector::CusumDetector(EjectionCare care)
    : threshold_(threshold(care))
{ }

void CusumDetector::add(Evidence evidence, double peerBadShare, SteadyTime)
{
    const double healthy = std::clamp(peerBadShare * 1.5, leastHealthyShare, mostShare);
    const double sick = std::clamp(healthy * 3.0, leastSickShare, 0.99);
    double step = 0.0;
    switch (evidence) {
    case Evidence::Good:
        step = std::log((1.0 - sick) / (1.0 - healthy));
        break;
    case Evidence::Late:
    case Evidence::Failed:
        step = std::log(sick / healthy);
        break;
    case Evidence::StillWaiting:
        // Where the peers are late as well, waiting longer says little about this one.
        step = stillWaitingRatio * std::max(0.0, 1.0 - healthy * 2.0);
        break;
    }
    // The score may pass the threshold only by a little, so that a server that is kept for lack of a permit can
    // still work its way back with good results.
    score_ = std::clamp(score_ + step, 0.0, threshold_ * 1.5);
}

bool CusumDetector::sick() const
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
