#include "src/http/HttpConnection.h"

#include "src/fiber/FiberLoop.h"
#include "src/http/MessageHead.h"
#include "src/http/ResponseFlow.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>

namespace waxwing {

namespace beast = boost::beast;
namespace http = beast::http;
using tcp = boost::asio::ip::tcp;

namespace {

/**
 * Maximum input buffered behind the requests in progress. Reading ahead detects that the caller closes the connection.
 * Input beyond this limit stays in the socket until responses have been sent.
 */
constexpr std::size_t maxReadAhead = 64UL * 1024;
/**
 * After the last response, remaining input is read for this long and up to this size beyond one body: closing a
 * connection with unread bytes resets it, and the reset may overtake the response.
 */
constexpr Millis lingerTime{500};
constexpr std::size_t lingerBytes = 1024UL * 1024;
constexpr unsigned badRequest = 400;
constexpr unsigned tooLarge = 413;
constexpr unsigned headersTooLarge = 431;
constexpr unsigned unavailable = 503;
constexpr const char *noMemoryReason = "no memory for the body";
/** A body that was accepted is read and run within about this time. */
constexpr Millis noMemoryRetryAfter{1000};
/** For waits that end only with a notification; they are in loops and start again after this time. */
constexpr Duration noTimeout = std::chrono::hours(1);

SteadyTime now()
{
    return std::chrono::steady_clock::now();
}

/** Returns why a message that the parser accepts must not be served; empty if it may be. */
std::string requestError(const http::request<BudgetedBody> &message)
{
    const auto hosts = message.count(http::field::host);
    if (message.version() >= 11 && hosts != 1) {
        return hosts == 0 ? "no Host header" : "more than one Host header";
    }
    // If two parsers disagree about the end of a body, the rest of the body is read as a request that no caller sent.
    if (hasUnknownCoding(message)) {
        return "Transfer-Encoding other than chunked";
    }
    if (message.count(http::field::transfer_encoding) > 0 && message.count(http::field::content_length) > 0) {
        return "both Transfer-Encoding and Content-Length";
    }
    return {};
}

/**
 * Converts the absolute form of a target ("http://host/path") to the origin form, and keeps the origin form and "*".
 * Returns false for any other target.
 */
bool toOriginForm(http::request<BudgetedBody> &message)
{
    const std::string target(message.target());
    const std::string scheme = "http://";
    if (!target.empty() && (target[0] == '/' || target == "*")) {
        return true;
    }
    if (target.size() <= scheme.size() || !beast::iequals(target.substr(0, scheme.size()), scheme)) {
        return false;
    }
    const std::size_t path = target.find_first_of("/?", scheme.size());
    message.set(http::field::host, target.substr(scheme.size(), path - scheme.size()));
    const std::string rest = path == std::string::npos ? "/" : target.substr(path);
    message.target(rest[0] == '/' ? rest : "/" + rest);
    return true;
}

/** Returns the request without its body. @pre no trailer has been parsed yet: it would pass for a header. */
HttpRequest headOf(const http::request<BudgetedBody> &message)
{
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto &field : message) {
        request.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
    return request;
}

/** Returns a message that refers to the body of @p reply, which must outlive it. */
http::response<http::span_body<const char>> toBeast(const HttpReply &reply, bool keepAlive)
{
    http::response<http::span_body<const char>> message;
    message.version(11);
    message.result(reply.response.status);
    for (const auto &[name, value] : reply.response.headers) {
        if (!isHopByHop(name)) {
            message.insert(name, value);
        }
    }
    message.keep_alive(keepAlive);
    const std::string &body = reply.response.body.text();
    message.body() = {body.data(), body.size()};
    if (!reply.response.isCloseDelimited) {
        message.prepare_payload();
    }
    if (reply.after == AfterResponse::TruncateBody) {
        message.body() = {body.data(), body.size() / 2};
    }
    return message;
}

/** Returns true for the safe methods (RFC 9110). Callers pipeline only these; any other method runs alone. */
bool isSafeMethod(const std::string &method)
{
    return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

} // namespace

HttpConnection::HttpConnection(tcp::socket socket, std::shared_ptr<HttpShared> server)
    : socket_(std::move(socket))
    , server_(std::move(server))
    , idleSince_(now())
{
    boost::system::error_code ignored;
    socket_.non_blocking(true, ignored);
    if (server_->flow) {
        socket_.set_option(boost::asio::socket_base::send_buffer_size(ResponseFlow::sendBufferBytes), ignored);
    }
}

void HttpConnection::onDrain()
{
    notifier_.notify();
}

void HttpConnection::readAhead()
{
    // Checked here too, because onInput() starts the next read itself while the fiber that discards waits for its turn.
    const bool enough = discarding_ ? discarded_ >= maxDiscardedBytes() : input_.size() >= maxReadAhead;
    if (reading_ || inputEnded_ || enough) {
        return;
    }
    reading_ = true;
    socket_.async_read_some(boost::asio::buffer(readBuffer_),
                            [self = shared_from_this()](boost::system::error_code error, std::size_t bytes) {
                                self->onInput(error, bytes);
                            });
}

std::size_t HttpConnection::maxDiscardedBytes() const
{
    // The caller of a request that was refused by its headers may read the response only after it has sent the body.
    return lingerBytes + server_->limits.bodyBytes;
}

void HttpConnection::onInput(boost::system::error_code error, std::size_t bytes)
{
    reading_ = false;
    if (discarding_) {
        discarded_ += bytes;
    } else if (bytes > 0) {
        input_.commit(boost::asio::buffer_copy(input_.prepare(bytes), boost::asio::buffer(readBuffer_, bytes)));
    }
    if (error) {
        inputEnded_ = true;
        onCallerDisconnected();
    }
    readAhead();
    notifier_.notify();
}

void HttpConnection::onCallerDisconnected()
{
    const std::deque<ExchangePtr> waiting = exchanges_;
    for (const ExchangePtr &exchange : waiting) {
        const std::function<void()> hook = std::move(exchange->watch->onDisconnect);
        exchange->watch->onDisconnect = {};
        exchange->watch->disconnected = true;
        if (hook) {
            hook();
        }
    }
}

bool HttpConnection::awaitInput(SteadyTime until)
{
    const std::size_t before = input_.size();
    readAhead();
    while (input_.size() == before && !inputEnded_ && !responsesDone_) {
        const Duration left = until - now();
        if (left <= Duration(0)) {
            return false;
        }
        notifier_.wait(server_->ioContext, left);
    }
    return input_.size() > before;
}

bool HttpConnection::takesRequests() const
{
    const bool ending = server_->draining || (server_->closing && !exchanges_.empty());
    return !responsesDone_ && !requestsDone_ && !inputEnded_ && !ending;
}

bool HttpConnection::awaitUntil(const std::function<bool()> &ready)
{
    while (takesRequests() && !ready()) {
        notifier_.wait(server_->ioContext, noTimeout);
    }
    return takesRequests();
}

bool HttpConnection::hasRoom() const
{
    if (exchanges_.size() >= server_->limits.pipelinedRequests || bytesHeld_ >= server_->limits.pipelinedBytes) {
        return false;
    }
    if (!server_->flow || exchanges_.empty()) {
        return true;
    }
    // Responses that are not ready yet are assumed to be as large as the largest one on this connection.
    const auto running = static_cast<std::size_t>(std::count_if(
        exchanges_.begin(), exchanges_.end(), [](const ExchangePtr &exchange) { return !exchange->done; }));
    return bytesHeld_ + (running + 1) * largestResponse_ <= server_->flow->settings().connectionBytes;
}

bool HttpConnection::awaitFirstByte()
{
    readAhead();
    while (takesRequests() && input_.size() == 0) {
        const Duration left = exchanges_.empty() ? idleSince_ + server_->limits.idleTimeout - now() : noTimeout;
        if (left <= Duration(0)) {
            return false;
        }
        notifier_.wait(server_->ioContext, left);
    }
    return takesRequests();
}

void HttpConnection::reject(unsigned status, const std::string &message, Millis retryAfter)
{
    if (server_->onReject) {
        server_->onReject(message);
    }
    requestsDone_ = true;
    HttpReply reply{jsonResponse(status, "{\"error\":\"" + message + "\"}\n"), AfterResponse::Close};
    reply.response.headers.emplace_back("Waxwing-Outcome", "not-run");
    if (retryAfter > Millis(0)) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(retryAfter);
        reply.response.headers.emplace_back("Retry-After", std::to_string(seconds.count()));
    }
    const auto exchange = std::make_shared<Exchange>();
    exchange->watch = std::make_shared<CallerWatch>();
    exchanges_.push_back(exchange);
    ++server_->inFlight;
    finish(exchange, std::move(reply));
}

void HttpConnection::confirmContinue()
{
    static const std::string continueResponse = "HTTP/1.1 100 Continue\r\n\r\n";
    // The order of responses includes interim ones.
    if (awaitUntil([this] { return exchanges_.empty(); })) {
        await([&](auto handle) {
            boost::asio::async_write(socket_, boost::asio::buffer(continueResponse), std::move(handle));
        });
    }
}

void HttpConnection::rejectParseError(const boost::system::error_code &error)
{
    if (error == http::error::body_limit) {
        reject(tooLarge, error.message());
    } else {
        reject(error == http::error::header_limit ? headersTooLarge : badRequest, error.message());
    }
}

bool HttpConnection::chargeBody(RequestParser &parser, IncomingBody &body) const
{
    if (!server_->memory) {
        return true;
    }
    const std::uint64_t announced = parser.content_length().value_or(0);
    body.charge = server_->memory->reserve(announced);
    if (!body.charge) {
        return false;
    }
    parser.get().body().maxBytes = announced;
    if (parser.chunked()) {
        // The length of a body in chunks is known only at its end.
        parser.get().body().maxBytes = server_->limits.bodyBytes;
        parser.get().body().mayGrow = [&body](std::uint64_t bytes) {
            body.isRefused = !body.charge->grow(bytes);
            return !body.isRefused;
        };
    }
    return true;
}

bool HttpConnection::acceptHeaders(RequestParser &parser, IncomingBody &body)
{
    const std::string fault = requestError(parser.get());
    if (!fault.empty() || !toOriginForm(parser.get())) {
        reject(badRequest, fault.empty() ? "malformed target" : fault);
        return false;
    }
    if (!chargeBody(parser, body)) {
        reject(unavailable, noMemoryReason, noMemoryRetryAfter);
        return false;
    }
    if (!parser.is_done() && beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        confirmContinue();
    }
    return true;
}

std::optional<HttpConnection::ReadRequest> HttpConnection::readRequest()
{
    IncomingBody body;
    RequestParser parser;
    parser.header_limit(server_->limits.headerBytes);
    parser.body_limit(server_->limits.bodyBytes);
    SteadyTime until = now() + server_->limits.headerTimeout;
    FoldedLineDetector foldedLines;
    ReadRequest read;
    bool headerSeen = false;
    while (!parser.is_done()) {
        beast::error_code error;
        const std::size_t consumed = parser.put(input_.data(), error);
        const std::string_view bytes(static_cast<const char *>(input_.data().data()), consumed);
        if (!headerSeen && foldedLines.add(bytes)) {
            reject(badRequest, "folded header line");
            return std::nullopt;
        }
        input_.consume(consumed);
        if (error && error != http::error::need_more) {
            if (body.isRefused) {
                reject(unavailable, noMemoryReason, noMemoryRetryAfter);
            } else {
                rejectParseError(error);
            }
            return std::nullopt;
        }
        if (parser.is_header_done() && !headerSeen) {
            headerSeen = true;
            if (!acceptHeaders(parser, body)) {
                return std::nullopt;
            }
            read = ReadRequest{headOf(parser.get()), !parser.get().keep_alive()};
            until = now() + server_->limits.messageTimeout;
            parser.eager(true);
            continue;
        }
        if (!parser.is_done() && !awaitInput(until)) {
            return std::nullopt;
        }
    }
    readAhead();
    read.request.body = Body(std::move(parser.get().body().text), std::move(body.charge));
    return read;
}

void HttpConnection::start(HttpRequest request)
{
    const auto exchange = std::make_shared<Exchange>();
    exchange->watch = std::make_shared<CallerWatch>();
    exchange->bytes = request.body.size();
    bytesHeld_ += exchange->bytes;
    exchanges_.push_back(exchange);
    ++server_->inFlight;
    spawnFiber([self = shared_from_this(), exchange, request = std::move(request)]() mutable {
        const bool disconnected = exchange->watch->disconnected;
        self->finish(exchange,
                     disconnected ? HttpReply{} : self->server_->handler(std::move(request), exchange->watch));
    });
}

void HttpConnection::finish(const ExchangePtr &exchange, HttpReply reply)
{
    exchange->watch->onDisconnect = {};
    bytesHeld_ -= exchange->bytes;
    exchange->bytes = reply.response.body.size();
    bytesHeld_ += exchange->bytes;
    exchange->reply = std::move(reply);
    exchange->done = true;
    addToFlow(exchange);
    writeReady();
}

void HttpConnection::addToFlow(const ExchangePtr &exchange)
{
    largestResponse_ = std::max(largestResponse_, exchange->bytes);
    if (!server_->flow || !exchange->watch->reservation) {
        return;
    }
    server_->flow->addResponse(*exchange->watch->reservation, exchange->watch->requestId, exchange->bytes,
                               [weak = weak_from_this()] {
                                   if (const auto self = weak.lock()) {
                                       self->reset();
                                   }
                               });
}

void HttpConnection::releaseFlow(const Exchange &exchange)
{
    if (server_->flow && exchange.watch->reservation) {
        server_->flow->release(*exchange.watch->reservation);
    }
}

void HttpConnection::reset()
{
    boost::system::error_code ignored;
    socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    socket_.close(ignored);
}

bool HttpConnection::isLastResponse(const HttpReply &reply) const
{
    const bool ending = requestsDone_ || server_->closing || server_->draining;
    return reply.after != AfterResponse::KeepOpen || reply.response.isCloseDelimited
           || (ending && exchanges_.size() == 1);
}

void HttpConnection::writeReady()
{
    if (writing_) {
        return;
    }
    writing_ = true;
    while (!exchanges_.empty() && exchanges_.front()->done) {
        const ExchangePtr exchange = exchanges_.front();
        if (!responsesDone_) {
            const bool last = isLastResponse(exchange->reply);
            // Set before the first byte is sent: no request is started behind a closing response.
            requestsDone_ = requestsDone_ || last;
            responsesDone_ = !write(exchange, !last) || last;
        }
        bytesHeld_ -= exchange->bytes;
        releaseFlow(*exchange);
        --server_->inFlight;
        exchanges_.pop_front();
        if (responsesDone_) {
            onCallerDisconnected();
        }
    }
    writing_ = false;
    idleSince_ = now();
    notifier_.notify();
}

bool HttpConnection::write(const ExchangePtr &exchange, bool keepAlive)
{
    const HttpReply reply = std::move(exchange->reply);
    if (reply.after == AfterResponse::Reset) {
        reset();
        return false;
    }
    const bool truncate = reply.after == AfterResponse::TruncateBody;
    const Response message = toBeast(reply, keepAlive);
    Serializer serializer(message);
    while (!serializer.is_done()) {
        // Most responses fit into the socket buffer at once, and then need neither a timer nor a turn of the event
        // loop.
        beast::error_code error;
        std::size_t bytes = http::write_some(socket_, serializer, error);
        if (error == boost::asio::error::would_block) {
            const IoResult written = writeSome(serializer, exchange);
            error = written.error;
            bytes = written.bytes;
        }
        if (error) {
            return false;
        }
        if (server_->flow && exchange->watch->reservation) {
            server_->flow->noteProgress(*exchange->watch->reservation, bytes);
        }
    }
    return !truncate;
}

Millis HttpConnection::stallTimeout() const
{
    return server_->flow ? server_->flow->settings().stall : server_->limits.messageTimeout;
}

IoResult HttpConnection::writeSome(Serializer &serializer, const ExchangePtr &exchange)
{
    // A caller may read a large response slowly. The connection is closed only if it reads nothing for a while.
    boost::asio::steady_timer timer(server_->ioContext, stallTimeout());
    timer.async_wait([self = shared_from_this(), exchange](boost::system::error_code error) {
        if (error) {
            return;
        }
        if (self->server_->flow && exchange->watch->reservation) {
            self->server_->flow->noteStalled(*exchange->watch->reservation);
            // The kernel keeps what it buffers for a socket that is closed normally.
            self->reset();
        }
        boost::system::error_code ignored;
        self->socket_.close(ignored);
    });
    return await([&](auto handle) { http::async_write_some(socket_, serializer, std::move(handle)); });
}

void HttpConnection::serve()
{
    while (awaitFirstByte()) {
        if (!awaitUntil([this] { return hasRoom(); })) {
            break;
        }
        std::optional<ReadRequest> read = readRequest();
        if (!read) {
            break;
        }
        const bool exclusive = !isSafeMethod(read->request.method);
        while (exclusive && !responsesDone_ && !exchanges_.empty()) {
            notifier_.wait(server_->ioContext, noTimeout);
        }
        // The request follows a response that closes the connection, or its caller has disconnected: it is not run, and
        // a resend is safe.
        if (responsesDone_ || inputEnded_) {
            break;
        }
        requestsDone_ = read->last;
        start(std::move(read->request));
        if (exclusive && !awaitUntil([this] { return exchanges_.empty(); })) {
            break;
        }
    }
    requestsDone_ = true;
    while (!exchanges_.empty()) {
        notifier_.wait(server_->ioContext, noTimeout);
    }
    lingerAndClose();
}

void HttpConnection::lingerAndClose()
{
    boost::system::error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    discarding_ = true;
    input_.clear();
    const SteadyTime until = now() + lingerTime;
    // Reads and drops remaining input. Unread input would turn the close into a reset, which may destroy the last
    // response in transit.
    while (responsesDone_ && !inputEnded_ && discarded_ < maxDiscardedBytes() && now() < until) {
        readAhead();
        notifier_.wait(server_->ioContext, until - now());
    }
    socket_.close(ignored);
    inputEnded_ = true;
}

} // namespace waxwing
