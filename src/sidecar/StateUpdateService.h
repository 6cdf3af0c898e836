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
 * Lets nodes obtain state from each other that the store has not delivered. Every message about work carries the
 * versions that its sender holds and the time since its configuration was known to be the newest. It confirms the state
 * of a receiver that holds the same version. A receiver with a lower version polls the store, and requests the state
 * from the sender if the store does not respond. A node that cannot reach the store, or whose watch receives nothing,
 * is therefore as current as the nodes with which it exchanges work.
 *
 * A follower sends requests to its region's watchers, or to another node if it can't use a watcher's link. A reply
 * confirms its state as of the time at which the request was sent. Messages about work, which may have been delayed in
 * transit, confirm nothing to a follower. Not thread safe.
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
    /** Confirms this node's state, or notes a newer version, by a message about work that came on @p link. */
    void noteVersions(LinkId link, const KnownVersions &peerVersions);
    void handleRequest(LinkId link, const StateUpdateRequest &request);
    void handleUpdate(LinkId link, const NodeRef &from, const StateUpdate &update);
    /** Sends the changed configuration to the nodes of the region if this node is a watcher. */
    void configChanged();

private:
    /** A version that another node holds and that is higher than this node's. */
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
    /** Returns the link on which to request the configuration; nothing while the store is likely to deliver it. */
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
