#pragma once

#include "src/fiber/FiberLoop.h"
#include "src/link/LinkFramer.h"
#include "src/link/PeerHub.h"

#include <boost/asio/ip/tcp.hpp>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace waxwing {

/** Time in which the Hello of the listening side must be received. */
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

/**
 * The links of a PeerHub and the calls that wait for replies. PeerHubLinks.cpp opens, identifies and closes links,
 * PeerHubTransfer.cpp sends and receives on them, and PeerHubCalls.cpp waits for replies. Not thread safe.
 */
struct PeerHub::State : std::enable_shared_from_this<PeerHub::State> {
    using Server = websocketpp::server<websocketpp::config::asio>;
    using Client = websocketpp::client<websocketpp::config::asio_client>;
    using connection_hdl = websocketpp::connection_hdl;

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

    /** A call that waits for its reply. */
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

    /** Configures the WebSocket server and client. @pre called once, before any other function. */
    void setUp();
    LinkPtr addLink(bool outgoing, connection_hdl handle);
    /** Returns the outgoing link that is being opened to @p endpoint, or a new one; null if none can be created. */
    LinkPtr connectTo(const Endpoint &endpoint);
    /**
     * Returns an open link to @p endpoint, or opens one and waits for its Hello. Errors: Unavailable if the link can't
     * be opened, Timeout if no Hello arrives in time. @p forceNew: an open link is not reused. @pre called from a
     * fiber.
     */
    Expected<LinkId> linkAt(const Endpoint &endpoint, Duration timeout, bool forceNew);
    /**
     * The same for the node @p to, within helloTimeout. Error NotFound: another node listens at @p endpoint. @pre
     * called from a fiber.
     */
    Expected<LinkPtr> linkTo(const NodeRef &to, const Endpoint &endpoint);
    /** Waits for the Hello of the listening side. Errors as for linkAt(). @pre called from a fiber. */
    Expected<void> awaitHello(const LinkPtr &link, Duration timeout = helloTimeout);
    /**
     * Sends the message that @p messageOf makes for a new call id, calls @p onSent and waits for the reply. An error
     * states whether the message may have been sent. @pre called from a fiber.
     */
    tl::expected<ExecReply, CallError> sendAndWait(const NodeRef &to, const Endpoint &endpoint,
                                                   const std::function<Message(std::uint64_t)> &messageOf,
                                                   Duration timeout, const std::function<void(std::uint64_t)> &onSent);
    /** Returns the bytes that wait to be sent on @p link; nullopt if its connection has ended. */
    std::optional<std::size_t> bufferedBytes(const LinkPtr &link);
    /** Returns false if the link has closed, or if more than maxBufferedBytes wait to be sent on it. */
    bool canSend(const LinkPtr &link);
    /** Updates queuedBytes after the queue of @p link has changed. */
    void noteQueued(const LinkPtr &link);
    /** Returns false if the frame was not written. */
    bool writeFrame(const LinkPtr &link, const std::string &frame);
    bool sendOn(const LinkPtr &link, Message message);
    void onFrame(const LinkPtr &link, const std::string &payload);
    void onMessage(const LinkPtr &link, Message message);
    void onClosed(const LinkPtr &link);
    /** Closes the connection and calls onClosed(). Does nothing if the link has closed. */
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

} // namespace waxwing
