#include "tests/support/QuotaFleetModel.h"

#include <algorithm>

namespace waxwing::testing {

double QuotaFleetOutcome::refusedOwedShare() const
{
    return owed == 0 ? 0.0 : std::max(0.0, static_cast<double>(owed - admitted) / owed);
}

double QuotaFleetModel::worstOverrun() const
{
    // A lower limit binds one window after it is in force.
    const SteadyTime laterFrom = start_ + load_.laterLimitFrom + tuning_.window;
    const double seconds = secondsOf(tuning_.window);
    double worst = -1e9;
    std::size_t first = 0;
    for (std::size_t last = 0; last < admittedAt_.size(); ++last) {
        while (admittedAt_[first] <= admittedAt_[last] - tuning_.window) {
            ++first;
        }
        const bool isHigher = load_.laterLimit && load_.laterLimit->ratePerSecond > load_.limit.ratePerSecond;
        const bool usesLater = isHigher || (load_.laterLimit && admittedAt_[last] >= laterFrom);
        const QuotaLimit limit = usesLater ? *load_.laterLimit : load_.limit;
        const double bound = (limit.ratePerSecond * seconds + limit.burst) * (1.0 + tuning_.over) + tuning_.slack;
        worst = std::max(worst, static_cast<double>(last - first + 1) - bound);
    }
    return worst;
}

int QuotaFleetModel::worstWindow()
{
    std::sort(runs_.begin(), runs_.end(), [](const Run &a, const Run &b) { return a.sentAt < b.sentAt; });
    std::ptrdiff_t worst = 0;
    for (auto first = runs_.begin(); first != runs_.end(); ++first) {
        const SteadyTime until = first->sentAt + tuning_.window;
        const auto last = std::find_if(first, runs_.end(), [&](const Run &run) { return run.sentAt > until; });
        worst = std::max(worst, std::count_if(first, last, [&](const Run &run) { return run.ranAt <= until; }));
    }
    return static_cast<int>(worst);
}

} // namespace waxwing::testing
