#pragma once

#include "include/base/Clock.h"
#include "include/home/ServerDeparture.h"

#include <cstdint>
#include <functional>
#include <optional>

namespace waxwing {

struct NodeCore;

/**
 * Keeps the last departure of the server beside this node in the platform's store, so that it outlasts this process:
 * one write for each server that leaves, and one read for each start of the node. Not thread safe.
 */
class DepartureStore
{
public:
    /** Called with the stored departure, or nothing if none is stored. */
    using ReadHook = std::function<void(const std::optional<ServerDeparture> &)>;

    /** @pre "platform" is in the kernel before the first call; @p core outlives this object. */
    explicit DepartureStore(NodeCore &core);

    /** Reads what an earlier process of this node stored, with retries, and calls @p onRead once. */
    void read(ReadHook onRead);
    /**
     * Stores @p departure. Returns true if it is stored within @p timeout; otherwise the write goes on. @pre called
     * from a fiber.
     */
    bool save(const ServerDeparture &departure, Duration timeout);
    /** Removes the stored object. Errors are logged. @pre called from a fiber. */
    void remove();

private:
    void readLoop(const ReadHook &onRead);
    void writeLoop();
    /** Tries to store @p departure once. Returns false if the attempt has to be repeated after a pause. */
    bool tryWrite(const ServerDeparture &departure);

    NodeCore &core_;
    /** Version of the stored object; 0: none is known. */
    std::uint64_t version_ = 0;
    std::optional<ServerDeparture> wanted_;
    std::optional<ServerDeparture> stored_;
    bool writing_ = false;
};

} // namespace waxwing
