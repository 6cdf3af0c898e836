#pragma once

#include "src/fiber/FiberLoop.h"
#include "tests/support/Fleet.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <charconv>
#include <string>

namespace waxwing::testing {

/** A caller that reads its response at the pace of the test and buffers little of it in its socket. */
class SlowCaller
{
public:
    /** Connects and sends @p bytes. */
    SlowCaller(const Endpoint &to, const std::string &bytes)
        : socket_(loopContext())
    {
        constexpr int receiveBufferBytes = 8 * 1024;
        boost::system::error_code ignored;
        socket_.open(boost::asio::ip::tcp::v4(), ignored);
        // Must be set before connecting to limit the window that is announced.
        socket_.set_option(boost::asio::socket_base::receive_buffer_size(receiveBufferBytes), ignored);
        const boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::make_address(to.address), to.port);
        await([&](auto handle) { socket_.async_connect(endpoint, std::move(handle)); });
        write(bytes);
    }

    void write(const std::string &bytes)
    {
        await([&](auto handle) { boost::asio::async_write(socket_, boost::asio::buffer(bytes), std::move(handle)); });
    }

    /** Reads up to @p bytes, or what arrives within @p timeout. Returns false if the connection has ended. */
    bool read(std::size_t bytes, Millis timeout)
    {
        boost::asio::steady_timer timer(loopContext(), timeout);
        timer.async_wait([this](boost::system::error_code cancelled) {
            if (!cancelled) {
                socket_.cancel();
            }
        });
        const std::size_t until = received_ + bytes;
        IoResult result;
        while (received_ < until && !result.error) {
            result = await([&](auto handle) {
                const std::size_t size = std::min(buffer_.size(), until - received_);
                socket_.async_read_some(boost::asio::buffer(buffer_.data(), size), std::move(handle));
            });
            note(result.bytes);
        }
        ended_ = ended_ || (result.error && result.error != boost::asio::error::operation_aborted);
        return !ended_;
    }

    /** Reads until the response is complete, the connection ends or @p timeout has passed. */
    void readAll(std::size_t bytesPerTick, Millis tick, Millis timeout)
    {
        const auto until = std::chrono::steady_clock::now() + timeout;
        while (!isComplete() && !ended_ && std::chrono::steady_clock::now() < until) {
            read(bytesPerTick, tick);
            sleepFor(loopContext(), tick);
        }
    }

    /** The status of the response; 0 if none has arrived. */
    unsigned status() const
    {
        constexpr std::size_t statusAt = 9;
        return head_.size() > statusAt ? static_cast<unsigned>(numberAt(statusAt)) : 0;
    }

    /** Returns true if the body has as many bytes as the headers announce. */
    bool isComplete() const
    {
        const std::size_t end = head_.find("\r\n\r\n");
        const std::string name = "Content-Length: ";
        const std::size_t length = head_.find(name);
        return end != std::string::npos && length < end && received_ >= end + 4 + numberAt(length + name.size());
    }

    std::string head() const
    {
        return head_.substr(0, head_.find("\r\n\r\n"));
    }

    bool ended() const
    {
        return ended_;
    }

    std::size_t received() const
    {
        return received_;
    }

private:
    static constexpr std::size_t maxHeadBytes = 4096;

    void note(std::size_t bytes)
    {
        received_ += bytes;
        head_.append(buffer_.data(), std::min(bytes, maxHeadBytes - head_.size()));
    }

    std::size_t numberAt(std::size_t at) const
    {
        std::size_t value = 0;
        std::from_chars(head_.data() + at, head_.data() + head_.size(), value);
        return value;
    }

    boost::asio::ip::tcp::socket socket_;
    std::array<char, 4096> buffer_{};
    std::string head_;
    std::size_t received_ = 0;
    bool ended_ = false;
};

} // namespace waxwing::testing
