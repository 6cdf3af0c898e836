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

WatchElection::WatchElection(std::string self, WatchElectionTuning tuning)
    : self_(std::move(self))
    , tuning_(tuning)
{ }

void WatchElection::setReachable(const std::vector<std::string> &nodes, SteadyTime now)
{
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    ranked.reserve(nodes.size() + 1);
    ranked.emplace_back(stableHash(self_), self_);
    std::size_t betterPassedOver = 0;
    for (const std::string &node : nodes) {
        const std::pair<std::uint64_t, std::string> candidate(stableHash(node), node);
        const auto passedOver = passedOverUntil_.find(node);
        if (passedOver == passedOverUntil_.end() || now >= passedOver->second) {
            ranked.push_back(candidate);
        } else {
            betterPassedOver += candidate < ranked.front() ? 1 : 0;
        }
    }
    const std::pair<std::uint64_t, std::string> self = ranked.front();
    const std::size_t elected = std::min(tuning_.watchers, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(elected), ranked.end());
    elected_ = false;
    others_.clear();
    for (std::size_t i = 0; i < elected; ++i) {
        if (ranked[i] == self) {
            elected_ = true;
            replaces_ = i + betterPassedOver >= tuning_.watchers;
        } else {
            others_.push_back(ranked[i].second);
        }
    }
}

void WatchElection::noteStore(const std::string &node, bool answers, SteadyTime now)
{
    if (answers) {
        passedOverUntil_.erase(node);
    } else {
        passedOverUntil_[node] = now + tuning_.passedOverFor;
    }
}

WatchRole WatchElection::role(std::optional<Duration> age, SteadyTime now)
{
    const bool old = !age || *age > tuning_.standInAfter;
    // In an outage all are passed over, and each node would be elected by its own account.
    if (elected_ && !(replaces_ && old)) {
        return WatchRole::Watcher;
    }
    if (old) {
        standInUntil_ = now + tuning_.standInFor;
    }
    return now < standInUntil_ ? WatchRole::StandIn : WatchRole::Follower;
}

const std::vector<std::string> &WatchElection::others() const
{
    return others_;
}

} // namespace waxwing
