#pragma once

#include "include/fleet/NodeRegistry.h"
#include "include/fleet/RttEstimator.h"
#include "src/link/PeerHub.h"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace waxwing {

struct NodeCore;

/**
 * Monitors the paths to other nodes. A failed path is checked at once. If the node does not respond, the path is probed
 * with new links until it recovers. Nodes of a region notify each other of unresponsive nodes; otherwise each of a
 * hundred senders would detect the loss of a VM by itself, at the cost of one request each. A notification is no proof,
 * since cuts affect pairs of nodes: the receiver first checks its own link. Not thread safe.
 */
class PathMonitor
{
public:
    struct Hooks {
        std::function<void(const std::string &node)> onPathFailed;
        /** A probe of a path that had failed before got no response. */
        std::function<void(const std::string &node)> onProbeFailed;
        std::function<void(const std::string &node)> onPathRecovered;
    };

    /** @pre "peers" and "registry" are in the kernel before the first failure. */
    explicit PathMonitor(NodeCore &core);
    /** @pre called once, before the first failure. */
    void setHooks(Hooks hooks);

    /** Records the round trip time of a response from @p node. */
    void noteRoundTrip(const std::string &node, Duration sample);
    /** Returns how long a response that needs no work may take on the path to @p home. */
    Duration replyTimeout(const RegistryEntry &home) const;
    /** Records that no ack came from @p node within replyTimeout(), or that no link to it opens. Checks the path. */
    void noteFailure(const std::string &node);
    /**
     * Checks a node that another node reports as unresponsive. Ignores this node, nodes without registry entry or open
     * link, and nodes that are being probed or were checked recently.
     */
    void handle(const PathSuspicion &suspicion);
    /**
     * Checks the path to @p node, with a new link if none is open. Used for paths that no request has tried yet.
     * Ignores this node, nodes without registry entry, and nodes that are being probed or were checked recently.
     */
    void check(const std::string &node);
    /** Returns the number of nodes of @p region to which the path has failed, as a check has confirmed. */
    std::size_t failedCount(const std::string &region) const;

private:
    /**
     * Returns the entry of a node whose path is to be checked now, and records the time; null if it is not. @pre called
     * by handle() or check().
     */
    RegistryEntryPtr beginCheck(const std::string &node);
    void notifyRegion(const std::string &node);
    /** Probes until the path recovers or the registry no longer contains the node. @pre called from a fiber. */
    void probeUntilRecovered(const std::string &node);
    /** Returns true if the node responds on the open link. @pre called from a fiber. */
    bool repliesOnLink(const RegistryEntry &entry);
    bool repliesOnNewLink(const RegistryEntry &entry);
    void notePathRecovered(const std::string &node, bool falseAlarm);

    NodeCore &core_;
    Hooks hooks_;
    std::map<std::string, RttEstimator> estimators_;
    std::set<std::string> probing_;
    /** Of these, the nodes that did not reply to the check. */
    std::set<std::string> failed_;
    /** Time of the last check that handle() or check() began, by node. */
    std::map<std::string, SteadyTime> lastCheckedAt_;
};

} // namespace waxwing
