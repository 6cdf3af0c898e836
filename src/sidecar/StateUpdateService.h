#pragma once

#include "include/base/Clock.h"
#include "include/wire/Messages.h"
#include "src/link/PeerHub.h"

#include <map>
#include <optional>
#include <set>

namespace waxwing {

struct NodeCore;

/**
 * Lets nodes obtain the configuration and the registry from each other if the store has not delivered them. Every
 * message about work carries the versions that its sender holds and the time since its configuration was known to be
 * the newest. If the receiver holds the same configuration, the message confirms it. If the receiver's version is
 * lower, it polls the store, and requests the configuration from the sender if the store does not respond. The registry
 * is requested only while the store does not respond. A node that cannot reach the store, or whose watch receives
 * nothing, is therefore as current as the nodes with which it exchanges work.
 *
 * A node whose configuration was not confirmed for a while requests the versions of a watcher of its region, or of
 * another node if it can't use a watcher's link. A reply confirms the configuration as of the time at which the request
 * was sent. Messages about work, which may have been delayed in transit, confirm nothing to a follower. Not thread
 * safe.
 */
class StateUpdateService
{
public:
    explicit StateUpdateService(NodeCore &core);
    /** Starts the fiber that sends the requests. */
    void start();
    /** Returns the versions that this node holds. */
    KnownVersions versions();
    void linkOpened(LinkId link);
    void linkClosed(LinkId link);
    /** Uses the versions in a message that came on @p link: confirms this node's configuration or notes newer state. */
    void noteVersions(LinkId link, const KnownVersions &peerVersions);
    void handleRequest(LinkId link, const StateUpdateRequest &request);
    void handleUpdate(LinkId link, const NodeRef &from, const StateUpdate &update);
    /** Sends the changed configuration, or only its version if it is large, to the region if this node is a watcher. */
    void configChanged();

private:
    /** A configuration version higher than this node's, a node that holds it, and when one was first seen. */
    struct NewerVersion {
        LinkId link = 0;
        std::uint64_t version = 0;
        SteadyTime since;
    };

    struct PendingRequest {
        std::uint64_t id = 0;
        SteadyTime sentAt;
    };

    void noteNewerVersions(LinkId link, const KnownVersions &peerVersions);
    void confirmFreshness(const KnownVersions &peerVersions, SteadyTime sentAt);
    void run();
    void sendRequestIfNeeded();
    /** Returns the link on which to request a configuration; nothing if none is needed or the store can deliver it. */
    std::optional<LinkId> configRequestLink();
    std::optional<LinkId> randomLink();
    /**
     * Returns the link on which to request versions: to a watcher, or to a random node if the watcher has left a
     * request unanswered or has no open link.
     */
    std::optional<LinkId> versionRequestLink();
    bool isFollower() const;
    void sendRequest(LinkId link, bool wantsConfig, bool wantsRegistry);
    bool isStoreUnreachable() const;

    NodeCore &core_;
    std::set<LinkId> links_;
    SteadyTime startedAt_;
    std::optional<NewerVersion> newerConfig_;
    /** A request for the configuration is pending until the deadline, and no second one is sent. */
    std::optional<LinkId> configRequestedOn_;
    SteadyTime configRequestDeadline_;
    /** The oldest unanswered request on each link. */
    std::map<LinkId, PendingRequest> pendingRequests_;
    std::uint64_t nextRequestId_ = 1;
    SteadyTime lastRequestAt_;
    SteadyTime storePolledAt_;
};

} // namespace waxwing
