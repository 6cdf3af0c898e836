#pragma once

#include "include/base/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace waxwing {

/** Mean calls of one run, by the service called. */
using CallRates = std::map<std::string, double>;

/**
 * Learns how many calls the runs of each route make. A repeated run repeats its calls, and they count as repeats at the
 * service that they call; but nothing in a call names its parent. What a home sees: which works run at its server, and
 * which requests come from its VM. A server's own calls come only while it runs something, callers' requests at any
 * time; and a call is made by one of the works that run, most likely by one of a route that was seen to make calls.
 * Not thread safe.
 */
class NestedCallTracker
{
public:
    /** The server began to run a work of @p route, as urgent as @p rank says; 0 is the most urgent. */
    void begin(std::uint64_t runId, const std::string &route, int rank, SteadyTime now);
    void end(std::uint64_t runId, SteadyTime now);
    /** A request of @p route for @p service came from this VM. */
    void arrived(const std::string &route, const std::string &service, SteadyTime now);
    /**
     * Requests of @p route are calls of the server, not of callers: callers' requests would have come while it was idle
     * several times by now. False as long as that is open, which it stays beside a server that is never idle.
     */
    bool isNestedCall(const std::string &route) const;
    /** A home that sees the requests of many VMs says that those of @p route are calls of servers. */
    void markNested(const std::string &route);
    /** A request of @p route for @p service, which came from this VM, was not answered with success. */
    void failed(const std::string &route, const std::string &service);
    /**
     * A call that @p runId may have made failed while it ran: its own failure says nothing about the server then. False
     * if the work does not run.
     */
    bool hadFailedCall(std::uint64_t runId) const;
    /** Rank of the most urgent work under way that may call @p service; nothing if none is seen to. */
    std::optional<int> callerRank(const std::string &service) const;
    /** Calls of one run of @p route; empty if it makes none. */
    const CallRates &rates(const std::string &route) const;

private:
    struct Arrivals {
        std::uint32_t whileBusy = 0;
        std::uint32_t whileIdle = 0;
        /** For how long the server was busy and idle since the first one came, and how often idle. */
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
    /** By a weaker test, for what is to be paid for: better one call too many than one too few. */
    bool mayBeNestedCall(const std::string &route) const;
    /** Counts the time up to @p now as busy or idle; to be called before runs_ changes. */
    void advanceTime(SteadyTime now);
    /** A run begins on a server that ran nothing. */
    void endIdlePeriod();
    /** How readily a call is put down to a run of @p route. */
    double callWeight(const std::string &route, const std::string &service) const;

    std::map<std::string, Arrivals> arrivals_;
    std::set<std::string> markedNested_;
    std::map<std::uint64_t, Run> runs_;
    double idleSeconds_ = 0.0;
    SteadyTime advancedAt_;
    std::map<std::string, CallRates> rates_;
    /** Runs ended, by route: the first ones weigh more, so that a rate is known from the first run on. */
    std::map<std::string, std::uint32_t> runsEnded_;
};

} // namespace waxwing
