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
    /**
     * Free slots assumed of a home without a current report: the mean of the reports at its distance, in which this
     * value, half of the slots of most servers, has the weight of one report. With 1.0, a single report of a full home
     * caused a reservation at ordinary load.
     */
    double unknownFreeSlots = 2.5;
    /** From this estimate on, a home counts as having a free slot. */
    double minFreeSlots = 0.5;
    /**
     * Wait that is as bad as one unit of distance loss. HomeRanking values a response after the objective at 500 units,
     * and most objectives are about 2 s.
     */
    double waitMsPerLoss = 4.0;
    /** Largest distance loss (RankingTuning) at which a request reserves: large responses stay near. */
    double maxDistanceLoss = 480.0;
    /** Nearly all work ends within this many times its usual time. */
    double workTimeMargin = 1.5;
    /**
     * A request reserves, instead of being sent at once, if its best home is expected to let it wait for this long.
     * With 75 ms, a sixth of the sends were refused when servers were missing, with 50 ms an eighth. With 25 ms, a load
     * of 0.7 of all slots had half as many small messages again.
     */
    Millis minWait{50};
    /** A home of the own zone with an estimate of at least this many free slots gets requests without a reservation. */
    double directFreeSlots = 1.0;
    /** Longest time in the queue of a home for a request that is sent without an offer. */
    Millis maxDirectWait{500};
    /** Sends without an offer; after as many refusals a request reserves. */
    std::size_t maxDirectSends = 2;
    /**
     * Reservations of one request in all. Each costs two small messages, and when two homes refuse because of the time
     * left, others mostly refuse too.
     */
    std::size_t maxReservations = 4;
    /** Round trips and losses by distance. */
    RankingTuning ranking;
};

/** A home at which a request could reserve. */
struct ReservationCandidate {
    std::string node;
    Distance distance = Distance::SameRegion;
    HomeStatus status;
    /** Reservations of this node that wait for an offer there. */
    std::int32_t reserved = 0;
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
    /** Number of reservations made for the request so far. */
    std::size_t made = 0;
};

/**
 * Decides whether and where a request that found no room reserves, and how long it waits. Uses only what replies,
 * refusals and offers reported. Not thread safe.
 *
 * A sender asks HomeRanking for the best home. If shouldReserve(), or if a home has refused the request, it asks again
 * without homesWithoutRoom(). If a home is left and the request mayBeSent(), it is sent there with
 * directQueueTimeout(); otherwise it reserves at the homes of plan(). A reservation that is refused is replaced only if
 * none is left: the others mostly get an offer. At latestStart() the request is refused, and its reservations end at
 * both sides without a message.
 */
class ReservationPlanner
{
public:
    using Random = std::function<std::uint64_t()>;

    explicit ReservationPlanner(Random random, ReservationTuning tuning = {});

    /** Returns true if requests of @p route may wait for an offer at all. */
    bool mayWait(const Route &route) const;
    /** Returns true if @p best lets a request wait for too long, or there is no home. */
    bool shouldReserve(const HomeChoice &best) const;
    /** Returns true if a request that homes refused @p refusals times may be sent once more without an offer. */
    bool mayBeSent(std::size_t refusals) const;
    /**
     * Returns the homes to which a request is not sent without an offer if its best home has a wait: those of other
     * zones, and those without an estimate of several free slots. If HomeRanking finds a home beside these, a
     * reservation would be two messages more for the same slot.
     */
    std::set<std::string> homesWithoutRoom(const std::vector<ReservationCandidate> &candidates, SteadyTime now) const;
    /** Returns the queue timeout of a request that may wait for an offer and is sent to @p best without one. */
    Millis directQueueTimeout(const HomeChoice &best) const;
    /**
     * Returns the homes to reserve at, so that with @c need.held there are at most @c tuning.homes. The own zone comes
     * first. When its reports show no free slot, other zones follow in proportion to their free slots, then other
     * regions, as far as objective and bytes allow; farther ones only if nothing else is left. Without a free slot,
     * homes with the shortest wait are chosen. Homes that are likely gray, have no server or are on a failed path are
     * left out. Empty if no home is left.
     */
    std::vector<std::string> plan(const std::vector<ReservationCandidate> &candidates, const SlotNeed &need,
                                  SteadyTime now) const;
    /**
     * Returns the time at which a response by the deadline is no longer likely: the request is refused if it has no
     * offer by then. Not before @p now.
     */
    SteadyTime latestStart(const SlotNeed &need, SteadyTime now) const;

private:
    using Candidates = std::vector<const ReservationCandidate *>;

    /** Returns the candidates without those held, gray, failed or without a server. */
    Candidates usable(const std::vector<ReservationCandidate> &candidates, const SlotNeed &need) const;
    bool isInReach(const ReservationCandidate &candidate, const SlotNeed &need, SteadyTime now) const;
    bool isCurrent(const HomeStatus &status, SteadyTime now) const;
    /** Returns the estimates of free slots, in the order of @p homes. */
    std::vector<double> freeSlots(const Candidates &homes, SteadyTime now) const;
    /** Adds the best of @p from to @p homes until there are @p count. */
    void take(Candidates from, const SlotNeed &need, std::size_t count, std::vector<std::string> &homes,
              SteadyTime now) const;
    /** Returns one of the nearest candidates that have free slots, at random in proportion to these; end() if none. */
    Candidates::iterator pickFree(Candidates &from, SteadyTime now) const;
    /**
     * Returns true if a request goes to the @p free home instead of waiting at the @p cheapest one: in its own region
     * if it starts sooner there, in another one if this also makes up for the traffic between regions.
     */
    bool isWorthDistance(const ReservationCandidate &free, const ReservationCandidate &cheapest,
                         const SlotNeed &need) const;
    /** Returns the time until work could begin there: expected wait and messages. */
    Millis delayAt(const ReservationCandidate &candidate) const;
    /** Returns delayAt() and what the distance costs, in milliseconds. */
    double costOf(const ReservationCandidate &candidate, const SlotNeed &need) const;
    /** Returns the time for reserving, the offer, the Work and its reply. */
    Millis messageTime(Distance distance) const;

    Random random_;
    ReservationTuning tuning_;
};

} // namespace waxwing
