#include "include/route/HomeRanking.h"

#include <algorithm>
#include <cmath>

namespace waxwing {

namespace {

/** In thousandths; above any other loss, so that such a home is asked last but still asked. */
constexpr double noServerLoss = 1500.0;
constexpr double badPathLoss = 3000.0;
/** Slots assumed of a home of which nothing was heard. */
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

std::optional<HomeRanking::HeardWait> HomeRanking::heardWait(const RankedHome &candidate, const HomeNeed &need,
                                                             SteadyTime now) const
{
    const auto found = homes_.find(candidate.node);
    if (found == homes_.end()) {
        return std::nullopt;
    }
    // What the more urgent wait, the less urgent wait at least.
    const auto faded = [&](const HeardWait &heard) {
        return freshness(now - heard.at, tuning_.loadHalfLife) * heard.millis;
    };
    std::optional<HeardWait> longest;
    for (const auto &[priority, heard] : found->second.waits) {
        if (priority <= need.priority && (!longest || faded(heard) > faded(*longest))) {
            longest = heard;
        }
    }
    return longest;
}

HomeRanking::Usual HomeRanking::usualOf(const std::vector<RankedHome> &homes, const HomeNeed &need,
                                        SteadyTime now) const
{
    double waits = 0.0;
    double waitWeight = tuning_.priorWeight;
    double doubts = tuning_.usualDoubt * tuning_.priorWeight;
    double doubtWeight = tuning_.priorWeight;
    for (const RankedHome &candidate : homes) {
        const auto found = homes_.find(candidate.node);
        if (found == homes_.end() || !found->second.heard) {
            continue;
        }
        const double doubtFresh = freshness(now - found->second.heardAt, tuning_.doubtHalfLife);
        doubts += doubtFresh * found->second.load.doubt;
        doubtWeight += doubtFresh;
        if (const std::optional<HeardWait> heard = heardWait(candidate, need, now)) {
            const double waitFresh = freshness(now - heard->at, tuning_.meanWaitHalfLife);
            waits += waitFresh * heard->millis;
            waitWeight += waitFresh;
        }
    }
    return Usual{tuning_.unheardWait * waits / waitWeight, doubts / doubtWeight};
}

double HomeRanking::expectedWait(const RankedHome &candidate, const HomeNeed &need, const Usual &usual,
                                 SteadyTime now) const
{
    if (candidate.distance == Distance::SameNode) {
        // Its own queue is no stranger's: nothing heard means that nobody was refused there.
        const std::optional<HeardWait> own = heardWait(candidate, need, now);
        return own ? own->millis * freshness(now - own->at, tuning_.loadHalfLife) : 0.0;
    }
    const std::optional<HeardWait> heard = heardWait(candidate, need, now);
    if (!heard) {
        return usual.wait;
    }
    return usual.wait + freshness(now - heard->at, tuning_.loadHalfLife) * (heard->millis - usual.wait);
}

double HomeRanking::currentDoubt(const RankedHome &candidate, const Usual &usual, SteadyTime now) const
{
    const auto found = homes_.find(candidate.node);
    if (found == homes_.end() || !found->second.heard) {
        return usual.doubt;
    }
    const double fresh = freshness(now - found->second.heardAt, tuning_.doubtHalfLife);
    return usual.doubt + fresh * (found->second.load.doubt - usual.doubt);
}

double HomeRanking::lateLoss(double waitMs, double tripMs, double slowdown, const HomeNeed &need) const
{
    const double takes = waitMs + tripMs + slowdown * static_cast<double>(need.work.count());
    const auto danger = [takes](Millis left, double safe, double certain) {
        const double used = takes / std::max<double>(1.0, static_cast<double>(left.count()));
        return std::clamp((used - safe) / (certain - safe), 0.0, 1.0);
    };
    const double late = danger(need.untilObjective, tuning_.safePart, tuning_.latePart);
    const double lost = danger(need.untilDeadline, tuning_.safeDeadlinePart, tuning_.lostPart);
    return tuning_.late * late + (tuning_.lost - tuning_.late) * lost;
}

bool HomeRanking::isCandidate(const RankedHome &candidate, const HomeNeed &need, const Usual &usual,
                              SteadyTime now) const
{
    const auto found = homes_.find(candidate.node);
    if (found == homes_.end()) {
        return true;
    }
    const bool hopeless = !need.repeatable && currentDoubt(candidate, usual, now) >= tuning_.hopelessDoubt;
    return now >= found->second.doubtfulUntil && !hopeless;
}

double HomeRanking::distanceLoss(Distance distance, const HomeNeed &need) const
{
    const double large = std::max(0.0, need.answerKilobytes - tuning_.smallKilobytes);
    switch (distance) {
    case Distance::SameNode:
    case Distance::SameZone:
        return 0.0;
    case Distance::SameRegion:
        return tuning_.otherZone + std::min(tuning_.mostForBytes, large * tuning_.otherZonePerKilobyte);
    case Distance::OtherRegion:
        break;
    }
    return tuning_.otherRegion + std::min(tuning_.mostForBytes, large * tuning_.otherRegionPerKilobyte);
}

bool HomeRanking::isForgotten(const RankedHome &candidate, const Usual &usual, SteadyTime now) const
{
    const auto found = homes_.find(candidate.node);
    const bool recent =
        found != homes_.end() && found->second.heard && now - found->second.heardAt < tuning_.forgottenAfter;
    return !recent && currentDoubt(candidate, usual, now) < tuning_.knownDoubt;
}

double HomeRanking::fixedLoss(const RankedHome &candidate, const HomeNeed &need, const Usual &usual,
                              SteadyTime now) const
{
    double loss = distanceLoss(candidate.distance, need);
    const auto found = homes_.find(candidate.node);
    // Repeatable work finds out about homes not heard of lately: a server that joins, or of which nobody happened to
    // hear, would get nothing as long as the others are known to be good and have room.
    const bool findsOut = need.repeatable && isForgotten(candidate, usual, now);
    if (!findsOut) {
        loss += currentDoubt(candidate, usual, now) * (need.repeatable ? tuning_.doubtRepeatable : tuning_.doubtOther);
    }
    if (found == homes_.end()) {
        return loss;
    }
    const Home &home = found->second;
    loss += now < home.noServerUntil ? noServerLoss : 0.0;
    loss += home.pathBad ? badPathLoss : 0.0;
    if (!home.heard) {
        return loss + home.inFlight * tuning_.fullServer / usualSlots;
    }
    loss += tuning_.shedding * freshness(now - home.heardAt, tuning_.doubtHalfLife) * home.load.shedding;
    // What this node sent since the news is not in them.
    const std::int32_t since = std::max(0, home.inFlight - home.inFlightThen);
    const double busy =
        freshness(now - home.heardAt, tuning_.loadHalfLife) * std::max(0, home.load.slots - home.load.freeSlots);
    return loss + (since + busy) / std::max(1, home.load.slots) * tuning_.fullServer;
}

Millis HomeRanking::patienceFor(const RankedHome &home, const HomeNeed &need, const Usual &usual, double loss,
                                SteadyTime now) const
{
    const double allowed = loss - fixedLoss(home, need, usual, now);
    const double trip = tripOf(home.distance);
    const double slowdown = slowdownOf(home, now);
    // The loss grows with the wait: the longest one allowed is found by bisection, to a few milliseconds.
    constexpr int halvings = 12;
    double longest = 0.0;
    double tooLong = std::max<double>(0.0, static_cast<double>(need.untilDeadline.count()));
    for (int i = 0; i < halvings; ++i) {
        const double middle = (longest + tooLong) / 2;
        (lateLoss(middle, trip, slowdown, need) <= allowed ? longest : tooLong) = middle;
    }
    return Millis(static_cast<std::int64_t>(longest));
}

HomeChoice HomeRanking::choose(const std::vector<RankedHome> &homes, const std::set<std::string> &tried,
                               const HomeNeed &need, SteadyTime now) const
{
    HomeChoice choice;
    const Usual usual = usualOf(homes, need, now);
    const RankedHome *best = nullptr;
    double next = -1.0;
    // Starting at a random place spreads equal losses over all homes.
    const std::size_t start = homes.empty() ? 0 : random_() % homes.size();
    for (std::size_t i = 0; i < homes.size(); ++i) {
        const RankedHome &home = homes[(start + i) % homes.size()];
        if (tried.count(home.node) != 0 || !isCandidate(home, need, usual, now)) {
            continue;
        }
        const double loss =
            fixedLoss(home, need, usual, now)
            + lateLoss(expectedWait(home, need, usual, now), tripOf(home.distance), slowdownOf(home, now), need);
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
    choice.distance = best->distance;
    const double wait = expectedWait(*best, need, usual, now);
    choice.wait = Millis(static_cast<std::int64_t>(wait));
    choice.hopeless =
        wait > 0.0 && lateLoss(wait, tripOf(best->distance), slowdownOf(*best, now), need) >= tuning_.lost;
    choice.acceptsDoubt = currentDoubt(*best, usual, now) >= tuning_.knownDoubt;
    const double fixed = fixedLoss(*best, need, usual, now);
    double leaveAt = next + tuning_.move;
    if (next < 0.0) {
        // Without another home, what speaks against this one is no reason not to wait there.
        leaveAt = fixed + tuning_.lost;
    } else if (need.settles) {
        leaveAt = std::max(leaveAt, fixed + tuning_.late);
    }
    choice.patience = patienceFor(*best, need, usual, leaveAt, now);
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

void HomeRanking::noteDoubtful(const RankedHome &home, SteadyTime now)
{
    Millis pause = tuning_.doubtPauseFar;
    if (home.distance == Distance::SameNode) {
        pause = Millis(0);
    } else if (home.distance == Distance::SameZone) {
        pause = tuning_.doubtPauseZone;
    } else if (home.distance == Distance::SameRegion) {
        pause = tuning_.doubtPauseRegion;
    }
    homes_[home.node].doubtfulUntil = now + pause;
}

void HomeRanking::notePathFailure(const std::string &node)
{
    homes_[node].pathBad = true;
}

void HomeRanking::notePathGood(const std::string &node)
{
    const auto found = homes_.find(node);
    if (found != homes_.end()) {
        found->second.pathBad = false;
    }
}

bool HomeRanking::isPathBad(const std::string &node) const
{
    const auto found = homes_.find(node);
    return found != homes_.end() && found->second.pathBad;
}

void HomeRanking::keepOnly(const std::set<std::string> &known)
{
    for (auto it = homes_.begin(); it != homes_.end();) {
        const bool forget = known.count(it->first) == 0 && it->second.inFlight == 0;
        it = forget ? homes_.erase(it) : std::next(it);
    }
}

} // namespace waxwing
