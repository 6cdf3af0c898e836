#pragma once

#include "include/fleet/ConfigFetch.h"
#include "include/fleet/WatchElection.h"
#include "src/link/PeerHub.h"

#include <functional>
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
    /**
     * Returns the role of a node that holds no configuration yet: a follower until it is its turn to read the store.
     * @pre "registry" is in the kernel.
     */
    WatchRole firstRole() const;
    /**
     * Sets a check whether a newer configuration is expected from peers in time. While it returns true, a follower
     * whose state is not confirmed does not become a stand-in, which would read the same document from the store.
     */
    void setDeliveryCheck(std::function<bool()> check);
    /** Returns this node's place in the delivery of a document in its region, as of the last election. */
    const DeliveryPlace &deliveryPlace() const;
    /** Returns true if @p node is in this node's region. */
    bool isInRegion(const std::string &node) const;
    /** Records whether the store is @p reachable for @p node. */
    void noteStoreReachable(const std::string &node, bool reachable);
    /** Returns the role of the last update. */
    WatchRole role() const;
    /** Returns this region's other watchers, as of the last election. */
    const std::vector<std::string> &otherWatchers() const;
    /** Returns the open links to all other nodes of this region. */
    std::vector<LinkId> regionLinks() const;

private:
    void refresh();
    /** Returns the nodes of this region that this node counts as reachable, without itself. */
    std::vector<std::string> reachableNodes() const;
    /** Returns the number of registered nodes of this region that are ranked before this one. */
    std::size_t registeredRank() const;
    void rankDelivery(std::vector<std::string> nodes);

    NodeCore &core_;
    WatchElectionTuning tuning_;
    WatchElection election_;
    SteadyTime startedAt_;
    WatchRole role_ = WatchRole::Watcher;
    SteadyTime refreshedAt_;
    std::function<bool()> deliveryCheck_;
    DeliveryPlace deliveryPlace_;
};

} // namespace waxwing
