#pragma once

#include "include/base/Clock.h"
#include "include/base/Error.h"
#include "include/settings/NodeSettings.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>

namespace waxwing {

/**
 * A node beside exactly one backend server, on a platform where only it can reach that server: ingress for the VM's
 * callers and home of the server, on one thread and one io_context. Not thread safe.
 */
class SidecarNode
{
public:
    /**
     * Builds the services and starts to listen. Errors: Unavailable if a port can't be bound. @pre the calling thread
     * has the fiber scheduler of @p ioContext; @p settings name a local server; @p clock outlives the node.
     */
    static Expected<std::unique_ptr<SidecarNode>> MakeStarted(boost::asio::io_context &ioContext, const Clock &clock,
                                                              const NodeSettings &settings, std::uint64_t incarnation);
    ~SidecarNode();
    SidecarNode(const SidecarNode &) = delete;
    SidecarNode &operator=(const SidecarNode &) = delete;

    /** Writes out buffered log lines. */
    void flushLog();
    /**
     * Applies changed settings of the server, bounds, limits and times. Limits take effect with the next configuration.
     * Of the bounds only the time to stop takes effect. Other settings need a restart.
     */
    void reload(const NodeSettings &settings);
    /**
     * Graceful shutdown: fails the platform's readiness check, continues to serve until callers have stopped coming,
     * and finishes requests in flight. Removes the node's registry entry if its server has deregistered. Returns false
     * if work was still running at the time limit. @pre called from a fiber.
     */
    bool stop();

private:
    struct Impl;
    explicit SidecarNode(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl_;
};

} // namespace waxwing
