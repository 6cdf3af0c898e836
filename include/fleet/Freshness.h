#pragma once

#include "include/base/Clock.h"

#include <optional>

namespace waxwing {

/** How old knowledge may be. */
struct FreshnessTuning {
    /** A node begins to take callers with knowledge of this age at most: well within the time a change has. */
    Millis maxAgeToStart{1500};
    /** It goes on to take them up to this age, which leaves room for asking more than once. */
    Millis maxAge{4000};
    /** A failed attempt to ask shows for this long that there is no way to know better. */
    Millis failureValidFor{4000};
};

/**
 * How long ago it is known that nothing newer existed than what a node holds. Holding something says nothing about
 * that: a version may be replaced while it is read, and an open connection that is silent may be a dead one.
 * Not thread safe.
 */
class Freshness
{
public:
    explicit Freshness(FreshnessTuning tuning = {});
    /** Nothing newer existed at @p confirmedAt; for a call, when it was sent, since its answer may be read much later.
     */
    void confirm(SteadyTime confirmedAt);
    /** An attempt to ask that began at @p began ended at @p ended without an answer. */
    void noteFailure(SteadyTime began, SteadyTime ended);
    /** Nothing if it was never confirmed. */
    std::optional<Duration> age(SteadyTime now) const;
    /** True if it was never confirmed, or is older than @p limit. */
    bool isOlderThan(Duration limit, SteadyTime now) const;
    /** An attempt that began after @p when has failed, and nothing was confirmed since. */
    bool hasFailedSince(SteadyTime when) const;
    /**
     * Whether callers may be served with what is held: it is fresh, or an attempt to learn better has just failed.
     * @p servesNow: this node takes callers already.
     */
    bool mayServeCallers(SteadyTime now, bool servesNow) const;

private:
    FreshnessTuning tuning_;
    std::optional<SteadyTime> confirmedAt_;
    std::optional<SteadyTime> failureStartedAt_;
    SteadyTime failureEndedAt_;
};

} // namespace waxwing
