#include "src/http/HttpClient.h"

#include "src/fiber/FiberLoop.h"
#include "src/http/ClientConnection.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/http/span_body.hpp>

#include <optional>

namespace waxwing {

namespace beast = boost::beast;
namespace http = beast::http;
using tcp = boost::asio::ip::tcp;

namespace {

constexpr std::size_t maxIdleConnections = 64;
/** Number of interim responses and responses to other requests that are skipped before the exchange fails. */
constexpr int maxMismatchedResponses = 4;
/** A connection is not reused in this last part of the keep-alive time that its peer announced. */
constexpr Millis keepAliveMargin{1000};

ExchangeFailure failureOf(beast::error_code error)
{
    if (error == beast::error::timeout || error == boost::asio::error::operation_aborted) {
        return ExchangeFailure::Timeout;
    }
    if (error == http::error::body_limit || error == http::error::header_limit
        || error == http::error::buffer_overflow) {
        return ExchangeFailure::TooLarge;
    }
    if (error == http::error::partial_message) {
        return ExchangeFailure::Truncated;
    }
    const bool parseError = error.category() == http::make_error_code(http::error::bad_method).category();
    return parseError && error != http::error::end_of_stream ? ExchangeFailure::Malformed : ExchangeFailure::Reset;
}

using RequestMessage = http::request<http::span_body<const char>>;

/** Returns a message that refers to the body of @p request, whose bytes must outlive it. */
RequestMessage toBeast(const Endpoint &endpoint, const HttpRequest &request)
{
    RequestMessage message;
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
    message.body() = {request.body.text().data(), request.body.size()};
    message.prepare_payload();
    return message;
}

/** The write of a request. It runs while a fiber reads the response and may outlast it. */
struct RequestWrite {
    RequestMessage message;
    Body body;
    bool isDone = false;
    beast::error_code error;

    /**
     * Returns true if the write met a reset before the peer's end of stream. The kernel reports a reset once per
     * socket; after the write has taken it, reads see an ordinary end of stream, and a response that ends there would
     * look complete. A reset that follows the peer's end of stream is reported as a broken pipe instead: by then, all
     * bytes of the response had arrived.
     */
    bool wasReset() const
    {
        return error && error != boost::asio::error::broken_pipe;
    }
};

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
    case ExchangeFailure::Truncated:
        return "cut";
    case ExchangeFailure::Malformed:
        return "garbled";
    case ExchangeFailure::TooLarge:
        return "too-large";
    }
    return "connect";
}

void ExchangeCancel::cancel()
{
    if (hook_) {
        hook_();
    }
}

/** Registers the response on a connection with the budget for as long as it is being read. */
struct HttpClient::ReadGuard {
    ReadGuard(HttpClient &client, ClientConnection &connection)
        : client_(client)
        , id_(client.readBudget_.begin())
    {
        connection.readId = id_;
        client_.reading_[id_] = &connection;
    }
    ~ReadGuard()
    {
        client_.reading_.erase(id_);
        client_.readBudget_.end(id_);
    }
    ReadGuard(const ReadGuard &) = delete;
    ReadGuard &operator=(const ReadGuard &) = delete;

private:
    HttpClient &client_;
    ReadBudget::Id id_;
};

HttpClient::HttpClient(boost::asio::io_context &ioContext, std::uint64_t maxReadBytes)
    : ioContext_(ioContext)
    , readBudget_(maxReadBytes)
{ }

HttpClient::~HttpClient() = default;

void HttpClient::setMemory(MemoryBudgetPtr memory)
{
    memory_ = std::move(memory);
}

HttpClient::ConnectionPtr HttpClient::takeIdle(const Endpoint &endpoint, const ExchangeOptions &options)
{
    const auto now = std::chrono::steady_clock::now();
    auto &pool = idle_[endpoint];
    for (auto next = pool.end(); next != pool.begin();) {
        --next;
        if (!(*next)->isUsable(now, options.maxIdle)) {
            next = pool.erase(next);
        } else if ((*next)->history.allows(options.requestId)) {
            ConnectionPtr connection = std::move(*next);
            pool.erase(next);
            return connection;
        }
    }
    if (!pool.empty()) {
        // None of them may carry this request. The new connection replaces one, since peers limit their number.
        pool.pop_back();
    }
    return nullptr;
}

tl::expected<void, ExchangeError> HttpClient::connect(ClientConnection &connection, const Endpoint &endpoint)
{
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address(endpoint.address, error);
    IoResult connected{error, 0};
    if (!error) {
        connected = await(
            [&](auto handle) { connection.stream.async_connect(tcp::endpoint(ip, endpoint.port), std::move(handle)); });
    }
    if (connected.error) {
        const bool timedOut =
            connected.error == beast::error::timeout || connected.error == boost::asio::error::operation_aborted;
        const ExchangeFailure failure = timedOut ? ExchangeFailure::Timeout : ExchangeFailure::Connect;
        return tl::unexpected<ExchangeError>(ExchangeError{failure, false, false});
    }
    connection.stream.socket().set_option(tcp::no_delay(true), error);
    return {};
}

bool HttpClient::growResponse(const ClientConnection &connection, std::uint64_t bytes)
{
    if (connection.isGivenUp) {
        // The cancellation came when a read had completed already.
        return false;
    }
    const std::optional<ReadBudget::Id> givenUp = readBudget_.grow(connection.readId, bytes);
    if (!givenUp) {
        return true;
    }
    ClientConnection &largest = *reading_.at(*givenUp);
    largest.isGivenUp = true;
    if (&largest != &connection) {
        largest.stream.cancel();
    }
    return &largest != &connection;
}

HttpClient::ExchangeResult HttpClient::readResponse(ClientConnection &connection, const HttpRequest &request,
                                                    const ExchangeOptions &options)
{
    FramingBudget framing;
    for (int mismatched = 0; mismatched <= maxMismatchedResponses; ++mismatched) {
        const ReadGuard guard(*this, connection);
        ClientConnection::ResponseParser parser;
        parser.body_limit(options.maxResponseBytes);
        parser.get().body().mayGrow = [&](std::uint64_t bytes) { return growResponse(connection, bytes); };
        if (request.method == "HEAD") {
            parser.skip(true);
        }
        const beast::error_code error = connection.readMessage(parser, framing, options.bodyTimeout);
        if (error) {
            const ExchangeFailure failure = connection.isGivenUp ? ExchangeFailure::TooLarge : failureOf(error);
            const bool truncated =
                connection.head && failure != ExchangeFailure::Timeout && failure != ExchangeFailure::TooLarge;
            const bool ended = failure == ExchangeFailure::Reset || failure == ExchangeFailure::Truncated;
            return tl::unexpected<ExchangeError>(
                ExchangeError{truncated ? ExchangeFailure::Truncated : failure, true, false, ended});
        }
        ResponseHead &head = *connection.head;
        if (statusClassOf(head.status) == StatusClass::Interim) {
            continue;
        }
        HttpResponse response;
        response.status = head.status;
        response.headers = std::move(head.headers);
        response.isCloseDelimited = parser.need_eof();
        std::string body = std::move(parser.get().body().text);
        const std::size_t size = body.size();
        response.body = Body(std::move(body), memory_ ? memory_->add(size) : nullptr);
        const ResponseMatch match = options.matchResponse ? options.matchResponse(response) : ResponseMatch::Matches;
        const bool matchesRequest = connection.history.identifies(match);
        // Surplus bytes or a response to another request: later responses may not match their requests either.
        connection.reusable = head.keepsAlive && connection.buffer.size() == 0 && mismatched == 0 && matchesRequest;
        if (head.keepAlive >= std::chrono::seconds(0)) {
            connection.keepAliveTimeout = std::max(Millis(0), head.keepAlive - keepAliveMargin);
        }
        if (matchesRequest) {
            return response;
        }
        if (!head.keepsAlive || match == ResponseMatch::Unidentified) {
            break;
        }
    }
    return tl::unexpected<ExchangeError>(ExchangeError{ExchangeFailure::Malformed, true, false});
}

void HttpClient::returnToPool(const Endpoint &endpoint, ConnectionPtr connection)
{
    auto &pool = idle_[endpoint];
    if (pool.size() < maxIdleConnections) {
        connection->stream.expires_never();
        connection->buffer.shrink_to_fit();
        connection->idleSince = std::chrono::steady_clock::now();
        pool.push_back(std::move(connection));
    }
}

HttpClient::ExchangeResult HttpClient::exchange(const Endpoint &endpoint, const HttpRequest &request, Duration timeout,
                                                ExchangeCancel *cancel)
{
    ExchangeOptions options;
    options.timeout = timeout;
    options.cancel = cancel;
    return exchange(endpoint, request, options);
}

HttpClient::ExchangeResult HttpClient::exchange(const Endpoint &endpoint, const HttpRequest &request,
                                                const ExchangeOptions &options)
{
    ConnectionPtr connection = options.newConnection ? nullptr : takeIdle(endpoint, options);
    const bool reused = connection != nullptr;
    if (!reused) {
        connection = std::make_shared<ClientConnection>(ioContext_);
    }
    const auto failed = [reused](ExchangeFailure failure, bool sent) {
        return tl::unexpected<ExchangeError>(ExchangeError{failure, sent, reused});
    };
    connection->isCancelled = false;
    if (options.cancel != nullptr) {
        options.cancel->hook_ = [held = connection] {
            held->isCancelled = true;
            held->stream.cancel();
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
    } const guard{options.cancel};
    connection->setTimeout(options.timeout);
    if (!reused) {
        const auto connected = connect(*connection, endpoint);
        if (!connected || connection->isCancelled) {
            return failed(connection->isCancelled ? ExchangeFailure::Timeout : connected.error().failure, false);
        }
    }
    // The handler owns the connection and the message, because the write may outlast this call.
    const auto write = std::make_shared<RequestWrite>();
    write->message = toBeast(endpoint, request);
    write->body = request.body;
    connection->history.add(options.requestId);
    http::async_write(connection->stream, write->message, [write, connection](beast::error_code error, std::size_t) {
        write->isDone = !error;
        write->error = error;
    });
    ExchangeResult result = readResponse(*connection, request, options);
    // Neither a reset nor the end of the process tells how much of a response without a length was still to come.
    if (result && result->isCloseDelimited
        && (write->wasReset() || !acceptsConnections(endpoint, connectProbeTimeout))) {
        result = tl::unexpected<ExchangeError>(ExchangeError{ExchangeFailure::Truncated, true, false, true});
    }
    if (connection->isCancelled) {
        return failed(ExchangeFailure::Timeout, true);
    }
    if (!result) {
        connection->stream.close();
        result.error().onReusedConnection = reused;
        return result;
    }
    if (connection->reusable && write->isDone && !options.newConnection) {
        returnToPool(endpoint, connection);
    } else {
        connection->stream.close();
    }
    return result;
}

bool HttpClient::acceptsConnections(const Endpoint &endpoint, Duration timeout)
{
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address(endpoint.address, error);
    ClientConnection connection(ioContext_);
    connection.stream.expires_after(timeout);
    const IoResult connected = await(
        [&](auto handle) { connection.stream.async_connect(tcp::endpoint(ip, endpoint.port), std::move(handle)); });
    return !error && !connected.error;
}

bool HttpClient::hasStoppedListening(const Endpoint &endpoint)
{
    if (!acceptsConnections(endpoint, connectProbeTimeout)) {
        return true;
    }
    sleepFor(ioContext_, exitGrace);
    return !acceptsConnections(endpoint, connectProbeTimeout);
}

void HttpClient::closeIdle(const Endpoint &endpoint)
{
    idle_.erase(endpoint);
}

} // namespace waxwing
