#pragma once

#include "include/base/Clock.h"
#include "include/base/HttpMessage.h"
#include "include/settings/NodeSettings.h"

#include <boost/asio/io_context.hpp>
#include <tl/expected.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace waxwing {

enum class ExchangeFailure {
    /** No connection could be made. */
    Connect,
    /** The peer closed or reset the connection. */
    Reset,
    /** The time allowed ran out. */
    Timeout,
    /** The answer ended before its whole body had come. */
    Truncated,
    /** The answer was not HTTP. */
    Malformed,
};

const char *exchangeFailureName(ExchangeFailure failure);

/** Why an exchange failed, and whether a byte of the request may have reached the peer. */
struct ExchangeError {
    ExchangeFailure failure = ExchangeFailure::Connect;
    bool mayHaveSentBytes = false;
    /** On a connection kept open from before, which the peer may have been closing already. */
    bool onReusedConnection = false;
};

/** Lets another fiber end an exchange early. Not thread safe. */
class ExchangeCancel
{
public:
    /** Ends the exchange; it fails as Timeout. Does nothing when none is running. */
    void cancel();

private:
    friend class HttpClient;
    std::function<void()> hook_;
};

/** What one exchange allows. */
struct ExchangeOptions {
    Duration timeout = std::chrono::seconds(1);
    /** Time for the body from the end of the headers on; zero: the body must come within @c allowed as well. */
    Duration bodyTimeout = Duration(0);
    ExchangeCancel *cancel = nullptr;
    /**
     * Longest that a kept-open connection may have been idle. The peer closes idle connections, and a request that
     * crosses the close is lost without a word of whether it ran.
     */
    Duration maxIdle = std::chrono::hours(1);
    /** On a connection of its own, which is closed after the answer. */
    bool newConnection = false;
    /**
     * False for an answer that belongs to another request: it is dropped and the next one on the connection is read.
     * Empty: every answer is taken.
     */
    std::function<bool(const HttpResponse &)> matchesRequest;
};

/**
 * HTTP/1.1 client with one pool of kept-open connections for each endpoint. Not thread safe.
 * A connection that saw a timeout, a cut, a cancellation or a surplus byte is never used again, so that a late
 * answer can't be taken for the answer to the next request.
 */
class HttpClient
{
public:
    explicit HttpClient(boost::asio::io_context &ioContext);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /** Sends @p request and returns the whole answer. @pre called from a fiber; @p timeout > 0. */
    tl::expected<HttpResponse, ExchangeError> exchange(const Endpoint &endpoint, const HttpRequest &request,
                                                       Duration timeout, ExchangeCancel *cancel = nullptr);
    /**
     * As above. The answer is read while the request is still being written, so that a peer which answers before it
     * has read a long body is heard.
     */
    tl::expected<HttpResponse, ExchangeError> exchange(const Endpoint &endpoint, const HttpRequest &request,
                                                       const ExchangeOptions &options);
    /** True if something accepts connections at @p endpoint. @pre called from a fiber. */
    bool acceptsConnections(const Endpoint &endpoint, Duration timeout);
    /**
     * True if nobody listens at @p endpoint, or soon no more. A process that ends closes its connections before or
     * after its listener, as it comes: asked only once, a death went unseen now and then on a busy VM, and the request
     * that had caused it was given to a third server. @pre called from a fiber.
     */
    bool hasStoppedListening(const Endpoint &endpoint);
    /** Closes kept-open connections to @p endpoint. */
    void closeIdle(const Endpoint &endpoint);

private:
    struct Connection;
    using ConnectionPtr = std::shared_ptr<Connection>;
    using ExchangeResult = tl::expected<HttpResponse, ExchangeError>;
    ConnectionPtr takeIdle(const Endpoint &endpoint, Duration maxIdle);
    tl::expected<void, ExchangeError> connect(Connection &connection, const Endpoint &endpoint);
    static ExchangeResult readResponse(Connection &connection, const HttpRequest &request,
                                       const ExchangeOptions &options);
    void returnToPool(const Endpoint &endpoint, ConnectionPtr connection);

    boost::asio::io_context &ioContext_;
    std::map<Endpoint, std::vector<ConnectionPtr>> idle_;
};

} // namespace waxwing
