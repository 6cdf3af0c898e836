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
 * Watches over the paths to other nodes. A path that failed is tried at once, and if it does not answer probed with
 * fresh links until it is good again. Nodes of the region tell each other which node fell silent: without that each of
 * a hundred senders finds out for itself, at the cost of one request each, that a VM was lost. Being told is no proof,
 * since cuts hit pairs: the receiver first tries its own link. Not thread safe.
 */
class PathMonitor
{
public:
    struct Hooks {
        std::function<void(const std::string &node)> onPathFailed;
        std::function<void(const std::string &node)> onPathRecovered;
    };

    /** @pre "peers" and "registry" are in the kernel before the first failure. */
    explicit PathMonitor(NodeCore &core);
    /** @pre called once, before the first failure. */
    void setHooks(Hooks hooks);

    /** An answer came from @p node after @p sample. */
    void noteRoundTrip(const std::string &node, Duration sample);
    /** How long an answer that needs no work may take on the path to @p home. */
    Duration answerTimeout(const RegistryEntry &home) const;
    /** A request got no receipt from @p node in time, or no link to it opens. */
    void noteFailure(const std::string &node);
    /** Another node says that @p node is silent. Ignored for nodes that the roster does not name. */
    void handle(const PathSuspicion &suspicion);

private:
    void notifyRegion(const std::string &node);
    /** Until the path is good again. @pre called from a fiber. */
    void probeUntilGood(const std::string &node);
    /** True if the node answers on the link that is there. @pre called from a fiber. */
    bool answersOnLink(const RegistryEntry &entry);
    bool answersOnNewLink(const RegistryEntry &entry);
    void notePathRecovered(const std::string &node, bool falseAlarm);

    NodeCore &core_;
    Hooks hooks_;
    std::map<std::string, RttEstimator> estimators_;
    std::set<std::string> probing_;
    /** When a suspected node was tried last. */
    std::map<std::string, SteadyTime> lastCheckedAt_;
};

} // namespace waxwing
