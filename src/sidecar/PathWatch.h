#pragma once

#include "src/link/PeerHub.h"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace waxwing {

struct NodeCore;

/**
 * Watches over the paths to other nodes. A path that failed is probed with fresh links until it is good again. Nodes of
 * the region tell each other which node fell silent: without that each of a hundred senders finds out for itself, at
 * the cost of one request each, that a VM was lost. Being told is no proof, since cuts hit pairs: the receiver first
 * tries its own link. Not thread safe.
 */
class PathWatch
{
public:
    struct Hooks {
        std::function<void(const std::string &node)> onBad;
        std::function<void(const std::string &node)> onGood;
    };

    /** @pre "peers" and "roster" are in the kernel before the first failure. */
    explicit PathWatch(NodeCore &core);
    /** @pre called once, before the first failure. */
    void setHooks(Hooks hooks);

    /** A request got no receipt from @p node, or no link to it opens: tells the region and probes the path. */
    void noteFailure(const std::string &node);
    /** Another node says that @p node is silent. Ignored for nodes that the roster does not name. */
    void handle(const PathSuspicion &suspicion);

private:
    void tellRegion(const std::string &node);
    void probe(const std::string &node);
    /** True if the node answers on the link that is there; also if there is no link. @pre called from a fiber. */
    bool answersOnLink(const RosterEntry &entry);

    NodeCore &core_;
    Hooks hooks_;
    std::set<std::string> probing_;
    /** When a suspected node was tried last. */
    std::map<std::string, SteadyTime> tried_;
};

} // namespace waxwing
