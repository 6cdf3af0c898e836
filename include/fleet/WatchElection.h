#pragma once

#include "include/base/Clock.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace waxwing {

/** What a node does to hold the newest version of what the store keeps. */
enum class WatchRole {
    /** Waits at the store for changes and tells the other nodes of its region. */
    Watcher,
    /** Learns from its region's watchers. */
    Follower,
    /** Should learn from others, who did not confirm in time what it holds: asks the store itself for a while. */
    StandIn,
};

const char *watchRoleName(WatchRole role);

struct WatchElectionTuning {
    /** More than one, so that the loss of a watcher leaves nobody without news. */
    std::size_t watchers = 2;
    /** Others have so much time to confirm what a follower holds. */
    Millis standInAfter{1500};
    /** A stand-in goes on for this long, so that slow answers don't make it change its role all the time. */
    Millis standInFor{3000};
    /** Others take the place of a watcher that the store does not answer, until it does or for this long. */
    Millis excludedFor = std::chrono::seconds(20);
};

/**
 * Decides which nodes of a region wait at the store, so that the calls there don't grow with the region. Nobody is
 * asked: each node ranks those that it reaches by a hash of their names, and the first ones watch. Nodes that reach
 * different ones may disagree. Then too many watch, or some node is told by nobody; that one stands in for itself.
 * Opens no socket and is given the time. Not thread safe.
 */
class WatchElection
{
public:
    explicit WatchElection(std::string self, WatchElectionTuning tuning = {});
    /** The other nodes of the region to which a link is open. */
    void setReachable(const std::vector<std::string> &nodes, SteadyTime now);
    /** @p node says whether the store @p answers it; if not, it can't watch for others. */
    void noteStoreReachable(const std::string &node, bool answers, SteadyTime now);
    /** This node's role; @p age is that of what it holds, nothing if that was never confirmed. */
    WatchRole role(std::optional<Duration> age, SteadyTime now);
    /** The nodes that watch, this one aside, the first one first. */
    const std::vector<std::string> &otherWatchers() const;

private:
    std::string self_;
    WatchElectionTuning tuning_;
    std::vector<std::string> otherWatchers_;
    std::map<std::string, SteadyTime> excludedUntil_;
    bool elected_ = true;
    /** Only since others were passed over. */
    bool isReplacement_ = false;
    SteadyTime standInUntil_;
};

} // namespace waxwing
