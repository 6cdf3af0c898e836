#pragma once

#include "include/base/Clock.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace waxwing::testing {

/** Runs actions of a simulation in the order of their times; those of one time in the order in which they were added.
 */
class EventSchedule
{
public:
    explicit EventSchedule(SteadyTime start);

    /** @pre @p when is not before now(). */
    void add(SteadyTime when, std::function<void()> action);
    /** Runs all actions up to @p last, also those that are added meanwhile. */
    void run(SteadyTime last = SteadyTime::max());
    /** Returns the time of the current action, or of the last one that ran. */
    SteadyTime now() const;

private:
    struct Event {
        SteadyTime at;
        std::uint64_t order = 0;
        std::function<void()> action;

        bool operator<(const Event &other) const;
    };

    SteadyTime now_;
    std::uint64_t nextOrder_ = 0;
    std::priority_queue<Event> events_;
};

} // namespace waxwing::testing
