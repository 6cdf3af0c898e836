#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace waxwing::testing {

/** What an EarlyServer does with a connection after its response. */
enum class Ending {
    /** Keeps the connection open and reads on. */
    KeepsOpen,
    /** Closes the sending side in good order and reads on. */
    StopsSending,
    /** Closes the sending side in good order, and resets the connection a moment later. */
    StopsSendingAndResets,
    /** Closes the connection with what it has not read, which resets it. */
    Closes,
    /** Resets the connection. */
    Resets,
};

/** Response of an EarlyServer. */
struct EarlyResponse {
    /** Sent as soon as the headers of a request have been read. */
    std::string bytes;
    Ending ending = Ending::KeepsOpen;
    /** Time from the response to the end of the connection. */
    std::chrono::milliseconds delay{0};
};

/**
 * HTTP server in the process of a test that responds before it has read the body of a request. Uses no fibers, since a
 * fiber that waits at the end of a test keeps its thread from ending. Not thread safe.
 */
class EarlyServer
{
public:
    /** Listens on a free port of 127.0.0.1. @pre called on the thread of @p ioContext, which outlives this object. */
    explicit EarlyServer(boost::asio::io_context &ioContext);
    ~EarlyServer();
    EarlyServer(const EarlyServer &) = delete;
    EarlyServer &operator=(const EarlyServer &) = delete;

    /** Sets the response to each connection accepted from now on. */
    void setResponse(EarlyResponse response);
    std::uint16_t port() const;
    /** Returns what each connection has received, in the order of connections. */
    std::vector<std::string> received() const;

private:
    struct State;
    struct Connection;
    static void accept(const std::shared_ptr<State> &state);
    static void respond(const std::shared_ptr<Connection> &connection);
    static void end(const std::shared_ptr<Connection> &connection);
    static void readOn(const std::shared_ptr<Connection> &connection);

    std::shared_ptr<State> state_;
};

} // namespace waxwing::testing
