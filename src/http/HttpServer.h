#pragma once

#include "include/base/Clock.h"
#include "include/base/Error.h"
#include "include/base/HttpMessage.h"
#include "include/settings/NodeSettings.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace waxwing {

/** Bounds on what one caller may make the server hold. */
struct HttpLimits {
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 1024UL * 1024;
    std::size_t connections = 20000;
    /** How long a connection may wait for its next request. */
    Millis idleTimeout = std::chrono::seconds(60);
    /** How long a request's headers may take from their first byte. */
    Millis headerTimeout = std::chrono::seconds(15);
    /** How long a body may take, and how long a caller may take nothing of its response. */
    Millis messageTimeout = std::chrono::seconds(15);
    /** Requests of one connection that are worked on at once, and the bytes of bodies held for them. */
    std::uint32_t pipelinedRequests = 16;
    std::uint64_t pipelinedBytes = 1024UL * 1024;
};

/** The bounds that a node's settings name. Thread safe. */
HttpLimits MakeHttpLimits(const NodeLimits &limits);

/** What a handler wants done with its connection after (or instead of) the response. */
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

/** Tells a handler that its caller closed the connection, so that nobody waits for the answer any more. */
struct CallerWatch {
    bool disconnected = false;
    /** Set by the handler, called at most once. */
    std::function<void()> onDisconnect;
};

using CallerWatchPtr = std::shared_ptr<CallerWatch>;

/**
 * An HTTP/1.1 server (Boost.Beast): one fiber for each connection, and one for each request under way, on the thread
 * of the io_context. Pipelined requests run side by side within HttpLimits::pipelinedRequests and pipelinedBytes; past
 * these the connection is not read.
 * Not thread safe.
 */
class HttpServer
{
public:
    using Handler = std::function<HttpReply(HttpRequest request, const CallerWatchPtr &caller)>;
    /** Called with a short reason for each message that was refused before it reached the handler. */
    using RejectHook = std::function<void(const std::string &reason)>;

    /** Listens on @p address:@p port (0 picks a free one). Errors: Unavailable. */
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
    /** Takes over other bounds; the next request of each connection is held to them. */
    void setLimits(const HttpLimits &limits);
    /** From now on each response says that its connection closes; new connections are still taken. */
    void announceClose();
    /** Takes no new connection and closes each kept-open one after the response it is working on. */
    void drain();

private:
    struct State;
    explicit HttpServer(std::shared_ptr<State> state);
    std::shared_ptr<State> state_;
};

} // namespace waxwing
