#include "include/health/WorkTimeModel.h"

#include <algorithm>
#include <cmath>

namespace waxwing {

namespace {

/** Shorter times say more about the processor of this node than about the server. */
constexpr double minWorkSeconds = 0.02;
/** Weight of the newest sample once there are many. */
constexpr double minWeight = 0.05;
/** Standard deviation assumed before the first sample, and the number of samples that it counts as. */
constexpr double assumedDeviation = 0.8;
constexpr double assumedSamples = 2.0;
/** Lower bound of the standard deviation: a few samples can lie close together by chance. */
constexpr double minDeviation = 0.25;

} // namespace

void WorkTimeModel::add(Duration workTime)
{
    const double sample = std::log(std::max(minWorkSeconds, secondsOf(workTime)));
    ++samples_;
    const double weight = std::max(minWeight, 1.0 / samples_);
    const double difference = sample - mean_;
    mean_ += weight * difference;
    variance_ = (1.0 - weight) * (variance_ + weight * difference * difference);
}

double WorkTimeModel::survival(Duration age) const
{
    if (samples_ == 0 || age <= Duration(0)) {
        return 1.0;
    }
    const double variance =
        (samples_ * variance_ + assumedSamples * assumedDeviation * assumedDeviation) / (samples_ + assumedSamples);
    const double deviation = std::max(minDeviation, std::sqrt(variance));
    const double distance = (std::log(secondsOf(age)) - mean_) / deviation;
    return 0.5 * std::erfc(distance / std::sqrt(2.0));
}

} // namespace waxwing
