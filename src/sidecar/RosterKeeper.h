#pragma once

#include "include/fleet/Roster.h"
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
class RosterKeeper
{
public:
    explicit RosterKeeper(NodeCore &core);
    ~RosterKeeper();
    RosterKeeper(const RosterKeeper &) = delete;
    RosterKeeper &operator=(const RosterKeeper &) = delete;

    void start();
    /** Called after each change; register before start(). */
    void onChange(std::function<void()> hook);
    /** Removes the own entry: this node does not come back. @pre called from a fiber. */
    void withdraw();
    /** Takes another node's list if it is newer and the store does not answer here. */
    void takeList(const std::vector<RosterEntry> &entries, std::uint64_t asOf);
    const Roster &roster() const;
    bool storeAnswers() const;

private:
    void takeChanges(const ObjectChanges &changes);
    void publishLoop();
    bool isOwnEntryRight() const;

    NodeCore &core_;
    Roster roster_;
    std::unique_ptr<StoreWatch> watch_;
    std::function<void()> hook_;
    bool listed_ = false;
    bool withdrawn_ = false;
};

} // namespace waxwing
