#include "include/overload/CallAdmission.h"

#include <algorithm>
#include <cmath>

namespace waxwing {

namespace {

/** Successes assumed in addition to the results: one failure among few results is no sign. */
constexpr double priorSuccesses = 1.0;

} // namespace

CallAdmission::CallAdmission(RatesOf ratesOf, CallAdmissionTuning tuning)
    : ratesOf_(std::move(ratesOf))
    , tuning_(tuning)
{ }

void CallAdmission::addResult(const std::string &service, bool succeeded, SteadyTime now)
{
    if (services_.count(service) == 0 && services_.size() >= tuning_.maxServices) {
        return;
    }
    forecasts_.clear();
    std::deque<Result> &results = services_[service].results;
    results.push_back(Result{now, succeeded});
    if (results.size() > tuning_.maxResults) {
        results.pop_front();
    }
}

std::optional<double> CallAdmission::shareOf(const Service &service, SteadyTime now) const
{
    double successes = priorSuccesses;
    std::size_t count = 0;
    for (auto it = service.results.rbegin(); it != service.results.rend(); ++it) {
        if (now - it->at > tuning_.maxEvidenceAge) {
            break;
        }
        successes += it->succeeded ? 1.0 : 0.0;
        ++count;
    }
    if (count < tuning_.minResults) {
        return std::nullopt;
    }
    return successes / (static_cast<double>(count) + priorSuccesses);
}

std::optional<double> CallAdmission::successShare(const std::string &service, SteadyTime now) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? std::nullopt : shareOf(found->second, now);
}

const CallAdmission::Forecast &CallAdmission::forecast(const std::string &route, SteadyTime now) const
{
    static const Forecast none;
    if (services_.empty()) {
        return none;
    }
    if (now != forecastAt_) {
        forecasts_.clear();
        forecastAt_ = now;
    }
    const auto found = forecasts_.find(route);
    return found != forecasts_.end() ? found->second : forecasts_[route] = makeForecast(route, now);
}

CallAdmission::Forecast CallAdmission::makeForecast(const std::string &route, SteadyTime now) const
{
    Forecast out;
    double worstShare = 1.0;
    for (const auto &[name, rate] : ratesOf_(route)) {
        const auto found = rate >= tuning_.minCallRate ? services_.find(name) : services_.end();
        const std::optional<double> share = found == services_.end() ? std::nullopt : shareOf(found->second, now);
        if (!share) {
            continue;
        }
        // A run that makes calls makes at least one, also where the mean is lower because other runs make none.
        out.success *= std::pow(*share, std::max(1.0, rate));
        if (*share < worstShare) {
            worstShare = *share;
            out.worst = &found->second;
        }
    }
    return out;
}

bool CallAdmission::expectsFailure(const std::string &route, SteadyTime now) const
{
    return forecast(route, now).success < tuning_.minSuccess;
}

bool CallAdmission::shouldDefer(const std::string &route, SteadyTime now) const
{
    const Forecast &expected = forecast(route, now);
    return expected.success < tuning_.minSuccess && now < expected.worst->lastRun + tuning_.probeInterval;
}

void CallAdmission::noteStarted(const std::string &route, SteadyTime now)
{
    if (services_.empty()) {
        return;
    }
    for (const auto &[name, rate] : ratesOf_(route)) {
        const auto found = services_.find(name);
        if (rate >= tuning_.minCallRate && found != services_.end()) {
            found->second.lastRun = now;
        }
    }
}

std::vector<CallServiceStatus> CallAdmission::update(SteadyTime now)
{
    std::vector<CallServiceStatus> out;
    forecasts_.clear();
    for (auto it = services_.begin(); it != services_.end();) {
        Service &service = it->second;
        while (!service.results.empty() && now - service.results.front().at > tuning_.maxEvidenceAge) {
            service.results.pop_front();
        }
        const double share = shareOf(service, now).value_or(1.0);
        CallServiceStatus status{it->first, share, service.results.size(), CallServiceStatus::Change::None};
        const bool degraded = share < (service.degraded ? tuning_.recoveredShare : tuning_.minSuccess);
        if (degraded != service.degraded) {
            service.degraded = degraded;
            status.change = degraded ? CallServiceStatus::Change::Degraded : CallServiceStatus::Change::Recovered;
        }
        out.push_back(std::move(status));
        it = service.results.empty() ? services_.erase(it) : std::next(it);
    }
    return out;
}

} // namespace waxwing
