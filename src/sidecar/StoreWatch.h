#pragma once

#include "platform/ObjectApi.h"

#include <functional>
#include <string>

namespace waxwing {

struct NodeCore;

/** How a watch behaves towards the store, whose calls are counted and paid. */
struct StoreWatchTuning {
    ReadMode mode = ReadMode::Current;
    /** After changes came, the next call waits this long, so that a burst of changes costs one call and not many. */
    Millis gather{0};
    /**
     * A waiting call ends after a random time in this range. Waiting calls can go silent without a reset; with the
     * ends spread over all nodes some node finds news soon even then, and the others learn it from that one.
     */
    Millis shortestWait = std::chrono::seconds(12);
    Millis longestWait = std::chrono::seconds(25);
    /** A call that only asks whether there is something new must be answered within this. */
    Millis lookTimeout{1000};
    Millis firstBackoff{150};
    /** Also how long after the end of an outage the store is asked again at the latest. */
    Millis longestBackoff{1500};
};

/**
 * Follows all objects of one kind: a full list, then changes, with pauses that grow while the store does not answer.
 * A call waits long for a change only if the one before it was answered. Not thread safe.
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

private:
    Millis randomBetween(Millis least, Millis most);
    /** One line an attempt: a call that is refused, one that fails and one that is never answered look different. */
    void logCall(const WatchCall &call, Duration took, const Expected<ObjectChanges> &result);

    NodeCore &core_;
    std::string kind_;
    StoreWatchTuning tuning_;
    ChangesHook onChanges_;
    bool healthy_ = false;
};

} // namespace waxwing
