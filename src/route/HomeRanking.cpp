#include "include/route/HomeRanking.h"

#include <algorithm>
#include <cmath>

namespace waxwing {

namespace {

/** In milliseconds; above any other cost, so that such a home is asked last but still asked. */
constexpr double noServerCost = 5000.0;
constexpr double badPathCost = 20000.0;
constexpr int mostDoublings = 4;

} // namespace

HomeRanking::HomeRanking(Random random, RankingTuning tuning)
    : random_(std::move(random))
    , tuning_(tuning)
{ }

double HomeRanking::loadCost(const Home &home, const HomeNeed &need, SteadyTime now) const
{
    if (!home.heard) {
        return home.inFlight * tuning_.busySlot;
    }
    const double age = std::chrono::duration<double>(now - home.heardAt) / std::chrono::duration<double>(tuning_.loadHalfLife);
    const double fresh = std::exp2(-std::max(0.0, age));
    // What this node sent since the news is not in them.
    const std::int32_t since = std::max(0, home.inFlight - home.inFlightThen);
    double cost = since * tuning_.busySlot;
    cost += fresh * static_cast<double>(home.load.wait.count());
    cost += fresh * std::max(0, 3 - home.load.freeSlots) * tuning_.busySlot;
    // A gray phase lasts for seconds, so doubt fades more slowly than load.
    const double doubtFresh = std::exp2(-std::max(0.0, age / 4.0));
    cost += doubtFresh * home.load.doubt * (need.idempotent ? tuning_.doubtIdempotent : tuning_.doubtOther);
    cost += doubtFresh * (home.load.slowdown - 1.0) * 50.0;
    return cost;
}

double HomeRanking::cost(const RankedHome &candidate, const HomeNeed &need, SteadyTime now) const
{
    double cost = 0.0;
    switch (candidate.distance) {
    case Distance::SameNode:
        break;
    case Distance::SameZone:
        cost += tuning_.sameZone;
        break;
    case Distance::SameRegion:
        cost += tuning_.sameRegion;
        break;
    case Distance::OtherRegion:
        cost += tuning_.otherRegion + tuning_.regionPenalty;
        break;
    }
    const auto found = homes_.find(candidate.node);
    if (found == homes_.end()) {
        return cost;
    }
    const Home &home = found->second;
    if (now < home.noServerUntil) {
        cost += noServerCost;
    }
    if (now < home.pathBadUntil) {
        cost += badPathCost;
    }
    return cost + loadCost(home, need, now);
}

HomeChoice HomeRanking::choose(const std::vector<RankedHome> &homes, const std::set<std::string> &tried,
                               const HomeNeed &need, SteadyTime now) const
{
    HomeChoice choice;
    double next = -1.0;
    bool any = false;
    // Starting at a random place spreads equal costs over all homes.
    const std::size_t start = homes.empty() ? 0 : random_() % homes.size();
    for (std::size_t i = 0; i < homes.size(); ++i) {
        const RankedHome &home = homes[(start + i) % homes.size()];
        if (tried.count(home.node) != 0) {
            continue;
        }
        const double homeCost = cost(home, need, now);
        if (!any || homeCost < choice.cost) {
            next = any ? choice.cost : next;
            choice.node = home.node;
            choice.cost = homeCost;
            any = true;
        } else if (next < 0.0 || homeCost < next) {
            next = homeCost;
        }
    }
    if (!any) {
        return choice;
    }
    const auto patience = static_cast<double>(need.patience.count());
    const double better = next < 0.0 ? patience : std::min(patience, next - choice.cost);
    choice.patience = Millis(static_cast<std::int64_t>(std::max(0.0, better)));
    const auto found = homes_.find(choice.node);
    if (found != homes_.end() && found->second.heard) {
        choice.loadAge = std::chrono::duration_cast<Millis>(now - found->second.heardAt);
    }
    return choice;
}

void HomeRanking::noteSent(const std::string &node)
{
    ++homes_[node].inFlight;
}

void HomeRanking::noteDone(const std::string &node)
{
    Home &home = homes_[node];
    home.inFlight = std::max(0, home.inFlight - 1);
    home.inFlightThen = std::min(home.inFlightThen, home.inFlight);
}

void HomeRanking::noteLoad(const std::string &node, const HomeLoad &load, SteadyTime now)
{
    Home &home = homes_[node];
    home.load = load;
    home.heard = true;
    home.heardAt = now;
    home.inFlightThen = home.inFlight;
    home.noServerUntil = {};
}

void HomeRanking::noteNoServer(const std::string &node, SteadyTime now)
{
    homes_[node].noServerUntil = now + tuning_.noServerPause;
}

void HomeRanking::notePathFailure(const std::string &node, SteadyTime now)
{
    Home &home = homes_[node];
    if (now < home.pathBadUntil) {
        return;
    }
    const Millis pause = tuning_.firstPathPause * (1 << std::min(home.pathFailures, mostDoublings));
    home.pathBadUntil = now + std::min(pause, tuning_.longestPathPause);
    ++home.pathFailures;
}

void HomeRanking::notePathGood(const std::string &node)
{
    const auto found = homes_.find(node);
    if (found != homes_.end()) {
        found->second.pathFailures = 0;
        found->second.pathBadUntil = {};
    }
}

bool HomeRanking::isPathBad(const std::string &node, SteadyTime now) const
{
    const auto found = homes_.find(node);
    return found != homes_.end() && now < found->second.pathBadUntil;
}

void HomeRanking::keepOnly(const std::set<std::string> &known)
{
    for (auto it = homes_.begin(); it != homes_.end();) {
        const bool forget = known.count(it->first) == 0 && it->second.inFlight == 0;
        it = forget ? homes_.erase(it) : std::next(it);
    }
}

} // namespace waxwing
