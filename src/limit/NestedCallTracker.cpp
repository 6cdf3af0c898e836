#include "include/limit/NestedCallTracker.h"

#include <algorithm>

namespace waxwing {

namespace {

/** A route can't be the server's calls from this share of requests that came while the server was idle. */
constexpr double maxIdleShareOfCalls = 0.03;
/** So many requests of callers would have come while the server was idle; by chance none of them does one time in 20.
 */
constexpr double minExpectedIdleArrivals = 3.0;
/** And if fewer than this part of them came then: a call may still be read when its run has ended. */
constexpr double maxIdleFractionOfCalls = 0.25;
/** Callers that stop sending all at once leave the server idle, too: several idle periods, none counted for long. */
constexpr std::uint32_t minIdlePeriods = 5;
constexpr double maxIdleSecondsCounted = 0.5;
/** Counts are halved from here on, so that a route whose use changed is judged anew. */
constexpr std::uint32_t maxCounted = 1000;
/** Weight of the newest run in a route's rate, once there were many. */
constexpr double smoothing = 0.05;
/** Weight of a route that was not seen to make calls yet: enough to be found, too little to take others' calls. */
constexpr double unknownWeight = 0.02;
/** Routes that make fewer calls a run were given them by mistake, or their failures seldom come from a call. */
constexpr double minCallerRate = 0.2;
/** Rates below this are what is put down to a route by mistake. */
constexpr double minRate = 0.05;

} // namespace

void NestedCallTracker::advanceTime(SteadyTime now)
{
    const double elapsed = std::max(0.0, std::chrono::duration<double>(now - advancedAt_).count());
    advancedAt_ = now;
    if (runs_.empty()) {
        idleSeconds_ += elapsed;
        return;
    }
    for (auto &[route, seen] : arrivals_) {
        seen.busySeconds += elapsed;
    }
}

void NestedCallTracker::endIdlePeriod()
{
    for (auto &[route, seen] : arrivals_) {
        seen.idleSeconds += std::min(idleSeconds_, maxIdleSecondsCounted);
        ++seen.idlePeriods;
    }
    idleSeconds_ = 0.0;
}

void NestedCallTracker::begin(std::uint64_t runId, const std::string &route, int rank, SteadyTime now)
{
    advanceTime(now);
    if (runs_.empty()) {
        endIdlePeriod();
    }
    Run &run = runs_[runId];
    run.route = route;
    run.rank = rank;
}

void NestedCallTracker::end(std::uint64_t runId, SteadyTime now)
{
    advanceTime(now);
    const auto found = runs_.find(runId);
    if (found == runs_.end()) {
        return;
    }
    CallRates &rates = rates_[found->second.route];
    const double weight = std::max(smoothing, 1.0 / ++runsEnded_[found->second.route]);
    for (const auto &[service, calls] : found->second.calls) {
        rates.try_emplace(service, 0.0);
    }
    for (auto &[service, rate] : rates) {
        const auto made = found->second.calls.find(service);
        rate += weight * ((made == found->second.calls.end() ? 0.0 : made->second) - rate);
    }
    for (auto it = rates.begin(); it != rates.end();) {
        it = it->second < minRate * smoothing ? rates.erase(it) : std::next(it);
    }
    runs_.erase(found);
}

void NestedCallTracker::count(const std::string &route, SteadyTime now)
{
    advanceTime(now);
    Arrivals &seen = arrivals_[route];
    (runs_.empty() ? seen.whileIdle : seen.whileBusy) += 1;
    if (seen.whileBusy + seen.whileIdle >= maxCounted) {
        seen.whileBusy /= 2;
        seen.whileIdle /= 2;
        seen.busySeconds /= 2;
        seen.idleSeconds /= 2;
        seen.idlePeriods /= 2;
    }
}

bool NestedCallTracker::mayBeNestedCall(const std::string &route) const
{
    const auto found = arrivals_.find(route);
    if (found == arrivals_.end()) {
        return false;
    }
    const Arrivals &seen = found->second;
    return seen.whileIdle <= maxIdleShareOfCalls * (seen.whileBusy + seen.whileIdle);
}

void NestedCallTracker::markNested(const std::string &route)
{
    markedNested_.insert(route);
}

bool NestedCallTracker::isNestedCall(const std::string &route) const
{
    if (markedNested_.count(route) != 0 && mayBeNestedCall(route)) {
        return true;
    }
    const auto found = arrivals_.find(route);
    if (found == arrivals_.end()) {
        return false;
    }
    const Arrivals &seen = found->second;
    const double expected = seen.busySeconds > 0.0 ? seen.whileBusy / seen.busySeconds * seen.idleSeconds : 0.0;
    const bool enough = seen.idlePeriods >= minIdlePeriods && expected >= minExpectedIdleArrivals;
    return enough && seen.whileIdle < maxIdleFractionOfCalls * expected;
}

double NestedCallTracker::callWeight(const std::string &route, const std::string &service) const
{
    const auto rates = rates_.find(route);
    if (rates == rates_.end()) {
        return unknownWeight;
    }
    const auto rate = rates->second.find(service);
    return unknownWeight + (rate == rates->second.end() ? 0.0 : rate->second);
}

void NestedCallTracker::arrived(const std::string &route, const std::string &service, SteadyTime now)
{
    count(route, now);
    if (!mayBeNestedCall(route) || runs_.empty()) {
        return;
    }
    double total = 0.0;
    for (const auto &[id, run] : runs_) {
        total += callWeight(run.route, service);
    }
    for (auto &[id, run] : runs_) {
        run.calls[service] += callWeight(run.route, service) / total;
    }
}

void NestedCallTracker::failed(const std::string &route, const std::string &service)
{
    if (!isNestedCall(route)) {
        return;
    }
    for (auto &[id, run] : runs_) {
        run.failedCall = run.failedCall || callWeight(run.route, service) > minCallerRate;
    }
}

bool NestedCallTracker::hadFailedCall(std::uint64_t runId) const
{
    const auto found = runs_.find(runId);
    return found != runs_.end() && found->second.failedCall;
}

std::optional<int> NestedCallTracker::callerRank(const std::string &service) const
{
    std::optional<int> rank;
    for (const auto &[id, run] : runs_) {
        if (callWeight(run.route, service) > minCallerRate) {
            rank = std::min(rank.value_or(run.rank), run.rank);
        }
    }
    return rank;
}

const CallRates &NestedCallTracker::rates(const std::string &route) const
{
    static const CallRates none;
    const auto found = rates_.find(route);
    return found == rates_.end() ? none : found->second;
}

} // namespace waxwing
