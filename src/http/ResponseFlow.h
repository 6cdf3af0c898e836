#pragma once

#include "include/flow/ByteBudget.h"
#include "include/settings/NodeSettings.h"

#include <functional>
#include <map>
#include <string>

namespace waxwing {

/** State of one response that its caller reads slowly. */
struct SlowReader {
    std::string requestId;
    std::uint64_t bytes = 0;
    std::uint64_t readBytes = 0;
    Millis writing{0};
};

/**
 * The responses that a server's connections hold for their callers, and the bound on their bytes. ByteBudget makes the
 * decisions; this class carries them out on the connections. Not thread safe.
 */
class ResponseFlow
{
public:
    struct Hooks {
        /** A response is still being written after slowAfter. Called once for each response. */
        std::function<void(const SlowReader &)> onSlow;
        /** A connection was closed before its response was complete. */
        std::function<void(const SlowReader &, const std::string &reason)> onClosed;
        /** The number of bytes held has changed. */
        std::function<void(std::uint64_t heldBytes)> onHeld;
    };

    /** A response that takes longer than this to write has a slow reader. */
    static constexpr Millis slowAfter{1000};
    /**
     * Send buffer requested for each connection; the kernel doubles it. Without a limit the kernel buffers several
     * megabytes for a caller that does not read.
     */
    static constexpr int sendBufferBytes = 64 * 1024;

    /** @pre @p clock outlives this object. */
    ResponseFlow(const FlowSettings &settings, const Clock &clock, Hooks hooks);

    const FlowSettings &settings() const;
    const ByteBudget &budget() const;
    /** Reserves bytes for a request of @p route. Returns nullopt if the request must be refused as not run. */
    std::optional<ByteBudget::Id> reserve(const std::string &route, std::uint64_t requestBytes);
    /** Returns the time after which a refused request of @p route is expected to find room. */
    Millis retryAfter(const std::string &route) const;
    /**
     * Adds the response to a request. If the bound is exceeded, connections of slow readers are closed by calling their
     * @p close, possibly this one.
     */
    void addResponse(ByteBudget::Id id, std::string requestId, std::uint64_t bytes, std::function<void()> close);
    /** Records that the caller has read @p bytes more. */
    void noteProgress(ByteBudget::Id id, std::uint64_t bytes);
    /** Records that a connection was closed because its caller has read nothing for FlowSettings::stall. */
    void noteStalled(ByteBudget::Id id);
    /** Ends a request: nothing is held for it any more. Ignores unknown ids. */
    void release(ByteBudget::Id id);

private:
    struct Response {
        SlowReader reader;
        SteadyTime since;
        bool reportedSlow = false;
        std::function<void()> close;
    };

    void closeExcess();
    void reportSlow(Response &response);
    void reportClosed(Response &response, const std::string &reason);
    void reportHeld() const;

    FlowSettings settings_;
    const Clock &clock_;
    Hooks hooks_;
    ByteBudget budget_;
    std::map<ByteBudget::Id, Response> responses_;
};

} // namespace waxwing
