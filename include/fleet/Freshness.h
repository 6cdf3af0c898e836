#pragma once

#include "include/base/Clock.h"

#include <optional>

namespace waxwing {

/** Limits on the age of the state that a node holds. */
struct FreshnessTuning {
    /**
     * A node starts to accept callers with state of at most this age: well within the time in which a change must take
     * effect.
     */
    Millis maxAgeToStart{1500};
    /**
     * A node that already accepts callers continues to do so with state of at most this age, which leaves time for more
     * than one request for newer state.
     */
    Millis maxAge{4000};
    /** How long a failed request counts as proof that no newer state can be obtained. */
    Millis failureValidFor{4000};
};

/**
 * Tracks when the state that a node holds was last known to be the newest. Holding a version does not prove that: it
 * may be replaced while it is read, and an open connection on which nothing arrives may be dead. Not thread safe.
 */
class Freshness
{
public:
    explicit Freshness(FreshnessTuning tuning = {});
    /**
     * Records that nothing newer existed at @p confirmedAt. If a response shows this, @p confirmedAt is the time at
     * which its request was sent, since the response may be read much later.
     */
    void confirm(SteadyTime confirmedAt);
    /** Records that a request sent at @p startedAt ended without a response at @p endedAt. */
    void noteFailure(SteadyTime startedAt, SteadyTime endedAt);
    /** Returns the time since the last confirmation; nothing if there was none. */
    std::optional<Duration> age(SteadyTime now) const;
    /** Returns true if the state was never confirmed or its last confirmation is older than @p limit. */
    bool isOlderThan(Duration limit, SteadyTime now) const;
    /** Returns true if a request that started after @p when has failed and nothing was confirmed since. */
    bool hasFailedSince(SteadyTime when) const;
    /**
     * Returns whether the node may serve callers with the state that it holds: the state is fresh, or a request for
     * newer state has just failed. @p servesNow: the node accepts callers already.
     */
    bool mayServeCallers(SteadyTime now, bool servesNow) const;

private:
    FreshnessTuning tuning_;
    std::optional<SteadyTime> confirmedAt_;
    std::optional<SteadyTime> failureStartedAt_;
    SteadyTime failureEndedAt_;
};

} // namespace waxwing
