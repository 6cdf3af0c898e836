#pragma once

#include "include/base/Clock.h"
#include "include/base/Error.h"
#include "include/settings/NodeSettings.h"
#include "include/wire/Messages.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace waxwing {

/** Why a message could not be sent or answered, and whether it may have left this node. */
struct CallError {
    bool mayHaveBeenSent = false;
    std::string reason;
};

/** Names one link for answers; valid until the link closes. */
using LinkId = std::uint64_t;

/**
 * Links to other nodes: WebSocket (websocketpp), CBOR messages in binary frames as LinkFramer makes them. websocketpp's
 * own compression is not used: its client never enables it.
 *
 * A link that this node opened is known to lead to one incarnation: the peer says Hello first, and a peer that is
 * not the expected one is not used. An answer is taken only on the link that carried its question, so an answer from
 * an earlier run of the peer is never taken for a later one's. Not thread safe: the node's thread only.
 */
class PeerHub
{
public:
    struct Hooks {
        /** A message other than Hello, Ping, Pong and ExecReply. */
        std::function<void(LinkId link, const NodeRef &from, Message message)> onMessage;
        /** Bytes that were no message; the link is closed. */
        std::function<void(const std::string &reason)> onMalformed;
        /** An outgoing link closed or went silent. */
        std::function<void(const NodeRef &peer)> onLinkLost;
        /** The other end said who it is; the link may be used. */
        std::function<void(LinkId link, bool outgoing)> onLinkOpen;
        /** Any link closed; its id is never used again. */
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

    /** The incarnation that answers at @p endpoint. Errors: Unavailable, Timeout. @pre called from a fiber. */
    Expected<NodeRef> discover(const Endpoint &endpoint);
    /**
     * The open link to whoever listens at @p endpoint; opens one if there is none, or if @p forceNew: a link that went
     * silent without a reset shows only by its silence. The one replaced stays open for answers that come late.
     * Errors: Unavailable, Timeout (not there within @p timeout). @pre called from a fiber.
     */
    Expected<LinkId> linkAt(const Endpoint &endpoint, Duration timeout, bool forceNew = false);
    /** The link to whoever listens at @p endpoint, if one that this node opened is there. */
    std::optional<LinkId> openLinkAt(const Endpoint &endpoint) const;
    /** The incarnation at the other end; nothing if the link has closed. */
    std::optional<NodeRef> peerOn(LinkId link) const;
    /**
     * How long ago the listening side's Hello was sent (asked there) or came (asked at the other side). The difference
     * of the two ages is the time that this Hello and a message about its age took together, whatever the clocks show.
     * Nothing if the link has closed or has no Hello yet.
     */
    std::optional<Duration> helloAge(LinkId link) const;
    /** Closes one link. */
    void close(LinkId link);
    /** Sends without waiting for an answer; opens the link if need be. @pre called from a fiber. */
    Expected<void> send(const NodeRef &to, const Endpoint &endpoint, const Message &message);
    /**
     * Sends @p exec (its id is set here) and waits for the reply. @p onSent is called with the id as soon as the
     * message left. @pre called from a fiber.
     */
    tl::expected<ExecReply, CallError> call(const NodeRef &to, const Endpoint &endpoint, Exec exec, Duration timeout,
                                            const std::function<void(std::uint64_t id)> &onSent = {});
    /** Sends a message that the peer acknowledges with a Pong of its id. @pre called from a fiber. */
    Expected<void> sendAcknowledged(const NodeRef &to, const Endpoint &endpoint, ClaimHandover message,
                                    Duration timeout);
    /** Measures whether the peer answers. @pre called from a fiber. */
    Expected<void> ping(const NodeRef &to, const Endpoint &endpoint, Duration timeout);
    /** Ends a call of this node early: the caller gets an error and the peer a Cancel. */
    void cancelCall(std::uint64_t id);
    /** Sends on an open link; false if it has closed or takes no more. */
    bool reply(LinkId link, Message message);
    /** When anything came on the link last, parts of large answers included; nothing if it has closed. */
    std::optional<SteadyTime> lastReceivedAt(LinkId link) const;
    /** Closes incoming links that have not said Hello within @p olderThan. */
    void closeUnidentified(Duration olderThan);
    /** Closes the outgoing link to @p peer. */
    void disconnect(const NodeRef &peer);
    /** Incarnations to which a link is open. */
    std::size_t openLinkCount() const;
    /** Bytes of messages sent and received since the start. */
    std::uint64_t bytesSent() const;
    std::uint64_t bytesReceived() const;
    /** Closes every link and stops listening. */
    void stop();

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace waxwing
