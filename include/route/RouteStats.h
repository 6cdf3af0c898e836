#pragma once

#include "include/base/Clock.h"
#include "include/fleet/FleetConfig.h"
#include "include/limit/NestedCallTracker.h"
#include "include/wire/Messages.h"

#include <map>
#include <string>

namespace waxwing {

/** What an ingress has learned from replies about the requests of each route. Not thread safe. */
class RouteStats
{
public:
    /** Adds the result of one attempt. */
    void add(const std::string &route, const WorkReply &reply);
    /** Returns the mean work time of @p route, or a fraction of its response time objective before the first sample. */
    Duration expectedWorkTime(const Route &route) const;
    /** Returns the mean size of the responses of @p route in KB; 0 if there is no sample. */
    double responseKilobytes(const std::string &route) const;
    /** Returns the mean number of nested calls of one run of @p route, by the called service; empty if unknown. */
    CallRates calls(const std::string &route) const;
    /** Returns when a request of @p route that arrived at @p arrived and has no response yet is worth a hedge. */
    SteadyTime hedgeTime(const Route &route, SteadyTime arrived) const;

private:
    struct Stats {
        /** Moving average of the processing time; 0 if there is no sample. */
        double workSeconds = 0.0;
        /** Moving average of the response size. */
        double kilobytes = 0.0;
        CallRates calls;
    };

    std::map<std::string, Stats> routes_;
};

} // namespace waxwing
