#include "include/route/HomeRanking.h"

#include <algorithm>
#include <cmath>

namespace waxwing {

namespace {

/** In thousandths; above any other loss, so that such a home is asked last but still asked. */
constexpr double noServerLoss = 1500.0;
constexpr double badPathLoss = 3000.0;
constexpr int mostDoublings = 4;
/** Slots assumed of a home when its load is news; only differences between homes count. */
constexpr int usualSlots = 3;

double freshness(Duration age, Millis halfLife)
{
    return std::exp2(-std::max(0.0, std::chrono::duration<double>(age) / std::chrono::duration<double>(halfLife)));
}

} // namespace

HomeRanking::HomeRanking(Random random, RankingTuning tuning)
    : random_(std::move(random))
    , tuning_(tuning)
{ }

double HomeRanking::tripOf(Distance distance) const
{
    switch (distance) {
    case Distance::SameNode:
    case Distance::SameZone:
        return 0.0;
    case Distance::SameRegion:
        return tuning_.zoneTrip;
    case Distance::OtherRegion:
        break;
    }
    return tuning_.regionTrip;
}

double HomeRanking::slowdownOf(const RankedHome &candidate, SteadyTime now) const
{
    const auto found = homes_.find(candidate.node);
    if (found == homes_.end() || !found->second.heard) {
        return 1.0;
    }
    return 1.0 + freshness(now - found->second.heardAt, tuning_.doubtHalfLife) * (found->second.load.slowdown - 1.0);
}

double HomeRanking::expectedWait(const RankedHome &candidate, const HomeNeed &need, SteadyTime now) const
{
    const auto found = homes_.find(candidate.node);
    if (found == homes_.end()) {
        return 0.0;
    }
    // What the more urgent wait, the less urgent wait at least.
    double wait = 0.0;
    for (const auto &[priority, heard] : found->second.waits) {
        if (priority <= need.priority) {
            wait = std::max(wait, freshness(now - heard.at, tuning_.loadHalfLife) * heard.millis);
        }
    }
    return wait;
}

double HomeRanking::currentDoubt(const RankedHome &candidate, SteadyTime now) const
{
    const auto found = homes_.find(candidate.node);
    if (found == homes_.end() || !found->second.heard) {
        return tuning_.usualDoubt;
    }
    const double fresh = freshness(now - found->second.heardAt, tuning_.doubtHalfLife);
    return tuning_.usualDoubt + fresh * (found->second.load.doubt - tuning_.usualDoubt);
}

double HomeRanking::lateLoss(double waitMs, double tripMs, double slowdown, const HomeNeed &need) const
{
    const double timeLeft = std::max<double>(1.0, static_cast<double>(need.timeLeft.count()));
    const double used = (waitMs + tripMs + slowdown * static_cast<double>(need.work.count())) / timeLeft;
    const double danger = (used - tuning_.safePart) / (tuning_.latePart - tuning_.safePart);
    return tuning_.late * std::clamp(danger, 0.0, 1.0);
}

double HomeRanking::fixedLoss(const RankedHome &candidate, const HomeNeed &need, SteadyTime now) const
{
    double loss = 0.0;
    if (candidate.distance == Distance::SameRegion) {
        loss += tuning_.otherZone;
    } else if (candidate.distance == Distance::OtherRegion) {
        loss += tuning_.otherRegion;
    }
    loss += currentDoubt(candidate, now) * (need.idempotent ? tuning_.doubtIdempotent : tuning_.doubtOther);
    const auto found = homes_.find(candidate.node);
    if (found == homes_.end()) {
        return loss;
    }
    const Home &home = found->second;
    loss += now < home.noServerUntil ? noServerLoss : 0.0;
    loss += now < home.pathBadUntil ? badPathLoss : 0.0;
    if (!home.heard) {
        return loss + home.inFlight * tuning_.busySlot;
    }
    // What this node sent since the news is not in them.
    const std::int32_t since = std::max(0, home.inFlight - home.inFlightThen);
    const double busy =
        freshness(now - home.heardAt, tuning_.loadHalfLife) * std::max(0, usualSlots - home.load.freeSlots);
    return loss + (since + busy) * tuning_.busySlot;
}

Millis HomeRanking::patienceFor(const RankedHome &home, const HomeNeed &need, double loss, SteadyTime now) const
{
    const double fixed = fixedLoss(home, need, now);
    const double trip = tripOf(home.distance);
    const double slowdown = slowdownOf(home, now);
    const double allowed = loss - fixed;
    // Solves lateLoss(wait) = allowed; the part of the time in no danger is free.
    const double part =
        tuning_.safePart + std::max(0.0, allowed) / tuning_.late * (tuning_.latePart - tuning_.safePart);
    const double wait =
        part * static_cast<double>(need.timeLeft.count()) - trip - slowdown * static_cast<double>(need.work.count());
    return Millis(static_cast<std::int64_t>(std::max(0.0, wait)));
}

HomeChoice HomeRanking::choose(const std::vector<RankedHome> &homes, const std::set<std::string> &tried,
                               const HomeNeed &need, SteadyTime now) const
{
    HomeChoice choice;
    const RankedHome *best = nullptr;
    double next = -1.0;
    // Starting at a random place spreads equal losses over all homes.
    const std::size_t start = homes.empty() ? 0 : random_() % homes.size();
    for (std::size_t i = 0; i < homes.size(); ++i) {
        const RankedHome &home = homes[(start + i) % homes.size()];
        if (tried.count(home.node) != 0) {
            continue;
        }
        const double loss =
            fixedLoss(home, need, now)
            + lateLoss(expectedWait(home, need, now), tripOf(home.distance), slowdownOf(home, now), need);
        if (best == nullptr || loss < choice.loss) {
            next = best != nullptr ? choice.loss : next;
            best = &home;
            choice.loss = loss;
        } else if (next < 0.0 || loss < next) {
            next = loss;
        }
    }
    if (best == nullptr) {
        return choice;
    }
    choice.node = best->node;
    const double wait = expectedWait(*best, need, now);
    choice.wait = Millis(static_cast<std::int64_t>(wait));
    choice.hopeless =
        wait > 0.0 && lateLoss(wait, tripOf(best->distance), slowdownOf(*best, now), need) >= tuning_.late;
    choice.acceptsDoubt = currentDoubt(*best, now) >= tuning_.knownDoubt;
    choice.patience = patienceFor(*best, need, next < 0.0 ? tuning_.late : next, now);
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

void HomeRanking::noteLoad(const std::string &node, const HomeLoad &load, int priority, SteadyTime now)
{
    Home &home = homes_[node];
    home.waits[priority] = HeardWait{static_cast<double>(load.wait.count()), now};
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
