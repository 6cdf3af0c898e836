#pragma once

#include "src/fiber/FiberNotifier.h"
#include "src/http/BudgetedBody.h"
#include "src/http/HttpServer.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/span_body.hpp>

#include <array>
#include <deque>
#include <memory>
#include <optional>

namespace waxwing {

/** State shared by all connections of one server. */
struct HttpShared {
    boost::asio::io_context &ioContext;
    HttpServer::Handler handler;
    HttpLimits limits;
    HttpServer::RejectHook onReject;
    /** Null if the bytes held for slow readers are not bounded. */
    std::shared_ptr<ResponseFlow> flow;
    /** Null if the bytes of bodies are not bounded. */
    MemoryBudgetPtr memory;
    /** Requests that were read and have no response yet. */
    std::size_t inFlight = 0;
    /** Each connection closes after the responses to the requests that it has read, or after its next request. */
    bool closing = false;
    /** Each connection closes after the responses in progress, an idle one at once. */
    bool draining = false;
};

/**
 * One connection of an HttpServer. Requests that a caller sends without waiting for responses (pipelining) run
 * concurrently, and their responses are sent complete and in the order of the requests. A request whose method is not
 * safe runs alone: it starts after all earlier responses, and the requests behind it wait for its response.
 *
 * A response that closes the connection is the last one: no request behind it has been given to the handler. A caller
 * that resends the requests behind a closing response therefore never has them run twice. Not thread safe.
 */
class HttpConnection : public std::enable_shared_from_this<HttpConnection>
{
public:
    HttpConnection(boost::asio::ip::tcp::socket socket, std::shared_ptr<HttpShared> server);

    /** Serves requests until the connection ends. @pre called from a fiber, once. */
    void serve();
    /** Called when the server drains: a connection that waits for its next request closes. */
    void onDrain();

private:
    /** A request that was read, until its response is written. */
    struct Exchange {
        CallerWatchPtr watch;
        HttpReply reply;
        bool done = false;
        /** Bytes of its request or response body held in memory. */
        std::size_t bytes = 0;
    };
    /** What a body that is being read holds of the memory budget. */
    struct IncomingBody {
        MemoryBudget::ChargePtr charge;
        /** The body has grown beyond the budget. */
        bool isRefused = false;
    };
    struct ReadRequest {
        HttpRequest request;
        /** The response to this request is the last one that the caller expects. */
        bool last = false;
    };
    using ExchangePtr = std::shared_ptr<Exchange>;
    /** A response whose body stays where it is: large ones are not copied. */
    using Response = boost::beast::http::response<boost::beast::http::span_body<const char>>;
    using Serializer = boost::beast::http::response_serializer<Response::body_type>;
    using RequestParser = boost::beast::http::request_parser<BudgetedBody>;

    /** Starts a read, unless one is in progress or enough is buffered. */
    void readAhead();
    void onInput(boost::system::error_code error, std::size_t bytes);
    /** Returns how much input is read and dropped after the last response. */
    std::size_t maxDiscardedBytes() const;
    /** Notifies the handlers that their responses can't be delivered. */
    void onCallerDisconnected();
    /** Waits for more input. Returns false if none has arrived at @p until, or if no more is expected. */
    bool awaitInput(SteadyTime until);
    /** Waits for the first byte of the next request. Returns false if no further request will be read. */
    bool awaitFirstByte();
    /** Waits until @p ready returns true. Returns false if the connection accepts no more requests. */
    bool awaitUntil(const std::function<bool()> &ready);
    /** Returns true if one more request may run. */
    bool hasRoom() const;
    std::optional<ReadRequest> readRequest();
    /** Checks the headers that were read and charges @p body. Rejects the request and returns false if it can't run. */
    bool acceptHeaders(RequestParser &parser, IncomingBody &body);
    /** Charges a body to the memory budget. Returns false if there is no room for it. */
    bool chargeBody(RequestParser &parser, IncomingBody &body) const;
    void rejectParseError(const boost::system::error_code &error);
    void confirmContinue();
    /** Sends an error as the last response of this connection. @p retryAfter: for the caller; zero: none. */
    void reject(unsigned status, const std::string &message, Millis retryAfter = Millis(0));
    void start(HttpRequest request);
    void finish(const ExchangePtr &exchange, HttpReply reply);
    /** Adds the response of @p exchange to the server's flow control, if the exchange has a reservation there. */
    void addToFlow(const ExchangePtr &exchange);
    void releaseFlow(const Exchange &exchange);
    /** Writes the completed responses that are next in order. */
    void writeReady();
    /** Writes a response. Returns false if no other response can follow on this connection. */
    bool write(const ExchangePtr &exchange, bool keepAlive);
    /** Writes the next part of a response once the socket accepts it. */
    IoResult writeSome(Serializer &serializer, const ExchangePtr &exchange);
    /** Returns how long a caller may read nothing of its response. */
    Millis stallTimeout() const;
    /** Closes the connection without sending what its socket buffers. */
    void reset();
    bool isLastResponse(const HttpReply &reply) const;
    bool takesRequests() const;
    void lingerAndClose();

    boost::asio::ip::tcp::socket socket_;
    std::shared_ptr<HttpShared> server_;
    FiberNotifier notifier_;
    std::array<char, 4096> readBuffer_{};
    boost::beast::flat_buffer input_;
    bool reading_ = false;
    bool inputEnded_ = false;
    std::deque<ExchangePtr> exchanges_;
    std::size_t bytesHeld_ = 0;
    /** Size of the largest response on this connection so far. */
    std::size_t largestResponse_ = 0;
    SteadyTime idleSince_;
    bool writing_ = false;
    /** No further request is read: the last one was announced or rejected, or a response closes the connection. */
    bool requestsDone_ = false;
    /** The last response was written, or writing failed. */
    bool responsesDone_ = false;
    /** Input is read only to be discarded. */
    bool discarding_ = false;
    /** Bytes discarded so far. */
    std::size_t discarded_ = 0;
};

} // namespace waxwing
