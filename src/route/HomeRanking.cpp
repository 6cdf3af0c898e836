#include "include/route/HomeRanking.h"

#include <algorithm>
#include <cmath>

namespace waxwing {

namespace {

/** In thousandths. Above any other single loss, so that such a home is tried last, but is still tried. */
constexpr double noServerLoss = 1500.0;
constexpr double failedPathLoss = 3000.0;
/** Slots assumed of a home without a load report. */
constexpr int defaultSlots = 3;

double decayWeight(Duration age, Millis halfLife)
{
    return std::exp2(-std::max(0.0, std::chrono::duration<double>(age) / std::chrono::duration<double>(halfLife)));
}

} // namespace

double distanceLoss(const RankingTuning &tuning, Distance distance, double responseKilobytes)
{
    const double large = std::max(0.0, responseKilobytes - tuning.freeKilobytes);
    switch (distance) {
    case Distance::SameNode:
    case Distance::SameZone:
        return 0.0;
    case Distance::SameRegion:
        return tuning.otherZoneLoss + std::min(tuning.maxBytesLoss, large * tuning.otherZoneLossPerKilobyte);
    case Distance::OtherRegion:
        break;
    }
    return tuning.otherRegionLoss + std::min(tuning.maxBytesLoss, large * tuning.otherRegionLossPerKilobyte);
}

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
    // A less urgent request waits at least as long as a more urgent one.
    const auto decayed = [&](const ReportedWait &report) {
        return decayWeight(now - report.at, tuning_.loadHalfLife) * report.millis;
    };
    std::optional<ReportedWait> longest;
    for (const auto &[priority, report] : found->second.waits) {
        if (priority <= query.priority && (!longest || decayed(report) > decayed(*longest))) {
            longest = report;
        }
    }
    return longest;
}

HomeRanking::Defaults HomeRanking::defaultsFor(const std::vector<RankedHome> &homes, const HomeQuery &query,
                                               SteadyTime now) const
{
    double waitSum = 0.0;
    double waitWeight = tuning_.priorWeight;
    double graySum = tuning_.priorGrayProbability * tuning_.priorWeight;
    double grayWeight = tuning_.priorWeight;
    for (const RankedHome &candidate : homes) {
        const auto found = homes_.find(candidate.node);
        if (found == homes_.end() || !found->second.hasLoad) {
            continue;
        }
        const double grayDecay = decayWeight(now - found->second.loadAt, tuning_.grayHalfLife);
        graySum += grayDecay * found->second.load.grayProbability;
        grayWeight += grayDecay;
        if (const std::optional<ReportedWait> report = reportedWait(candidate, query, now)) {
            const double waitDecay = decayWeight(now - report->at, tuning_.meanWaitHalfLife);
            waitSum += waitDecay * report->millis;
            waitWeight += waitDecay;
        }
    }
    return Defaults{tuning_.unknownWaitFraction * waitSum / waitWeight, graySum / grayWeight};
}

double HomeRanking::expectedWait(const RankedHome &candidate, const HomeQuery &query, const Defaults &defaults,
                                 SteadyTime now) const
{
    if (candidate.distance == Distance::SameNode) {
        // No report about this node's own queue means that no request was refused there: the expected wait is zero.
        const std::optional<ReportedWait> own = reportedWait(candidate, query, now);
        return own ? own->millis * decayWeight(now - own->at, tuning_.loadHalfLife) : 0.0;
    }
    const std::optional<ReportedWait> report = reportedWait(candidate, query, now);
    if (!report) {
        return defaults.wait;
    }
    return defaults.wait + decayWeight(now - report->at, tuning_.loadHalfLife) * (report->millis - defaults.wait);
}

double HomeRanking::currentGrayProbability(const RankedHome &candidate, const Defaults &defaults, SteadyTime now) const
{
    const auto found = homes_.find(candidate.node);
    if (found == homes_.end() || !found->second.hasLoad) {
        return defaults.grayProbability;
    }
    const double weight = decayWeight(now - found->second.loadAt, tuning_.grayHalfLife);
    return defaults.grayProbability + weight * (found->second.load.grayProbability - defaults.grayProbability);
}

double HomeRanking::delayLoss(double waitMs, double roundTrip, double slowdown, const HomeQuery &query) const
{
    const double duration = waitMs + roundTrip + slowdown * static_cast<double>(query.workTime.count());
    const auto risk = [duration](Millis left, double safe, double certain) {
        const double used = duration / std::max<double>(1.0, static_cast<double>(left.count()));
        return std::clamp((used - safe) / (certain - safe), 0.0, 1.0);
    };
    const double lateRisk = risk(query.untilObjective, tuning_.safeFraction, tuning_.lateFraction);
    const double missRisk = risk(query.untilDeadline, tuning_.safeDeadlineFraction, tuning_.missedFraction);
    return tuning_.lateLoss * lateRisk + (tuning_.missedLoss - tuning_.lateLoss) * missRisk;
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
    double loss = distanceLoss(tuning_, candidate.distance, query.responseKilobytes);
    const auto found = homes_.find(candidate.node);
    // Retryable work explores homes without a recent report. Otherwise a server that joins, or one without a report by
    // chance, would get no work as long as the other servers are known to be healthy and have free slots.
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
    loss += home.pathFailedAt ? failedPathLoss : 0.0;
    if (!home.hasLoad) {
        return loss + home.inFlight * tuning_.fullServerLoss / defaultSlots;
    }
    loss += tuning_.shedLoss * decayWeight(now - home.loadAt, tuning_.grayHalfLife) * home.load.shedRate;
    // Requests that this node sent since the report are not included in it.
    const std::int32_t sentSince = std::max(0, home.inFlight - home.inFlightAtLoad);
    const double busy =
        decayWeight(now - home.loadAt, tuning_.loadHalfLife) * std::max(0, home.load.slots - home.load.freeSlots);
    return loss + (sentSince + busy) / std::max(1, home.load.slots) * tuning_.fullServerLoss;
}

Millis HomeRanking::queueTimeoutFor(const RankedHome &home, const HomeQuery &query, const Defaults &defaults,
                                    double loss, SteadyTime now) const
{
    const double allowed = loss - lossWithoutWait(home, query, defaults, now);
    const double roundTrip = roundTripMs(home.distance);
    const double slowdown = slowdownOf(home, now);
    // The loss grows with the wait, so bisection finds the longest allowed wait to within a few milliseconds.
    constexpr int iterations = 12;
    double longest = 0.0;
    double tooLong = std::max<double>(0.0, static_cast<double>(query.untilDeadline.count()));
    for (int i = 0; i < iterations; ++i) {
        const double middle = (longest + tooLong) / 2;
        (delayLoss(middle, roundTrip, slowdown, query) <= allowed ? longest : tooLong) = middle;
    }
    return Millis(static_cast<std::int64_t>(longest));
}

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

HomeChoice HomeRanking::choose(const std::vector<RankedHome> &homes, const std::set<std::string> &tried,
                               const HomeQuery &query, SteadyTime now)
{
    const Defaults defaults = defaultsFor(homes, query, now);
    const bool isShort = isShortOfHomes(homes, defaults, now);
    const RankedHome *chosen = nullptr;
    if (isShort && query.ownHomeIdle) {
        const auto own = std::find_if(homes.begin(), homes.end(), [&](const RankedHome &home) {
            return home.distance == Distance::SameNode && tried.count(home.node) == 0;
        });
        chosen = own != homes.end() ? &*own : nullptr;
    }
    // Beside a home that can serve the request, a gray one costs it a second try, and the server a slot while it hangs.
    const bool hasBetter = isShort && knowsOtherHome(homes, tried, {}, defaults, now);
    if (chosen == nullptr && isShort && query.retryable && (tried.empty() || !hasBetter)) {
        chosen = homeToExplore(homes, tried, defaults, now);
    }
    if (chosen == nullptr) {
        return leastLoss(homes, tried, query, defaults, isShort, now);
    }
    // The request does not wait there, and is refused unless the home admits it as healthy or as a probe.
    HomeChoice choice;
    choice.node = chosen->node;
    choice.distance = chosen->distance;
    choice.loss = lossWithoutWait(*chosen, query, defaults, now);
    choice.acceptsGray = chosen->distance == Distance::SameNode || !hasBetter;
    return choice;
}

HomeChoice HomeRanking::leastLoss(const std::vector<RankedHome> &homes, const std::set<std::string> &tried,
                                  const HomeQuery &query, const Defaults &defaults, bool isShort, SteadyTime now) const
{
    HomeChoice choice;
    const RankedHome *best = nullptr;
    double nextLoss = -1.0;
    // Starting at a random index spreads requests over homes of equal loss.
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
            nextLoss = best != nullptr ? choice.loss : nextLoss;
            best = &home;
            choice.loss = loss;
        } else if (nextLoss < 0.0 || loss < nextLoss) {
            nextLoss = loss;
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
        wait > 0.0 && delayLoss(wait, roundTripMs(best->distance), slowdownOf(*best, now), query) >= tuning_.missedLoss;
    choice.acceptsGray = currentGrayProbability(*best, defaults, now) >= tuning_.acceptGrayThreshold
                         || (isShort && !knowsOtherHome(homes, tried, best->node, defaults, now));
    const double baseLoss = lossWithoutWait(*best, query, defaults, now);
    double maxLoss = nextLoss + tuning_.moveLoss;
    if (nextLoss < 0.0) {
        // Without another home the request may wait until its deadline, whatever the other losses at this home are.
        maxLoss = baseLoss + tuning_.missedLoss;
    } else if (query.mustQueue) {
        maxLoss = std::max(maxLoss, baseLoss + tuning_.lateLoss);
    }
    choice.queueTimeout = queueTimeoutFor(*best, query, defaults, maxLoss, now);
    const auto found = homes_.find(choice.node);
    if (found != homes_.end() && found->second.hasLoad) {
        choice.loadAge = millisOf(now - found->second.loadAt);
    }
    return choice;
}

std::vector<HomeStatus> HomeRanking::statusOf(const std::vector<RankedHome> &homes, const HomeQuery &query,
                                              SteadyTime now) const
{
    const Defaults defaults = defaultsFor(homes, query, now);
    std::vector<HomeStatus> all;
    all.reserve(homes.size());
    for (const RankedHome &home : homes) {
        all.push_back(statusOf(home, query, defaults, now));
    }
    return all;
}

HomeStatus HomeRanking::statusOf(const RankedHome &home, const HomeQuery &query, const Defaults &defaults,
                                 SteadyTime now) const
{
    HomeStatus status;
    status.wait = Millis(static_cast<std::int64_t>(expectedWait(home, query, defaults, now)));
    const auto found = homes_.find(home.node);
    if (found == homes_.end()) {
        return status;
    }
    const Home &known = found->second;
    status.hasServer = now >= known.noServerUntil;
    status.pathFailed = known.pathFailedAt.has_value();
    status.sentSince = std::max(0, known.inFlight - known.inFlightAtLoad);
    status.likelyGray =
        now < known.grayBackoffUntil || currentGrayProbability(home, defaults, now) >= tuning_.acceptGrayThreshold;
    if (known.hasLoad) {
        status.load = known.load;
        status.loadAt = known.loadAt;
    }
    return status;
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
    home.heardAt = now;
    home.consideredAt = now;
    home.lacksServer = false;
    if (load.grayProbability < tuning_.acceptGrayThreshold) {
        home.grayBackoffUntil = {};
    }
}

void HomeRanking::noteNoServer(const std::string &node, SteadyTime now)
{
    Home &home = homes_[node];
    home.noServerUntil = now + tuning_.noServerBackoff;
    home.lacksServer = true;
}

void HomeRanking::noteLikelyGray(const RankedHome &home, SteadyTime now)
{
    Millis backoff = tuning_.grayBackoffFar;
    if (home.distance == Distance::SameNode) {
        backoff = Millis(0);
    } else if (home.distance == Distance::SameZone) {
        backoff = tuning_.grayBackoffZone;
    } else if (home.distance == Distance::SameRegion) {
        backoff = tuning_.grayBackoffRegion;
    }
    homes_[home.node].grayBackoffUntil = now + backoff;
    homes_[home.node].lacksServer = true;
}

void HomeRanking::notePathFailure(const std::string &node, SteadyTime now)
{
    homes_[node].pathFailedAt = now;
}

void HomeRanking::notePathStillFailed(const std::string &node, SteadyTime now)
{
    const auto found = homes_.find(node);
    if (found != homes_.end() && found->second.pathFailedAt) {
        found->second.pathFailedAt = now;
    }
}

void HomeRanking::notePathRecovered(const std::string &node)
{
    const auto found = homes_.find(node);
    if (found != homes_.end()) {
        found->second.pathFailedAt.reset();
    }
}

bool HomeRanking::isPathFailed(const std::string &node) const
{
    const auto found = homes_.find(node);
    return found != homes_.end() && found->second.pathFailedAt;
}

void HomeRanking::keepOnly(const std::set<std::string> &known)
{
    knownNodes_ = known.size();
    for (auto it = homes_.begin(); it != homes_.end();) {
        Home &home = it->second;
        if (known.count(it->first) != 0) {
            ++it;
        } else if (home.inFlight == 0) {
            it = homes_.erase(it);
        } else {
            // The node may return while the request is in flight, as another process and perhaps by a sound path.
            const std::int32_t inFlight = home.inFlight;
            home = Home{};
            home.inFlight = inFlight;
            ++it;
        }
    }
}

} // namespace waxwing
