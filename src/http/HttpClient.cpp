#include "src/http/HttpClient.h"

#include "src/fiber/FiberLoop.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <limits>
#include <optional>

namespace waxwing {

namespace beast = boost::beast;
namespace http = beast::http;
using tcp = boost::asio::ip::tcp;

namespace {

constexpr std::size_t idleConnectionsKept = 64;

ExchangeFailure failureOf(beast::error_code error)
{
    if (error == beast::error::timeout || error == boost::asio::error::operation_aborted) {
        return ExchangeFailure::Timeout;
    }
    if (error == http::error::partial_message) {
        return ExchangeFailure::Cut;
    }
    const bool parseError = error.category() == http::make_error_code(http::error::bad_method).category();
    return parseError && error != http::error::end_of_stream ? ExchangeFailure::Garbled : ExchangeFailure::Reset;
}

http::request<http::string_body> toBeast(const Endpoint &endpoint, const HttpRequest &request)
{
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.target);
    for (const auto &[name, value] : request.headers) {
        if (!isHopByHop(name)) {
            message.insert(name, value);
        }
    }
    if (message.find(http::field::host) == message.end()) {
        message.set(http::field::host, endpoint.text());
    }
    message.body() = request.body;
    message.prepare_payload();
    return message;
}

} // namespace

const char *exchangeFailureName(ExchangeFailure failure)
{
    switch (failure) {
    case ExchangeFailure::Connect:
        return "connect";
    case ExchangeFailure::Reset:
        return "reset";
    case ExchangeFailure::Timeout:
        return "timeout";
    case ExchangeFailure::Cut:
        return "cut";
    case ExchangeFailure::Garbled:
        return "garbled";
    }
    return "connect";
}

void ExchangeCancel::cancel()
{
    if (hook_) {
        hook_();
    }
}

struct HttpClient::Connection {
    explicit Connection(boost::asio::io_context &context)
        : stream(context)
    { }

    /** True if the peer neither closed nor sent anything since the last answer. */
    bool isClean()
    {
        boost::system::error_code error;
        char byte = 0;
        stream.socket().non_blocking(true, error);
        stream.socket().receive(boost::asio::buffer(&byte, 1), tcp::socket::message_peek, error);
        return error == boost::asio::error::would_block;
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
};

HttpClient::HttpClient(boost::asio::io_context &ioContext)
    : ioContext_(ioContext)
{ }

HttpClient::~HttpClient() = default;

std::unique_ptr<HttpClient::Connection> HttpClient::takeIdle(const Endpoint &endpoint)
{
    const auto pool = idle_.find(endpoint);
    while (pool != idle_.end() && !pool->second.empty()) {
        std::unique_ptr<Connection> connection = std::move(pool->second.back());
        pool->second.pop_back();
        if (connection->isClean()) {
            return connection;
        }
    }
    return nullptr;
}

tl::expected<HttpResponse, ExchangeError> HttpClient::exchange(const Endpoint &endpoint, const HttpRequest &request,
                                                               Duration allowed, ExchangeCancel *cancel)
{
    const auto deadline = std::chrono::steady_clock::now() + allowed;
    const auto failed = [](ExchangeFailure failure, bool sent) {
        return tl::unexpected<ExchangeError>(ExchangeError{failure, sent});
    };
    std::unique_ptr<Connection> connection = takeIdle(endpoint);
    const bool reused = connection != nullptr;
    if (!reused) {
        connection = std::make_unique<Connection>(ioContext_);
    }
    bool cancelled = false;
    if (cancel != nullptr) {
        cancel->hook_ = [&cancelled, stream = &connection->stream] {
            cancelled = true;
            stream->cancel();
        };
    }
    struct HookGuard {
        ExchangeCancel *cancel;
        ~HookGuard()
        {
            if (cancel != nullptr) {
                cancel->hook_ = {};
            }
        }
    } const guard{cancel};

    connection->stream.expires_at(deadline);
    if (!reused) {
        boost::system::error_code error;
        const auto ip = boost::asio::ip::make_address(endpoint.address, error);
        if (error) {
            return failed(ExchangeFailure::Connect, false);
        }
        const IoResult connected = await([&](auto handle) {
            connection->stream.async_connect(tcp::endpoint(ip, endpoint.port), std::move(handle));
        });
        if (connected.error || cancelled) {
            const bool late = connected.error == beast::error::timeout || cancelled;
            return failed(late ? ExchangeFailure::Timeout : ExchangeFailure::Connect, false);
        }
        connection->stream.socket().set_option(tcp::no_delay(true), error);
    }

    const auto message = toBeast(endpoint, request);
    const IoResult written =
        await([&](auto handle) { http::async_write(connection->stream, message, std::move(handle)); });
    if (written.error || cancelled) {
        return failed(cancelled ? ExchangeFailure::Timeout : failureOf(written.error), true);
    }
    http::response_parser<http::string_body> parser;
    parser.body_limit(std::numeric_limits<std::uint32_t>::max());
    if (request.method == "HEAD") {
        parser.skip(true);
    }
    const IoResult read = await(
        [&](auto handle) { http::async_read(connection->stream, connection->buffer, parser, std::move(handle)); });
    if (read.error || cancelled) {
        const bool midway = parser.is_header_done() && read.error != beast::error::timeout && !cancelled;
        return failed(midway ? ExchangeFailure::Cut : failureOf(read.error), true);
    }
    auto answer = parser.release();
    HttpResponse response;
    response.status = answer.result_int();
    for (const auto &field : answer) {
        if (!isHopByHop(field.name_string())) {
            response.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
        }
    }
    response.body = std::move(answer.body());
    // A surplus byte means that the peer's idea of where answers end differs from ours.
    const bool reusable = answer.keep_alive() && connection->buffer.size() == 0;
    auto &pool = idle_[endpoint];
    if (reusable && pool.size() < idleConnectionsKept) {
        connection->stream.expires_never();
        pool.push_back(std::move(connection));
    }
    return response;
}

bool HttpClient::accepts(const Endpoint &endpoint, Duration allowed)
{
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address(endpoint.address, error);
    Connection connection(ioContext_);
    connection.stream.expires_after(allowed);
    const IoResult connected = await(
        [&](auto handle) { connection.stream.async_connect(tcp::endpoint(ip, endpoint.port), std::move(handle)); });
    return !error && !connected.error;
}

void HttpClient::forget(const Endpoint &endpoint)
{
    idle_.erase(endpoint);
}

} // namespace waxwing
