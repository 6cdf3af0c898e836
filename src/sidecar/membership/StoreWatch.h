#pragma once

#include "include/fleet/Freshness.h"
#include "include/fleet/WatchElection.h"
#include "platform/ObjectApi.h"
#include "src/fiber/FiberNotifier.h"
#include "src/http/HttpClient.h"

#include <functional>
#include <optional>
#include <string>

namespace waxwing {

struct NodeCore;

/** How a watch calls the store, whose calls are counted and paid for. */
struct StoreWatchTuning {
    ReadMode mode = ReadMode::Current;
    ValueText valueText = ValueText::Normalized;
    /** Delay of the next call after changes, so that a burst of changes costs one call. */
    Millis batchDelay{0};
    /**
     * A waiting call ends after a random time in this range; each end shows that the connection to the store works. A
     * change ends the calls of all nodes at once; the wide range spreads the ends of their next calls.
     */
    Millis minWait = std::chrono::seconds(1);
    Millis maxWait = std::chrono::seconds(25);
    /** Age of the state, plus a random part of the jitter, at which the store is polled in parallel with the watch. */
    std::optional<Millis> pollAfter;
    Millis pollJitter{1000};
    /** Timeout of a call that only checks for changes. */
    Millis pollTimeout{1000};
    Millis initialBackoff{150};
    /** Also the longest time from the end of an outage to the next call. */
    Millis maxBackoff{1500};
    /** Called before each call of the watch. A follower only polls. Without this hook the node always watches. */
    std::function<WatchRole()> role;
    /** The role also counts before the first list: a follower may get its first state from another node. */
    bool followsFromStart = false;
    /** How soon a follower starts to watch when its role changes. */
    Millis roleCheckInterval{200};
    /** Waits and backoff of a stand-in. They limit the calls in an outage, when all nodes of a region are stand-ins. */
    Millis minStandInWait{1500};
    Millis maxStandInWait{2500};
    Millis initialStandInBackoff{1000};
    Millis maxStandInBackoff{2500};
};

/**
 * Follows all objects of one kind: a full list, then changes, with backoff while the store does not respond. A call
 * waits long for a change only if the one before it got a response. A waiting call can be on a dead connection, so when
 * nothing has confirmed the state for a while, the store is polled on another connection. A follower makes no waiting
 * calls, only such polls. Not thread safe.
 */
class StoreWatch
{
public:
    using ChangesHook = std::function<void(const ObjectChanges &)>;

    StoreWatch(NodeCore &core, std::string kind, StoreWatchTuning tuning, ChangesHook onChanges);
    /** Runs until the node stops. @pre called from a fiber. */
    void run();
    /** Returns whether the store responded to the last call. */
    bool isHealthy() const;
    /** Returns true if a call to the store has ended, with or without a response. */
    bool hasCalled() const;
    /** Returns the freshness of the state held. Other nodes that hold the same version may confirm it. */
    Freshness &freshness();
    const Freshness &freshness() const;
    /**
     * Returns when the state held was proven to be the newest. Unlike freshness(), which serves to notice dead
     * connections, it never counts a time at which a newer state may have existed.
     */
    Freshness &proof();
    /**
     * Polls the store in parallel with the watch as soon as possible, because newer state is known to exist. No effect
     * without StoreWatchTuning::pollAfter.
     */
    void requestPoll();

private:
    struct CallResult {
        bool answered = false;
        bool changed = false;
    };

    WatchRole role() const;
    /** Returns the parameters of the next call. @p firstInRole: the first call since the node became a stand-in. */
    WatchCall nextCall(WatchRole role, bool firstInRole);
    Millis nextBackoff(WatchRole role, Millis previous) const;
    void pollLoop();
    /** Returns true if this node has got any state, from the store or from another node. */
    bool holdsState() const;
    bool isPollDue(Duration jitter) const;
    /** Checks the store once, on a new connection. Cancels the waiting call if there are changes. */
    void poll();
    CallResult callStore(const WatchCall &call);
    void handleResponse(const WatchCall &call, SteadyTime calledAt, const ObjectChanges &changes);
    /** Returns a time at which the state that the response shows was certainly the newest. */
    SteadyTime provenAt(const WatchCall &call, SteadyTime calledAt, const ObjectChanges &changes) const;
    void handleFailure(SteadyTime calledAt, const std::string &reason);
    Millis randomBetween(Millis lower, Millis upper);
    /** Writes one line per call, so that refused, failed and unanswered calls can be told apart. */
    void logCall(const WatchCall &call, Duration took, const Expected<ObjectChanges> &result);

    NodeCore &core_;
    std::string kind_;
    StoreWatchTuning tuning_;
    ChangesHook onChanges_;
    Freshness freshness_;
    Freshness proof_;
    std::uint64_t revision_ = 0;
    bool healthy_ = false;
    /** A call has ended. If the first call fails, that is logged as the loss of the store as well. */
    bool hasCalled_ = false;
    /** The watch waits for a change. Polls are needed only then and while this node is a follower. */
    bool isWaiting_ = false;
    bool isFollower_ = false;
    bool isStandIn_ = false;
    /** Cancels the waiting call when a poll finds changes that the call did not report. */
    ExchangeCancel watchCancel_;
    bool watchCancelled_ = false;
    FiberNotifier pollWakeup_;
    bool pollRequested_ = false;
};

} // namespace waxwing
