#include "include/limit/InnerCallMeter.h"

#include <algorithm>

namespace waxwing {

namespace {

/** A route can't be the server's calls from this share of requests that came while the server was idle. */
constexpr double idleShareOfCallers = 0.03;
/** So many requests of callers would have come while the server was idle; by chance none of them does one time in 20.
 */
constexpr double enoughExpected = 3.0;
/** And if fewer than this part of them came then: a call may still be read when its run has ended. */
constexpr double idlePartOfCalls = 0.25;
/** Callers that stop sending all at once leave the server idle, too: several idle periods, none counted for long. */
constexpr std::uint32_t enoughPeriods = 5;
constexpr double longestIdleCounted = 0.5;
/** Counts are halved from here on, so that a route whose use changed is judged anew. */
constexpr std::uint32_t mostCounted = 1000;
/** Weight of the newest run in a route's rate, once there were many. */
constexpr double smoothing = 0.05;
/** Weight of a route that was not seen to make calls yet: enough to be found, too little to take others' calls. */
constexpr double unknownWeight = 0.02;
/** Routes that make fewer calls a run were given them by mistake, or their failures seldom come from a call. */
constexpr double rateOfCallers = 0.2;
/** Rates below this are what is put down to a route by mistake. */
constexpr double leastRate = 0.05;

} // namespace

void InnerCallMeter::passTime(SteadyTime now)
{
    const double elapsed = std::max(0.0, std::chrono::duration<double>(now - passed_).count());
    passed_ = now;
    if (runs_.empty()) {
        idleNow_ += elapsed;
        return;
    }
    for (auto &[route, seen] : arrivals_) {
        seen.busySeconds += elapsed;
    }
}

void InnerCallMeter::endIdlePeriod()
{
    for (auto &[route, seen] : arrivals_) {
        seen.idleSeconds += std::min(idleNow_, longestIdleCounted);
        ++seen.idlePeriods;
    }
    idleNow_ = 0.0;
}

void InnerCallMeter::begin(std::uint64_t work, const std::string &route, int rank, SteadyTime now)
{
    passTime(now);
    if (runs_.empty()) {
        endIdlePeriod();
    }
    Run &run = runs_[work];
    run.route = route;
    run.rank = rank;
}

void InnerCallMeter::end(std::uint64_t work, SteadyTime now)
{
    passTime(now);
    const auto found = runs_.find(work);
    if (found == runs_.end()) {
        return;
    }
    CallRates &rates = rates_[found->second.route];
    const double weight = std::max(smoothing, 1.0 / ++ended_[found->second.route]);
    for (const auto &[service, calls] : found->second.calls) {
        rates.try_emplace(service, 0.0);
    }
    for (auto &[service, rate] : rates) {
        const auto made = found->second.calls.find(service);
        rate += weight * ((made == found->second.calls.end() ? 0.0 : made->second) - rate);
    }
    for (auto it = rates.begin(); it != rates.end();) {
        it = it->second < leastRate * smoothing ? rates.erase(it) : std::next(it);
    }
    runs_.erase(found);
}

void InnerCallMeter::count(const std::string &route, SteadyTime now)
{
    passTime(now);
    Arrivals &seen = arrivals_[route];
    (runs_.empty() ? seen.whileIdle : seen.whileBusy) += 1;
    if (seen.whileBusy + seen.whileIdle >= mostCounted) {
        seen.whileBusy /= 2;
        seen.whileIdle /= 2;
        seen.busySeconds /= 2;
        seen.idleSeconds /= 2;
        seen.idlePeriods /= 2;
    }
}

bool InnerCallMeter::mayBeInnerCall(const std::string &route) const
{
    const auto found = arrivals_.find(route);
    if (found == arrivals_.end()) {
        return false;
    }
    const Arrivals &seen = found->second;
    return seen.whileIdle <= idleShareOfCallers * (seen.whileBusy + seen.whileIdle);
}

void InnerCallMeter::noteTold(const std::string &route)
{
    told_.insert(route);
}

bool InnerCallMeter::isInnerCall(const std::string &route) const
{
    if (told_.count(route) != 0 && mayBeInnerCall(route)) {
        return true;
    }
    const auto found = arrivals_.find(route);
    if (found == arrivals_.end()) {
        return false;
    }
    const Arrivals &seen = found->second;
    const double expected = seen.busySeconds > 0.0 ? seen.whileBusy / seen.busySeconds * seen.idleSeconds : 0.0;
    const bool enough = seen.idlePeriods >= enoughPeriods && expected >= enoughExpected;
    return enough && seen.whileIdle < idlePartOfCalls * expected;
}

double InnerCallMeter::weightOf(const std::string &route, const std::string &service) const
{
    const auto rates = rates_.find(route);
    if (rates == rates_.end()) {
        return unknownWeight;
    }
    const auto rate = rates->second.find(service);
    return unknownWeight + (rate == rates->second.end() ? 0.0 : rate->second);
}

void InnerCallMeter::arrived(const std::string &route, const std::string &service, SteadyTime now)
{
    count(route, now);
    if (!mayBeInnerCall(route) || runs_.empty()) {
        return;
    }
    double total = 0.0;
    for (const auto &[id, run] : runs_) {
        total += weightOf(run.route, service);
    }
    for (auto &[id, run] : runs_) {
        run.calls[service] += weightOf(run.route, service) / total;
    }
}

void InnerCallMeter::failed(const std::string &route, const std::string &service)
{
    if (!isInnerCall(route)) {
        return;
    }
    for (auto &[id, run] : runs_) {
        run.failedCall = run.failedCall || weightOf(run.route, service) > rateOfCallers;
    }
}

bool InnerCallMeter::sawFailedCall(std::uint64_t work) const
{
    const auto found = runs_.find(work);
    return found != runs_.end() && found->second.failedCall;
}

std::optional<int> InnerCallMeter::rankOfCaller(const std::string &service) const
{
    std::optional<int> rank;
    for (const auto &[id, run] : runs_) {
        if (weightOf(run.route, service) > rateOfCallers) {
            rank = std::min(rank.value_or(run.rank), run.rank);
        }
    }
    return rank;
}

const CallRates &InnerCallMeter::rates(const std::string &route) const
{
    static const CallRates none;
    const auto found = rates_.find(route);
    return found == rates_.end() ? none : found->second;
}

} // namespace waxwing
