#pragma once

#include "include/base/Clock.h"

#include <cstddef>
#include <deque>
#include <optional>

namespace waxwing {

struct StallTuning {
    /** Interval at which tick() is due while the node is observed. */
    Millis tickInterval{50};
    /** A tick that is late by more than this shows a stall. Timers of a loaded processor are late by less. */
    Millis tolerance{50};
    /** Stalls kept. Work that is older than all of them is overdue for other reasons. */
    std::size_t maxStalls = 32;
};

/**
 * Records when this node's thread did not run, as on a starved processor. A response that arrives meanwhile is read
 * only after the stall, so the silence of a server during a stall is no evidence against the server. Not thread safe.
 */
class StallHistory
{
public:
    explicit StallHistory(StallTuning tuning = {});
    /** Begins to observe the node; from now on tick() is due at every tickInterval. */
    void start(SteadyTime now);
    /** Records that the node's thread runs. */
    void tick(SteadyTime now);
    /** Ends the observation; what has been recorded is kept. */
    void stop();
    /**
     * Returns for how long the node was stalled between @p since and @p now. Includes a stall that has just ended and
     * whose tick is still due, because other events may be handled before it.
     */
    Duration stalledBetween(SteadyTime since, SteadyTime now) const;
    Millis tickInterval() const;

private:
    struct Stall {
        SteadyTime from;
        SteadyTime to;
    };

    /** Returns the stall that a tick at @p now would end. */
    std::optional<Stall> openStall(SteadyTime now) const;

    StallTuning tuning_;
    /** Nothing while the node is not observed. */
    std::optional<SteadyTime> lastTick_;
    std::deque<Stall> stalls_;
};

} // namespace waxwing
