#pragma once

#include "include/poison/PoisonRegistry.h"

#include <functional>

#include <string>

namespace waxwing {

struct NodeCore;

/**
 * Distributes to all nodes which servers died, each with the request that it was running, so that poison requests are
 * refused everywhere. Not thread safe.
 */
class PoisonService
{
public:
    /** Sends a record to the other nodes at once. */
    using BroadcastHook = std::function<void(const Record &)>;

    PoisonService(NodeCore &core, BroadcastHook broadcast);
    /** Applies another node's record of a death. */
    void applyRecord(const Record &record);
    /** Records that a server died while it ran the request with @p digest. @p server includes its incarnation. */
    void noteDeath(std::uint64_t digest, const std::string &server);
    /** Records that a server completed the request with @p digest, and tells the other nodes if it was suspected. */
    void noteCompleted(std::uint64_t digest);
    /** Returns true if the request may be sent to a server: it is not refused, or its next trial is due here. */
    bool admit(std::uint64_t digest);
    std::size_t deaths(std::uint64_t digest) const;
    void expire();

private:
    NodeCore &core_;
    BroadcastHook broadcast_;
    PoisonRegistry registry_;
};

} // namespace waxwing
