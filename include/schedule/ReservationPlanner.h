#pragma once

#include "include/base/Clock.h"
#include "include/fleet/FleetConfig.h"
#include "include/route/HomeRanking.h"

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

namespace waxwing {

struct ReservationTuning {
    /** Response time objective from which on a request may wait for an offer; zero: none waits. */
    Millis minObjective = std::chrono::seconds(2);
    /** Homes at which one request holds a reservation at the same time. */
    std::size_t homes = 2;
    /** A load report counts as current for this long. */
    Millis reportMaxAge{1000};
    /** Upper bound on the distance loss (RankingTuning) at which a request reserves: large responses stay near. */
    double maxDistanceLoss = 450.0;
    /**
     * Added to the expected wait when homes of different distances are compared, for each unit of distance loss.
     */
    double waitMsPerLoss = 2.0;
    /** Share of requests whose work takes at most this many times its usual time is nearly one. */
    double workTimeMargin = 1.5;
    /** For one binding and the response, at the largest distance. */
    Millis bindingTime{150};
    RankingTuning ranking;
};

/** A home at which a request could reserve. */
struct ReservationCandidate {
    std::string node;
    Distance distance = Distance::SameRegion;
    HomeStatus status;
};

/** Properties of a waiting request that the choice of its homes depends on. */
struct SlotNeed {
    SteadyTime objective;
    SteadyTime deadline;
    /** Expected work time. */
    Millis workTime{200};
    /** Usual response size of the route. */
    double responseKilobytes = 0.0;
    /** Homes at which the request holds a reservation. */
    std::set<std::string> held;
    /** Homes that it was sent to or that refused it: planned only if nothing else is left. */
    std::set<std::string> tried;
};

/** Decides where a request that found no room reserves, and how long it waits. Not thread safe. */
class ReservationPlanner
{
public:
    using Random = std::function<std::uint64_t()>;

    explicit ReservationPlanner(Random random, ReservationTuning tuning = {});

    /** Returns true if the request may wait for an offer at all. */
    bool mayWait(const Route &route) const;
    /**
     * Returns the homes to reserve at, so that with @c need.held there are at most @c tuning.homes. The own zone comes
     * first. When its reports show no free slot, other zones follow in proportion to their free slots, then other
     * regions, as far as distance and bytes allow. Empty if no home is left.
     */
    std::vector<std::string> plan(const std::vector<ReservationCandidate> &candidates, const SlotNeed &need,
                                  SteadyTime now) const;
    /**
     * Returns the time at which a response by the deadline is no longer likely: the request is refused if it has no
     * offer by then. Not before @p now.
     */
    SteadyTime latestStart(const SlotNeed &need, SteadyTime now) const;

private:
    Random random_;
    ReservationTuning tuning_;
};

} // namespace waxwing
