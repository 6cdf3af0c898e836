#pragma once

#include "include/fleet/WatchElection.h"
#include "src/link/PeerHub.h"

#include <optional>
#include <string>
#include <vector>

namespace waxwing {

struct NodeCore;

/** This node's part in following the configuration: whether it watches the store, and who does so for it. Not thread
 * safe. */
class RegionWatch
{
public:
    RegionWatch(NodeCore &core, WatchElectionTuning tuning);
    /** Decides anew; @p age is that of the configuration held. @pre "peers" and "registry" are in the kernel. */
    WatchRole updateRole(std::optional<Duration> age);
    /** @p node says whether the store @p answers it. */
    void noteStoreReachable(const std::string &node, bool answers);
    /** As decided last. */
    WatchRole role() const;
    /** An open link to a watcher of this region on another node; one of them at random. */
    std::optional<LinkId> linkToWatcher();
    /** Open links to all other nodes of this region. */
    std::vector<LinkId> regionLinks() const;

private:
    void refresh();

    NodeCore &core_;
    WatchElection election_;
    WatchRole role_ = WatchRole::Watcher;
    SteadyTime refreshedAt_;
    /** Of the watchers on other nodes. */
    std::vector<Endpoint> watcherEndpoints_;
};

} // namespace waxwing
