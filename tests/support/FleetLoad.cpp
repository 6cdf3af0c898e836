#include "tests/support/FleetLoad.h"

namespace waxwing::testing {

PriorityCounts &PriorityCounts::operator+=(const PriorityCounts &other)
{
    requests += other.requests;
    inTime += other.inTime;
    late += other.late;
    refused += other.refused;
    callsFailed += other.callsFailed;
    callsUnserved += other.callsUnserved;
    waited += other.waited;
    longestWait = std::max(longestWait, other.longestWait);
    return *this;
}

PriorityCounts FleetCounts::all() const
{
    PriorityCounts sum;
    for (const auto &[priority, one] : byPriority) {
        sum += one;
    }
    return sum;
}

double FleetCounts::sendsPerRun() const
{
    const PriorityCounts sum = all();
    return static_cast<double>(sends) / std::max(1, sum.inTime + sum.late);
}

double FleetCounts::smallPerRequest() const
{
    return static_cast<double>(smallMessages) / std::max(1, all().requests);
}

int FleetCounts::spillTurns(double threshold) const
{
    int turns = 0;
    int direction = 0;
    double extreme = spilledShares.empty() ? 0.0 : spilledShares.front();
    for (const double share : spilledShares) {
        const double change = share - extreme;
        const int changed = change > threshold ? 1 : (change < -threshold ? -1 : 0);
        if (changed != 0 && changed != direction) {
            turns += direction != 0 ? 1 : 0;
            direction = changed;
            extreme = share;
        } else if ((direction > 0 && change > 0.0) || (direction < 0 && change < 0.0)) {
            extreme = share;
        }
    }
    return turns;
}

} // namespace waxwing::testing
