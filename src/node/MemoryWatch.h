#pragma once

#include <cstdint>

namespace waxwing {

struct NodeCore;

/** Returns the resident memory of this process in bytes; 0 if it can't be read. Thread safe. */
std::uint64_t residentBytes();

/**
 * Adapts the bound on bodies to what the process needs for itself. That grows with the fleet: records, registry and
 * links of thousands of nodes take a large part of a small VM. Not thread safe.
 */
class MemoryWatch
{
public:
    /** @pre @p core outlives this object. */
    explicit MemoryWatch(NodeCore &core);

    /** Starts to observe the process, each second until the node stops. @pre called once. */
    void start();

private:
    void update();

    NodeCore &core_;
    /** Resident bytes when hardly any body was held. */
    std::uint64_t ownBytes_ = 0;
};

} // namespace waxwing
