#include "src/http/HttpServer.h"

#include "src/fiber/FiberLoop.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <list>
#include <optional>

namespace waxwing {

namespace beast = boost::beast;
namespace http = beast::http;
using tcp = boost::asio::ip::tcp;

namespace {
constexpr Millis acceptPause{20};
constexpr std::size_t readStep = 4096;
/**
 * After a refusal what still comes in is read for so long and so much: closing a connection with unread bytes resets
 * it, and the reset may overtake the refusal.
 */
constexpr Millis lingerTime{500};
constexpr std::size_t lingerBytes = 1024UL * 1024;

/** Why a message that the parser takes must not be served; empty if it may be. */
std::string strictFault(const http::request<http::string_body> &message)
{
    const auto hosts = message.count(http::field::host);
    if (message.version() >= 11 && hosts != 1) {
        return hosts == 0 ? "no Host header" : "more than one Host header";
    }
    const auto codings = message.count(http::field::transfer_encoding);
    // Where two readers differ about the end of a body, its rest is read as a request that no caller sent.
    if (codings > 1 || (codings == 1 && !beast::iequals(message[http::field::transfer_encoding], "chunked"))) {
        return "Transfer-Encoding other than chunked";
    }
    if (codings == 1 && message.count(http::field::content_length) > 0) {
        return "both Transfer-Encoding and Content-Length";
    }
    return {};
}

/** Turns the absolute form of a target ("http://host/path") into the usual one. False if it is neither. */
bool toOriginForm(http::request<http::string_body> &message)
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
} // namespace

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State> {
    State(boost::asio::io_context &context, Handler handlerIn, HttpLimits limitsIn, RejectHook onRejectIn)
        : ioContext(context)
        , acceptor(context)
        , handler(std::move(handlerIn))
        , limits(limitsIn)
        , onReject(std::move(onRejectIn))
    { }

    /** One connection as the server sees it; draining closes the ones that wait for a request. */
    struct Connection {
        explicit Connection(tcp::socket socket)
            : stream(std::move(socket))
        { }
        beast::tcp_stream stream;
        bool waiting = false;
        /** Bytes of a request that was refused may still be coming in. */
        bool unreadInput = false;
    };

    void acceptLoop();
    void serve(const std::shared_ptr<Connection> &held);
    static void watchCaller(const std::shared_ptr<Connection> &connection, const CallerWatchPtr &watch);
    std::optional<HttpRequest> readRequest(Connection &connection, beast::flat_buffer &buffer, bool &keepAlive);
    bool writeReply(Connection &connection, HttpReply reply, bool keepAlive);
    void reject(Connection &connection, beast::error_code error);
    void refuse(Connection &connection, unsigned status, const std::string &message);
    bool awaitFirstByte(Connection &connection, beast::flat_buffer &buffer);
    static void lingerAndClose(Connection &connection);

    boost::asio::io_context &ioContext;
    tcp::acceptor acceptor;
    Handler handler;
    HttpLimits limits;
    RejectHook onReject;
    std::list<std::shared_ptr<Connection>> open;
    std::size_t inFlight = 0;
    bool closing = false;
    bool draining = false;
};

void HttpServer::State::acceptLoop()
{
    while (!draining) {
        tcp::socket socket(ioContext);
        const IoResult accepted = await([&](auto handle) { acceptor.async_accept(socket, std::move(handle)); });
        if (draining || accepted.error == boost::asio::error::operation_aborted) {
            return;
        }
        if (accepted.error) {
            // Out of descriptors: accepting again at once would spin until one is free.
            sleepFor(ioContext, acceptPause);
            continue;
        }
        if (open.size() >= limits.connections) {
            if (onReject) {
                onReject("too-many-connections");
            }
            continue;
        }
        beast::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        open.push_back(std::make_shared<Connection>(std::move(socket)));
        spawnFiber([self = shared_from_this(), place = std::prev(open.end())] {
            const std::shared_ptr<Connection> connection = *place;
            self->serve(connection);
            self->open.erase(place);
        });
    }
}

void HttpServer::State::refuse(Connection &connection, unsigned status, const std::string &message)
{
    if (onReject) {
        onReject(message);
    }
    HttpResponse response = jsonResponse(status, "{\"error\":\"" + message + "\"}\n");
    response.headers.emplace_back("Waxwing-Outcome", "not-run");
    connection.unreadInput = true;
    writeReply(connection, HttpReply{std::move(response), AfterResponse::Close}, false);
}

void HttpServer::State::reject(Connection &connection, beast::error_code error)
{
    unsigned status = 400;
    if (error == http::error::body_limit) {
        status = 413;
    } else if (error == http::error::header_limit) {
        status = 431;
    }
    refuse(connection, status, error.message());
}

bool HttpServer::State::awaitFirstByte(Connection &connection, beast::flat_buffer &buffer)
{
    if (buffer.size() > 0) {
        return true;
    }
    connection.stream.expires_after(limits.idle);
    connection.waiting = true;
    const IoResult first =
        await([&](auto handle) { connection.stream.async_read_some(buffer.prepare(readStep), std::move(handle)); });
    connection.waiting = false;
    buffer.commit(first.bytes);
    return !first.error;
}

std::optional<HttpRequest> HttpServer::State::readRequest(Connection &connection, beast::flat_buffer &buffer,
                                                          bool &keepAlive)
{
    if (!awaitFirstByte(connection, buffer)) {
        return std::nullopt;
    }
    http::request_parser<http::string_body> parser;
    parser.header_limit(limits.headerBytes);
    parser.body_limit(limits.bodyBytes);
    connection.stream.expires_after(limits.header);
    const IoResult header =
        await([&](auto handle) { http::async_read_header(connection.stream, buffer, parser, std::move(handle)); });
    IoResult body = header;
    if (!header.error) {
        const std::string fault = strictFault(parser.get());
        if (!fault.empty() || !toOriginForm(parser.get())) {
            refuse(connection, 400, fault.empty() ? "malformed target" : fault);
            return std::nullopt;
        }
        connection.stream.expires_after(limits.message);
        const bool wantsContinue = beast::iequals(parser.get()[http::field::expect], "100-continue");
        if (wantsContinue && !parser.is_done()) {
            static const std::string goOn = "HTTP/1.1 100 Continue\r\n\r\n";
            await([&](auto handle) {
                boost::asio::async_write(connection.stream, boost::asio::buffer(goOn), std::move(handle));
            });
        }
        body = await([&](auto handle) { http::async_read(connection.stream, buffer, parser, std::move(handle)); });
    }
    if (body.error) {
        const bool malformed = body.error.category() == http::make_error_code(http::error::bad_method).category()
                               && body.error != http::error::end_of_stream
                               && body.error != http::error::partial_message;
        if (malformed) {
            reject(connection, body.error);
        }
        return std::nullopt;
    }
    connection.stream.expires_never();
    auto message = parser.release();
    keepAlive = message.keep_alive();
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto &field : message) {
        request.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
    request.body = std::move(message.body());
    return request;
}

bool HttpServer::State::writeReply(Connection &connection, HttpReply reply, bool keepAlive)
{
    http::response<http::string_body> message;
    message.version(11);
    message.result(reply.response.status);
    for (const auto &[name, value] : reply.response.headers) {
        if (!isHopByHop(name)) {
            message.insert(name, value);
        }
    }
    message.keep_alive(keepAlive);
    message.body() = std::move(reply.response.body);
    message.prepare_payload();
    if (reply.after == AfterResponse::CutBody) {
        message.body().resize(message.body().size() / 2);
    }
    connection.stream.expires_after(limits.message);
    const IoResult written =
        await([&](auto handle) { http::async_write(connection.stream, message, std::move(handle)); });
    return !written.error;
}

void HttpServer::State::watchCaller(const std::shared_ptr<Connection> &connection, const CallerWatchPtr &watch)
{
    // Not cancelled when the handler returns: a wait that is still open ends with the next request's first byte.
    connection->stream.socket().async_wait(
        tcp::socket::wait_read, [connection, watch](boost::system::error_code error) {
            if (error || !watch->onGone) {
                return;
            }
            char byte = 0;
            boost::system::error_code peeked;
            connection->stream.socket().non_blocking(true, peeked);
            connection->stream.socket().receive(boost::asio::buffer(&byte, 1), tcp::socket::message_peek, peeked);
            if (peeked && peeked != boost::asio::error::would_block) {
                watch->gone = true;
                const std::function<void()> hook = std::move(watch->onGone);
                hook();
            }
        });
}

void HttpServer::State::serve(const std::shared_ptr<Connection> &held)
{
    Connection &connection = *held;
    beast::flat_buffer buffer;
    bool keepAlive = true;
    while (keepAlive && !draining) {
        std::optional<HttpRequest> request = readRequest(connection, buffer, keepAlive);
        if (!request) {
            break;
        }
        ++inFlight;
        const auto watch = std::make_shared<CallerWatch>();
        watchCaller(held, watch);
        HttpReply reply = handler(std::move(*request), watch);
        watch->onGone = {};
        keepAlive = keepAlive && reply.after == AfterResponse::KeepOpen && !draining && !closing;
        const bool reset = reply.after == AfterResponse::Reset;
        if (reset) {
            boost::system::error_code ignored;
            connection.stream.socket().set_option(boost::asio::socket_base::linger(true, 0), ignored);
        } else {
            keepAlive = writeReply(connection, std::move(reply), keepAlive) && keepAlive;
        }
        --inFlight;
    }
    if (connection.unreadInput) {
        lingerAndClose(connection);
        return;
    }
    beast::error_code ignored;
    if (!keepAlive) {
        connection.stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    }
    connection.stream.close();
}

void HttpServer::State::lingerAndClose(Connection &connection)
{
    beast::error_code ignored;
    connection.stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    connection.stream.expires_after(lingerTime);
    std::string scratch(readStep, '\0');
    std::size_t read = 0;
    IoResult result;
    while (!result.error && read < lingerBytes) {
        result = await(
            [&](auto handle) { connection.stream.async_read_some(boost::asio::buffer(scratch), std::move(handle)); });
        read += result.bytes;
    }
    connection.stream.close();
}

Expected<std::unique_ptr<HttpServer>> HttpServer::MakeListening(boost::asio::io_context &ioContext,
                                                                const std::string &address, std::uint16_t port,
                                                                Handler handler, HttpLimits limits, RejectHook onReject)
{
    auto state = std::make_shared<State>(ioContext, std::move(handler), limits, std::move(onReject));
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address(address, error);
    if (error) {
        return fail(ErrorCode::Malformed, "not an IP number: " + address);
    }
    const tcp::endpoint endpoint(ip, port);
    state->acceptor.open(endpoint.protocol(), error);
    if (!error) {
        state->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
        state->acceptor.bind(endpoint, error);
    }
    if (!error) {
        state->acceptor.listen(1024, error);
    }
    if (error) {
        return fail(ErrorCode::Unavailable,
                    "listen on " + address + ":" + std::to_string(port) + ": " + error.message());
    }
    spawnFiber([state] { state->acceptLoop(); });
    return std::unique_ptr<HttpServer>(new HttpServer(std::move(state)));
}

HttpServer::HttpServer(std::shared_ptr<State> state)
    : state_(std::move(state))
{ }

HttpServer::~HttpServer()
{
    drain();
}

std::uint16_t HttpServer::port() const
{
    boost::system::error_code ignored;
    return state_->acceptor.local_endpoint(ignored).port();
}

std::size_t HttpServer::requestsInFlight() const
{
    return state_->inFlight;
}

std::size_t HttpServer::connections() const
{
    return state_->open.size();
}

void HttpServer::setLimits(const HttpLimits &limits)
{
    state_->limits = limits;
}

void HttpServer::announceClose()
{
    state_->closing = true;
}

void HttpServer::drain()
{
    if (state_->draining) {
        return;
    }
    state_->draining = true;
    boost::system::error_code ignored;
    state_->acceptor.close(ignored);
    for (const auto &connection : state_->open) {
        if (connection->waiting) {
            connection->stream.cancel();
        }
    }
}

} // namespace waxwing
