#pragma once

#include "include/base/Clock.h"

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace waxwing {

/** A run whose server closed the connection before its response was complete, and then still accepted connections. */
struct SuspectedCrash {
    std::string server;
    std::uint64_t incarnation = 0;
    /** Digest of the request that ran. */
    std::uint64_t digest = 0;
    SteadyTime at;
};

/**
 * Runs that may have crashed the server beside a node. A server that restarts at once, or whose address another process
 * takes, is never seen without a listener; that it crashed shows when another process registers soon after the run.
 * Not thread safe.
 */
class SuspectedCrashes
{
public:
    /** A process that registers later than this after a run says nothing about it. */
    static constexpr Millis retention = std::chrono::seconds(10);

    void add(SuspectedCrash crash);
    /** Returns the runs that the start of the process @p incarnation proves to have crashed a server; forgets all. */
    std::vector<SuspectedCrash> confirm(std::uint64_t incarnation, SteadyTime now);

private:
    std::deque<SuspectedCrash> crashes_;
};

} // namespace waxwing
