#pragma once

#include "include/base/Clock.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace waxwing {

/** How a node obtains the newest version of what the store holds. */
enum class WatchRole {
    /** Watches the store and sends changes to the other nodes of its region. */
    Watcher,
    /** Receives changes from its region's watchers. */
    Follower,
    /** Should follow, but others did not confirm its state within standInAfter: calls the store itself for a while. */
    StandIn,
};

const char *watchRoleName(WatchRole role);

struct WatchElectionTuning {
    /** More than one, so that no node is left without updates when a watcher is lost. */
    std::size_t watchers = 2;
    /** Time within which others must confirm a follower's state. */
    Millis standInAfter{1500};
    /**
     * Only so many nodes of a region become stand-ins at that time. The next ones follow after laterStandIns, and after
     * each standInGrowth twice as many in total: what the first ones read from the store reaches the others meanwhile.
     * A large document read by all at once takes seconds on the path to the store.
     */
    std::size_t firstStandIns = 4;
    Millis laterStandIns{800};
    Millis standInGrowth{150};
    /** Minimum time as a stand-in, so that slow responses do not make a node switch roles all the time. */
    Millis standInFor{3000};
    /**
     * A node without any state reads the store at once, since callers wait for it. Only in a fleet that starts for the
     * first time it waits until the others are registered, and ranks mean something: for a pause of formingPause in the
     * changes of the registry, but until formingFor after its start at the latest; then for firstReadAfter, plus
     * standInGrowth for each doubling of its rank, unless a peer has sent it the state before. The first nodes by rank
     * don't wait for that time.
     */
    Millis formingPause{700};
    Millis formingFor{3000};
    Millis firstReadAfter{250};
    /** A watcher that the store does not respond to is excluded until the store responds, or for this long. */
    Millis excludedFor = std::chrono::seconds(20);
};

/**
 * Returns the time after standInAfter at which the node that comes after @p rank others becomes a stand-in. Thread
 * safe.
 */
Millis standInDelay(const WatchElectionTuning &tuning, std::size_t rank);

/** What a node that holds no state yet knows of its region. */
struct FirstReadState {
    Duration sinceStart{0};
    /** The whole fleet starts for the first time. */
    bool isBootstrap = false;
    /** Time since an entry of the registry last changed; since the start, if it could not be read yet. */
    Duration sinceChange{0};
    /** Number of nodes of the region that are ranked before this one. */
    std::size_t rank = 0;
};

/**
 * Returns true if it is time for a node that holds no state yet to read the store, unless a peer has sent it the state
 * before. Thread safe.
 */
bool mayReadFirst(const WatchElectionTuning &tuning, const FirstReadState &state);

/**
 * Decides which nodes of a region watch the store, so that the number of calls to the store does not grow with the
 * region. No messages are exchanged: each node ranks the nodes that it can reach by a hash of their names, and the
 * first ones watch. Nodes that reach different nodes may disagree. Then too many nodes watch, or a node receives no
 * updates and becomes a stand-in. Performs no I/O and takes the time as an argument. Not thread safe.
 */
class WatchElection
{
public:
    explicit WatchElection(std::string self, WatchElectionTuning tuning = {});
    /** Sets the other nodes of the region that count as reachable. */
    void setReachable(const std::vector<std::string> &nodes, SteadyTime now);
    /** Records whether the store is @p reachable for @p node; if not, that node cannot watch for others. */
    void noteStoreReachable(const std::string &node, bool reachable, SteadyTime now);
    /** Returns this node's role. @p age: that of the state it holds; nothing if it was never confirmed. */
    WatchRole role(std::optional<Duration> age, SteadyTime now);
    /** The watchers other than this node, in order of rank. */
    const std::vector<std::string> &otherWatchers() const;

private:
    std::string self_;
    WatchElectionTuning tuning_;
    std::vector<std::string> otherWatchers_;
    std::map<std::string, SteadyTime> excludedUntil_;
    bool elected_ = true;
    /** Elected only because higher-ranked nodes are excluded. */
    bool isReplacement_ = false;
    /** Number of nodes that are to become stand-ins before this one. */
    std::size_t standInRank_ = 0;
    SteadyTime standInUntil_;
};

} // namespace waxwing
