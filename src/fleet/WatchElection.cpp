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

void WatchElection::setReachable(const std::vector<std::string> &nodes)
{
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    ranked.reserve(nodes.size() + 1);
    ranked.emplace_back(stableHash(self_), self_);
    for (const std::string &node : nodes) {
        ranked.emplace_back(stableHash(node), node);
    }
    const std::size_t elected = std::min(tuning_.watchers, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(elected), ranked.end());
    elected_ = false;
    others_.clear();
    for (std::size_t i = 0; i < elected; ++i) {
        if (ranked[i].second == self_) {
            elected_ = true;
        } else {
            others_.push_back(ranked[i].second);
        }
    }
}

WatchRole WatchElection::role(std::optional<Duration> age, SteadyTime now)
{
    if (elected_) {
        return WatchRole::Watcher;
    }
    if (!age || *age > tuning_.standInAfter) {
        standInUntil_ = now + tuning_.standInFor;
    }
    return now < standInUntil_ ? WatchRole::StandIn : WatchRole::Follower;
}

const std::vector<std::string> &WatchElection::others() const
{
    return others_;
}

} // namespace waxwing
