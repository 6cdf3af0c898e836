#pragma once

#include "include/base/Clock.h"
#include "include/fleet/FleetConfig.h"
#include "include/route/HomeSearch.h"
#include "include/schedule/ReservationPlanner.h"
#include "include/schedule/ReservationSet.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace waxwing::testing {

/** How a request finds its home. */
enum class HomePolicy {
    /** The decisions of the production code without reservations: one home after another. */
    Polling,
    /** The decisions of the production code with late binding by reservations. */
    Reservations,
    /** One queue per zone at one node, which knows all slots of its zone and gives each to a request. */
    ZoneQueue,
    /** A random home, where the request waits until its deadline. */
    Random,
    /** The home with the earliest free slot, by all work times and queues. No real node knows these. */
    Oracle,
};

/** A route and the work times of its requests. */
struct FleetRoute {
    Route route;
    double requestsPerSecond = 0.0;
    Millis work{250};
    /** Sequential nested calls after the work, and the share of the requests that make them. */
    int calls = 0;
    double callShare = 0.7;
};

/** The service that nested calls go to. Its own load is not simulated. */
struct CalledService {
    /** Share of the calls that fail from the start of the burst on, for @c failFor. */
    double failedShare = 0.0;
    Millis failFor{0};
    /** Duration of a call by its result. A shed call fails soon; one that waits for room fails at its deadline. */
    Millis succeeds{68};
    Millis fails{5};
};

/** A service and the requests for it. Zones are numbered; homes and nodes are dealt to them in turn. */
struct HomeFleetLoad {
    int nodes = 0;
    int homes = 0;
    int zones = 1;
    int zonesPerRegion = 1;
    std::uint32_t slots = 3;
    std::vector<FleetRoute> routes;
    Millis warmUp{6000};
    /** The burst, during which requests are counted, follows the warm-up time. */
    Millis burstDuration{0};
    /** Factor on the request rate during the burst, of all routes or of @c burstRoute alone. */
    double burst = 1.0;
    std::string burstRoute;
    /** The last @c slowHomes take this many times as long. */
    int slowHomes = 0;
    double slowFactor = 1.0;
    /** Servers of the first homes that leave at the start of the burst. */
    int homesGone = 0;
    /** With equal shares of the requests; one: requests have no customer. The first one sends @c hotFactor times its
     * share during the burst. */
    int customers = 1;
    double hotFactor = 1.0;
    /** Amplitude of the share of the requests that arrive in zone 0 and, in opposite phase, in zone 1. */
    double waveAmplitude = 0.0;
    Millis wavePeriod{4000};
    ReservationTuning reservations;
    CalledService called;
    /** Homes judge requests by whether their calls are expected to fail. */
    bool callAdmission = false;
};

/** What became of the requests of one priority that arrived during the burst. */
struct PriorityCounts {
    int requests = 0;
    /** Answered within the objective. */
    int inTime = 0;
    /** Answered after it. */
    int late = 0;
    int refused = 0;
    /** Those of @c refused that ran and whose calls failed, and those that homes refused because they would fail. */
    int callsFailed = 0;
    int callsUnserved = 0;
    /** Sum and maximum of the time from the arrival to the start of the work, of those that ran. */
    Duration waited{0};
    Duration longestWait{0};

    PriorityCounts &operator+=(const PriorityCounts &other);
    double refusedShare() const
    {
        return static_cast<double>(refused) / std::max(1, requests);
    }
    double servedShare() const
    {
        return static_cast<double>(inTime + late) / std::max(1, requests);
    }
    double inTimeShare() const
    {
        return static_cast<double>(inTime) / std::max(1, requests);
    }
    Millis meanWait() const
    {
        return millisOf(waited / std::max(1, inTime + late));
    }
};

/** Measurements of one run. */
struct FleetCounts {
    std::map<int, PriorityCounts> byPriority;
    std::map<std::string, PriorityCounts> byRoute;
    /** Of the customer at several times its usual rate, and of all others. */
    PriorityCounts hotCustomer;
    PriorityCounts otherCustomers;
    /** Works that were sent, and those refused or that left a queue without being served. */
    int sends = 0;
    int sendsInVain = 0;
    /** Messages beside Works and their replies. */
    int smallMessages = 0;
    /** Requests that used half of their objective before their work began. */
    int halfObjectiveUsed = 0;
    /** Works begun in another zone and in another region than the sender's. */
    int otherZone = 0;
    int otherRegion = 0;
    /** Longest time for which a slot stayed free beside a request that waited at its home. */
    Duration longestIdleSlot{0};
    /** Longest time from the deadline to the end of a request; negative if all ended before. */
    Duration longestAfterDeadline = Duration::min();
    int unfinished = 0;
    /** Share of the work of zone 0 that ran elsewhere, in consecutive intervals. */
    std::vector<double> spilledShares;

    PriorityCounts all() const;
    double sendsPerRun() const;
    double smallPerRequest() const;
    /** Returns the number of times that the spilled share turns after a change of more than @p threshold. */
    int spillTurns(double threshold) const;
};

/** One request in the model, and what its sender knows about it. */
struct FleetRequest {
    std::uint64_t id = 0;
    int sender = 0;
    const FleetRoute *route = nullptr;
    std::string customer;
    SteadyTime arrived;
    SteadyTime objective;
    SteadyTime deadline;
    /** At a server of usual speed. */
    Millis work{0};
    bool counted = false;
    bool done = false;
    /** Nested calls, and whether one of them has failed. */
    int calls = 0;
    bool callFailed = false;
    /** Homes that refused the request because its calls are expected to fail. */
    int callsUnserved = 0;
    HomeSearch search;
    /** Home that has the Work, and the latest time there. */
    int home = -1;
    Millis queueTimeout{0};
    ReservationSet reservations;
    std::set<std::string> tried;
    std::size_t reservationsMade = 0;
    /** Time from which on the request is refused without an offer; unset before the first reservation. */
    SteadyTime latestStart;
    /** Under which the home holds the slot of the request: its own id or that of a reservation. */
    std::uint64_t slotId = 0;
};
using FleetRequestPtr = std::shared_ptr<FleetRequest>;

} // namespace waxwing::testing
