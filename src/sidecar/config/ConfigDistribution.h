#pragma once

#include "include/fleet/ConfigDelivery.h"
#include "include/fleet/ConfigFetch.h"
#include "include/wire/Messages.h"
#include "src/link/PeerHub.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace waxwing {

struct NodeCore;
class ConfigSync;
class RegionWatch;

/**
 * Distributes configuration documents between nodes. A node that has read a large document announces it to its region
 * and delivers it before it decodes it, since decoding can take a small node a second. A node that hears of a newer
 * version requests it as ConfigFetch decides. A request that can't be served at once is answered without a document,
 * and its sender gets an announcement later. Not thread safe.
 */
class ConfigDistribution
{
public:
    /** Sends a StateUpdateRequest for the configuration and returns its id. */
    using SendRequest = std::function<std::uint64_t(LinkId link)>;

    ConfigDistribution(NodeCore &core, SendRequest sendRequest);
    /** @pre "config" and "region-watch" are in the kernel. */
    void start();
    /** Returns true if this node has a document of a higher version than the one in force. */
    bool holdsNewer() const;
    /** Records that @p peer, heard on @p link, holds @p version. @p isOffer: the message announced it. */
    void noteHolder(LinkId link, const NodeRef &peer, std::uint64_t version, bool isOffer);
    /** Adds the document to the reply to a request that wants it; if that isn't possible now, remembers the sender. */
    void addDocument(const NodeRef &peer, const StateUpdateRequest &request, StateUpdate &reply);
    /** Uses an update: its document, or the lack of one. @p peer: its sender. */
    void handleUpdate(LinkId link, const NodeRef &peer, const StateUpdate &update);
    void linkClosed(LinkId link);
    /** Announces the version in force to the region if this node watches, or stands in and nobody else did. Sends a
     * small document as well. */
    void configChanged();
    /** Carries out the next step. Returns when it must be called again at the latest. */
    SteadyTime update();

private:
    /** A document that is not in force yet. */
    struct HeldDocument {
        std::uint64_t version = 0;
        std::shared_ptr<const std::string> text;
    };
    struct DeflatedDocument {
        std::uint64_t version = 0;
        std::shared_ptr<const std::string> bytes;
    };
    /** The nodes that are still to be told of a version. */
    struct Announcement {
        StateUpdate update;
        std::vector<LinkId> links;
        std::size_t sent = 0;
        std::size_t notified = 0;
    };
    struct Request {
        std::uint64_t id = 0;
        LinkId link = 0;
    };

    ConfigSync &config() const;
    RegionWatch &region() const;
    std::uint64_t availableVersion() const;
    /** Returns a document of a version above @p version; null if this node has none. */
    std::shared_ptr<const std::string> documentAbove(std::uint64_t version) const;
    /** Returns the compressed document of the available version, compressed at the first call. @pre there is one. */
    std::shared_ptr<const std::string> deflated(const std::string &document);
    /** Returns the document in @p update; nothing if it has none or it is malformed. */
    std::optional<std::string> documentIn(const NodeRef &peer, const StateUpdate &update);
    /** Returns true if the document was applied, by this fiber or another one. */
    bool handleStoreDocument(const std::string &document, const std::string &source);
    void receive(std::uint64_t version, const std::string &document, const std::string &source);
    /**
     * Delivers the document to the nodes that wait for it, for a short time, and applies it then. If another fiber does
     * so, waits for it. @pre called from a fiber.
     */
    void relayAndApply(std::uint64_t version, const std::shared_ptr<const std::string> &document,
                       const std::string &source, bool announces);
    bool isRelayTime(SteadyTime since) const;
    /** Starts to tell the region, a part of it at a time, so that deliveries don't wait behind it. */
    void announce(const StateUpdate &update);
    void announceToSome();
    StateUpdate announcement() const;
    void sendOffers();
    void requestFrom(const ConfigFetchStep &step);
    void logRequest(const std::string &from, const char *reason);
    bool canUseStore() const;
    std::optional<LinkId> linkTo(const std::string &peer) const;

    NodeCore &core_;
    SendRequest sendRequest_;
    ConfigFetch fetch_;
    ConfigDelivery delivery_;
    std::optional<HeldDocument> held_;
    std::optional<DeflatedDocument> deflated_;
    std::optional<Announcement> announcement_;
    std::uint64_t announcedVersion_ = 0;
    /** The highest version that a waiting node held when it asked. */
    std::uint64_t waitersHold_ = 0;
    std::optional<Request> request_;
    /** Links on which nodes that hold a newer version were heard. */
    std::map<std::string, LinkId> heardOn_;
};

} // namespace waxwing
