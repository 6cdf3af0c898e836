#include "include/health/GrayFilter.h"

#include <algorithm>
#include <cmath>

namespace waxwing {

namespace {

double perSecond(Millis mean)
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

void GrayFilter::add(bool failed, SteadyTime now)
{
    const double gray = failed ? tuning_.failsWhenGray : 1.0 - tuning_.failsWhenGray;
    const double well = failed ? tuning_.failsWhenWell : 1.0 - tuning_.failsWhenWell;
    addRatio(gray / well, now);
}

void GrayFilter::addRatio(double ratio, SteadyTime now)
{
    const double before = doubt(now);
    doubt_ = std::max(tuning_.leastDoubt, before * ratio / (before * ratio + 1.0 - before));
    at_ = now;
}

double GrayFilter::doubt(SteadyTime now) const
{
    const double usual = usualDoubt(tuning_);
    const double elapsed = std::max(0.0, std::chrono::duration<double>(now - at_).count());
    const double rate = perSecond(tuning_.meanWell) + perSecond(tuning_.meanGray);
    return usual + (doubt_ - usual) * std::exp(-rate * elapsed);
}

void GrayFilter::reset(SteadyTime now)
{
    doubt_ = usualDoubt(tuning_);
    at_ = now;
}

} // namespace waxwing
