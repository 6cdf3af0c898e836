#pragma once

#include "include/base/Clock.h"
#include "include/fleet/ConfirmationSource.h"
#include "include/wire/Messages.h"
#include "src/link/PeerHub.h"
#include "src/sidecar/config/ConfigDistribution.h"

#include <deque>
#include <map>
#include <optional>
#include <set>

namespace waxwing {

struct NodeCore;

/**
 * Lets nodes obtain the configuration and the registry from each other if the store has not delivered them. Every
 * message about work carries the versions that its sender holds and the time since its configuration was known to be
 * the newest. If the receiver holds the same configuration, the message confirms it. If the receiver's version is
 * lower, it obtains the newer one as ConfigDistribution describes. The whole registry is requested only while the store
 * does not respond; changes of it are part of each reply to a node that lacks them. A node that cannot reach the store,
 * or whose watch receives nothing, is therefore as current as the nodes with which it exchanges work.
 *
 * A node whose configuration was not confirmed for a while requests the versions of peers, as ConfirmationSource
 * chooses them: of its region first, then of other regions, to which it opens a link if it has none. A reply confirms
 * the configuration as of the time at which the request was sent. Messages about work, which may have been delayed in
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
    /** Uses the versions in a message that came on @p link: confirms this node's configuration or notes newer state. */
    void noteVersions(LinkId link, const KnownVersions &peerVersions);
    void handleRequest(LinkId link, const StateUpdateRequest &request);
    void handleUpdate(LinkId link, const NodeRef &from, const StateUpdate &update);
    /** See ConfigDistribution::configChanged(). */
    void configChanged();

private:
    struct PendingRequest {
        std::uint64_t id = 0;
        SteadyTime sentAt;
    };

    void noteNewerRegistry(LinkId link, const KnownVersions &peerVersions);
    void confirmFreshness(const KnownVersions &peerVersions, SteadyTime sentAt);
    void run();
    void sendRequestIfNeeded();
    /** Returns the link on which a node without a configuration requests one; nothing if the store can deliver it. */
    std::optional<LinkId> firstConfigRequestLink();
    std::optional<LinkId> randomLink();
    /** Returns true if the configuration was not confirmed for so long that this node asks a peer. */
    bool isStale();
    ConfirmationCandidates confirmationCandidates() const;
    std::optional<LinkId> openLinkTo(const std::string &peer) const;
    /** Requests the versions of a peer; opens a link to it if there is none. */
    void requestConfirmation(const ConfirmationRequest &request);
    void noteNotConfirmed(const std::string &peer);
    /** Uses a reply to choose the next peer to ask. @pre its confirmation has been recorded. */
    void noteReply(const std::string &peer, const StateUpdate &update);
    /**
     * Removes the request @p id and the earlier ones on @p link. Returns when it was sent; nullopt if it is not
     * pending.
     */
    std::optional<SteadyTime> takePendingRequest(LinkId link, std::uint64_t id);
    bool isFollower() const;
    /** Adds what the sender of @p request lacks of the registry: all of it if requested, otherwise a few changes. */
    void addRegistry(const StateUpdateRequest &request, StateUpdate &reply) const;
    /** Returns the id of the request. */
    std::uint64_t sendRequest(LinkId link, bool wantsConfig, bool wantsRegistry);
    bool isStoreUnreachable() const;

    NodeCore &core_;
    std::set<LinkId> links_;
    SteadyTime startedAt_;
    ConfigDistribution distribution_;
    /** A node that holds a configuration, while this node has none. */
    std::optional<LinkId> configHolder_;
    /** A request for the configuration is pending until the deadline, and no second one is sent. */
    std::optional<LinkId> configRequestedOn_;
    SteadyTime configRequestDeadline_;
    ConfirmationSource source_;
    /** The latest unanswered requests on each link. */
    std::map<LinkId, std::deque<PendingRequest>> pendingRequests_;
    std::uint64_t nextRequestId_ = 1;
    SteadyTime registryRequestedAt_;
};

} // namespace waxwing
