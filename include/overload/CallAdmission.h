#pragma once

#include "include/base/Clock.h"
#include "include/limit/NestedCallTracker.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace waxwing {

struct CallAdmissionTuning {
    /**
     * Mean calls of one run from which on a route depends on the called service. NestedCallTracker attributes some
     * calls to routes that make none, which gives them lower rates.
     */
    double minCallRate = 0.2;
    /** The calls of a run will likely fail if all of them succeed with less than this probability. */
    double minSuccess = 0.5;
    /** A degraded service counts as recovered from this share of successful calls on. */
    double recoveredShare = 0.7;
    /** Results older than this do not count. */
    Millis maxEvidenceAge{2000};
    /** Fewest results that are evidence. */
    std::size_t minResults = 2;
    /** While the calls to a service fail, one run that calls it starts in each such interval, to detect recovery. */
    Millis probeInterval{500};
    /** Results kept by called service, and number of called services; calls of further services are not judged. */
    std::size_t maxResults = 32;
    std::size_t maxServices = 64;
};

/** What is known of one called service. */
struct CallServiceStatus {
    enum class Change {
        None,
        Degraded,
        Recovered,
    };

    std::string service;
    /** Estimated share of calls that succeed; 1 without evidence. */
    double successShare = 1.0;
    std::size_t results = 0;
    /** Since the last update. */
    Change change = Change::None;
};

/**
 * Judges at a home whether the nested calls of a request, if it started now, would likely fail, because recent calls
 * from the server here did. Such a request is ordered behind others of its priority. The evidence is local and expires
 * soon. Opens no socket and takes the time as a parameter. Not thread safe.
 */
class CallAdmission
{
public:
    /** Returns the mean calls of one run of a route, by called service. */
    using RatesOf = std::function<const CallRates &(const std::string &route)>;

    explicit CallAdmission(RatesOf ratesOf, CallAdmissionTuning tuning = {});

    /** Records that a call of the server here to @p service has ended. @pre @p now never decreases. */
    void addResult(const std::string &service, bool succeeded, SteadyTime now);
    /** Returns the estimated share of calls to @p service that succeed; nullopt without enough recent results. */
    std::optional<double> successShare(const std::string &service, SteadyTime now) const;
    /** Returns true if the calls of a run of @p route that starts now will likely fail. */
    bool expectsFailure(const std::string &route, SteadyTime now) const;
    /**
     * The same, but returns false if no run that calls the worst of the services has started within the probe interval,
     * so that this run is the probe.
     */
    bool shouldDefer(const std::string &route, SteadyTime now) const;
    /** Records that a run of @p route starts, which is a probe of the services that it calls. */
    void noteStarted(const std::string &route, SteadyTime now);
    /**
     * Removes old results. Returns the status of all called services. A service whose results have all become too old
     * is included a last time.
     */
    std::vector<CallServiceStatus> update(SteadyTime now);

private:
    struct Result {
        SteadyTime at;
        bool succeeded = false;
    };
    struct Service {
        /** In the order of their times. */
        std::deque<Result> results;
        SteadyTime lastRun = SteadyTime::min();
        bool degraded = false;
    };
    /** The calls of one run, as expected now. */
    struct Forecast {
        /** Probability that all of them succeed. */
        double success = 1.0;
        /** The service whose calls fail most; null without evidence. */
        const Service *worst = nullptr;
    };

    /** Returns the forecast for @p route, cached for further calls with the same @p now. */
    const Forecast &forecast(const std::string &route, SteadyTime now) const;
    Forecast makeForecast(const std::string &route, SteadyTime now) const;
    std::optional<double> shareOf(const Service &service, SteadyTime now) const;

    RatesOf ratesOf_;
    CallAdmissionTuning tuning_;
    std::map<std::string, Service> services_;
    /**
     * Cache by route, valid at @c forecastAt_. SlotQueue needs a forecast for each comparison of two requests when it
     * orders them.
     */
    mutable std::map<std::string, Forecast> forecasts_;
    mutable SteadyTime forecastAt_;
};

} // namespace waxwing
