#pragma once

#include "include/fleet/WatchElection.h"
#include "src/link/PeerHub.h"

#include <optional>
#include <string>
#include <vector>

namespace waxwing {

struct NodeCore;

/**
 * Role of this node in following the configuration: whether it watches the store, and which nodes watch for it. Not
 * thread safe.
 */
class RegionWatch
{
public:
    RegionWatch(NodeCore &core, WatchElectionTuning tuning);
    /** Updates the role. @p age: that of the configuration held. @pre "peers" and "registry" are in the kernel. */
    WatchRole updateRole(std::optional<Duration> age);
    /** Records whether the store is @p reachable for @p node. */
    void noteStoreReachable(const std::string &node, bool reachable);
    /** Returns the role of the last update. */
    WatchRole role() const;
    /** Picks one of this region's other watchers at random. Returns its open link; nothing if there is none. */
    std::optional<LinkId> linkToWatcher();
    /** Returns the open links to all other nodes of this region. */
    std::vector<LinkId> regionLinks() const;

private:
    void refresh();

    NodeCore &core_;
    WatchElection election_;
    WatchRole role_ = WatchRole::Watcher;
    SteadyTime refreshedAt_;
    /** Link endpoints of this region's other watchers. */
    std::vector<Endpoint> watcherEndpoints_;
};

} // namespace waxwing
