#include "include/route/HomeRanking.h"

#include <algorithm>
#include <cmath>

namespace waxwing {

namespace {

/** In thousandths; above any other loss, so that such a home is asked last but still asked. */
constexpr double noServerLoss = 1500.0;
constexpr double failedPathLoss = 3000.0;
/** Slots assumed of a home of which nothing was heard. */
constexpr int defaultSlots = 3;

double decayWeight(Duration age, Millis halfLife)
{
    return std::exp2(-std::max(0.0, std::chrono::duration<double>(age) / std::chrono::duration<double>(halfLife)));
}

} // namespace

HomeRanking::HomeRanking(Random random, RankingTuning tuning)
    : random_(std::move(random))
    , tuning_(tuning)
{ }

double HomeRanking::roundTripMs(Distance distance) const
{
    switch (distance) {
    case Distance::SameNode:
    case Distance::SameZone:
        return 0.0;
    case Distance::SameRegion:
        return tuning_.zoneRoundTripMs;
    case Distance::OtherRegion:
        break;
    }
    return tuning_.regionRoundTripMs;
}

double HomeRanking::slowdownOf(const RankedHome &candidate, SteadyTime now) const
{
    const auto found = homes_.find(candidate.node);
    if (found == homes_.end() || !found->second.hasLoad) {
        return 1.0;
    }
    return 1.0 + decayWeight(now - found->second.loadAt, tuning_.grayHalfLife) * (found->second.load.slowdown - 1.0);
}

std::optional<HomeRanking::ReportedWait> HomeRanking::reportedWait(const RankedHome &candidate, const HomeQuery &query,
                                                                   SteadyTime now) const
{
    const auto found = homes_.find(candidate.node);
    if (found == homes_.end()) {
        return std::nullopt;
    }
    // What the more urgent wait, the less urgent wait at least.
    const auto faded = [&](const ReportedWait &heard) {
        return decayWeight(now - heard.at, tuning_.loadHalfLife) * heard.millis;
    };
    std::optional<ReportedWait> longest;
    for (const auto &[priority, heard] : found->second.waits) {
        if (priority <= query.priority && (!longest || faded(heard) > faded(*longest))) {
            longest = heard;
        }
    }
    return longest;
}

HomeRanking::Defaults HomeRanking::defaultsFor(const std::vector<RankedHome> &homes, const HomeQuery &query,
                                               SteadyTime now) const
{
    double waits = 0.0;
    double waitWeight = tuning_.priorWeight;
    double doubts = tuning_.priorGrayProbability * tuning_.priorWeight;
    double doubtWeight = tuning_.priorWeight;
    for (const RankedHome &candidate : homes) {
        const auto found = homes_.find(candidate.node);
        if (found == homes_.end() || !found->second.hasLoad) {
            continue;
        }
        const double grayDecay = decayWeight(now - found->second.loadAt, tuning_.grayHalfLife);
        doubts += grayDecay * found->second.load.grayProbability;
        doubtWeight += grayDecay;
        if (const std::optional<ReportedWait> heard = reportedWait(candidate, query, now)) {
            const double waitDecay = decayWeight(now - heard->at, tuning_.meanWaitHalfLife);
            waits += waitDecay * heard->millis;
            waitWeight += waitDecay;
        }
    }
    return Defaults{tuning_.unknownWaitFraction * waits / waitWeight, doubts / doubtWeight};
}

double HomeRanking::expectedWait(const RankedHome &candidate, const HomeQuery &query, const Defaults &defaults,
                                 SteadyTime now) const
{
    if (candidate.distance == Distance::SameNode) {
        // Its own queue is no stranger's: nothing heard means that nobody was refused there.
        const std::optional<ReportedWait> own = reportedWait(candidate, query, now);
        return own ? own->millis * decayWeight(now - own->at, tuning_.loadHalfLife) : 0.0;
    }
    const std::optional<ReportedWait> heard = reportedWait(candidate, query, now);
    if (!heard) {
        return defaults.wait;
    }
    return defaults.wait + decayWeight(now - heard->at, tuning_.loadHalfLife) * (heard->millis - defaults.wait);
}

double HomeRanking::currentGrayProbability(const RankedHome &candidate, const Defaults &defaults, SteadyTime now) const
{
    const auto found = homes_.find(candidate.node);
    if (found == homes_.end() || !found->second.hasLoad) {
        return defaults.grayProbability;
    }
    const double fresh = decayWeight(now - found->second.loadAt, tuning_.grayHalfLife);
    return defaults.grayProbability + fresh * (found->second.load.grayProbability - defaults.grayProbability);
}

double HomeRanking::delayLoss(double waitMs, double tripMs, double slowdown, const HomeQuery &query) const
{
    const double takes = waitMs + tripMs + slowdown * static_cast<double>(query.workTime.count());
    const auto danger = [takes](Millis left, double safe, double certain) {
        const double used = takes / std::max<double>(1.0, static_cast<double>(left.count()));
        return std::clamp((used - safe) / (certain - safe), 0.0, 1.0);
    };
    const double late = danger(query.untilObjective, tuning_.safeFraction, tuning_.lateFraction);
    const double lost = danger(query.untilDeadline, tuning_.safeDeadlineFraction, tuning_.missedFraction);
    return tuning_.late * late + (tuning_.lost - tuning_.late) * lost;
}

bool HomeRanking::isCandidate(const RankedHome &candidate, const HomeQuery &query, const Defaults &defaults,
                              SteadyTime now) const
{
    const auto found = homes_.find(candidate.node);
    if (found == homes_.end()) {
        return true;
    }
    const bool tooLikelyGray =
        !query.retryable && currentGrayProbability(candidate, defaults, now) >= tuning_.certainGrayThreshold;
    return now >= found->second.grayBackoffUntil && !tooLikelyGray;
}

double HomeRanking::distanceLoss(Distance distance, const HomeQuery &query) const
{
    const double large = std::max(0.0, query.responseKilobytes - tuning_.freeKilobytes);
    switch (distance) {
    case Distance::SameNode:
    case Distance::SameZone:
        return 0.0;
    case Distance::SameRegion:
        return tuning_.otherZoneLoss + std::min(tuning_.maxBytesLoss, large * tuning_.otherZoneLossPerKilobyte);
    case Distance::OtherRegion:
        break;
    }
    return tuning_.otherRegionLoss + std::min(tuning_.maxBytesLoss, large * tuning_.otherRegionLossPerKilobyte);
}

bool HomeRanking::isStale(const RankedHome &candidate, const Defaults &defaults, SteadyTime now) const
{
    const auto found = homes_.find(candidate.node);
    const bool recent =
        found != homes_.end() && found->second.hasLoad && now - found->second.loadAt < tuning_.staleAfter;
    return !recent && currentGrayProbability(candidate, defaults, now) < tuning_.acceptGrayThreshold;
}

double HomeRanking::lossWithoutWait(const RankedHome &candidate, const HomeQuery &query, const Defaults &defaults,
                                    SteadyTime now) const
{
    double loss = distanceLoss(candidate.distance, query);
    const auto found = homes_.find(candidate.node);
    // Repeatable work finds out about homes not heard of lately: a server that joins, or of which nobody happened to
    // hear, would get nothing as long as the others are known to be good and have room.
    const bool explores = query.retryable && isStale(candidate, defaults, now);
    if (!explores) {
        loss += currentGrayProbability(candidate, defaults, now)
                * (query.retryable ? tuning_.grayLossRetryable : tuning_.grayLossNotRetryable);
    }
    if (found == homes_.end()) {
        return loss;
    }
    const Home &home = found->second;
    loss += now < home.noServerUntil ? noServerLoss : 0.0;
    loss += home.pathFailed ? failedPathLoss : 0.0;
    if (!home.hasLoad) {
        return loss + home.inFlight * tuning_.fullServerLoss / defaultSlots;
    }
    loss += tuning_.shedRate * decayWeight(now - home.loadAt, tuning_.grayHalfLife) * home.load.shedRate;
    // What this node sent since the news is not in them.
    const std::int32_t since = std::max(0, home.inFlight - home.inFlightAtLoad);
    const double busy =
        decayWeight(now - home.loadAt, tuning_.loadHalfLife) * std::max(0, home.load.slots - home.load.freeSlots);
    return loss + (since + busy) / std::max(1, home.load.slots) * tuning_.fullServerLoss;
}

Millis HomeRanking::queueTimeoutFor(const RankedHome &home, const HomeQuery &query, const Defaults &defaults,
                                    double loss, SteadyTime now) const
{
    const double allowed = loss - lossWithoutWait(home, query, defaults, now);
    const double trip = roundTripMs(home.distance);
    const double slowdown = slowdownOf(home, now);
    // The loss grows with the wait: the longest one allowed is found by bisection, to a few milliseconds.
    constexpr int halvings = 12;
    double longest = 0.0;
    double tooLong = std::max<double>(0.0, static_cast<double>(query.untilDeadline.count()));
    for (int i = 0; i < halvings; ++i) {
        const double middle = (longest + tooLong) / 2;
        (delayLoss(middle, trip, slowdown, query) <= allowed ? longest : tooLong) = middle;
    }
    return Millis(static_cast<std::int64_t>(longest));
}

HomeChoice HomeRanking::choose(const std::vector<RankedHome> &homes, const std::set<std::string> &tried,
                               const HomeQuery &query, SteadyTime now) const
{
    HomeChoice choice;
    const Defaults defaults = defaultsFor(homes, query, now);
    const RankedHome *best = nullptr;
    double next = -1.0;
    // Starting at a random place spreads equal losses over all homes.
    const std::size_t start = homes.empty() ? 0 : random_() % homes.size();
    for (std::size_t i = 0; i < homes.size(); ++i) {
        const RankedHome &home = homes[(start + i) % homes.size()];
        if (tried.count(home.node) != 0 || !isCandidate(home, query, defaults, now)) {
            continue;
        }
        const double loss = lossWithoutWait(home, query, defaults, now)
                            + delayLoss(expectedWait(home, query, defaults, now), roundTripMs(home.distance),
                                        slowdownOf(home, now), query);
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
    const double wait = expectedWait(*best, query, defaults, now);
    choice.wait = Millis(static_cast<std::int64_t>(wait));
    choice.missesDeadline =
        wait > 0.0 && delayLoss(wait, roundTripMs(best->distance), slowdownOf(*best, now), query) >= tuning_.lost;
    choice.acceptsGray = currentGrayProbability(*best, defaults, now) >= tuning_.acceptGrayThreshold;
    const double fixed = lossWithoutWait(*best, query, defaults, now);
    double leaveAt = next + tuning_.moveLoss;
    if (next < 0.0) {
        // Without another home, what speaks against this one is no reason not to wait there.
        leaveAt = fixed + tuning_.lost;
    } else if (query.mustQueue) {
        leaveAt = std::max(leaveAt, fixed + tuning_.late);
    }
    choice.queueTimeout = queueTimeoutFor(*best, query, defaults, leaveAt, now);
    const auto found = homes_.find(choice.node);
    if (found != homes_.end() && found->second.hasLoad) {
        choice.loadAge = std::chrono::duration_cast<Millis>(now - found->second.loadAt);
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
    home.inFlightAtLoad = std::min(home.inFlightAtLoad, home.inFlight);
}

void HomeRanking::noteLoad(const std::string &node, const HomeLoad &load, int priority, SteadyTime now)
{
    Home &home = homes_[node];
    home.waits[priority] = ReportedWait{static_cast<double>(load.wait.count()), now};
    home.load = load;
    home.hasLoad = true;
    home.loadAt = now;
    home.inFlightAtLoad = home.inFlight;
    home.noServerUntil = {};
}

void HomeRanking::noteNoServer(const std::string &node, SteadyTime now)
{
    homes_[node].noServerUntil = now + tuning_.noServerBackoff;
}

void HomeRanking::noteLikelyGray(const RankedHome &home, SteadyTime now)
{
    Millis pause = tuning_.grayBackoffFar;
    if (home.distance == Distance::SameNode) {
        pause = Millis(0);
    } else if (home.distance == Distance::SameZone) {
        pause = tuning_.grayBackoffZone;
    } else if (home.distance == Distance::SameRegion) {
        pause = tuning_.grayBackoffRegion;
    }
    homes_[home.node].grayBackoffUntil = now + pause;
}

void HomeRanking::notePathFailure(const std::string &node)
{
    homes_[node].pathFailed = true;
}

void HomeRanking::notePathRecovered(const std::string &node)
{
    const auto found = homes_.find(node);
    if (found != homes_.end()) {
        found->second.pathFailed = false;
    }
}

bool HomeRanking::isPathFailed(const std::string &node) const
{
    const auto found = homes_.find(node);
    return found != homes_.end() && found->second.pathFailed;
}

void HomeRanking::keepOnly(const std::set<std::string> &known)
{
    for (auto it = homes_.begin(); it != homes_.end();) {
        const bool forget = known.count(it->first) == 0 && it->second.inFlight == 0;
        it = forget ? homes_.erase(it) : std::next(it);
    }
}

} // namespace waxwing
