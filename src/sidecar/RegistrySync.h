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
 * Keeps the list of the fleet's nodes: writes this node's own entry once and watches the others'. An entry says nothing
 * that a restart of the same node changes, so a restarted node has nothing to write and is found while the store is
 * away. Not thread safe.
 */
class RegistrySync
{
public:
    explicit RegistrySync(NodeCore &core);
    ~RegistrySync();
    RegistrySync(const RegistrySync &) = delete;
    RegistrySync &operator=(const RegistrySync &) = delete;

    void start();
    /** Called after each change; register before start(). */
    void onChange(std::function<void()> hook);
    /** Removes the own entry: this node does not come back. @pre called from a fiber. */
    void removeOwnEntry();
    /** Takes another node's list if it is newer and the store does not answer here. */
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
