#include "tests/soak/CallerConnection.h"

#include "src/fiber/FiberLoop.h"
#include "tests/support/Fleet.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

namespace waxwing::soak {

namespace {

namespace beast = boost::beast;
namespace http = beast::http;
using tcp = boost::asio::ip::tcp;

constexpr Millis connectTimeout{2000};
constexpr std::size_t readBytes = 8UL * 1024;
/** A small receive buffer, so that a slow reader soon stops its sender. */
constexpr int receiveBufferBytes = 32 * 1024;
/**
 * A connection is not reused this long after its last request was sent. A node counts the idle time (5 s in the mesh)
 * from the time when it has written a response, while a slow reader may still be reading it.
 */
constexpr Millis maxReuseAge{3000};

} // namespace

CallerConnection::CallerConnection(Endpoint endpoint)
    : endpoint_(std::move(endpoint))
    , buffer_(readBytes)
{ }

bool CallerConnection::connect()
{
    buffer_.clear();
    stream_ = std::make_unique<beast::tcp_stream>(testing::loopContext());
    const tcp::endpoint endpoint(boost::asio::ip::make_address(endpoint_.address), endpoint_.port);
    boost::system::error_code ignored;
    stream_->socket().open(tcp::v4(), ignored);
    stream_->socket().set_option(boost::asio::socket_base::receive_buffer_size(receiveBufferBytes), ignored);
    stream_->expires_after(connectTimeout);
    const IoResult connected = await([&](auto handle) { stream_->async_connect(endpoint, std::move(handle)); });
    stream_->socket().set_option(tcp::no_delay(true), ignored);
    return !connected.error;
}

bool CallerConnection::write(const std::string &bytes)
{
    const SteadyTime now = std::chrono::steady_clock::now();
    if (stream_ != nullptr && now - lastWrite_ > maxReuseAge) {
        close();
    }
    lastWrite_ = now;
    bool done = stream_ != nullptr || connect();
    if (done) {
        stream_->expires_after(connectTimeout);
        done = !await([&](auto handle) {
                    boost::asio::async_write(*stream_, boost::asio::buffer(bytes), std::move(handle));
                }).error;
    }
    if (!done) {
        close();
    }
    return done;
}

tl::expected<CallerResponse, ReadFailure> CallerConnection::read(Millis timeout, Millis pauseBetweenReads)
{
    http::response_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    stream_->expires_after(timeout);
    while (!parser.is_done()) {
        const IoResult result =
            await([&](auto handle) { http::async_read_some(*stream_, buffer_, parser, std::move(handle)); });
        if (result.error) {
            close();
            const bool timedOut = result.error == beast::error::timeout;
            return tl::unexpected<ReadFailure>(timedOut ? ReadFailure::TimedOut : ReadFailure::BrokenOff);
        }
        if (pauseBetweenReads > Millis(0)) {
            testing::pause(pauseBetweenReads);
        }
    }
    CallerResponse out;
    out.keepAlive = parser.keep_alive();
    const auto message = parser.release();
    out.response.status = message.result_int();
    for (const auto &field : message) {
        out.response.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
    out.response.body = message.body();
    if (!out.keepAlive) {
        close();
    }
    return out;
}

void CallerConnection::close()
{
    stream_.reset();
}

} // namespace waxwing::soak
