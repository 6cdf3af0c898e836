#include "src/link/PeerHubState.h"

namespace waxwing {

namespace {

/** Timeouts of the WebSocket handshakes. */
constexpr long openTimeoutMs = 1000;
constexpr long closeTimeoutMs = 500;
constexpr std::size_t maxMessageBytes = 8UL * 1024 * 1024;

} // namespace

void PeerHub::State::setUp()
{
    for (auto *log : {&server.get_alog(), &client.get_alog()}) {
        log->clear_channels(websocketpp::log::alevel::all);
    }
    server.clear_error_channels(websocketpp::log::elevel::all);
    client.clear_error_channels(websocketpp::log::elevel::all);
    server.init_asio(&ioContext);
    client.init_asio(&ioContext);
    server.set_reuse_addr(true);
    server.set_open_handshake_timeout(openTimeoutMs);
    server.set_close_handshake_timeout(closeTimeoutMs);
    server.set_max_message_size(maxMessageBytes);
    client.set_open_handshake_timeout(openTimeoutMs);
    client.set_close_handshake_timeout(closeTimeoutMs);
    client.set_max_message_size(maxMessageBytes);
    // The socket hook of websocketpp runs before the socket is open, where setting the option fails. This one runs when
    // the connection is established. With Nagle's algorithm, small messages wait for the peer's delayed ACK of 40 ms.
    const auto noDelay = [](auto &endpoint) {
        endpoint.set_tcp_pre_init_handler([&endpoint](const connection_hdl &handle) {
            websocketpp::lib::error_code gone;
            const auto connection = endpoint.get_con_from_hdl(handle, gone);
            if (gone) {
                return;
            }
            boost::system::error_code closed;
            connection->get_raw_socket().set_option(boost::asio::ip::tcp::no_delay(true), closed);
        });
    };
    noDelay(server);
    noDelay(client);
    server.set_open_handler([self = weak_from_this()](const connection_hdl &handle) {
        const auto state = self.lock();
        if (!state || state->stopped) {
            return;
        }
        const LinkPtr link = state->addLink(false, handle);
        const auto connection = state->server.get_con_from_hdl(handle);
        connection->set_message_handler([self, link](const connection_hdl &, const Server::message_ptr &message) {
            if (const auto owner = self.lock()) {
                owner->onFrame(link, message->get_payload());
            }
        });
        connection->set_close_handler([self, link](const connection_hdl &) {
            if (const auto owner = self.lock()) {
                owner->onClosed(link);
            }
        });
        state->sendOn(link, Hello{state->self});
        link->helloAt = state->clock.now();
    });
}

PeerHub::State::LinkPtr PeerHub::State::addLink(bool isOutgoing, connection_hdl handle)
{
    auto link = std::make_shared<Link>();
    link->id = nextLink++;
    link->outgoing = isOutgoing;
    link->handle = std::move(handle);
    link->framer.setChargeHook(hooks.chargeBody);
    links[link->id] = link;
    return link;
}

void PeerHub::State::releaseWaiters(Link &link)
{
    for (const auto &latch : link.waiters) {
        latch->release();
    }
    link.waiters.clear();
}

PeerHub::State::LinkPtr PeerHub::State::connectTo(const Endpoint &endpoint)
{
    const auto found = opening.find(endpoint);
    if (found != opening.end()) {
        return found->second;
    }
    websocketpp::lib::error_code error;
    const auto connection = client.get_connection("ws://" + endpoint.text() + "/", error);
    if (error) {
        return nullptr;
    }
    LinkPtr link = addLink(true, connection->get_handle());
    link->endpoint = endpoint;
    opening[endpoint] = link;
    const std::weak_ptr<State> weak = weak_from_this();
    connection->set_open_handler([weak, link](const connection_hdl &) {
        const auto state = weak.lock();
        if (!state) {
            return;
        }
        if (link->closed) {
            // closeLink() ran before the link opened. If it stayed open, nothing would refer to it.
            websocketpp::lib::error_code ignored;
            state->client.close(link->handle, websocketpp::close::status::going_away, "", ignored);
            return;
        }
        state->sendOn(link, Hello{state->self});
    });
    connection->set_message_handler([weak, link](const connection_hdl &, const Client::message_ptr &message) {
        if (const auto state = weak.lock()) {
            state->onFrame(link, message->get_payload());
        }
    });
    const auto closed = [weak, link](const connection_hdl &) {
        if (const auto state = weak.lock()) {
            state->onClosed(link);
        }
    };
    connection->set_close_handler(closed);
    connection->set_fail_handler(closed);
    client.connect(connection);
    return link;
}

Expected<void> PeerHub::State::awaitHello(const LinkPtr &link, Duration timeout)
{
    if (!link->helloReceived && !link->closed) {
        TimedLatch timed(ioContext, timeout);
        link->waiters.push_back(timed.latch);
        timed.wait();
    }
    if (link->closed) {
        return fail(ErrorCode::Unavailable, "cannot open a link to " + link->endpoint.text());
    }
    if (!link->helloReceived) {
        // Before helloTimeout the link stays open: another fiber may still be waiting for its Hello.
        if (std::chrono::steady_clock::now() - link->since >= helloTimeout) {
            closeLink(link, websocketpp::close::status::going_away);
        }
        return fail(ErrorCode::Timeout, "no Hello received from " + link->endpoint.text());
    }
    return {};
}

Expected<PeerHub::State::LinkPtr> PeerHub::State::linkTo(const NodeRef &to, const Endpoint &endpoint)
{
    if (stopped) {
        return fail(ErrorCode::Unavailable, "stopping");
    }
    const auto found = outgoing.find(to);
    if (found != outgoing.end()) {
        return found->second;
    }
    LinkPtr link = connectTo(endpoint);
    if (!link) {
        return fail(ErrorCode::Unavailable, "cannot connect to " + endpoint.text());
    }
    const Expected<void> hello = awaitHello(link);
    if (!hello) {
        return tl::unexpected<Error>(hello.error());
    }
    if (link->peer != to) {
        return fail(ErrorCode::NotFound,
                    "endpoint " + endpoint.text() + " belongs to " + link->peer.text() + ", not to " + to.text());
    }
    return link;
}

Expected<LinkId> PeerHub::State::linkAt(const Endpoint &endpoint, Duration timeout, bool forceNew)
{
    if (stopped) {
        return fail(ErrorCode::Unavailable, "stopping");
    }
    const auto found = byEndpoint.find(endpoint);
    if (found != byEndpoint.end() && !forceNew) {
        return found->second->id;
    }
    const LinkPtr link = connectTo(endpoint);
    if (!link) {
        return fail(ErrorCode::Unavailable, "cannot connect to " + endpoint.text());
    }
    const Expected<void> hello = awaitHello(link, timeout);
    if (!hello) {
        return tl::unexpected<Error>(hello.error());
    }
    return link->id;
}

void PeerHub::State::closeLink(const LinkPtr &link, websocketpp::close::status::value code)
{
    if (link->closed) {
        return;
    }
    websocketpp::lib::error_code ignored;
    if (link->outgoing) {
        client.close(link->handle, code, "", ignored);
    } else {
        server.close(link->handle, code, "", ignored);
    }
    onClosed(link);
}

void PeerHub::State::onClosed(const LinkPtr &link)
{
    if (link->closed) {
        return;
    }
    link->closed = true;
    noteQueued(link);
    releaseWaiters(*link);
    links.erase(link->id);
    const auto opened = opening.find(link->endpoint);
    if (opened != opening.end() && opened->second == link) {
        opening.erase(opened);
    }
    for (const auto &[id, call] : pending) {
        if (call->link == link) {
            call->linkLost = true;
            call->latch->release();
        }
    }
    const auto current = byEndpoint.find(link->endpoint);
    if (current != byEndpoint.end() && current->second == link) {
        byEndpoint.erase(current);
    }
    if (hooks.onLinkClosed && !stopped) {
        hooks.onLinkClosed(link->id);
    }
    const auto found = outgoing.find(link->peer);
    if (found != outgoing.end() && found->second == link) {
        outgoing.erase(found);
        if (hooks.onLinkLost && !stopped) {
            hooks.onLinkLost(link->peer);
        }
    }
}

} // namespace waxwing
