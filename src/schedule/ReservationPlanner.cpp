#include "include/schedule/ReservationPlanner.h"

#include <algorithm>

namespace waxwing {

ReservationPlanner::ReservationPlanner(Random random, ReservationTuning tuning)
    : random_(std::move(random))
    , tuning_(tuning)
{ }

bool ReservationPlanner::mayWait(const Route &route) const
{
    return tuning_.minObjective > Millis(0) && route.responseTime >= tuning_.minObjective;
}

std::vector<std::string> ReservationPlanner::plan(const std::vector<ReservationCandidate> &candidates,
                                                  const SlotNeed &need, SteadyTime) const
{
    std::vector<std::string> homes;
    const std::size_t start = candidates.empty() ? 0 : random_() % candidates.size();
    for (std::size_t i = 0; i < candidates.size() && need.held.size() + homes.size() < tuning_.homes; ++i) {
        const std::string &node = candidates[(start + i) % candidates.size()].node;
        if (need.held.count(node) == 0) {
            homes.push_back(node);
        }
    }
    return homes;
}

SteadyTime ReservationPlanner::latestStart(const SlotNeed &need, SteadyTime now) const
{
    const auto work = std::chrono::duration_cast<Duration>(need.workTime * tuning_.workTimeMargin);
    return std::max(now, need.deadline - work - tuning_.bindingTime);
}

} // namespace waxwing
