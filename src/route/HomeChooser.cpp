#include "include/route/HomeChooser.h"

#include <algorithm>

namespace waxwing {

namespace {

/** A load report older than this is ignored. */
constexpr Millis maxLoadAge = std::chrono::seconds(2);
constexpr Millis idleExpiry = std::chrono::seconds(60);
constexpr Millis initialPathBackoff{500};
constexpr int maxPathDoublings = 6;
constexpr double busyCost = 8.0;
constexpr double failedPathCost = 1000.0;
/**
 * Cost of a home whose servers fail all requests. It is avoided for a while because the floor may keep unhealthy
 * servers in service there.
 */
constexpr double failingCost = 20.0;
constexpr double failedSmoothing = 0.3;
constexpr Millis maxFailureAge = std::chrono::seconds(5);

double distanceCost(Distance distance)
{
    switch (distance) {
    case Distance::SameNode:
        return 0.0;
    case Distance::SameZone:
        return 0.25;
    case Distance::SameRegion:
        return 1.0;
    case Distance::OtherRegion:
        return 6.0;
    }
    return 6.0;
}

} // namespace

const char *distanceName(Distance distance)
{
    switch (distance) {
    case Distance::SameNode:
        return "node";
    case Distance::SameZone:
        return "zone";
    case Distance::SameRegion:
        return "region";
    case Distance::OtherRegion:
        break;
    }
    return "other-region";
}

HomeChooser::HomeChooser(Random random)
    : random_(std::move(random))
{ }

double HomeChooser::cost(const std::string &service, const HomeCandidate &candidate, SteadyTime now) const
{
    double cost = distanceCost(candidate.distance);
    if (isPathFailed(candidate.node, now)) {
        cost += failedPathCost;
    }
    const auto found = loads_.find({service, candidate.node});
    if (found == loads_.end()) {
        return cost;
    }
    const Load &load = found->second;
    const bool fresh = now - load.loadAt < maxLoadAge;
    const double servers = std::max<std::uint32_t>(1, candidate.servers);
    cost += load.inFlight / servers;
    if (now - load.lastResultAt < maxFailureAge) {
        cost += load.failedShare * failingCost;
    }
    if (fresh) {
        cost += load.queued / servers + (load.freeSlots <= 0 ? busyCost : 0.0);
    }
    return cost;
}

const HomeCandidate *HomeChooser::choose(const std::string &service, const std::vector<HomeCandidate> &candidates,
                                         const std::set<NodeRef> &tried, SteadyTime now) const
{
    const HomeCandidate *best = nullptr;
    double bestCost = 0.0;
    // Starting at a random index spreads requests over homes of equal cost.
    const std::size_t start = candidates.empty() ? 0 : random_() % candidates.size();
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const HomeCandidate &candidate = candidates[(start + i) % candidates.size()];
        if (candidate.servers == 0 || tried.count(candidate.node) != 0) {
            continue;
        }
        const double candidateCost = cost(service, candidate, now);
        if (best == nullptr || candidateCost < bestCost) {
            best = &candidate;
            bestCost = candidateCost;
        }
    }
    return best;
}

void HomeChooser::noteSent(const std::string &service, const NodeRef &home)
{
    ++loads_[{service, home}].inFlight;
}

void HomeChooser::noteLoad(const std::string &service, const NodeRef &home, std::int32_t freeSlots, std::int32_t queued,
                           SteadyTime now)
{
    Load &load = loads_[{service, home}];
    load.freeSlots = freeSlots;
    load.queued = queued;
    load.loadAt = now;
}

void HomeChooser::noteDone(const std::string &service, const NodeRef &home, bool failed, SteadyTime now)
{
    const auto found = loads_.find({service, home});
    if (found == loads_.end()) {
        return;
    }
    Load &load = found->second;
    load.inFlight -= load.inFlight > 0 ? 1 : 0;
    load.failedShare += failedSmoothing * ((failed ? 1.0 : 0.0) - load.failedShare);
    load.lastResultAt = now;
}

void HomeChooser::notePathFailure(const NodeRef &home, SteadyTime now)
{
    Path &path = paths_[home];
    path.failedUntil = now + initialPathBackoff * (1 << std::min(path.failures, maxPathDoublings));
    ++path.failures;
}

void HomeChooser::notePathRecovered(const NodeRef &home)
{
    paths_.erase(home);
}

bool HomeChooser::isPathFailed(const NodeRef &home, SteadyTime now) const
{
    const auto found = paths_.find(home);
    return found != paths_.end() && now < found->second.failedUntil;
}

void HomeChooser::expire(SteadyTime now)
{
    for (auto it = loads_.begin(); it != loads_.end();) {
        const bool idle = it->second.inFlight == 0 && now - it->second.loadAt >= idleExpiry;
        it = idle ? loads_.erase(it) : std::next(it);
    }
    for (auto it = paths_.begin(); it != paths_.end();) {
        it = now - it->second.failedUntil >= idleExpiry ? paths_.erase(it) : std::next(it);
    }
}

} // namespace waxwing
