#include "include/fleet/Freshness.h"

#include <algorithm>

namespace waxwing {

Freshness::Freshness(FreshnessTuning tuning)
    : tuning_(tuning)
{ }

void Freshness::confirm(SteadyTime confirmedAt)
{
    confirmedAt_ = confirmedAt_ ? std::max(*confirmedAt_, confirmedAt) : confirmedAt;
}

void Freshness::noteFailure(SteadyTime startedAt, SteadyTime endedAt)
{
    failureStartedAt_ = startedAt;
    failureEndedAt_ = endedAt;
}

std::optional<Duration> Freshness::age(SteadyTime now) const
{
    return confirmedAt_ ? std::optional<Duration>(now - *confirmedAt_) : std::nullopt;
}

bool Freshness::isOlderThan(Duration limit, SteadyTime now) const
{
    return !confirmedAt_ || now - *confirmedAt_ > limit;
}

bool Freshness::hasFailedSince(SteadyTime when) const
{
    return failureStartedAt_ && *failureStartedAt_ > when && (!confirmedAt_ || *confirmedAt_ < *failureStartedAt_);
}

bool Freshness::mayServeCallers(SteadyTime now, bool servesNow) const
{
    const Duration limit = servesNow ? tuning_.maxAge : tuning_.maxAgeToStart;
    if (!isOlderThan(limit, now)) {
        return true;
    }
    const bool lastFailed = failureStartedAt_ && (!confirmedAt_ || *confirmedAt_ < *failureStartedAt_);
    return lastFailed && now - failureEndedAt_ <= tuning_.failureValidFor;
}

} // namespace waxwing
