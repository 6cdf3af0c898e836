#include "include/fleet/RttEstimator.h"

#include <algorithm>

namespace waxwing {

namespace {

/** RFC 6298: a sample weighs 1/8 in the smoothed time and 1/4 in its deviation; the timeout adds four deviations. */
constexpr int smoothingDivisor = 8;
constexpr int deviationDivisor = 4;
constexpr int deviationFactor = 4;
constexpr int maxSpuriousTimeouts = 3;
/** A network cut must be detected well within a caller's timeout. */
constexpr Duration maxTimeout = std::chrono::milliseconds(1500);
/** A response that a network cut delayed by seconds says little about the path after the cut. */
constexpr Duration maxSample = std::chrono::milliseconds(600);

} // namespace

void RttEstimator::add(Duration sample)
{
    sample = std::min(sample, maxSample);
    if (smoothed_ == Duration(0)) {
        smoothed_ = sample;
        deviation_ = sample / 2;
    } else {
        const Duration error = sample > smoothed_ ? sample - smoothed_ : smoothed_ - sample;
        deviation_ += (error - deviation_) / deviationDivisor;
        smoothed_ += (sample - smoothed_) / smoothingDivisor;
    }
    spuriousTimeouts_ = 0;
}

void RttEstimator::noteSpuriousTimeout()
{
    spuriousTimeouts_ = std::min(maxSpuriousTimeouts, spuriousTimeouts_ + 1);
}

Duration RttEstimator::timeout(Duration minTimeout) const
{
    const Duration base = std::max(minTimeout, smoothed_ + deviationFactor * deviation_);
    return std::max(minTimeout, std::min(maxTimeout, base * (1 << spuriousTimeouts_)));
}

} // namespace waxwing
