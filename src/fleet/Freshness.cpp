#include "include/fleet/Freshness.h"

#include <algorithm>

namespace waxwing {

Freshness::Freshness(FreshnessTuning tuning)
    : tuning_(tuning)
{ }

void Freshness::confirm(SteadyTime asOf)
{
    asOf_ = asOf_ ? std::max(*asOf_, asOf) : asOf;
}

void Freshness::fail(SteadyTime began, SteadyTime ended)
{
    failureBegan_ = began;
    failureEnded_ = ended;
}

std::optional<Duration> Freshness::age(SteadyTime now) const
{
    return asOf_ ? std::optional<Duration>(now - *asOf_) : std::nullopt;
}

bool Freshness::isOlderThan(Duration limit, SteadyTime now) const
{
    return !asOf_ || now - *asOf_ > limit;
}

bool Freshness::hasFailedSince(SteadyTime when) const
{
    return failureBegan_ && *failureBegan_ > when && (!asOf_ || *asOf_ < *failureBegan_);
}

bool Freshness::mayServeCallers(SteadyTime now, bool servesNow) const
{
    const Duration limit = servesNow ? tuning_.mostAge : tuning_.mostAgeToStart;
    if (!isOlderThan(limit, now)) {
        return true;
    }
    const bool lastFailed = failureBegan_ && (!asOf_ || *asOf_ < *failureBegan_);
    return lastFailed && now - failureEnded_ <= tuning_.failureCounts;
}

} // namespace waxwing
