#include "src/sidecar/membership/RegionWatch.h"

#include "include/base/Ids.h"
#include "src/node/NodeCore.h"
#include "src/sidecar/membership/RegistrySync.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace waxwing {

namespace {
/** Minimum interval between elections, which take new and closed links into account. */
constexpr Millis refreshInterval{400};
} // namespace

RegionWatch::RegionWatch(NodeCore &core, WatchElectionTuning tuning)
    : core_(core)
    , tuning_(tuning)
    , election_(core.settings.node, tuning)
    , startedAt_(core.clock.now())
{ }

void RegionWatch::refresh()
{
    const SteadyTime now = core_.clock.now();
    if (now - refreshedAt_ < refreshInterval) {
        return;
    }
    refreshedAt_ = now;
    std::vector<std::string> reachable = reachableNodes();
    election_.setReachable(reachable, now);
    rankDelivery(std::move(reachable));
}

std::vector<std::string> RegionWatch::reachableNodes() const
{
    PeerHub &peers = core_.service<PeerHub>("peers");
    const NodeRegistry &registry = core_.service<RegistrySync>("registry").registry();
    // A node that has just started has no links yet. If it counted only linked nodes, each node of a fleet that starts
    // would elect itself.
    const bool isStarting = core_.clock.now() - startedAt_ < tuning_.standInAfter;
    std::vector<std::string> reachable;
    for (const RegistryEntryPtr &entry : registry.inRegion(core_.settings.region)) {
        if (entry->id != core_.self.id && (isStarting || peers.openLinkAt(entry->links))) {
            reachable.push_back(entry->id);
        }
    }
    return reachable;
}

std::size_t RegionWatch::registeredRank() const
{
    const NodeRegistry &registry = core_.service<RegistrySync>("registry").registry();
    const RegistryEntries &nodes = registry.inRegion(core_.settings.region);
    const std::uint64_t own = stableHash(core_.self.id);
    return static_cast<std::size_t>(std::count_if(
        nodes.begin(), nodes.end(), [own](const RegistryEntryPtr &entry) { return stableHash(entry->id) < own; }));
}

WatchRole RegionWatch::firstRole() const
{
    const SteadyTime now = core_.clock.now();
    const RegistrySync &registry = core_.service<RegistrySync>("registry");
    FirstReadState state;
    state.sinceStart = now - startedAt_;
    state.isBootstrap = core_.settings.bootstrap;
    state.sinceChange = std::min(state.sinceStart, registry.sinceStoreChange());
    state.rank = registeredRank();
    return mayReadFirst(tuning_, state) ? WatchRole::Watcher : WatchRole::Follower;
}

void RegionWatch::rankDelivery(std::vector<std::string> nodes)
{
    std::set<std::string> watchers(election_.otherWatchers().begin(), election_.otherWatchers().end());
    if (role_ == WatchRole::Watcher) {
        watchers.insert(core_.self.id);
    }
    nodes.push_back(core_.self.id);
    std::vector<std::tuple<bool, std::uint64_t, std::string>> ranked;
    ranked.reserve(nodes.size());
    for (std::string &node : nodes) {
        const bool isWatcher = watchers.count(node) > 0;
        const std::uint64_t hash = stableHash(node);
        ranked.emplace_back(!isWatcher, hash, std::move(node));
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<std::string> order;
    order.reserve(ranked.size());
    for (auto &[isNoRoot, hash, node] : ranked) {
        order.push_back(std::move(node));
    }
    deliveryPlace_ = waxwing::deliveryPlace(order, watchers.size(), core_.self.id);
}

void RegionWatch::setDeliveryCheck(std::function<bool()> check)
{
    deliveryCheck_ = std::move(check);
}

const DeliveryPlace &RegionWatch::deliveryPlace() const
{
    return deliveryPlace_;
}

bool RegionWatch::isInRegion(const std::string &node) const
{
    const RegistryEntryPtr entry = core_.service<RegistrySync>("registry").registry().find(node);
    return entry && entry->region == core_.settings.region;
}

WatchRole RegionWatch::updateRole(std::optional<Duration> age)
{
    refresh();
    const WatchRole before = role_;
    const bool isExpected = age && deliveryCheck_ && deliveryCheck_();
    role_ = election_.role(isExpected ? Duration(0) : age, core_.clock.now());
    if (role_ != before) {
        const std::string ageMs = age ? std::to_string(millisOf(*age).count()) : "";
        core_.metrics.count(std::string("watch_role_") + watchRoleName(role_));
        core_.events.writeRequest(
            Severity::Info, "watch_role",
            {{"role", watchRoleName(role_)}, {"before", watchRoleName(before)}, {"ageMs", ageMs}});
    }
    return role_;
}

void RegionWatch::noteStoreReachable(const std::string &node, bool reachable)
{
    election_.noteStoreReachable(node, reachable, core_.clock.now());
}

WatchRole RegionWatch::role() const
{
    return role_;
}

const std::vector<std::string> &RegionWatch::otherWatchers() const
{
    return election_.otherWatchers();
}

std::vector<LinkId> RegionWatch::regionLinks() const
{
    PeerHub &peers = core_.service<PeerHub>("peers");
    std::vector<LinkId> links;
    const NodeRegistry &registry = core_.service<RegistrySync>("registry").registry();
    for (const RegistryEntryPtr &entry : registry.inRegion(core_.settings.region)) {
        const bool isOther = entry->id != core_.self.id;
        const std::optional<LinkId> link = isOther ? peers.openLinkAt(entry->links) : std::nullopt;
        if (link) {
            links.push_back(*link);
        }
    }
    return links;
}

} // namespace waxwing
