#pragma once

#include "include/fleet/NodeRegistry.h"
#include "platform/ObjectApi.h"

#include <functional>
#include <memory>
#include <string>

namespace waxwing {

struct NodeCore;
class StoreWatch;

/**
 * Keeps the list of the fleet's nodes: writes this node's own entry once and watches the entries of the others. An
 * entry holds nothing that a restart of the node changes, so a restarted node has nothing to write and is found while
 * the store is down. Not thread safe.
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
    const NodeRegistry &registry() const;
    bool isStoreReachable() const;

private:
    void handleChanges(const ObjectChanges &changes);
    void publishLoop();
    bool isOwnEntryCurrent() const;

    NodeCore &core_;
    NodeRegistry registry_;
    std::unique_ptr<StoreWatch> watch_;
    std::function<void()> onChange_;
    bool hasList_ = false;
    bool ownEntryRemoved_ = false;
};

} // namespace waxwing
