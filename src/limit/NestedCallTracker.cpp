#include "include/limit/NestedCallTracker.h"

#include <algorithm>

namespace waxwing {

namespace {

/**
 * Largest share of a route's requests that may have come while the server was idle, in the weaker test of
 * mayBeNestedCall().
 */
constexpr double maxIdleShareOfCalls = 0.03;
/**
 * Number of requests that callers would have sent while the server was idle, from which on their absence is evidence:
 * it is due to chance with probability 1 in 20.
 */
constexpr double minExpectedIdleArrivals = 3.0;
/**
 * If fewer than this fraction of the expected idle arrivals came, the requests are nested calls. A few nested calls
 * also come while the server is idle, because a call may be read after its run has ended.
 */
constexpr double maxIdleFractionOfCalls = 0.25;
/**
 * The server is also idle when all callers stop at once. Therefore several idle periods are required, and only this
 * many seconds of each count.
 */
constexpr std::uint32_t minIdlePeriods = 5;
constexpr double maxIdleSecondsCounted = 0.5;
/** Counts are halved when they reach this, so that a route whose use changes is classified anew. */
constexpr std::uint32_t maxCounted = 1000;
/** Weight of the newest run in a route's rate after many runs. */
constexpr double smoothing = 0.05;
/** Weight of a route without known calls: enough to detect calls, too little to take the calls of other routes. */
constexpr double unknownWeight = 0.02;
/**
 * Calls per run above which a route counts as a caller. With fewer, they were attributed to it by mistake, or its
 * failures seldom come from a call.
 */
constexpr double minCallerRate = 0.2;
/** Calls attributed to a route by mistake lead to rates below this. A rate is dropped below this times @c smoothing. */
constexpr double minRate = 0.05;

} // namespace

void NestedCallTracker::advanceTime(SteadyTime now)
{
    const double elapsed = std::max(0.0, secondsOf(now - advancedAt_));
    advancedAt_ = now;
    if (runs_.empty()) {
        idleSeconds_ += elapsed;
        return;
    }
    for (auto &[route, arrivals] : arrivals_) {
        arrivals.busySeconds += elapsed;
    }
}

void NestedCallTracker::endIdlePeriod()
{
    for (auto &[route, arrivals] : arrivals_) {
        arrivals.idleSeconds += std::min(idleSeconds_, maxIdleSecondsCounted);
        ++arrivals.idlePeriods;
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
    Arrivals &arrivals = arrivals_[route];
    (runs_.empty() ? arrivals.whileIdle : arrivals.whileBusy) += 1;
    if (arrivals.whileBusy + arrivals.whileIdle >= maxCounted) {
        arrivals.whileBusy /= 2;
        arrivals.whileIdle /= 2;
        arrivals.busySeconds /= 2;
        arrivals.idleSeconds /= 2;
        arrivals.idlePeriods /= 2;
    }
}

bool NestedCallTracker::mayBeNestedCall(const std::string &route) const
{
    const auto found = arrivals_.find(route);
    if (found == arrivals_.end()) {
        return false;
    }
    const Arrivals &arrivals = found->second;
    return arrivals.whileIdle <= maxIdleShareOfCalls * (arrivals.whileBusy + arrivals.whileIdle);
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
    const Arrivals &arrivals = found->second;
    const double expected =
        arrivals.busySeconds > 0.0 ? arrivals.whileBusy / arrivals.busySeconds * arrivals.idleSeconds : 0.0;
    const bool enough = arrivals.idlePeriods >= minIdlePeriods && expected >= minExpectedIdleArrivals;
    return enough && arrivals.whileIdle < maxIdleFractionOfCalls * expected;
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
