#pragma once

#include "include/poison/PoisonRegistry.h"

#include <functional>

#include <string>

namespace waxwing {

struct NodeCore;

/** Shares deaths of servers with the request that ran in them among all nodes. Not thread safe. */
class PoisonService
{
public:
    /** Tells the other nodes, at once. */
    using BroadcastHook = std::function<void(const Record &)>;

    PoisonService(NodeCore &core, BroadcastHook broadcast);
    /** Another node's record of a death. */
    void applyRecord(const Record &record);
    /** A server died while it ran the request of this digest. @p server includes its incarnation. */
    void noteDeath(std::uint64_t digest, const std::string &server);
    bool mustRefuse(std::uint64_t digest) const;
    std::size_t deaths(std::uint64_t digest) const;
    void expire();

private:
    NodeCore &core_;
    BroadcastHook broadcast_;
    PoisonRegistry registry_;
};

} // namespace waxwing
