#include "include/fleet/RttEstimator.h"

#include <algorithm>

namespace waxwing {

namespace {

/** Weights of the newest sample, and of the deviation in the timeout: RFC 6298. */
constexpr int smoothingDivisor = 8;
constexpr int deviationDivisor = 4;
constexpr int deviationFactor = 4;
constexpr int maxSpuriousTimeouts = 3;
/** A cut must be found well within the time that a caller has. */
constexpr Duration maxTimeout = std::chrono::milliseconds(1500);
/** What a cut held up for seconds says little about the path once it is whole again. */
constexpr Duration maxSample = std::chrono::milliseconds(600);

} // namespace

void RttEstimator::add(Duration sample)
{
    sample = std::min(sample, maxSample);
    if (smoothed_ == Duration(0)) {
        smoothed_ = sample;
        deviation_ = sample / 2;
    } else {
        const Duration off = sample > smoothed_ ? sample - smoothed_ : smoothed_ - sample;
        deviation_ += (off - deviation_) / deviationDivisor;
        smoothed_ += (sample - smoothed_) / smoothingDivisor;
    }
    spuriousTimeouts_ = 0;
}

void RttEstimator::noteSpuriousTimeout()
{
    spuriousTimeouts_ = std::min(maxSpuriousTimeouts, spuriousTimeouts_ + 1);
}

Duration RttEstimator::timeout(Duration least) const
{
    const Duration usual = std::max(least, smoothed_ + deviationFactor * deviation_);
    return std::max(least, std::min(maxTimeout, usual * (1 << spuriousTimeouts_)));
}

} // namespace waxwing
