#include "src/sidecar/membership/StoreWatch.h"

#include "src/fiber/FiberLoop.h"
#include "src/node/NodeCore.h"

#include <algorithm>

namespace waxwing {

namespace {
/** How often to check whether a poll of the store is due. */
constexpr Millis pollCheckInterval{250};
/** How soon a node without any state calls the store when its role changes: it can't serve callers before. */
constexpr Millis firstRoleCheckInterval{20};
/** While the store drops its history, watches may report no changes for this long. */
constexpr Millis maxWatchLag{1000};
/**
 * Parsing a response with a value of this size, and decoding the value, take some milliseconds of processor time each,
 * and ten times as long on a node with a tenth of a core. Other fibers run between the two.
 */
constexpr std::size_t largeValueBytes = 128UL * 1024;
constexpr Millis yieldTime{1};

bool hasLargeValue(const ObjectChanges &changes)
{
    return std::any_of(changes.objects.begin(), changes.objects.end(),
                       [](const StoredObject &object) { return object.value.size() >= largeValueBytes; });
}
} // namespace

StoreWatch::StoreWatch(NodeCore &core, std::string kind, StoreWatchTuning tuning, ChangesHook onChanges)
    : core_(core)
    , kind_(std::move(kind))
    , tuning_(std::move(tuning))
    , onChanges_(std::move(onChanges))
{ }

Millis StoreWatch::randomBetween(Millis lower, Millis upper)
{
    return lower + core_.randomBelow(upper - lower);
}

void StoreWatch::run()
{
    if (tuning_.pollAfter) {
        spawnFiber([this] { pollLoop(); });
    }
    Millis backoff = tuning_.initialBackoff;
    while (!core_.stopping) {
        const WatchRole currentRole = role();
        const bool firstInRole = currentRole == WatchRole::StandIn && !isStandIn_;
        isFollower_ = currentRole == WatchRole::Follower;
        isStandIn_ = currentRole == WatchRole::StandIn;
        if (isFollower_) {
            sleepFor(core_.ioContext, holdsState() ? tuning_.roleCheckInterval : firstRoleCheckInterval);
            continue;
        }
        const WatchCall call = nextCall(currentRole, firstInRole);
        isWaiting_ = call.cancel != nullptr;
        const CallResult result = callStore(call);
        isWaiting_ = false;
        if (!result.answered) {
            // Jitter: nodes must not all call the store at the same moment after an outage.
            backoff = firstInRole ? tuning_.initialStandInBackoff : backoff;
            sleepFor(core_.ioContext, randomBetween(backoff / 2, backoff));
            backoff = nextBackoff(currentRole, backoff);
            continue;
        }
        backoff = tuning_.initialBackoff;
        // A list of a kind that has no objects yet may carry no revision to watch from.
        if (revision_ == 0) {
            sleepFor(core_.ioContext, tuning_.maxBackoff);
        } else if (result.changed && tuning_.batchDelay > Millis(0)) {
            sleepFor(core_.ioContext, tuning_.batchDelay);
        }
    }
}

WatchRole StoreWatch::role() const
{
    // Others can confirm only a version that this node holds, so a node without one usually calls the store itself.
    const bool mayFollow = tuning_.role && (revision_ > 0 || tuning_.followsFromStart);
    return mayFollow ? tuning_.role() : WatchRole::Watcher;
}

Millis StoreWatch::nextBackoff(WatchRole role, Millis previous) const
{
    const bool isStandIn = role == WatchRole::StandIn;
    return std::min(isStandIn ? tuning_.maxStandInBackoff : tuning_.maxBackoff, previous * 2);
}

WatchCall StoreWatch::nextCall(WatchRole role, bool firstInRole)
{
    WatchCall call;
    call.valueText = tuning_.valueText;
    call.since = revision_;
    // A node often becomes a stand-in because the store is down; a short first call shows that soon.
    if (healthy_ && revision_ > 0 && !firstInRole) {
        const bool isStandIn = role == WatchRole::StandIn;
        call.wait = isStandIn ? randomBetween(tuning_.minStandInWait, tuning_.maxStandInWait)
                              : randomBetween(tuning_.minWait, tuning_.maxWait);
        call.responseTimeout = isStandIn ? tuning_.pollTimeout : call.responseTimeout;
        call.cancel = &watchCancel_;
    } else {
        // Nothing shows that this node's calls reach the store, so a long wait could end without a response.
        call.responseTimeout = revision_ > 0 ? tuning_.pollTimeout : call.responseTimeout;
        call.newConnection = true;
    }
    return call;
}

void StoreWatch::pollLoop()
{
    Millis jitter = randomBetween(Millis(0), tuning_.pollJitter);
    Millis backoff = tuning_.initialBackoff;
    while (!core_.stopping) {
        if (!isPollDue(jitter)) {
            pollWakeup_.wait(core_.ioContext, pollCheckInterval);
            continue;
        }
        pollRequested_ = false;
        poll();
        jitter = randomBetween(Millis(0), tuning_.pollJitter);
        backoff = healthy_ ? tuning_.initialBackoff : std::min(tuning_.maxBackoff, backoff * 2);
        sleepFor(core_.ioContext, randomBetween(backoff / 2, backoff));
    }
}

bool StoreWatch::holdsState() const
{
    return revision_ > 0 || freshness_.age(core_.clock.now()).has_value();
}

bool StoreWatch::isPollDue(Duration jitter) const
{
    // A stand-in's own calls are as frequent as polls would be.
    const SteadyTime now = core_.clock.now();
    const bool stale = !isStandIn_ && holdsState() && freshness_.isOlderThan(*tuning_.pollAfter + jitter, now);
    return (isWaiting_ || isFollower_) && (pollRequested_ || stale);
}

void StoreWatch::poll()
{
    WatchCall call;
    call.valueText = tuning_.valueText;
    call.since = revision_;
    call.responseTimeout = tuning_.pollTimeout;
    call.newConnection = true;
    const CallResult result = callStore(call);
    if (result.changed && isWaiting_) {
        watchCancelled_ = true;
        watchCancel_.cancel();
    }
}

StoreWatch::CallResult StoreWatch::callStore(const WatchCall &call)
{
    const SteadyTime calledAt = core_.clock.now();
    const Expected<ObjectChanges> changes = core_.service<ObjectApi>("platform").watch(kind_, call, tuning_.mode);
    logCall(call, core_.clock.now() - calledAt, changes);
    if (changes && hasLargeValue(*changes)) {
        // The call has ended, so a poll must not cancel it. Nothing of its response is used before the pause ends.
        isWaiting_ = isWaiting_ && call.cancel == nullptr;
        sleepFor(core_.ioContext, yieldTime);
    }
    const bool cancelled = !changes && call.cancel != nullptr && watchCancelled_;
    watchCancelled_ = watchCancelled_ && call.cancel == nullptr;
    if (cancelled) {
        return CallResult{true, false};
    }
    if (!changes) {
        handleFailure(calledAt, changes.error().message);
        return CallResult{false, false};
    }
    handleResponse(call, calledAt, *changes);
    return CallResult{true, !changes->objects.empty()};
}

void StoreWatch::handleResponse(const WatchCall &call, SteadyTime calledAt, const ObjectChanges &changes)
{
    if (!healthy_) {
        core_.events.write(Severity::Info, "store_recovered",
                           {{"kind", kind_}, {"revision", std::to_string(changes.revision)}});
    }
    healthy_ = true;
    hasCalled_ = true;
    revision_ = changes.complete ? changes.revision : std::max(revision_, changes.revision);
    // A wait can end at any time up to its limit. Its response confirms the state as of the time at which it is read,
    // but not past the limit, since a response can lie unread.
    const bool waited = call.since > 0 && call.wait > WatchCall::minWait;
    freshness_.confirm(waited ? std::min(core_.clock.now(), calledAt + call.wait) : calledAt);
    onChanges_(changes);
    proof_.confirm(provenAt(call, calledAt, changes));
}

SteadyTime StoreWatch::provenAt(const WatchCall &call, SteadyTime calledAt, const ObjectChanges &changes) const
{
    if (call.since == 0 || changes.complete) {
        return calledAt;
    }
    // A call without changes lasts for its whole wait at the store. One with changes may have lain unread since.
    const bool waitedInFull = changes.objects.empty() && core_.clock.now() - calledAt >= call.wait;
    return calledAt + (waitedInFull ? call.wait : Millis(0)) - maxWatchLag;
}

void StoreWatch::handleFailure(SteadyTime calledAt, const std::string &reason)
{
    if (healthy_ || !hasCalled_) {
        core_.events.write(Severity::Warning, "store_lost", {{"kind", kind_}, {"reason", reason}});
    }
    healthy_ = false;
    hasCalled_ = true;
    freshness_.noteFailure(calledAt, core_.clock.now());
}

void StoreWatch::logCall(const WatchCall &call, Duration took, const Expected<ObjectChanges> &result)
{
    const auto tookMs = millisOf(took).count();
    core_.events.writeRequest(result ? Severity::Info : Severity::Warning, "store_call",
                              {{"kind", kind_},
                               {"call", call.since == 0 ? "list" : "watch"},
                               {"since", std::to_string(call.since)},
                               {"waitMs", std::to_string(call.wait.count())},
                               {"tookMs", std::to_string(tookMs)},
                               {"revision", result ? std::to_string(result->revision) : ""},
                               {"objects", result ? std::to_string(result->objects.size()) : ""},
                               {"unreadable", result ? std::to_string(result->unreadable) : ""},
                               {"reason", result ? "" : result.error().message}});
}

bool StoreWatch::isHealthy() const
{
    return healthy_;
}

bool StoreWatch::hasCalled() const
{
    return hasCalled_;
}

Freshness &StoreWatch::freshness()
{
    return freshness_;
}

const Freshness &StoreWatch::freshness() const
{
    return freshness_;
}

Freshness &StoreWatch::proof()
{
    return proof_;
}

void StoreWatch::requestPoll()
{
    pollRequested_ = true;
    pollWakeup_.notify();
}

} // namespace waxwing
