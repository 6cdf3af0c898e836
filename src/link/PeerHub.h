#pragma once

#include "include/base/Clock.h"
#include "include/base/Error.h"
#include "include/settings/NodeSettings.h"
#include "include/wire/Messages.h"
#include "src/link/LinkFramer.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace waxwing {

/** Why a message could not be sent or got no reply, and whether it may have been sent. */
struct CallError {
    bool mayHaveBeenSent = false;
    std::string reason;
};

/** Identifies one link, for replies; valid until the link closes. */
using LinkId = std::uint64_t;

/**
 * Manages the links to other nodes: WebSocket connections (websocketpp) that carry CBOR messages in the binary frames
 * of LinkFramer. websocketpp's own compression is not used: its client never enables it.
 *
 * A link that this node opened belongs to one incarnation of the peer: the peer sends a Hello first, and calls don't
 * use a link to an unexpected peer. An ExecReply or Pong is accepted only on the link that carried its request, so a
 * reply from an earlier incarnation of the peer is never taken for one from a later incarnation. Other replies are
 * passed to Hooks::onMessage from any link. Not thread safe: the node's thread only.
 */
class PeerHub
{
public:
    struct Hooks {
        /** Receives each message other than Hello, Ping, Pong and ExecReply. */
        std::function<void(LinkId link, const NodeRef &from, Message message)> onMessage;
        /** Returns what a received body holds elsewhere, such as of a memory budget. Empty: nothing. */
        LinkFramer::ChargeHook chargeBody;
        /** Malformed bytes were received; the link is then closed. */
        std::function<void(const std::string &reason)> onMalformed;
        /** The latest outgoing link to @p peer closed. */
        std::function<void(const NodeRef &peer)> onLinkLost;
        /** The peer's Hello was received; the link is usable. */
        std::function<void(LinkId link, bool outgoing)> onLinkOpen;
        /** Any link closed; its id is never reused. */
        std::function<void(LinkId link)> onLinkClosed;
    };

    /** @pre @p clock outlives the hub. */
    PeerHub(boost::asio::io_context &ioContext, const Clock &clock, NodeRef self, Hooks hooks);
    ~PeerHub();
    PeerHub(const PeerHub &) = delete;
    PeerHub &operator=(const PeerHub &) = delete;

    /** Errors: Unavailable. */
    Expected<void> listen(const Endpoint &endpoint);
    std::uint16_t port() const;

    /** Returns the incarnation that listens at @p endpoint. Errors: Unavailable, Timeout. @pre called from a fiber. */
    Expected<NodeRef> discover(const Endpoint &endpoint);
    /**
     * Returns the open link to @p endpoint, and opens one if there is none. @p forceNew opens another one, because
     * the open link may have failed without a reset, which shows only by missing traffic; it stays open for late
     * replies. Errors: Unavailable, Timeout (not open within @p timeout). @pre called from a fiber.
     */
    Expected<LinkId> linkAt(const Endpoint &endpoint, Duration timeout, bool forceNew = false);
    /** Returns the open link from this node to @p endpoint, if there is one. */
    std::optional<LinkId> openLinkAt(const Endpoint &endpoint) const;
    /** Returns the incarnation of the peer; nothing if the link has closed. */
    std::optional<NodeRef> peerOn(LinkId link) const;
    /** Returns true if the peer's build understands messages about customers' keys and quotas. */
    bool peerKnowsKeys(LinkId link) const;
    /** Returns true if the peer's build understands messages about slot reservations. */
    bool peerKnowsReservations(LinkId link) const;
    /** Returns true if the peer's build understands reports of homes. */
    bool peerKnowsHomeReports(LinkId link) const;
    /**
     * Returns the time since the listening side's Hello was sent (on that side) or received (on the other side). If the
     * side that opened the link puts its age into a message, the receiver's own age minus that one is the sum of the
     * delays of the Hello and of the message, independent of the nodes' clocks. Nothing if the link has closed or has
     * no Hello yet.
     */
    std::optional<Duration> helloAge(LinkId link) const;
    /** Closes one link. */
    void close(LinkId link);
    /**
     * Sends without waiting for a reply; opens the link if needed. Errors: Unavailable, Timeout; NotFound if another
     * incarnation listens at @p endpoint. @pre called from a fiber.
     */
    Expected<void> send(const NodeRef &to, const Endpoint &endpoint, const Message &message);
    /**
     * Sends @p exec (its id is set here) and waits for the reply. @p onSent is called with the id as soon as the
     * message is sent. @pre called from a fiber.
     */
    tl::expected<ExecReply, CallError> call(const NodeRef &to, const Endpoint &endpoint, Exec exec, Duration timeout,
                                            const std::function<void(std::uint64_t id)> &onSent = {});
    /**
     * Sends @p message and waits until the peer acknowledges it with a Pong of its id. Errors: Timeout (any failure).
     * @pre called from a fiber.
     */
    Expected<void> sendAcknowledged(const NodeRef &to, const Endpoint &endpoint, ClaimHandover message,
                                    Duration timeout);
    /** Checks that the peer replies within @p timeout. Errors: Timeout (any failure). @pre called from a fiber. */
    Expected<void> ping(const NodeRef &to, const Endpoint &endpoint, Duration timeout);
    /** Cancels a call of this node: the call returns an error, and the peer gets a Cancel. */
    void cancelCall(std::uint64_t id);
    /** Sends on an open link; false if it has closed or its send buffer is full. */
    bool reply(LinkId link, Message message);
    /**
     * Returns when the last frame was received on the link, chunks of large responses included; nothing if it has
     * closed.
     */
    std::optional<SteadyTime> lastReceivedAt(LinkId link) const;
    /** Returns the bytes that wait to be sent on the link; 0 if it has closed. */
    std::size_t queuedBytes(LinkId link) const;
    /** Returns how long the peer has acknowledged no chunk though some wait to be sent; zero if none waits. */
    Duration sendStalledFor(LinkId link) const;
    /** Returns the bytes of large bodies that wait to be sent on all links. */
    std::size_t queuedBytes() const;
    /** Closes incoming links from which no Hello was received within @p olderThan. */
    void closeUnidentified(Duration olderThan);
    /** Closes the outgoing link to @p peer. */
    void disconnect(const NodeRef &peer);
    /** Returns the number of links, incoming and outgoing, open or being opened. */
    std::size_t openLinkCount() const;
    /** Bytes of frames sent and received since the start. */
    std::uint64_t bytesSent() const;
    std::uint64_t bytesReceived() const;
    /** Closes every link and stops listening. */
    void stop();

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace waxwing
