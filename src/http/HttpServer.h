#pragma once

#include "include/base/Clock.h"
#include "include/base/Error.h"
#include "include/base/HttpMessage.h"
#include "include/flow/MemoryBudget.h"
#include "include/settings/NodeSettings.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace waxwing {

class ResponseFlow;

/** Limits on the resources that callers may use. */
struct HttpLimits {
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 1024UL * 1024;
    std::size_t connections = 20000;
    /** How long a connection may wait for its next request. */
    Millis idleTimeout = std::chrono::seconds(60);
    /** Time limit of a request's headers, from their first byte. */
    Millis headerTimeout = std::chrono::seconds(15);
    /** Time limit of a request's body, and how long a caller may read nothing of its response. */
    Millis messageTimeout = std::chrono::seconds(15);
    /** Requests of one connection that run at once, and the bytes of bodies held for them. */
    std::uint32_t pipelinedRequests = 16;
    std::uint64_t pipelinedBytes = 1024UL * 1024;
};

/** Returns the limits that a node's settings define. Thread safe. */
HttpLimits MakeHttpLimits(const NodeLimits &limits);

/** What happens to the connection after (or instead of) the response. */
enum class AfterResponse {
    KeepOpen,
    Close,
    /** Sends only the first half of the body, then resets. For stand-ins that produce faults. */
    TruncateBody,
    /** Sends nothing and resets. For stand-ins that produce faults. */
    Reset,
};

struct HttpReply {
    HttpResponse response;
    AfterResponse after = AfterResponse::KeepOpen;
};

/**
 * Notifies a handler that its response can't be delivered: the caller closed the connection, or the last response on it
 * was written or failed.
 */
struct CallerWatch {
    bool disconnected = false;
    /** Set by the handler, called at most once. */
    std::function<void()> onDisconnect;
    /** Id of the request in log lines; set by the handler. */
    std::string requestId;
    /** What the handler has reserved for this request with the server's ResponseFlow; released with the response. */
    std::optional<std::uint64_t> reservation;
};

using CallerWatchPtr = std::shared_ptr<CallerWatch>;

/**
 * An HTTP/1.1 server (Boost.Beast) with one fiber for each connection and one for each request in progress, on the
 * thread of the io_context. Pipelined requests run concurrently within HttpLimits::pipelinedRequests and
 * pipelinedBytes; requests beyond these limits wait. Not thread safe.
 */
class HttpServer
{
public:
    using Handler = std::function<HttpReply(HttpRequest request, const CallerWatchPtr &caller)>;
    /** Called with a short reason for each connection or request that was rejected before it reached the handler. */
    using RejectHook = std::function<void(const std::string &reason)>;

    /** Listens on @p address:@p port (0 picks a free one). Errors: Malformed for a bad address; Unavailable. */
    static Expected<std::unique_ptr<HttpServer>> MakeListening(boost::asio::io_context &ioContext,
                                                               const std::string &address, std::uint16_t port,
                                                               Handler handler, HttpLimits limits = {},
                                                               RejectHook onReject = {});
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    std::uint16_t port() const;
    std::size_t requestsInFlight() const;
    std::size_t connections() const;
    /**
     * Replaces the limits. Size and pipelining limits apply from the next request of each connection on, timeouts from
     * the next wait on, and the limit on connections to new ones only.
     */
    void setLimits(const HttpLimits &limits);
    /** Bounds the bytes that connections hold for slow readers. @pre called before the first connection. */
    void setFlow(std::shared_ptr<ResponseFlow> flow);
    /** Refuses requests whose bodies exceed @p memory before they are read. @pre called before the first connection. */
    void setMemory(MemoryBudgetPtr memory);
    /**
     * From now on each connection closes after the responses to the requests that it has read, or an idle one after its
     * next request. The last response announces this. New connections are still accepted.
     */
    void announceClose();
    /** Accepts no new connection, and closes each open one after the responses in progress. */
    void drain();

private:
    struct State;
    explicit HttpServer(std::shared_ptr<State> state);
    std::shared_ptr<State> state_;
};

} // namespace waxwing
