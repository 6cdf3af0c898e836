#include "include/health/GrayFilter.h"

#include <algorithm>
#include <cmath>

namespace waxwing {

namespace {

/** From this probability on a gray phase is taken to have begun, and below the other one to be over. */
constexpr double likelyGray = 0.5;
constexpr double phaseOver = 0.1;

double perSecond(Duration mean)
{
    return 1.0 / std::chrono::duration<double>(mean).count();
}

double usualDoubt(const GrayTuning &tuning)
{
    const double turnsGray = perSecond(tuning.meanWell);
    return turnsGray / (turnsGray + perSecond(tuning.meanGray));
}

} // namespace

GrayFilter::GrayFilter(GrayTuning tuning)
    : tuning_(tuning)
    , doubt_(usualDoubt(tuning))
{ }

void GrayFilter::addSuccess(SteadyTime now)
{
    const double gray = 1.0 - failsNow();
    const double well = 1.0 - tuning_.failsWhenWell;
    addRatio(gray / well, now);
    if (!phase_) {
        return;
    }
    phase_->successes += 1.0;
    if (doubt_ < phaseOver) {
        phase_.reset();
    }
}

void GrayFilter::addFailure(double ratio, SteadyTime now)
{
    const bool began = !phase_ || doubt(now) < phaseOver;
    addRatio(ratio, now);
    if (doubt_ < likelyGray) {
        return;
    }
    if (began) {
        phase_ = Phase{now, now, 0.0, 0.0};
    }
    phase_->lastFailure = now;
    phase_->failures += 1.0;
}

double GrayFilter::failsNow() const
{
    const double failures = phase_ ? phase_->failures : 0.0;
    const double successes = phase_ ? phase_->successes : 0.0;
    return (tuning_.failsWhenGray * tuning_.priorWeight + failures) / (tuning_.priorWeight + failures + successes);
}

Duration GrayFilter::expectedGray() const
{
    const Duration lasted = phase_ ? phase_->lastFailure - phase_->since : Duration(0);
    return std::clamp<Duration>(lasted, tuning_.meanGray, tuning_.longestGray);
}

void GrayFilter::addRatio(double ratio, SteadyTime now)
{
    const double before = doubt(now);
    const double after = before * ratio / (before * ratio + 1.0 - before);
    doubt_ = std::clamp(after, tuning_.leastDoubt, tuning_.mostDoubt);
    at_ = now;
}

double GrayFilter::doubt(SteadyTime now) const
{
    const double usual = usualDoubt(tuning_);
    const double elapsed = std::max(0.0, std::chrono::duration<double>(now - at_).count());
    const double rate = perSecond(tuning_.meanWell) + perSecond(expectedGray());
    return usual + (doubt_ - usual) * std::exp(-rate * elapsed);
}

void GrayFilter::reset(SteadyTime now)
{
    doubt_ = usualDoubt(tuning_);
    at_ = now;
    phase_.reset();
}

} // namespace waxwing
