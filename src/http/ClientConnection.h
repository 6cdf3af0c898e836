#pragma once

#include "include/base/Clock.h"
#include "include/base/HttpMessage.h"
#include "include/flow/FramingBudget.h"
#include "include/flow/ReadBudget.h"
#include "src/http/BudgetedBody.h"
#include "src/http/ConnectionHistory.h"
#include "src/http/MessageHead.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <chrono>
#include <optional>

namespace waxwing {

/** What the headers of a response say. */
struct ResponseHead {
    unsigned status = 0;
    /** Without those that concern the connection. */
    HeaderList headers;
    /** The connection stays open after the response. */
    bool keepsAlive = false;
    /** How long the peer keeps the idle connection open; negative if it doesn't say. */
    std::chrono::seconds keepAlive{-1};
};

/** One connection of an HttpClient, and the reading of responses on it. Not thread safe. */
struct ClientConnection {
    using ResponseParser = boost::beast::http::response_parser<BudgetedBody>;

    /**
     * Largest number of bytes that were received and not yet parsed. The parser bounds headers, but waits without a
     * bound for the end of a chunk's size line and of trailers.
     */
    static constexpr std::size_t maxBufferBytes = 128UL * 1024;

    /** @p ioContext outlives the connection. */
    explicit ClientConnection(boost::asio::io_context &ioContext);

    /** Returns true if the peer has neither closed the connection nor sent anything since the last response. */
    bool isClean();
    /** Returns true if the connection may be used again at @p now, after it was idle for @p maxIdle at most. */
    bool isUsable(SteadyTime now, Duration maxIdle);
    /** Sets the deadline of all that is done on the connection to @p timeout from now. */
    void setTimeout(Duration timeout);
    /**
     * Reads one message. Each read is checked here against the deadline and for a cancellation: while the peer sends
     * without pause, neither the stream's timer, which starts anew with each read, nor a cancellation finds a read that
     * waits. The library's composed reads don't return either as long as the last line of a buffer is incomplete.
     * @p bodyTimeout: new timeout from the end of the headers, unless zero. Errors: bad_status, bad_field and
     * bad_transfer_encoding for a message that is no usable response, before its body is read. @pre called from a
     * fiber.
     */
    boost::beast::error_code readMessage(ResponseParser &parser, FramingBudget &framing, Duration bodyTimeout);

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer{maxBufferBytes};
    SteadyTime deadline;
    bool isCancelled = false;
    ConnectionHistory history;
    /**
     * The head of the message that is being read, once it is complete and that of a response. Trailers are not added: a
     * seal or a rejection in them would pass for one of the headers.
     */
    std::optional<ResponseHead> head;
    /** Identifies the response that is being read. */
    ReadBudget::Id readId = 0;
    /** The response was given up because all responses together were too large. */
    bool isGivenUp = false;
    /** The last response was complete, and the connection allows another request. */
    bool reusable = false;
    SteadyTime idleSince;
    /** How long the connection may be idle: the time that the peer announced, less a margin. */
    Duration keepAliveTimeout = Duration::max();

private:
    /** Reads more bytes into the buffer and sets @p received to their number. */
    boost::beast::error_code receive(std::size_t &received);
    /** Parses what is buffered. */
    boost::beast::error_code parse(ResponseParser &parser, Duration bodyTimeout);

    FoldedLineDetector foldedLines_;
};

} // namespace waxwing
