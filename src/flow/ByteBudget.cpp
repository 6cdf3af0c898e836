#include "include/flow/ByteBudget.h"

#include <algorithm>
#include <cmath>

namespace waxwing {

namespace {

/** Weight of a smaller response in a route's expected size; a larger one counts fully at once. */
constexpr std::uint64_t decayDivisor = 10;
/** Time constant of the rate at which bytes are released. */
constexpr Millis rateSpan{3000};

} // namespace

ByteBudget::ByteBudget(ByteBudgetTuning tuning)
    : tuning_(tuning)
{ }

ByteBudget::Part ByteBudget::partOf(std::uint64_t bytes) const
{
    return bytes <= tuning_.smallBytes ? Small : Large;
}

std::uint64_t ByteBudget::limitOf(Part part) const
{
    const auto small =
        static_cast<std::uint64_t>(std::llround(static_cast<double>(tuning_.nodeBytes) * tuning_.smallShare));
    return part == Small ? small : tuning_.nodeBytes - small;
}

std::uint64_t ByteBudget::expectedOf(const std::string &route) const
{
    const auto found = routes_.find(route);
    return found != routes_.end() && found->second.known ? found->second.expected : tuning_.unknownBytes;
}

std::optional<ByteBudget::Id> ByteBudget::reserve(const std::string &route, std::uint64_t requestBytes)
{
    const std::uint64_t expected = expectedOf(route);
    const Part part = partOf(std::max(expected, requestBytes));
    const bool isIdle = held_[part] + expected_[part] == 0;
    if (!isIdle && held_[part] + expected_[part] + requestBytes + expected > limitOf(part)) {
        return std::nullopt;
    }
    forgetIdleRoutes();
    RouteSize &size = routes_[route];
    size.expected = expected;
    ++size.waiting;
    expected_[partOf(expected)] += expected;
    Holder holder;
    holder.route = route;
    holder.part = part;
    holder.bytes = requestBytes;
    held_[part] += requestBytes;
    holders_[nextId_] = std::move(holder);
    return nextId_++;
}

void ByteBudget::learn(RouteSize &route, std::uint64_t bytes)
{
    const std::uint64_t before = route.expected;
    const std::uint64_t lower = before - before / decayDivisor + bytes / decayDivisor;
    route.expected = route.known ? std::max(bytes, lower) : bytes;
    route.known = true;
    // The requests in progress are expected to have responses of the new size as well.
    expected_[partOf(before)] -= route.waiting * before;
    expected_[partOf(route.expected)] += route.waiting * route.expected;
}

void ByteBudget::addResponse(Id id, std::uint64_t bytes, SteadyTime now)
{
    const auto found = holders_.find(id);
    if (found == holders_.end() || found->second.hasResponse) {
        return;
    }
    Holder &holder = found->second;
    RouteSize &route = routes_[holder.route];
    expected_[partOf(route.expected)] -= route.expected;
    --route.waiting;
    learn(route, bytes);
    held_[holder.part] -= holder.bytes;
    holder.part = partOf(bytes);
    holder.bytes = bytes;
    holder.hasResponse = true;
    holder.since = now;
    held_[holder.part] += bytes;
}

void ByteBudget::noteProgress(Id id, std::uint64_t bytes)
{
    const auto found = holders_.find(id);
    if (found != holders_.end()) {
        found->second.progress += bytes;
    }
}

void ByteBudget::release(Id id, SteadyTime now)
{
    const auto found = holders_.find(id);
    if (found == holders_.end()) {
        return;
    }
    const Holder &holder = found->second;
    if (!holder.hasResponse) {
        RouteSize &route = routes_[holder.route];
        expected_[partOf(route.expected)] -= route.expected;
        --route.waiting;
    }
    held_[holder.part] -= holder.bytes;
    if (holder.part == Large) {
        released_ = releaseRate(now) * secondsOf(rateSpan) + static_cast<double>(holder.bytes);
        releasedAt_ = now;
    }
    holders_.erase(found);
}

std::optional<ByteBudget::Id> ByteBudget::findExcess(SteadyTime now) const
{
    const double bound = static_cast<double>(tuning_.nodeBytes) * tuning_.maxOverrun;
    if (static_cast<double>(heldBytes()) <= bound) {
        return std::nullopt;
    }
    std::optional<Id> slowest;
    std::optional<Id> oldest;
    double lowestRate = 0.0;
    for (const auto &[id, holder] : holders_) {
        if (!holder.hasResponse || holder.part == Small) {
            continue;
        }
        if (!oldest || holder.since < holders_.at(*oldest).since) {
            oldest = id;
        }
        const Duration writing = now - holder.since;
        const double rate = static_cast<double>(holder.progress) / std::max(secondsOf(writing), 0.001);
        if (writing >= tuning_.minWriteTime && (!slowest || rate < lowestRate)) {
            slowest = id;
            lowestRate = rate;
        }
    }
    return slowest ? slowest : oldest;
}

double ByteBudget::releaseRate(SteadyTime now) const
{
    const double age = secondsOf(now - releasedAt_) / secondsOf(rateSpan);
    return released_ * std::exp(-age) / secondsOf(rateSpan);
}

Millis ByteBudget::retryAfter(const std::string &route, SteadyTime now) const
{
    const std::uint64_t expected = expectedOf(route);
    const Part part = partOf(expected);
    const std::uint64_t needed = held_[part] + expected_[part] + expected;
    const std::uint64_t limit = limitOf(part);
    if (needed <= limit) {
        return tuning_.minRetryAfter;
    }
    const double rate = releaseRate(now);
    const double maxSeconds = secondsOf(tuning_.maxRetryAfter);
    const double missing = static_cast<double>(needed - limit);
    const double seconds = missing < rate * maxSeconds ? missing / rate : maxSeconds;
    return part == Small ? tuning_.minRetryAfter : std::max(tuning_.minRetryAfter, millisOf(durationOf(seconds)));
}

void ByteBudget::forgetIdleRoutes()
{
    if (routes_.size() < tuning_.maxRoutes) {
        return;
    }
    for (auto route = routes_.begin(); route != routes_.end();) {
        route = route->second.waiting == 0 ? routes_.erase(route) : std::next(route);
    }
}

std::uint64_t ByteBudget::heldBytes() const
{
    return held_[Small] + held_[Large];
}

std::uint64_t ByteBudget::reservedBytes() const
{
    return heldBytes() + expected_[Small] + expected_[Large];
}

std::size_t ByteBudget::count() const
{
    return holders_.size();
}

} // namespace waxwing
