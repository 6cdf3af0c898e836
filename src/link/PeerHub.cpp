#include "src/link/PeerHub.h"

#include "src/fiber/FiberLoop.h"
#include "src/link/LinkFramer.h"

#include <boost/asio/ip/tcp.hpp>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include <map>
#include <vector>

namespace waxwing {

namespace {

using Server = websocketpp::server<websocketpp::config::asio>;
using Client = websocketpp::client<websocketpp::config::asio_client>;
using websocketpp::connection_hdl;

constexpr long openTimeoutMs = 1000;
constexpr long closeTimeoutMs = 500;
constexpr std::size_t maxMessageBytes = 8UL * 1024 * 1024;
constexpr std::size_t maxBufferedBytes = 16UL * 1024 * 1024;
constexpr Millis helloTimeout{1500};

/** A latch that is released by its event or by a timer, whichever comes first. */
struct TimedLatch {
    TimedLatch(boost::asio::io_context &ioContext, Duration timeout)
        : timer(ioContext, timeout)
    { }

    void wait()
    {
        timer.async_wait([latch = latch](boost::system::error_code) { latch->release(); });
        latch->wait();
        timer.cancel();
    }

    std::shared_ptr<FiberLatch> latch = std::make_shared<FiberLatch>();
    boost::asio::steady_timer timer;
};

} // namespace

struct PeerHub::State : std::enable_shared_from_this<PeerHub::State> {
    /** One WebSocket connection, opened by either side. */
    struct Link {
        LinkId id = 0;
        bool outgoing = false;
        connection_hdl handle;
        Endpoint endpoint;
        NodeRef peer;
        WireRevision peerRevision = WireRevision::First;
        bool helloReceived = false;
        bool closed = false;
        SteadyTime since = std::chrono::steady_clock::now();
        /** When this side sent (incoming link) or received (outgoing link) the Hello of the listening side. */
        std::optional<SteadyTime> helloAt;
        std::vector<std::shared_ptr<FiberLatch>> waiters;
        LinkFramer framer;
        /** What State::queuedBytes contains of this link. */
        std::size_t queuedBytes = 0;
        /** When the queue last became shorter, or was empty. */
        SteadyTime drainedAt;
        /** When the last frame was received. */
        SteadyTime lastReceivedAt;
    };
    using LinkPtr = std::shared_ptr<Link>;

    struct Pending {
        LinkPtr link;
        std::shared_ptr<FiberLatch> latch;
        bool replied = false;
        bool linkLost = false;
        ExecReply reply;
    };

    State(boost::asio::io_context &context, const Clock &clockIn, NodeRef selfIn, Hooks hooksIn)
        : ioContext(context)
        , clock(clockIn)
        , self(std::move(selfIn))
        , hooks(std::move(hooksIn))
    { }

    void setUp();
    LinkPtr addLink(bool outgoing, connection_hdl handle);
    LinkPtr connectTo(const Endpoint &endpoint);
    Expected<LinkId> linkAt(const Endpoint &endpoint, Duration timeout, bool forceNew);
    Expected<LinkPtr> linkTo(const NodeRef &to, const Endpoint &endpoint);
    Expected<void> awaitHello(const LinkPtr &link, Duration timeout = helloTimeout);
    tl::expected<ExecReply, CallError> sendAndWait(const NodeRef &to, const Endpoint &endpoint,
                                                   const std::function<Message(std::uint64_t)> &messageOf,
                                                   Duration timeout, const std::function<void(std::uint64_t)> &onSent);
    /** Returns the bytes that wait to be sent on @p link; nullopt if its connection has ended. */
    std::optional<std::size_t> bufferedBytes(const LinkPtr &link);
    /** Returns false if the link has closed, or if more than maxBufferedBytes wait to be sent on it. */
    bool canSend(const LinkPtr &link);
    /** Updates queuedBytes after the queue of @p link has changed. */
    void noteQueued(const LinkPtr &link);
    bool writeFrame(const LinkPtr &link, const std::string &frame);
    bool sendOn(const LinkPtr &link, Message message);
    void onFrame(const LinkPtr &link, const std::string &payload);
    void onMessage(const LinkPtr &link, Message message);
    void onClosed(const LinkPtr &link);
    void closeLink(const LinkPtr &link, websocketpp::close::status::value code);
    static void releaseWaiters(Link &link);
    void finishPending(std::uint64_t id, const LinkPtr &link, ExecReply reply);

    boost::asio::io_context &ioContext;
    const Clock &clock;
    NodeRef self;
    Hooks hooks;
    Server server;
    Client client;
    std::uint16_t port = 0;
    bool listening = false;
    bool stopped = false;
    LinkId nextLink = 1;
    std::uint64_t nextCall = 1;
    std::map<LinkId, LinkPtr> links;
    /** The latest outgoing link to each peer whose Hello was received. */
    std::map<NodeRef, LinkPtr> outgoing;
    /** Outgoing links that wait for the peer's Hello. */
    std::map<Endpoint, LinkPtr> opening;
    /** The latest outgoing link to each endpoint from which a Hello was received. */
    std::map<Endpoint, LinkPtr> byEndpoint;
    std::map<std::uint64_t, std::shared_ptr<Pending>> pending;
    /** Bytes of large bodies that wait to be sent on all links. */
    std::size_t queuedBytes = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
};

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

std::optional<std::size_t> PeerHub::State::bufferedBytes(const LinkPtr &link)
{
    websocketpp::lib::error_code error;
    const auto buffered = [&](auto &endpoint) {
        const auto connection = endpoint.get_con_from_hdl(link->handle, error);
        return error ? 0 : connection->get_buffered_amount();
    };
    const std::size_t waiting = link->outgoing ? buffered(client) : buffered(server);
    return error ? std::nullopt : std::optional<std::size_t>(waiting + link->framer.queuedBytes());
}

bool PeerHub::State::canSend(const LinkPtr &link)
{
    const std::optional<std::size_t> buffered = link->closed ? std::nullopt : bufferedBytes(link);
    return buffered && *buffered <= maxBufferedBytes;
}

void PeerHub::State::noteQueued(const LinkPtr &link)
{
    const std::size_t queued = link->closed ? 0 : link->framer.queuedBytes();
    if (queued < link->queuedBytes || link->queuedBytes == 0) {
        link->drainedAt = clock.now();
    }
    queuedBytes = queuedBytes - link->queuedBytes + queued;
    link->queuedBytes = queued;
}

bool PeerHub::State::writeFrame(const LinkPtr &link, const std::string &frame)
{
    websocketpp::lib::error_code error;
    if (link->outgoing) {
        client.send(link->handle, frame, websocketpp::frame::opcode::binary, error);
    } else {
        server.send(link->handle, frame, websocketpp::frame::opcode::binary, error);
    }
    bytesSent += error ? 0 : frame.size();
    return !error;
}

bool PeerHub::State::sendOn(const LinkPtr &link, Message message)
{
    if (!canSend(link)) {
        return false;
    }
    const bool written =
        link->framer.send(std::move(message), [&](const std::string &frame) { return writeFrame(link, frame); });
    noteQueued(link);
    if (!written) {
        closeLink(link, websocketpp::close::status::going_away);
    }
    return written;
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

void PeerHub::State::onFrame(const LinkPtr &link, const std::string &payload)
{
    if (link->closed) {
        return;
    }
    bytesReceived += payload.size();
    link->lastReceivedAt = clock.now();
    Expected<std::optional<Message>> received =
        link->framer.receive(payload, [&](const std::string &frame) { return writeFrame(link, frame); });
    noteQueued(link);
    const bool helloFirst = link->helloReceived || (received && *received && std::holds_alternative<Hello>(**received));
    if (!received || !helloFirst) {
        if (hooks.onMalformed && (received || received.error().code == ErrorCode::Malformed)) {
            hooks.onMalformed(received ? "message before Hello" : received.error().message);
        }
        closeLink(link, websocketpp::close::status::unsupported_data);
        return;
    }
    if (*received) {
        onMessage(link, std::move(**received));
    }
}

void PeerHub::State::onMessage(const LinkPtr &link, Message message)
{
    if (const auto *hello = std::get_if<Hello>(&message)) {
        link->peer = hello->from;
        link->peerRevision = hello->revision;
        link->helloReceived = true;
        if (link->outgoing) {
            link->helloAt = clock.now();
            outgoing[link->peer] = link;
            byEndpoint[link->endpoint] = link;
            const auto opened = opening.find(link->endpoint);
            if (opened != opening.end() && opened->second == link) {
                opening.erase(opened);
            }
        }
        releaseWaiters(*link);
        if (hooks.onLinkOpen && !stopped) {
            hooks.onLinkOpen(link->id, link->outgoing);
        }
    } else if (const auto *ping = std::get_if<Ping>(&message)) {
        sendOn(link, Pong{ping->id});
    } else if (const auto *pong = std::get_if<Pong>(&message)) {
        finishPending(pong->id, link, ExecReply{});
    } else if (auto *reply = std::get_if<ExecReply>(&message)) {
        finishPending(reply->id, link, std::move(*reply));
    } else if (hooks.onMessage) {
        hooks.onMessage(link->id, link->peer, std::move(message));
    }
}

void PeerHub::State::finishPending(std::uint64_t id, const LinkPtr &link, ExecReply reply)
{
    const auto found = pending.find(id);
    if (found == pending.end() || found->second->link != link) {
        return;
    }
    found->second->replied = true;
    found->second->reply = std::move(reply);
    found->second->latch->release();
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

PeerHub::PeerHub(boost::asio::io_context &ioContext, const Clock &clock, NodeRef self, Hooks hooks)
    : state_(std::make_shared<State>(ioContext, clock, std::move(self), std::move(hooks)))
{
    state_->setUp();
}

PeerHub::~PeerHub()
{
    stop();
}

Expected<void> PeerHub::listen(const Endpoint &endpoint)
{
    boost::system::error_code addressError;
    const auto ip = boost::asio::ip::make_address(endpoint.address, addressError);
    websocketpp::lib::error_code error;
    state_->server.listen(boost::asio::ip::tcp::endpoint(ip, endpoint.port), error);
    if (!error) {
        state_->server.start_accept(error);
    }
    if (addressError || error) {
        return fail(ErrorCode::Unavailable, "listen on " + endpoint.text() + ": " + error.message());
    }
    state_->listening = true;
    state_->port = state_->server.get_local_endpoint(addressError).port();
    return {};
}

std::uint16_t PeerHub::port() const
{
    return state_->port;
}

Expected<NodeRef> PeerHub::discover(const Endpoint &endpoint)
{
    for (const auto &[peer, link] : state_->outgoing) {
        if (link->endpoint == endpoint) {
            return peer;
        }
    }
    const State::LinkPtr link = state_->connectTo(endpoint);
    if (!link) {
        return fail(ErrorCode::Unavailable, "cannot connect to " + endpoint.text());
    }
    const Expected<void> hello = state_->awaitHello(link);
    if (!hello) {
        return tl::unexpected<Error>(hello.error());
    }
    return link->peer;
}

Expected<LinkId> PeerHub::linkAt(const Endpoint &endpoint, Duration timeout, bool forceNew)
{
    return state_->linkAt(endpoint, timeout, forceNew);
}

std::optional<LinkId> PeerHub::openLinkAt(const Endpoint &endpoint) const
{
    const auto found = state_->byEndpoint.find(endpoint);
    return found == state_->byEndpoint.end() ? std::nullopt : std::optional<LinkId>(found->second->id);
}

std::optional<NodeRef> PeerHub::peerOn(LinkId link) const
{
    const auto found = state_->links.find(link);
    return found == state_->links.end() ? std::nullopt : std::optional<NodeRef>(found->second->peer);
}

bool PeerHub::peerKnowsKeys(LinkId link) const
{
    const auto found = state_->links.find(link);
    return found != state_->links.end() && found->second->peerRevision >= WireRevision::CustomerKeys;
}

bool PeerHub::peerKnowsReservations(LinkId link) const
{
    const auto found = state_->links.find(link);
    return found != state_->links.end() && found->second->peerRevision >= WireRevision::SlotReservations;
}

std::optional<Duration> PeerHub::helloAge(LinkId link) const
{
    const auto found = state_->links.find(link);
    if (found == state_->links.end() || !found->second->helloAt) {
        return std::nullopt;
    }
    return state_->clock.now() - *found->second->helloAt;
}

void PeerHub::close(LinkId link)
{
    const auto found = state_->links.find(link);
    if (found != state_->links.end()) {
        const State::LinkPtr held = found->second;
        state_->closeLink(held, websocketpp::close::status::going_away);
    }
}

Expected<void> PeerHub::send(const NodeRef &to, const Endpoint &endpoint, const Message &message)
{
    const auto link = state_->linkTo(to, endpoint);
    if (!link) {
        return tl::unexpected<Error>(link.error());
    }
    if (!state_->sendOn(*link, message)) {
        return fail(ErrorCode::Unavailable, "link to " + to.text() + " is closed or its send buffer is full");
    }
    return {};
}

tl::expected<ExecReply, CallError> PeerHub::State::sendAndWait(const NodeRef &to, const Endpoint &endpoint,
                                                               const std::function<Message(std::uint64_t)> &messageOf,
                                                               Duration timeout,
                                                               const std::function<void(std::uint64_t)> &onSent)
{
    const auto link = linkTo(to, endpoint);
    if (!link) {
        return tl::unexpected<CallError>(CallError{false, link.error().message});
    }
    const std::uint64_t id = nextCall++;
    const auto call = std::make_shared<Pending>();
    TimedLatch timed(ioContext, timeout);
    call->link = *link;
    call->latch = timed.latch;
    pending[id] = call;
    if (!sendOn(*link, messageOf(id))) {
        pending.erase(id);
        return tl::unexpected<CallError>(CallError{false, "link is closed or its send buffer is full"});
    }
    if (onSent) {
        onSent(id);
    }
    timed.wait();
    pending.erase(id);
    if (call->replied) {
        return std::move(call->reply);
    }
    return tl::unexpected<CallError>(CallError{true, call->linkLost ? "link lost" : "no reply within the timeout"});
}

tl::expected<ExecReply, CallError> PeerHub::call(const NodeRef &to, const Endpoint &endpoint, Exec exec,
                                                 Duration timeout, const std::function<void(std::uint64_t)> &onSent)
{
    std::uint64_t sentId = 0;
    const auto noteSent = [&](std::uint64_t id) {
        sentId = id;
        if (onSent) {
            onSent(id);
        }
    };
    auto result = state_->sendAndWait(
        to, endpoint,
        [&](std::uint64_t id) {
            exec.id = id;
            return Message(std::move(exec));
        },
        timeout, noteSent);
    const auto link = state_->outgoing.find(to);
    if (!result && sentId != 0 && link != state_->outgoing.end()) {
        state_->sendOn(link->second, Cancel{sentId});
    }
    return result;
}

Expected<void> PeerHub::sendAcknowledged(const NodeRef &to, const Endpoint &endpoint, ClaimHandover message,
                                         Duration timeout)
{
    const auto result = state_->sendAndWait(to, endpoint,
                                            [&](std::uint64_t id) {
                                                message.id = id;
                                                return Message(message);
                                            },
                                            timeout, {});
    return result ? Expected<void>() : fail(ErrorCode::Timeout, result.error().reason);
}

Expected<void> PeerHub::ping(const NodeRef &to, const Endpoint &endpoint, Duration timeout)
{
    const auto result =
        state_->sendAndWait(to, endpoint, [](std::uint64_t id) { return Message(Ping{id}); }, timeout, {});
    return result ? Expected<void>() : fail(ErrorCode::Timeout, result.error().reason);
}

void PeerHub::closeUnidentified(Duration olderThan)
{
    const SteadyTime now = std::chrono::steady_clock::now();
    const auto links = state_->links;
    for (const auto &[id, link] : links) {
        if (!link->outgoing && !link->helloReceived && now - link->since >= olderThan) {
            state_->closeLink(link, websocketpp::close::status::policy_violation);
        }
    }
}

void PeerHub::cancelCall(std::uint64_t id)
{
    const auto found = state_->pending.find(id);
    if (found != state_->pending.end()) {
        found->second->latch->release();
    }
}

bool PeerHub::reply(LinkId link, Message message)
{
    const auto found = state_->links.find(link);
    if (found == state_->links.end()) {
        return false;
    }
    const State::LinkPtr held = found->second;
    return state_->sendOn(held, std::move(message));
}

std::optional<SteadyTime> PeerHub::lastReceivedAt(LinkId link) const
{
    const auto found = state_->links.find(link);
    return found == state_->links.end() ? std::nullopt : std::optional<SteadyTime>(found->second->lastReceivedAt);
}

std::size_t PeerHub::queuedBytes(LinkId link) const
{
    const auto found = state_->links.find(link);
    return found == state_->links.end() ? 0 : state_->bufferedBytes(found->second).value_or(0);
}

Duration PeerHub::sendStalledFor(LinkId link) const
{
    const auto found = state_->links.find(link);
    const bool waits = found != state_->links.end() && found->second->queuedBytes > 0;
    return waits ? state_->clock.now() - found->second->drainedAt : Duration(0);
}

std::size_t PeerHub::queuedBytes() const
{
    return state_->queuedBytes;
}

void PeerHub::disconnect(const NodeRef &peer)
{
    const auto found = state_->outgoing.find(peer);
    if (found != state_->outgoing.end()) {
        const State::LinkPtr link = found->second;
        state_->closeLink(link, websocketpp::close::status::going_away);
    }
}

std::size_t PeerHub::openLinkCount() const
{
    return state_->links.size();
}

std::uint64_t PeerHub::bytesSent() const
{
    return state_->bytesSent;
}

std::uint64_t PeerHub::bytesReceived() const
{
    return state_->bytesReceived;
}

void PeerHub::stop()
{
    if (state_->stopped) {
        return;
    }
    state_->stopped = true;
    websocketpp::lib::error_code ignored;
    if (state_->listening) {
        state_->server.stop_listening(ignored);
    }
    const auto links = state_->links;
    for (const auto &[id, link] : links) {
        state_->closeLink(link, websocketpp::close::status::going_away);
    }
}

} // namespace waxwing
