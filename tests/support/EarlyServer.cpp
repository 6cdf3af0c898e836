#include "tests/support/EarlyServer.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace waxwing::testing {

using boost::asio::ip::tcp;

namespace {

/** Time in which the client reads the end of the response before the connection is reset. */
constexpr std::chrono::milliseconds resetDelay{20};

void reset(tcp::socket &socket)
{
    boost::system::error_code ignored;
    socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace

struct EarlyServer::Connection {
    Connection(tcp::socket accepted, EarlyResponse itsResponse)
        : socket(std::move(accepted))
        , timer(socket.get_executor())
        , response(std::move(itsResponse))
    { }

    tcp::socket socket;
    boost::asio::steady_timer timer;
    EarlyResponse response;
    std::string received;
    std::array<char, 65536> part{};
};

struct EarlyServer::State {
    explicit State(boost::asio::io_context &ioContext)
        : listener(ioContext, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
    { }

    tcp::acceptor listener;
    EarlyResponse response;
    std::vector<std::shared_ptr<Connection>> connections;
    bool stopped = false;
};

EarlyServer::EarlyServer(boost::asio::io_context &ioContext)
    : state_(std::make_shared<State>(ioContext))
{
    accept(state_);
}

EarlyServer::~EarlyServer()
{
    state_->stopped = true;
    boost::system::error_code ignored;
    state_->listener.close(ignored);
    for (const auto &connection : state_->connections) {
        connection->timer.cancel();
        connection->socket.close(ignored);
    }
}

void EarlyServer::setResponse(EarlyResponse response)
{
    state_->response = std::move(response);
}

std::uint16_t EarlyServer::port() const
{
    return state_->listener.local_endpoint().port();
}

std::vector<std::string> EarlyServer::received() const
{
    std::vector<std::string> out;
    for (const auto &connection : state_->connections) {
        out.push_back(connection->received);
    }
    return out;
}

void EarlyServer::accept(const std::shared_ptr<State> &state)
{
    state->listener.async_accept([state](boost::system::error_code error, tcp::socket socket) {
        if (error || state->stopped) {
            return;
        }
        const auto connection = std::make_shared<Connection>(std::move(socket), state->response);
        state->connections.push_back(connection);
        boost::asio::async_read_until(connection->socket, boost::asio::dynamic_buffer(connection->received), "\r\n\r\n",
                                      [connection](boost::system::error_code failure, std::size_t) {
                                          if (!failure) {
                                              respond(connection);
                                          }
                                      });
        accept(state);
    });
}

void EarlyServer::respond(const std::shared_ptr<Connection> &connection)
{
    boost::asio::async_write(connection->socket, boost::asio::buffer(connection->response.bytes),
                             [connection](boost::system::error_code error, std::size_t) {
                                 if (error) {
                                     return;
                                 }
                                 connection->timer.expires_after(connection->response.delay);
                                 connection->timer.async_wait([connection](boost::system::error_code cancelled) {
                                     if (!cancelled) {
                                         end(connection);
                                     }
                                 });
                             });
}

void EarlyServer::end(const std::shared_ptr<Connection> &connection)
{
    boost::system::error_code ignored;
    switch (connection->response.ending) {
    case Ending::KeepsOpen:
        readOn(connection);
        break;
    case Ending::StopsSending:
        connection->socket.shutdown(tcp::socket::shutdown_send, ignored);
        readOn(connection);
        break;
    case Ending::StopsSendingAndResets:
        connection->socket.shutdown(tcp::socket::shutdown_send, ignored);
        connection->timer.expires_after(resetDelay);
        connection->timer.async_wait([connection](boost::system::error_code) { reset(connection->socket); });
        break;
    case Ending::Closes:
        connection->socket.close(ignored);
        break;
    case Ending::Resets:
        reset(connection->socket);
        break;
    }
}

void EarlyServer::readOn(const std::shared_ptr<Connection> &connection)
{
    connection->socket.async_read_some(boost::asio::buffer(connection->part),
                                       [connection](boost::system::error_code error, std::size_t bytes) {
                                           connection->received.append(connection->part.data(), bytes);
                                           if (!error) {
                                               readOn(connection);
                                           }
                                       });
}

} // namespace waxwing::testing
