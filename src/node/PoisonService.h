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
    using SpreadHook = std::function<void(const Record &)>;

    PoisonService(NodeCore &core, SpreadHook spread);
    /** Another node's record of a death. */
    void take(const Record &record);
    /** A server died while it ran the request of this digest. @p server includes its incarnation. */
    void noteDeath(std::uint64_t digest, const std::string &server);
    bool mustRefuse(std::uint64_t digest) const;
    std::size_t deaths(std::uint64_t digest) const;
    void expire();

private:
    NodeCore &core_;
    SpreadHook spread_;
    PoisonRegistry registry_;
};

} // namespace waxwing
