#pragma once

#include "include/base/Clock.h"
#include "include/base/HttpMessage.h"
#include "include/flow/MemoryBudget.h"
#include "include/flow/ReadBudget.h"
#include "include/settings/NodeSettings.h"
#include "src/http/ConnectionHistory.h"

#include <boost/asio/io_context.hpp>
#include <tl/expected.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace waxwing {

struct ClientConnection;

enum class ExchangeFailure {
    /** No connection could be made. */
    Connect,
    /** The peer closed or reset the connection. */
    Reset,
    /** The timeout expired. */
    Timeout,
    /** The response ended before its body was complete. */
    Truncated,
    /** The response was not valid HTTP. */
    Malformed,
    /** The response is larger than allowed, or it was the largest when all responses together were too large. */
    TooLarge,
};

const char *exchangeFailureName(ExchangeFailure failure);

/** Why an exchange failed, and whether a byte of the request may have reached the peer. */
struct ExchangeError {
    ExchangeFailure failure = ExchangeFailure::Connect;
    bool mayHaveSentBytes = false;
    /** The connection was kept open from an earlier exchange, and the peer may already have been closing it. */
    bool onReusedConnection = false;
    /**
     * The peer ended the connection, before or within the response, as a process does that crashes. Also set if the
     * failure is Truncated, unlike for a response that is cut short by an invalid byte.
     */
    bool connectionEnded = false;
};

/** Cancels an exchange from another fiber. Not thread safe. */
class ExchangeCancel
{
public:
    /** Cancels the exchange, which fails with Timeout. Has no effect if none is running. */
    void cancel();

private:
    friend class HttpClient;
    std::function<void()> hook_;
};

/** Options of one exchange. */
struct ExchangeOptions {
    Duration timeout = std::chrono::seconds(1);
    /** Timeout of the body, from the end of the headers; zero: @c timeout covers the body as well. */
    Duration bodyTimeout = Duration(0);
    ExchangeCancel *cancel = nullptr;
    /**
     * Connections that were idle for longer are not reused. The peer closes idle connections, and if a request is sent
     * at that moment, it is unknown whether the request ran.
     */
    Duration maxIdle = std::chrono::hours(1);
    /** A response with a larger body fails as too large. A larger one would fit into no message between nodes. */
    std::uint64_t maxResponseBytes = 8UL * 1024 * 1024;
    /** Opens a new connection for this exchange and closes it after the response. */
    bool newConnection = false;
    /** ID that all sends of the request share. The exchange uses no connection that has carried it before. */
    std::string requestId;
    /**
     * Tells whether a response names the request. One to another request is dropped, and the next response on the
     * connection is read. One that names no request fails as malformed if the connection has carried another request.
     * Empty: every response is accepted.
     */
    std::function<ResponseMatch(const HttpResponse &)> matchResponse;
};

/**
 * HTTP/1.1 client with a pool of kept-open connections for each endpoint. A connection is never reused after a timeout,
 * a truncated response, a cancellation or a surplus byte, so that a late response can't be taken for the response to
 * the next request. Not thread safe.
 */
class HttpClient
{
public:
    /** Bytes of the responses that are being read, by default. */
    static constexpr std::uint64_t defaultReadBytes = 24UL * 1024 * 1024;

    /** @p maxReadBytes: bound on all responses that are being read, which holds whatever peers send. */
    explicit HttpClient(boost::asio::io_context &ioContext, std::uint64_t maxReadBytes = defaultReadBytes);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /** Charges the bodies of responses to @p memory. @pre called before the first exchange. */
    void setMemory(MemoryBudgetPtr memory);
    /** Sends @p request and returns the complete response. @pre called from a fiber; @p timeout > 0. */
    tl::expected<HttpResponse, ExchangeError> exchange(const Endpoint &endpoint, const HttpRequest &request,
                                                       Duration timeout, ExchangeCancel *cancel = nullptr);
    /**
     * As above. Reads the response while the request is still being written, because the peer may respond before it has
     * read a long body. A response without a length fails as truncated if the connection was reset, or if no process
     * listens at its end any more.
     */
    tl::expected<HttpResponse, ExchangeError> exchange(const Endpoint &endpoint, const HttpRequest &request,
                                                       const ExchangeOptions &options);
    /** Returns true if a connection to @p endpoint can be opened within @p timeout. @pre called from a fiber. */
    bool acceptsConnections(const Endpoint &endpoint, Duration timeout);
    /** An exiting process has closed all its sockets after this time, even on a VM whose CPU share is used up. */
    static constexpr Millis exitGrace{100};
    /** A live process accepts or refuses a connection within this time. */
    static constexpr Millis connectProbeTimeout{250};

    /**
     * Returns true if no process listens at @p endpoint now or shortly after. An exiting process closes its connections
     * and its listener in no fixed order: with a single check, a crash was sometimes missed on a busy VM, and the
     * request that caused it was sent to a third server. @pre called from a fiber.
     */
    bool hasStoppedListening(const Endpoint &endpoint);
    /** Closes kept-open connections to @p endpoint. */
    void closeIdle(const Endpoint &endpoint);

private:
    struct ReadGuard;
    using ConnectionPtr = std::shared_ptr<ClientConnection>;
    using ExchangeResult = tl::expected<HttpResponse, ExchangeError>;
    ConnectionPtr takeIdle(const Endpoint &endpoint, const ExchangeOptions &options);
    tl::expected<void, ExchangeError> connect(ClientConnection &connection, const Endpoint &endpoint);
    ExchangeResult readResponse(ClientConnection &connection, const HttpRequest &request,
                                const ExchangeOptions &options);
    /** Records the growth of the response on @p connection. Returns false if that response is given up. */
    bool growResponse(const ClientConnection &connection, std::uint64_t bytes);
    void returnToPool(const Endpoint &endpoint, ConnectionPtr connection);

    boost::asio::io_context &ioContext_;
    ReadBudget readBudget_;
    /** Null if the bytes of bodies are not bounded. */
    MemoryBudgetPtr memory_;
    /** The connections on which responses are being read. */
    std::map<ReadBudget::Id, ClientConnection *> reading_;
    std::map<Endpoint, std::vector<ConnectionPtr>> idle_;
};

} // namespace waxwing
