#pragma once

#include "include/base/Clock.h"
#include "include/base/Error.h"
#include "include/settings/NodeSettings.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>

namespace waxwing {

/** A node of the fleet, with all its services on one thread and one io_context. Not thread safe. */
class Node
{
public:
    /**
     * Creates the services and starts to listen. @p incarnation must grow with each start of the same node. Errors:
     * Unavailable if a port can't be bound. @pre the calling thread has the fiber scheduler of @p ioContext; @p clock
     * outlives the node.
     */
    static Expected<std::unique_ptr<Node>> MakeStarted(boost::asio::io_context &ioContext, const Clock &clock,
                                                       const NodeSettings &settings, std::uint64_t incarnation);
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    /** Flushes buffered log lines. */
    void flushLog();
    /**
     * Replaces the limits and times, the only settings that may change at run time. Values that were copied earlier do
     * not change: the limits of the claim table and the HTTP servers, and the limits and times of existing homes.
     */
    void reload(const NodeSettings &settings);
    /**
     * Shuts down gracefully: accepts no new work, redirects its servers to other homes, hands over its claims, finishes
     * the requests in flight and announces to the fleet that it leaves. Returns false if requests were still running
     * after the setting times.stopWithin. @pre called from a fiber.
     */
    bool stop();

private:
    struct Impl;
    explicit Node(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl_;
};

} // namespace waxwing
