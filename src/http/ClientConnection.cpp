#include "src/http/ClientConnection.h"

#include "src/fiber/FiberLoop.h"

#include <charconv>

namespace waxwing {

namespace beast = boost::beast;
namespace http = beast::http;
using tcp = boost::asio::ip::tcp;

namespace {

/** Most bytes that one read takes. */
constexpr std::size_t maxPartBytes = 64UL * 1024;
/** Size of the buffer of a body. Each filling of a small buffer costs a turn of the event loop. */
constexpr std::size_t bodyReadBytes = 16UL * 1024;

/** Returns N of "timeout=N" in a Keep-Alive header; negative if there is none. */
std::int64_t keepAliveSeconds(std::string_view header)
{
    const std::string_view name = "timeout=";
    const std::size_t at = header.find(name);
    std::int64_t seconds = -1;
    if (at != std::string_view::npos) {
        std::from_chars(header.data() + at + name.size(), header.data() + header.size(), seconds);
    }
    return seconds;
}

ResponseHead headOf(const http::response<BudgetedBody> &message)
{
    ResponseHead head;
    head.status = message.result_int();
    for (const auto &field : message) {
        if (!isHopByHop(field.name_string())) {
            head.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
        }
    }
    head.keepsAlive = message.keep_alive();
    head.keepAlive = std::chrono::seconds(keepAliveSeconds(message[http::field::keep_alive]));
    return head;
}

} // namespace

ClientConnection::ClientConnection(boost::asio::io_context &ioContext)
    : stream(ioContext)
{ }

bool ClientConnection::isClean()
{
    boost::system::error_code error;
    char byte = 0;
    stream.socket().non_blocking(true, error);
    stream.socket().receive(boost::asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error == boost::asio::error::would_block;
}

bool ClientConnection::isUsable(SteadyTime now, Duration maxIdle)
{
    const Duration idle = now - idleSince;
    return idle <= maxIdle && idle < keepAliveTimeout && isClean();
}

void ClientConnection::setTimeout(Duration timeout)
{
    stream.expires_after(timeout);
    deadline = std::chrono::steady_clock::now() + timeout;
}

beast::error_code ClientConnection::receive(std::size_t &received)
{
    const std::size_t size = beast::read_size(buffer, maxPartBytes);
    if (size == 0) {
        return http::error::buffer_overflow;
    }
    const IoResult read = await([&](auto handle) { stream.async_read_some(buffer.prepare(size), std::move(handle)); });
    buffer.commit(read.bytes);
    received = read.bytes;
    if (isCancelled) {
        return boost::asio::error::operation_aborted;
    }
    return read.error;
}

beast::error_code ClientConnection::parse(ResponseParser &parser, Duration bodyTimeout)
{
    beast::error_code error;
    while (buffer.size() > 0 && !parser.is_done() && !error) {
        const bool hadHeader = parser.is_header_done();
        const std::size_t consumed = parser.put(buffer.data(), error);
        const std::string_view bytes(static_cast<const char *>(buffer.data().data()), consumed);
        if (!hadHeader && foldedLines_.add(bytes)) {
            return http::error::bad_field;
        }
        buffer.consume(consumed);
        if (parser.is_header_done() && !hadHeader) {
            // A body that belongs to no response is not waited for: it may never end.
            if (statusClassOf(parser.get().result_int()) == StatusClass::Invalid) {
                return http::error::bad_status;
            }
            if (hasUnknownCoding(parser.get())) {
                return http::error::bad_transfer_encoding;
            }
            head = headOf(parser.get());
            parser.eager(true);
            if (bodyTimeout > Duration(0)) {
                setTimeout(bodyTimeout);
            }
            buffer.reserve(bodyReadBytes);
        }
    }
    return error == http::error::need_more ? beast::error_code() : error;
}

beast::error_code ClientConnection::readMessage(ResponseParser &parser, FramingBudget &framing, Duration bodyTimeout)
{
    const std::string &body = parser.get().body().text;
    head.reset();
    foldedLines_ = {};
    beast::error_code error = parse(parser, bodyTimeout);
    while (!error && !parser.is_done()) {
        if (std::chrono::steady_clock::now() >= deadline) {
            return beast::error::timeout;
        }
        std::size_t received = 0;
        error = receive(received);
        if (error == boost::asio::error::eof) {
            error = {};
            if (!parser.got_some()) {
                return http::error::end_of_stream;
            }
            parser.put_eof(error);
            return error;
        }
        const std::size_t bodyBefore = body.size();
        error = error ? error : parse(parser, bodyTimeout);
        const std::size_t bodyBytes = body.size() - bodyBefore;
        if (!error && !framing.add(received, bodyBytes)) {
            error = http::error::body_limit;
        }
    }
    return error;
}

} // namespace waxwing
