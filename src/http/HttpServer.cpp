#include "src/http/HttpServer.h"

#include "src/fiber/FiberLoop.h"
#include "src/http/HttpConnection.h"

#include <boost/asio/ip/tcp.hpp>

#include <list>

namespace waxwing {

using tcp = boost::asio::ip::tcp;

namespace {

constexpr Millis acceptPause{20};

} // namespace

HttpLimits MakeHttpLimits(const NodeLimits &limits)
{
    HttpLimits result;
    result.bodyBytes = limits.bodyBytes;
    result.headerBytes = limits.headerBytes;
    result.connections = limits.callerConnections;
    result.pipelinedRequests = limits.pipelinedRequests;
    result.pipelinedBytes = limits.pipelinedBytes;
    return result;
}

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State> {
    State(boost::asio::io_context &ioContext, Handler handler, HttpLimits limits, RejectHook onReject)
        : shared(std::make_shared<HttpShared>(
            HttpShared{ioContext, std::move(handler), limits, std::move(onReject), nullptr, nullptr}))
        , acceptor(ioContext)
    { }

    void acceptLoop();

    std::shared_ptr<HttpShared> shared;
    tcp::acceptor acceptor;
    std::list<std::shared_ptr<HttpConnection>> open;
};

void HttpServer::State::acceptLoop()
{
    while (!shared->draining) {
        tcp::socket socket(shared->ioContext);
        const IoResult accepted = await([&](auto handle) { acceptor.async_accept(socket, std::move(handle)); });
        if (shared->draining || accepted.error == boost::asio::error::operation_aborted) {
            return;
        }
        if (accepted.error) {
            // Out of file descriptors: accepting again at once would spin until one is free.
            sleepFor(shared->ioContext, acceptPause);
            continue;
        }
        if (open.size() >= shared->limits.connections) {
            if (shared->onReject) {
                shared->onReject("too-many-connections");
            }
            continue;
        }
        boost::system::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        open.push_back(std::make_shared<HttpConnection>(std::move(socket), shared));
        spawnFiber([self = shared_from_this(), position = std::prev(open.end())] {
            const std::shared_ptr<HttpConnection> connection = *position;
            connection->serve();
            self->open.erase(position);
        });
    }
}

Expected<std::unique_ptr<HttpServer>> HttpServer::MakeListening(boost::asio::io_context &ioContext,
                                                                const std::string &address, std::uint16_t port,
                                                                Handler handler, HttpLimits limits, RejectHook onReject)
{
    auto state = std::make_shared<State>(ioContext, std::move(handler), limits, std::move(onReject));
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address(address, error);
    if (error) {
        return fail(ErrorCode::Malformed, "not an IP address: " + address);
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
    return state_->shared->inFlight;
}

std::size_t HttpServer::connections() const
{
    return state_->open.size();
}

void HttpServer::setLimits(const HttpLimits &limits)
{
    state_->shared->limits = limits;
}

void HttpServer::setFlow(std::shared_ptr<ResponseFlow> flow)
{
    state_->shared->flow = std::move(flow);
}

void HttpServer::setMemory(MemoryBudgetPtr memory)
{
    state_->shared->memory = std::move(memory);
}

void HttpServer::announceClose()
{
    state_->shared->closing = true;
}

void HttpServer::drain()
{
    if (state_->shared->draining) {
        return;
    }
    state_->shared->draining = true;
    boost::system::error_code ignored;
    state_->acceptor.close(ignored);
    for (const auto &connection : state_->open) {
        connection->onDrain();
    }
}

} // namespace waxwing
