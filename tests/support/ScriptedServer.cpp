#include "tests/support/ScriptedServer.h"

#include <boost/asio/write.hpp>

#include <algorithm>

namespace waxwing::testing {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

struct ScriptedServer::State {
    tcp::acceptor *listener = nullptr;
    Handler handler;
    std::vector<ConnectionPtr> connections;
    bool stopped = false;
};

std::string responseText(unsigned status, const HeaderList &headers, const std::string &body)
{
    std::string out = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    for (const auto &[name, value] : headers) {
        out.append(name).append(": ").append(value).append("\r\n");
    }
    return out + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

ScriptedServer::ScriptedServer(boost::asio::io_context &ioContext, Handler handler)
    : ownListener_(
        std::make_unique<tcp::acceptor>(ioContext, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)))
    , state_(std::make_shared<State>())
{
    state_->listener = ownListener_.get();
    state_->handler = std::move(handler);
    accept(state_);
}

ScriptedServer::ScriptedServer(tcp::acceptor &listener, Handler handler)
    : state_(std::make_shared<State>())
{
    state_->listener = &listener;
    state_->handler = std::move(handler);
    accept(state_);
}

ScriptedServer::~ScriptedServer()
{
    state_->stopped = true;
    boost::system::error_code ignored;
    state_->listener->close(ignored);
    for (const ConnectionPtr &connection : state_->connections) {
        connection->socket.close(ignored);
    }
}

void ScriptedServer::stopListening()
{
    boost::system::error_code ignored;
    state_->listener->close(ignored);
}

std::uint16_t ScriptedServer::port() const
{
    return state_->listener->local_endpoint().port();
}

const std::vector<ScriptedServer::ConnectionPtr> &ScriptedServer::connections() const
{
    return state_->connections;
}

int ScriptedServer::openConnections() const
{
    return static_cast<int>(std::count_if(state_->connections.begin(), state_->connections.end(),
                                          [](const ConnectionPtr &one) { return !one->closed; }));
}

void ScriptedServer::sendEndlessly(const ConnectionPtr &connection)
{
    boost::asio::async_write(connection->socket, boost::asio::buffer(connection->endless),
                             [connection](boost::system::error_code error, std::size_t sent) {
                                 connection->sentBytes += sent;
                                 connection->closed = connection->closed || error;
                                 if (!connection->closed) {
                                     sendEndlessly(connection);
                                 }
                             });
}

void ScriptedServer::accept(const std::shared_ptr<State> &state)
{
    state->listener->async_accept([state](boost::system::error_code error, tcp::socket socket) {
        if (error || state->stopped) {
            return;
        }
        const int number = static_cast<int>(state->connections.size()) + 1;
        state->connections.push_back(std::make_shared<Connection>(std::move(socket), number));
        read(state, state->connections.back());
        accept(state);
    });
}

void ScriptedServer::read(const std::shared_ptr<State> &state, const ConnectionPtr &connection)
{
    connection->message = {};
    http::async_read(connection->socket, connection->buffer, connection->message,
                     [state, connection](boost::system::error_code error, std::size_t) {
                         connection->closed = connection->closed || error;
                         if (!error && !state->stopped) {
                             respond(state, connection);
                         }
                     });
}

void ScriptedServer::respond(const std::shared_ptr<State> &state, const ConnectionPtr &connection)
{
    ++connection->requests;
    const auto &message = connection->message;
    HttpRequest request{std::string(message.method_string()), std::string(message.target()), {}, message.body()};
    for (const auto &field : message) {
        request.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
    const auto bytes = std::make_shared<std::string>(state->handler(*connection, request));
    boost::asio::async_write(connection->socket, boost::asio::buffer(*bytes),
                             [state, connection, bytes](boost::system::error_code error, std::size_t) {
                                 connection->closed = connection->closed || error;
                                 if (connection->closes) {
                                     connection->socket.close();
                                     connection->closed = true;
                                 } else if (!error && connection->endless.empty()) {
                                     read(state, connection);
                                 } else if (!error) {
                                     sendEndlessly(connection);
                                 }
                             });
}

} // namespace waxwing::testing
