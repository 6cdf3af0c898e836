#include "include/fleet/RoundTrip.h"

#include <algorithm>

namespace waxwing {

namespace {

/** Weights of the newest sample, and of the deviation in the timeout: RFC 6298. */
constexpr int smoothingPart = 8;
constexpr int deviationPart = 4;
constexpr int deviations = 4;
constexpr int mostFalseAlarms = 3;
/** A cut must be found well within the time that a caller has. */
constexpr Duration longest = std::chrono::milliseconds(1500);
/** What a cut held up for seconds says little about the path once it is whole again. */
constexpr Duration longestSample = std::chrono::milliseconds(600);

} // namespace

void RoundTrip::add(Duration sample)
{
    sample = std::min(sample, longestSample);
    if (smoothed_ == Duration(0)) {
        smoothed_ = sample;
        deviation_ = sample / 2;
    } else {
        const Duration off = sample > smoothed_ ? sample - smoothed_ : smoothed_ - sample;
        deviation_ += (off - deviation_) / deviationPart;
        smoothed_ += (sample - smoothed_) / smoothingPart;
    }
    falseAlarms_ = 0;
}

void RoundTrip::noteFalseAlarm()
{
    falseAlarms_ = std::min(mostFalseAlarms, falseAlarms_ + 1);
}

Duration RoundTrip::timeout(Duration least) const
{
    const Duration usual = std::max(least, smoothed_ + deviations * deviation_);
    return std::max(least, std::min(longest, usual * (1 << falseAlarms_)));
}

} // namespace waxwing
