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
 * Lets nodes learn from each other what the store has not told them. Every message about work carries the versions that
 * its sender holds and how long ago it was known that no newer configuration existed. Who holds the same is confirmed
 * by that; who sees a higher version asks the store, and the other node if the store does not answer here. So a node
 * that the store turns away, or whose watch went silent, is as current as the nodes it works with.
 *
 * A node that follows its region's watchers has nothing but their word. It asks them, and takes as the age of their
 * word that of its own question: a message that was held up on its way confirms nothing there. Not thread safe.
 */
class StateUpdateService
{
public:
    explicit StateUpdateService(NodeCore &core);
    /** Starts the fiber that asks. */
    void start();
    /** What this node holds. */
    KnownVersions versions();
    void linkOpened(LinkId link);
    void linkClosed(LinkId link);
    /** A message about work came on @p link from a node that holds these. */
    void noteVersions(LinkId link, const KnownVersions &theirs);
    void handleRequest(LinkId link, const StateUpdateRequest &request);
    void handleUpdate(LinkId link, const NodeRef &from, const StateUpdate &news);
    /** The configuration changed: if this node watches the store for its region, tells the region's nodes. */
    void configChanged();

private:
    /** Somebody holds a higher version. */
    struct NewerVersion {
        LinkId link = 0;
        std::uint64_t version = 0;
        SteadyTime since;
    };

    struct PendingRequest {
        std::uint64_t id = 0;
        SteadyTime sentAt;
    };

    void noteNewerVersions(LinkId link, const KnownVersions &theirs);
    void confirmFreshness(const KnownVersions &theirs, SteadyTime sentAfter);
    void run();
    void sendRequestIfNeeded();
    /** The link to ask for the configuration itself; nothing as long as the store is likely to bring it. */
    std::optional<LinkId> configRequestLink();
    std::optional<LinkId> randomLink();
    /** Whom to ask which versions it holds: a watcher, unless it has left a question unanswered. */
    std::optional<LinkId> versionRequestLink();
    bool isFollower() const;
    void sendRequest(LinkId link, bool wantsConfig, bool wantsRegistry);
    bool isStoreUnreachable() const;

    NodeCore &core_;
    std::set<LinkId> links_;
    SteadyTime startedAt_;
    std::optional<NewerVersion> newerConfig_;
    /** A question for the configuration is under way until then, and no second one is sent. */
    std::optional<LinkId> configRequestedOn_;
    SteadyTime configRequestDeadline_;
    /** The oldest question that is unanswered on each link. */
    std::map<LinkId, PendingRequest> pendingRequests_;
    std::uint64_t nextRequestId_ = 1;
    SteadyTime lastRequestAt_;
    SteadyTime storePolledAt_;
};

} // namespace waxwing
