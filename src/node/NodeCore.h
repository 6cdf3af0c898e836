#pragma once

#include "include/base/Clock.h"
#include "include/base/EventLog.h"
#include "include/base/Ids.h"
#include "include/base/Metrics.h"
#include "include/kernel/Kernel.h"
#include "include/settings/NodeSettings.h"
#include "src/http/HttpClient.h"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <random>

namespace waxwing {

/** State that all services of a node share. */
struct NodeCore {
    NodeCore(boost::asio::io_context &context, const Clock &clockIn, NodeSettings settingsIn, std::uint64_t incarnation,
             std::uint64_t seed, std::size_t eventsKept = EventLog::defaultCapacity)
        : ioContext(context)
        , clock(clockIn)
        , settings(std::move(settingsIn))
        , self{settings.node, incarnation}
        , events(clockIn, eventsKept)
        , memory(std::make_shared<MemoryBudget>(bodyBytesWithin(settings.limits.memoryMegabytes * 1024UL * 1024, 0)))
        , client(context)
        , random(seed)
    {
        client.setMemory(memory);
    }

    boost::asio::io_context &ioContext;
    const Clock &clock;
    NodeSettings settings;
    NodeRef self;
    EventLog events;
    Metrics metrics;
    /** The bodies that this process holds. */
    MemoryBudgetPtr memory;
    HttpClient client;
    std::mt19937_64 random;
    Kernel kernel;
    /** Set when a graceful shutdown begins; no new work is accepted from then on. */
    bool draining = false;
    /** Set when a graceful shutdown ends; the background loops exit, except those of HomeService and LocalHome. */
    bool stopping = false;

    /** Returns a random time of at least zero and below @p limit, for jitter; zero if @p limit is not positive. */
    Millis randomBelow(Millis limit)
    {
        const auto range = static_cast<std::uint64_t>(std::max<std::int64_t>(1, limit.count()));
        return Millis(static_cast<std::int64_t>(random() % range));
    }

    /** Returns a service of the kernel. Aborts if it is missing, because that is a bug in the setup of the node. */
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
