#pragma once

#include "src/fiber/FiberNotifier.h"
#include "src/http/HttpServer.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>

#include <array>
#include <deque>
#include <memory>
#include <optional>

namespace waxwing {

/** What all connections of one server share. */
struct HttpShared {
    boost::asio::io_context &ioContext;
    HttpServer::Handler handler;
    HttpLimits limits;
    HttpServer::RejectHook onReject;
    /** Requests that were read and not yet answered. */
    std::size_t inFlight = 0;
    /** Each response closes its connection. */
    bool closing = false;
    /** Connections without a request under way are closed. */
    bool draining = false;
};

/**
 * One connection of an HttpServer. Requests that a caller sent without waiting for answers (pipelining) run side by
 * side, and their answers go out whole and in the order of the requests. A request whose method is not safe runs alone:
 * it begins when those before it are answered, and those behind it wait for its answer.
 *
 * A response that closes the connection is the last one: nothing behind it has been given to the handler. So a caller
 * that sends again what was behind a closing response never has it run twice. Not thread safe.
 */
class HttpConnection : public std::enable_shared_from_this<HttpConnection>
{
public:
    HttpConnection(boost::asio::ip::tcp::socket socket, std::shared_ptr<HttpShared> server);

    /** Serves until the connection has ended. @pre called from a fiber, once. */
    void serve();
    /** The server drains: a connection that waits for its next request ends. */
    void onDrain();

private:
    /** A request that was read, until its answer is written. */
    struct Exchange {
        CallerWatchPtr watch;
        HttpReply reply;
        bool done = false;
        /** Bytes held for it. */
        std::size_t bytes = 0;
    };
    struct ReadRequest {
        HttpRequest request;
        /** The caller takes no answer after this one's. */
        bool last = false;
    };
    using ExchangePtr = std::shared_ptr<Exchange>;
    using Serializer = boost::beast::http::response_serializer<boost::beast::http::string_body>;

    /** Reads on, unless a read is under way or enough was read ahead. */
    void readAhead();
    void onInput(boost::system::error_code error, std::size_t bytes);
    /** Nobody waits for answers any more: tells the handlers. */
    void onCallerDisconnected();
    /** Waits for more input until @p until. False if none will come, or not in time. */
    bool awaitInput(SteadyTime until);
    /** Waits for the first byte of the next request. False if there is none to wait for. */
    bool awaitFirstByte();
    /** Waits until @p ready. False if the connection takes no more requests. */
    bool awaitUntil(const std::function<bool()> &ready);
    std::optional<ReadRequest> readRequest();
    void confirmContinue();
    /** Answers what can't be served, as the last answer of this connection. */
    void reject(unsigned status, const std::string &message);
    void begin(HttpRequest request);
    void finish(const ExchangePtr &exchange, HttpReply reply);
    /** Writes the answers that are next in order and ready. */
    void writeReady();
    /** False if the connection broke. */
    bool write(HttpReply reply, bool keepAlive);
    /** Writes a part when the caller takes it. */
    boost::system::error_code writeSome(Serializer &serializer);
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
    SteadyTime idleSince_;
    bool writing_ = false;
    /** No further request is read: the caller said so, or one could not be read. */
    bool requestsDone_ = false;
    /** The last answer was written, or writing failed. */
    bool responsesDone_ = false;
    /** Input is read only to be dropped, and how much was. */
    bool discarding_ = false;
    std::size_t discarded_ = 0;
};

} // namespace waxwing
