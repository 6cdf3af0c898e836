#include "include/fleet/WatchElection.h"

#include "include/base/Ids.h"

#include <algorithm>
#include <utility>

namespace waxwing {

const char *watchRoleName(WatchRole role)
{
    switch (role) {
    case WatchRole::Watcher:
        return "watcher";
    case WatchRole::Follower:
        return "follower";
    case WatchRole::StandIn:
        return "stand-in";
    }
    return "watcher";
}

Millis standInDelay(const WatchElectionTuning &tuning, std::size_t rank)
{
    if (rank < tuning.firstStandIns) {
        return Millis(0);
    }
    Millis delay = tuning.laterStandIns;
    for (std::size_t groups = rank / tuning.firstStandIns; groups > 1; groups /= 2) {
        delay += tuning.standInGrowth;
    }
    return delay;
}

bool mayReadFirst(const WatchElectionTuning &tuning, const FirstReadState &state)
{
    if (!state.isBootstrap) {
        return true;
    }
    const Duration counted =
        std::max<Duration>(state.sinceChange - tuning.formingPause, state.sinceStart - tuning.formingFor);
    Millis delay{0};
    if (state.rank >= tuning.watchers) {
        delay = tuning.firstReadAfter;
        for (std::size_t groups = state.rank / std::max<std::size_t>(1, tuning.watchers); groups > 1; groups /= 2) {
            delay += tuning.standInGrowth;
        }
    }
    return counted >= delay;
}

WatchElection::WatchElection(std::string self, WatchElectionTuning tuning)
    : self_(std::move(self))
    , tuning_(tuning)
{ }

void WatchElection::setReachable(const std::vector<std::string> &nodes, SteadyTime now)
{
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    ranked.reserve(nodes.size() + 1);
    ranked.emplace_back(stableHash(self_), self_);
    std::size_t excludedAhead = 0;
    for (const std::string &node : nodes) {
        const std::pair<std::uint64_t, std::string> candidate(stableHash(node), node);
        const auto excluded = excludedUntil_.find(node);
        if (excluded == excludedUntil_.end() || now >= excluded->second) {
            ranked.push_back(candidate);
        } else {
            excludedAhead += candidate < ranked.front() ? 1 : 0;
        }
    }
    const std::pair<std::uint64_t, std::string> self = ranked.front();
    const auto ahead = static_cast<std::size_t>(
        std::count_if(ranked.begin(), ranked.end(), [&](const auto &node) { return node < self; }));
    standInRank_ = ahead - std::min(ahead, tuning_.watchers);
    const std::size_t elected = std::min(tuning_.watchers, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(elected), ranked.end());
    elected_ = false;
    otherWatchers_.clear();
    for (std::size_t i = 0; i < elected; ++i) {
        if (ranked[i] == self) {
            elected_ = true;
            isReplacement_ = i + excludedAhead >= tuning_.watchers;
        } else {
            otherWatchers_.push_back(ranked[i].second);
        }
    }
}

void WatchElection::noteStoreReachable(const std::string &node, bool reachable, SteadyTime now)
{
    if (reachable) {
        excludedUntil_.erase(node);
    } else {
        excludedUntil_[node] = now + tuning_.excludedFor;
    }
}

WatchRole WatchElection::role(std::optional<Duration> age, SteadyTime now)
{
    const bool stale = !age || *age > tuning_.standInAfter + standInDelay(tuning_, standInRank_);
    // In an outage of the store each node excludes all others and elects itself. Replacements become stand-ins once
    // their state is stale, since stand-ins call the store less often.
    if (elected_ && !(isReplacement_ && stale)) {
        return WatchRole::Watcher;
    }
    if (stale) {
        standInUntil_ = now + tuning_.standInFor;
    }
    return now < standInUntil_ ? WatchRole::StandIn : WatchRole::Follower;
}

const std::vector<std::string> &WatchElection::otherWatchers() const
{
    return otherWatchers_;
}

} // namespace waxwing
