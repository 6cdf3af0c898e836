#include "include/route/HomeRanking.h"

#include <algorithm>
#include <limits>

namespace waxwing {

namespace {
/** Stands for a home that a request must not be sent to. */
constexpr double excludedLoss = std::numeric_limits<double>::infinity();
constexpr int mostUrgentPriority = 0;
} // namespace

HomeRanking::HomeRanking(Random random, RankingTuning tuning)
    : random_(std::move(random))
    , tuning_(tuning)
{ }

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

double HomeRanking::totalLoss(const RankedHome &home, const HomeQuery &query, const Defaults &defaults,
                              SteadyTime now) const
{
    const double delay =
        delayLoss(expectedWait(home, query, defaults, now), roundTripMs(home.distance), slowdownOf(home, now), query);
    return lossWithoutWait(home, query, defaults, now) + delay;
}

const RankedHome *HomeRanking::pickHome(const std::vector<RankedHome> &homes, const std::vector<double> &losses) const
{
    double least = excludedLoss;
    for (const double loss : losses) {
        least = std::min(least, loss);
    }
    if (least == excludedLoss) {
        return nullptr;
    }
    std::vector<std::size_t> equal;
    for (std::size_t i = 0; i < losses.size(); ++i) {
        if (losses[i] <= least + tuning_.equalLoss) {
            equal.push_back(i);
        }
    }
    std::size_t best = 0;
    for (std::size_t picked = 0; picked < std::min(tuning_.choices, equal.size()); ++picked) {
        std::swap(equal[picked], equal[picked + random_() % (equal.size() - picked)]);
        best = picked == 0 || losses[equal[picked]] < losses[best] ? equal[picked] : best;
    }
    return &homes[best];
}

HomeChoice HomeRanking::leastLoss(const std::vector<RankedHome> &homes, const std::set<std::string> &tried,
                                  const HomeQuery &query, const Defaults &defaults, bool isShort, SteadyTime now) const
{
    HomeChoice choice;
    std::vector<double> losses;
    losses.reserve(homes.size());
    for (const RankedHome &home : homes) {
        const bool canTry = tried.count(home.node) == 0 && isCandidate(home, query, defaults, now);
        losses.push_back(canTry ? totalLoss(home, query, defaults, now) : excludedLoss);
    }
    const RankedHome *best = pickHome(homes, losses);
    if (best == nullptr) {
        return choice;
    }
    double nextLoss = excludedLoss;
    for (std::size_t i = 0; i < homes.size(); ++i) {
        if (&homes[i] == best) {
            choice.loss = losses[i];
        } else {
            nextLoss = std::min(nextLoss, losses[i]);
        }
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
    if (nextLoss == excludedLoss) {
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

void HomeRanking::noteReport(const std::string &node, const HomeLoad &load, SteadyTime madeAt)
{
    Home &home = homes_[node];
    if (home.hasLoad && home.loadAt >= madeAt) {
        return;
    }
    if (load.slots == 0) {
        home.noServerUntil = std::max(home.noServerUntil, madeAt + tuning_.noServerBackoff);
        return;
    }
    home.load = load;
    home.load.grayProbability = std::min(load.grayProbability, tuning_.maxReportedGrayProbability);
    home.hasLoad = true;
    home.loadAt = madeAt;
    // A free slot serves requests of any priority.
    if (load.freeSlots > 0) {
        home.waits.clear();
    }
    home.waits[mostUrgentPriority] = ReportedWait{static_cast<double>(load.wait.count()), madeAt};
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
