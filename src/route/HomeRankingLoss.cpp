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

double HomeRanking::unknownHomeLoss(Distance distance, const HomeQuery &query) const
{
    const double gray =
        tuning_.priorGrayProbability * (query.retryable ? tuning_.grayLossRetryable : tuning_.grayLossNotRetryable);
    return distanceLoss(tuning_, distance, query.responseKilobytes) + gray
           + delayLoss(0.0, roundTripMs(distance), 1.0, query);
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

} // namespace waxwing
