#pragma once

#include "include/base/HttpMessage.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace waxwing::testing {

/** Returns the text of an HTTP response with a Content-Length. Thread safe. */
std::string responseText(unsigned status, const HeaderList &headers, const std::string &body);

/**
 * HTTP server in the process of a test that sends the bytes that the test chooses. Accepts connections as long as it
 * exists. Uses no fibers, since a fiber that waits at the end of a test keeps its thread from ending. Not thread safe.
 */
class ScriptedServer
{
public:
    struct Connection {
        Connection(boost::asio::ip::tcp::socket accepted, int itsNumber)
            : socket(std::move(accepted))
            , number(itsNumber)
        { }

        boost::asio::ip::tcp::socket socket;
        boost::beast::flat_buffer buffer;
        boost::beast::http::request<boost::beast::http::string_body> message;
        /** Counts the connections from 1. */
        int number;
        /** Number of requests that have arrived on the connection. */
        int requests = 0;
        /** If set, sent again and again after the next response, until the peer closes the connection. */
        std::string endless;
        /** Closes the connection after the next response. */
        bool closes = false;
        /** Bytes of @c endless that were sent. */
        std::uint64_t sentBytes = 0;
        /** The peer has closed the connection, or this server did. */
        bool closed = false;
    };
    using ConnectionPtr = std::shared_ptr<Connection>;
    /** Called with each request; returns the bytes to send. */
    using Handler = std::function<std::string(Connection &, const HttpRequest &)>;

    /** Listens on a free port of 127.0.0.1. @pre called on the thread of @p ioContext, which outlives this object. */
    ScriptedServer(boost::asio::io_context &ioContext, Handler handler);
    /** As above, on an open listener. */
    ScriptedServer(boost::asio::ip::tcp::acceptor &listener, Handler handler);
    ~ScriptedServer();
    ScriptedServer(const ScriptedServer &) = delete;
    ScriptedServer &operator=(const ScriptedServer &) = delete;

    /** Accepts no more connections, as a process that has ended. */
    void stopListening();
    std::uint16_t port() const;
    /** Returns all connections accepted so far. */
    const std::vector<ConnectionPtr> &connections() const;
    /** Returns the number of connections that are open. */
    int openConnections() const;

private:
    struct State;
    static void accept(const std::shared_ptr<State> &state);
    static void read(const std::shared_ptr<State> &state, const ConnectionPtr &connection);
    static void respond(const std::shared_ptr<State> &state, const ConnectionPtr &connection);
    static void sendEndlessly(const ConnectionPtr &connection);

    std::unique_ptr<boost::asio::ip::tcp::acceptor> ownListener_;
    std::shared_ptr<State> state_;
};

} // namespace waxwing::testing
