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

/** How a watch behaves towards the store, whose calls are counted and paid. */
struct StoreWatchTuning {
    ReadMode mode = ReadMode::Current;
    /** After changes came, the next call waits this long, so that a burst of changes costs one call and not many. */
    Millis batchDelay{0};
    /**
     * A waiting call ends after a random time in this range. Every end shows that the store is heard. They begin early
     * since a change ends the calls of all nodes at the same moment.
     */
    Millis minWait = std::chrono::seconds(1);
    Millis maxWait = std::chrono::seconds(25);
    /** What is held may be this old, and a random part of the spread, before the store is asked beside the watch. */
    std::optional<Millis> pollAfter;
    Millis pollJitter{1000};
    /** A call that only asks whether there is something new must be answered within this. */
    Millis pollTimeout{1000};
    Millis initialBackoff{150};
    /** Also how long after the end of an outage the store is asked again at the latest. */
    Millis maxBackoff{1500};
    /** Asked before each call. A follower makes none; without this hook the node always watches. */
    std::function<WatchRole()> role;
    /** The waits and the backoff of a stand-in: in an outage all nodes of a region are stand-ins. */
    Millis minStandInWait{1500};
    Millis maxStandInWait{2500};
    Millis initialStandInBackoff{1000};
    Millis maxStandInBackoff{2500};
};

/**
 * Follows all objects of one kind: a full list, then changes, with pauses that grow while the store does not answer.
 * A call waits long for a change only if the one before it was answered. A watch that waits can be one that nobody
 * hears any more; so when nothing has shown for a while that what is held is the newest, the store is asked on another
 * connection. A node that follows other watchers makes no calls that wait, only such looks. Not thread safe.
 */
class StoreWatch
{
public:
    using ChangesHook = std::function<void(const ObjectChanges &)>;

    StoreWatch(NodeCore &core, std::string kind, StoreWatchTuning tuning, ChangesHook onChanges);
    /** Runs until the node stops. @pre called from a fiber. */
    void run();
    /** True while the store answers. */
    bool isHealthy() const;
    /** What is known of the age of what is held; other nodes that hold the same may confirm it. */
    Freshness &freshness();
    const Freshness &freshness() const;
    /** Asks the store beside the watch as soon as can be: something newer is known to exist. */
    void requestPoll();

private:
    struct CallResult {
        bool answered = false;
        bool changed = false;
    };

    WatchRole role() const;
    /** @p begins: the first call in this role. */
    WatchCall nextCall(WatchRole role, bool begins);
    Millis nextBackoff(WatchRole role, Millis last) const;
    void pollLoop();
    bool isPollDue(Duration jitter) const;
    /** Asks the store once, on another connection than the watch's. */
    void poll();
    CallResult callStore(const WatchCall &call);
    void handleResponse(const WatchCall &call, SteadyTime asked, const ObjectChanges &changes);
    void handleFailure(SteadyTime asked, const std::string &reason);
    Millis randomBetween(Millis least, Millis most);
    /** One line an attempt: a call that is refused, one that fails and one that is never answered look different. */
    void logCall(const WatchCall &call, Duration took, const Expected<ObjectChanges> &result);

    NodeCore &core_;
    std::string kind_;
    StoreWatchTuning tuning_;
    ChangesHook onChanges_;
    Freshness freshness_;
    std::uint64_t revision_ = 0;
    bool healthy_ = false;
    /** Something was tried: the first failure is a loss as well. */
    bool hasCalled_ = false;
    /** The watch waits for a change; only then, and while others watch for this node, are looks needed. */
    bool isWaiting_ = false;
    bool isFollower_ = false;
    bool isStandIn_ = false;
    /** Ends the waiting call when a look has shown that it hears nothing. */
    ExchangeCancel watchCancel_;
    bool watchCancelled_ = false;
    FiberNotifier pollWakeup_;
    bool pollRequested_ = false;
};

} // namespace waxwing
