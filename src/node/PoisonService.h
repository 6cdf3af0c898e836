#pragma once

#include "include/poison/PoisonRegistry.h"

#include <string>

namespace waxwing {

struct NodeCore;

/** Shares deaths of servers with the request that ran in them among all nodes. Not thread safe. */
class PoisonService
{
public:
    /** @pre "gossip" is in the kernel. */
    explicit PoisonService(NodeCore &core);
    /** A server died while it ran the request of this digest. @p server includes its incarnation. */
    void noteDeath(std::uint64_t digest, const std::string &server);
    bool mustRefuse(std::uint64_t digest) const;
    std::size_t deaths(std::uint64_t digest) const;
    void expire();

private:
    NodeCore &core_;
    PoisonRegistry registry_;
};

} // namespace waxwing
