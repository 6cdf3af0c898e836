#pragma once

#include "include/base/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace waxwing {

/** Mean number of nested calls of one run, by the called service. */
using CallRates = std::map<std::string, double>;

/**
 * Estimates how many nested calls the runs of each route make. A retried run repeats its calls, which count as retries
 * at the called service, but a call does not name the run that made it. A home sees which runs are in progress at its
 * server and which requests come from its VM. The server makes calls only while it runs something; callers send
 * requests at any time. A call belongs to one of the runs in progress, most likely to one of a route with known calls.
 * Not thread safe.
 */
class NestedCallTracker
{
public:
    /** Records that the server started a run of @p route. @p rank: its urgency; 0 is the most urgent. */
    void begin(std::uint64_t runId, const std::string &route, int rank, SteadyTime now);
    void end(std::uint64_t runId, SteadyTime now);
    /** Records a request of @p route for @p service that came from this VM. */
    void arrived(const std::string &route, const std::string &service, SteadyTime now);
    /**
     * Returns true if requests of @p route are nested calls of the server: if they came from callers, several would
     * have arrived while the server was idle. Without markNested() it returns false while there is too little evidence,
     * which is always so beside a server that is never idle.
     */
    bool isNestedCall(const std::string &route) const;
    /** Records that a home reported requests of @p route as nested calls. Homes see the requests of many VMs. */
    void markNested(const std::string &route);
    /** Records that a request of @p route for @p service from this VM failed. */
    void failed(const std::string &route, const std::string &service);
    /**
     * Returns true if a call that @p runId may have made failed while it ran: then a failure of the run is no evidence
     * about the server. False if the run is not in progress.
     */
    bool hadFailedCall(std::uint64_t runId) const;
    /**
     * Returns the rank of the most urgent run in progress that may call @p service, or nothing if no run is known to.
     */
    std::optional<int> callerRank(const std::string &service) const;
    /** Returns the mean calls of one run of @p route; empty if it makes none. */
    const CallRates &rates(const std::string &route) const;

private:
    struct Arrivals {
        std::uint32_t whileBusy = 0;
        std::uint32_t whileIdle = 0;
        /** Time for which the server was busy and idle since the first arrival, and the number of idle periods. */
        double busySeconds = 0.0;
        double idleSeconds = 0.0;
        std::uint32_t idlePeriods = 0;
    };
    struct Run {
        std::string route;
        int rank = 0;
        CallRates calls;
        bool failedCall = false;
    };

    void count(const std::string &route, SteadyTime now);
    /**
     * Returns true if few requests of @p route arrived while the server was idle. A weaker test for accounting, where
     * counting one call too many is better than one too few.
     */
    bool mayBeNestedCall(const std::string &route) const;
    /** Counts the time up to @p now as busy or idle. To be called before @c runs_ changes. */
    void advanceTime(SteadyTime now);
    /** Ends the idle period when a run starts on an idle server. */
    void endIdlePeriod();
    /** Returns the weight with which a call is attributed to a run of @p route. */
    double callWeight(const std::string &route, const std::string &service) const;

    std::map<std::string, Arrivals> arrivals_;
    std::set<std::string> markedNested_;
    std::map<std::uint64_t, Run> runs_;
    double idleSeconds_ = 0.0;
    SteadyTime advancedAt_;
    std::map<std::string, CallRates> rates_;
    /** Finished runs by route. The first ones have more weight, so that a rate is known from the first run on. */
    std::map<std::string, std::uint32_t> runsEnded_;
};

} // namespace waxwing
