#pragma once

#include "include/base/Clock.h"
#include "include/fleet/NodeRegistry.h"
#include "include/fleet/WatchElection.h"
#include "platform/ObjectApi.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace waxwing {

struct NodeCore;
class StoreWatch;

/**
 * Keeps the list of the fleet's nodes: writes this node's own entry once and learns those of the others. A node that
 * has just started watches the store until the list stays the same for a while. After that only the watchers of its
 * region do (RegionWatch), and their peers get the changes with the confirmations of the configuration, so that the
 * calls to the store do not grow with the fleet. A node that lacks changes for long watches the store again. An entry
 * holds nothing that a restart of the node changes, so a restarted node has nothing to write and is found while the
 * store is down. Not thread safe.
 */
class RegistrySync
{
public:
    explicit RegistrySync(NodeCore &core);
    ~RegistrySync();
    RegistrySync(const RegistrySync &) = delete;
    RegistrySync &operator=(const RegistrySync &) = delete;

    void start();
    /** Sets the hook that is called after each change except this node's own writes. Register before start(). */
    void onChange(std::function<void()> hook);
    /** Removes the own entry of a node that stops for good. @pre called from a fiber. */
    void removeOwnEntry();
    /** Applies another node's list, unless it is empty or older or the store responds to this node. */
    void applyPeerList(const std::vector<RegistryEntry> &entries, std::uint64_t revision);
    /** Applies the changes that another node has sent, unless this node lacks changes before them. */
    void applyPeerChanges(const RegistryChanges &changes);
    /** Records that another node knows the registry as of @p revision. */
    void noteRevision(std::uint64_t revision);
    /** Returns the time since a change was last read from the store. */
    Duration sinceStoreChange() const;
    const NodeRegistry &registry() const;
    bool isStoreReachable() const;

private:
    /** A revision that this node does not hold yet. */
    struct Lack {
        std::uint64_t revision = 0;
        SteadyTime since;
    };

    void handleChanges(const ObjectChanges &changes);
    WatchRole role() const;
    /** Writes the event of a change and calls the hook. */
    void reportChange(const char *source);
    void publishLoop();
    bool isOwnEntryCurrent() const;

    NodeCore &core_;
    NodeRegistry registry_;
    std::unique_ptr<StoreWatch> watch_;
    std::function<void()> onChange_;
    bool hasList_ = false;
    /** When the last change was read from the store. */
    SteadyTime lastStoreChange_;
    /** The highest revision that another node is known to hold. */
    std::uint64_t highestKnown_ = 0;
    std::optional<Lack> lack_;
    Millis catchUpDelay_;
    bool ownEntryRemoved_ = false;
};

} // namespace waxwing
