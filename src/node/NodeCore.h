#pragma once

#include "include/base/Clock.h"
#include "include/base/EventLog.h"
#include "include/base/Ids.h"
#include "include/base/Metrics.h"
#include "include/kernel/Kernel.h"
#include "include/settings/NodeSettings.h"
#include "src/http/HttpClient.h"

#include <boost/asio/io_context.hpp>

#include <cstdio>
#include <cstdlib>
#include <random>

namespace waxwing {

/** What every service of a node shares. Registered in the kernel as "core". */
struct NodeCore {
    NodeCore(boost::asio::io_context &context, const Clock &clockIn, NodeSettings settingsIn, std::uint64_t incarnation,
             std::uint64_t seed, std::size_t eventsKept = EventLog::defaultCapacity)
        : ioContext(context)
        , clock(clockIn)
        , settings(std::move(settingsIn))
        , self{settings.node, incarnation}
        , events(clockIn, eventsKept)
        , client(context)
        , random(seed)
    { }

    boost::asio::io_context &ioContext;
    const Clock &clock;
    NodeSettings settings;
    NodeRef self;
    EventLog events;
    Metrics metrics;
    HttpClient client;
    std::mt19937_64 random;
    Kernel kernel;
    /** Set at the start of a graceful stop: no new work. */
    bool draining = false;
    /** Set at its end: loops end when they see it. */
    bool stopping = false;

    /** A service that must be there: a missing one is a fault of the node's own wiring. */
    template<typename T>
    T &service(const std::string &name)
    {
        const Expected<T *> found = kernel.find<T>(name);
        if (!found) {
            std::fprintf(stderr, "%s\n", found.error().message.c_str());
            std::abort();
        }
        return **found;
    }
};

} // namespace waxwing
