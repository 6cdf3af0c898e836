#include "include/schedule/ReservationPlanner.h"

#include <algorithm>
#include <limits>
#include <map>

namespace waxwing {

namespace {

/** Homes in the same zone are as near as this node itself. */
int levelOf(Distance distance)
{
    return static_cast<int>(std::max(distance, Distance::SameZone));
}

int reportedFree(const HomeLoad &load)
{
    return std::max(0, load.freeSlots - load.queued);
}

} // namespace

ReservationPlanner::ReservationPlanner(Random random, ReservationTuning tuning)
    : random_(std::move(random))
    , tuning_(tuning)
{ }

bool ReservationPlanner::mayWait(const Route &route) const
{
    return tuning_.minObjective > Millis(0) && route.responseTime >= tuning_.minObjective;
}

bool ReservationPlanner::isCurrent(const HomeStatus &status, SteadyTime now) const
{
    return status.load && now - status.loadAt < tuning_.reportMaxAge;
}

bool ReservationPlanner::shouldReserve(const HomeChoice &best) const
{
    return best.node.empty() || best.wait >= tuning_.minWait;
}

bool ReservationPlanner::mayBeSent(std::size_t refusals) const
{
    return refusals < tuning_.maxDirectSends;
}

std::set<std::string> ReservationPlanner::homesWithoutRoom(const std::vector<ReservationCandidate> &candidates,
                                                           SteadyTime now) const
{
    Candidates all;
    for (const ReservationCandidate &one : candidates) {
        all.push_back(&one);
    }
    const std::vector<double> slots = freeSlots(all, now);
    std::set<std::string> full;
    for (std::size_t i = 0; i < all.size(); ++i) {
        const bool near = levelOf(all[i]->distance) == levelOf(Distance::SameZone);
        if (!near || slots[i] < tuning_.directFreeSlots) {
            full.insert(all[i]->node);
        }
    }
    return full;
}

Millis ReservationPlanner::directQueueTimeout(const HomeChoice &best) const
{
    return std::min(best.queueTimeout, tuning_.maxDirectWait);
}

Millis ReservationPlanner::messageTime(Distance distance) const
{
    constexpr int roundTrips = 2;
    double roundTripMs = 0.0;
    if (distance == Distance::SameRegion) {
        roundTripMs = tuning_.ranking.zoneRoundTripMs;
    } else if (distance == Distance::OtherRegion) {
        roundTripMs = tuning_.ranking.regionRoundTripMs;
    }
    return Millis(static_cast<std::int64_t>(roundTrips * roundTripMs));
}

bool ReservationPlanner::isInReach(const ReservationCandidate &candidate, const SlotNeed &need, SteadyTime now) const
{
    if (levelOf(candidate.distance) == levelOf(Distance::SameZone)) {
        return true;
    }
    // A request that is late at any home anyway is limited by its deadline alone.
    const SteadyTime limit = now + need.workTime > need.objective ? need.deadline : need.objective;
    return distanceLoss(tuning_.ranking, candidate.distance, need.responseKilobytes) <= tuning_.maxDistanceLoss
           && now + messageTime(candidate.distance) + need.workTime <= limit;
}

ReservationPlanner::Candidates ReservationPlanner::usable(const std::vector<ReservationCandidate> &candidates,
                                                          const SlotNeed &need) const
{
    Candidates found;
    for (const ReservationCandidate &candidate : candidates) {
        const HomeStatus &status = candidate.status;
        if (status.hasServer && !status.likelyGray && !status.pathFailed && need.held.count(candidate.node) == 0) {
            found.push_back(&candidate);
        }
    }
    // Starting at a random home spreads requests over homes of equal wait.
    if (!found.empty()) {
        const auto start = static_cast<std::ptrdiff_t>(random_() % found.size());
        std::rotate(found.begin(), found.begin() + start, found.end());
    }
    return found;
}

std::vector<double> ReservationPlanner::freeSlots(const Candidates &homes, SteadyTime now) const
{
    struct Mean {
        double sum = 0.0;
        double weight = 1.0;
    };
    std::map<int, Mean> means;
    for (const ReservationCandidate *one : homes) {
        Mean &mean = means[levelOf(one->distance)];
        if (isCurrent(one->status, now)) {
            mean.sum += reportedFree(*one->status.load);
            mean.weight += 1.0;
        }
    }
    std::vector<double> slots;
    for (const ReservationCandidate *one : homes) {
        const HomeStatus &status = one->status;
        const Mean &mean = means[levelOf(one->distance)];
        const double known =
            isCurrent(status, now) ? reportedFree(*status.load) : (mean.sum + tuning_.unknownFreeSlots) / mean.weight;
        const double left = known - status.sentSince - one->reserved;
        slots.push_back(left < tuning_.minFreeSlots ? 0.0 : left);
    }
    return slots;
}

Millis ReservationPlanner::delayAt(const ReservationCandidate &candidate) const
{
    return candidate.status.wait + messageTime(candidate.distance);
}

double ReservationPlanner::costOf(const ReservationCandidate &candidate, const SlotNeed &need) const
{
    const double loss = distanceLoss(tuning_.ranking, candidate.distance, need.responseKilobytes);
    return static_cast<double>(delayAt(candidate).count()) + tuning_.waitMsPerLoss * loss;
}

ReservationPlanner::Candidates::iterator ReservationPlanner::pickFree(Candidates &from, SteadyTime now) const
{
    std::vector<double> slots = freeSlots(from, now);
    int level = std::numeric_limits<int>::max();
    for (std::size_t i = 0; i < slots.size(); ++i) {
        level = slots[i] > 0.0 ? std::min(level, levelOf(from[i]->distance)) : level;
    }
    double all = 0.0;
    for (std::size_t i = 0; i < slots.size(); ++i) {
        slots[i] = levelOf(from[i]->distance) == level ? slots[i] : 0.0;
        all += slots[i];
    }
    constexpr double randomRange = 18446744073709551616.0;
    double left = all * static_cast<double>(random_()) / randomRange;
    auto picked = from.end();
    for (std::size_t i = 0; i < slots.size() && left >= 0.0; ++i) {
        picked = slots[i] > 0.0 ? from.begin() + static_cast<std::ptrdiff_t>(i) : picked;
        left -= slots[i];
    }
    return picked;
}

bool ReservationPlanner::isWorthDistance(const ReservationCandidate &free, const ReservationCandidate &cheapest,
                                         const SlotNeed &need) const
{
    if (free.distance == Distance::OtherRegion) {
        return costOf(free, need) <= costOf(cheapest, need);
    }
    return messageTime(free.distance) <= delayAt(cheapest);
}

void ReservationPlanner::take(Candidates from, const SlotNeed &need, std::size_t count, std::vector<std::string> &homes,
                              SteadyTime now) const
{
    while (homes.size() < count && !from.empty()) {
        const auto cheapest = std::min_element(from.begin(), from.end(), [&](const auto *a, const auto *b) {
            return costOf(*a, need) < costOf(*b, need);
        });
        auto picked = pickFree(from, now);
        if (picked == from.end() || !isWorthDistance(**picked, **cheapest, need)) {
            picked = cheapest;
        }
        homes.push_back((*picked)->node);
        from.erase(picked);
    }
}

std::vector<std::string> ReservationPlanner::plan(const std::vector<ReservationCandidate> &candidates,
                                                  const SlotNeed &need, SteadyTime now) const
{
    std::vector<std::string> homes;
    const std::size_t open = tuning_.homes - std::min(tuning_.homes, need.held.size());
    const std::size_t left = tuning_.maxReservations - std::min(tuning_.maxReservations, need.made);
    const std::size_t count = std::min(open, left);
    Candidates fresh = usable(candidates, need);
    const auto far =
        std::stable_partition(fresh.begin(), fresh.end(), [&](const auto *one) { return isInReach(*one, need, now); });
    const Candidates outOfReach(far, fresh.end());
    fresh.erase(far, fresh.end());
    const auto repeated = std::stable_partition(fresh.begin(), fresh.end(),
                                                [&](const auto *one) { return need.tried.count(one->node) == 0; });
    const Candidates tried(repeated, fresh.end());
    fresh.erase(repeated, fresh.end());
    take(fresh, need, count, homes, now);
    take(tried, need, count, homes, now);
    // A distant home is better than none.
    if (homes.empty() && need.held.empty()) {
        take(outOfReach, need, count, homes, now);
    }
    return homes;
}

SteadyTime ReservationPlanner::latestStart(const SlotNeed &need, SteadyTime now) const
{
    const auto work = std::chrono::duration_cast<Duration>(need.workTime * tuning_.workTimeMargin);
    return std::max(now, need.deadline - work - messageTime(Distance::OtherRegion));
}

} // namespace waxwing
