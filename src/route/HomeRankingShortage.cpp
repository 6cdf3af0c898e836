#include "include/route/HomeRanking.h"

#include <algorithm>

namespace waxwing {

bool HomeRanking::happens(double probability) const
{
    constexpr std::uint64_t steps = 1U << 20U;
    return static_cast<double>(random_() % steps) < probability * static_cast<double>(steps);
}

bool HomeRanking::countsAsGray(const RankedHome &candidate, const Defaults &defaults, SteadyTime now) const
{
    const auto found = homes_.find(candidate.node);
    return found != homes_.end()
           && (now < found->second.grayBackoffUntil
               || currentGrayProbability(candidate, defaults, now) >= tuning_.acceptGrayThreshold);
}

bool HomeRanking::isShortOfHomes(const std::vector<RankedHome> &homes, const Defaults &defaults, SteadyTime now) const
{
    if (knownNodes_ == 0) {
        return false;
    }
    int heardOf = 0;
    int avoided = 0;
    for (const RankedHome &candidate : homes) {
        const auto found = homes_.find(candidate.node);
        if (found == homes_.end()) {
            continue;
        }
        const Home &home = found->second;
        const bool recent = home.heardAt && now - *home.heardAt < tuning_.heardWithin;
        const bool lacksHealthyServer = recent && (home.lacksServer || countsAsGray(candidate, defaults, now));
        const bool pathFailed = home.pathFailedAt && now - *home.pathFailedAt < tuning_.pathFailureValidFor;
        heardOf += recent || pathFailed ? 1 : 0;
        avoided += lacksHealthyServer || pathFailed ? 1 : 0;
    }
    return avoided >= tuning_.exploreMinAvoided && avoided >= tuning_.exploreAvoidedShare * heardOf;
}

bool HomeRanking::knowsOtherHome(const std::vector<RankedHome> &homes, const std::set<std::string> &tried,
                                 const std::string &except, const Defaults &defaults, SteadyTime now) const
{
    return std::any_of(homes.begin(), homes.end(), [&](const RankedHome &candidate) {
        const auto found = homes_.find(candidate.node);
        if (candidate.node == except || tried.count(candidate.node) != 0 || found == homes_.end()) {
            return false;
        }
        const Home &home = found->second;
        const bool recent = home.heardAt && now - *home.heardAt < tuning_.heardWithin;
        return recent && !home.pathFailedAt && !home.lacksServer && !countsAsGray(candidate, defaults, now);
    });
}

std::vector<std::string> HomeRanking::takePathsToCheck(const std::vector<RankedHome> &homes, SteadyTime now)
{
    std::vector<std::string> nodes;
    if (!isShortOfHomes(homes, defaultsFor(homes, HomeQuery{}, now), now)) {
        return nodes;
    }
    // Not to other regions: a link that is opened there stays open and sends state updates over a slow path.
    for (const Distance distance : {Distance::SameZone, Distance::SameRegion}) {
        for (const RankedHome &candidate : homes) {
            if (candidate.distance != distance || nodes.size() >= tuning_.maxPathChecks) {
                continue;
            }
            Home &home = homes_[candidate.node];
            const bool known = home.pathFailedAt || (home.heardAt && now - *home.heardAt < tuning_.pathKnownFor);
            if (!known && now - home.pathCheckedAt >= tuning_.pathCheckInterval) {
                home.pathCheckedAt = now;
                nodes.push_back(candidate.node);
            }
        }
    }
    return nodes;
}

const RankedHome *HomeRanking::homeToExplore(const std::vector<RankedHome> &homes, const std::set<std::string> &tried,
                                             const Defaults &defaults, SteadyTime now)
{
    const double perSecond = tuning_.exploresPerSecond / static_cast<double>(knownNodes_);
    const RankedHome *best = nullptr;
    double bestProbability = 1.0;
    for (const RankedHome &candidate : homes) {
        if (tried.count(candidate.node) != 0 || !countsAsGray(candidate, defaults, now)) {
            continue;
        }
        Home &home = homes_[candidate.node];
        const Duration since = now - home.consideredAt;
        if (home.pathFailedAt || since < tuning_.exploreAfter) {
            continue;
        }
        // The chance grows with the time, so that the rate does not depend on the number of this node's requests.
        home.consideredAt = now;
        const double probability = currentGrayProbability(candidate, defaults, now);
        if (happens(perSecond * secondsOf(since)) && (best == nullptr || probability < bestProbability)) {
            best = &candidate;
            bestProbability = probability;
        }
    }
    return best;
}

} // namespace waxwing
