#include "src/sidecar/StoreWatch.h"

#include "src/fiber/FiberLoop.h"
#include "src/node/NodeCore.h"

#include <algorithm>

namespace waxwing {

namespace {
/** How often it is looked whether the store must be asked beside the watch. */
constexpr Millis lookCheck{250};
/** How soon a follower begins to watch once it has to. */
constexpr Millis roleCheck{200};
} // namespace

StoreWatch::StoreWatch(NodeCore &core, std::string kind, StoreWatchTuning tuning, ChangesHook onChanges)
    : core_(core)
    , kind_(std::move(kind))
    , tuning_(std::move(tuning))
    , onChanges_(std::move(onChanges))
{ }

Millis StoreWatch::randomBetween(Millis least, Millis most)
{
    const auto range = static_cast<std::uint64_t>(std::max<std::int64_t>(1, (most - least).count()));
    return least + Millis(static_cast<std::int64_t>(core_.random() % range));
}

void StoreWatch::run()
{
    if (tuning_.lookAfter) {
        spawnFiber([this] { lookLoop(); });
    }
    Millis backoff = tuning_.firstBackoff;
    while (!core_.stopping) {
        const WatchRole part = role();
        const bool begins = part == WatchRole::StandIn && !standsIn_;
        following_ = part == WatchRole::Follower;
        standsIn_ = part == WatchRole::StandIn;
        if (following_) {
            sleepFor(core_.ioContext, roleCheck);
            continue;
        }
        const WatchCall call = nextCall(part, begins);
        waiting_ = call.cancel != nullptr;
        const CallResult result = callStore(call);
        waiting_ = false;
        if (!result.answered) {
            // Jitter: after an outage not every node comes back at the same moment.
            backoff = begins ? tuning_.firstStandInBackoff : backoff;
            sleepFor(core_.ioContext, randomBetween(backoff / 2, backoff));
            backoff = nextBackoff(part, backoff);
            continue;
        }
        backoff = tuning_.firstBackoff;
        // A list of a kind that has no objects yet may carry no revision to watch from.
        if (since_ == 0) {
            sleepFor(core_.ioContext, tuning_.longestBackoff);
        } else if (result.changed && tuning_.gather > Millis(0)) {
            sleepFor(core_.ioContext, tuning_.gather);
        }
    }
}

WatchRole StoreWatch::role() const
{
    // Others can confirm only what this node has.
    const bool mayFollow = tuning_.role && since_ > 0;
    return mayFollow ? tuning_.role() : WatchRole::Watcher;
}

Millis StoreWatch::nextBackoff(WatchRole role, Millis last) const
{
    const bool standsIn = role == WatchRole::StandIn;
    return std::min(standsIn ? tuning_.longestStandInBackoff : tuning_.longestBackoff, last * 2);
}

WatchCall StoreWatch::nextCall(WatchRole role, bool begins)
{
    WatchCall call;
    call.since = since_;
    // A stand-in often begins since the store is away: its first call shows that soon.
    if (healthy_ && since_ > 0 && !begins) {
        const bool standsIn = role == WatchRole::StandIn;
        call.wait = standsIn ? randomBetween(tuning_.shortestStandInWait, tuning_.longestStandInWait)
                             : randomBetween(tuning_.shortestWait, tuning_.longestWait);
        call.answerWithin = standsIn ? tuning_.lookTimeout : call.answerWithin;
        call.cancel = &waitingCall_;
    } else {
        // Nothing shows that the store hears this node, and a store that does not would be waited for in vain.
        call.answerWithin = since_ > 0 ? tuning_.lookTimeout : call.answerWithin;
        call.fresh = true;
    }
    return call;
}

void StoreWatch::lookLoop()
{
    Millis spread = randomBetween(Millis(0), tuning_.lookSpread);
    Millis backoff = tuning_.firstBackoff;
    while (!core_.stopping) {
        if (!isLookDue(spread)) {
            lookWanted_.wait(core_.ioContext, lookCheck);
            continue;
        }
        lookRequested_ = false;
        look();
        spread = randomBetween(Millis(0), tuning_.lookSpread);
        backoff = healthy_ ? tuning_.firstBackoff : std::min(tuning_.longestBackoff, backoff * 2);
        sleepFor(core_.ioContext, randomBetween(backoff / 2, backoff));
    }
}

bool StoreWatch::isLookDue(Duration spread) const
{
    // A stand-in's own calls come as often as looks would.
    const bool old = !standsIn_ && freshness_.isOlderThan(*tuning_.lookAfter + spread, core_.clock.now());
    return (waiting_ || following_) && (lookRequested_ || old);
}

void StoreWatch::look()
{
    WatchCall call;
    call.since = since_;
    call.answerWithin = tuning_.lookTimeout;
    call.fresh = true;
    const CallResult result = callStore(call);
    if (result.changed && waiting_) {
        superseded_ = true;
        waitingCall_.cancel();
    }
}

StoreWatch::CallResult StoreWatch::callStore(const WatchCall &call)
{
    const SteadyTime asked = core_.clock.now();
    const Expected<ObjectChanges> changes = core_.service<ObjectApi>("platform").watch(kind_, call, tuning_.mode);
    logCall(call, core_.clock.now() - asked, changes);
    const bool ended = !changes && call.cancel != nullptr && superseded_;
    superseded_ = superseded_ && call.cancel == nullptr;
    if (ended) {
        return CallResult{true, false};
    }
    if (!changes) {
        takeFailure(asked, changes.error().message);
        return CallResult{false, false};
    }
    takeAnswer(call, asked, *changes);
    return CallResult{true, !changes->objects.empty()};
}

void StoreWatch::takeAnswer(const WatchCall &call, SteadyTime asked, const ObjectChanges &changes)
{
    if (!healthy_) {
        core_.events.write(Severity::Info, "store_answers",
                           {{"kind", kind_}, {"revision", std::to_string(changes.revision)}});
    }
    healthy_ = true;
    tried_ = true;
    since_ = changes.complete ? changes.revision : std::max(since_, changes.revision);
    // A long wait ends at a change, or at the end of its time, and may end sooner; its answer may be read later.
    const bool waited = call.since > 0 && call.wait > WatchCall::shortestWait;
    freshness_.confirm(waited ? std::min(core_.clock.now(), asked + call.wait) : asked);
    onChanges_(changes);
}

void StoreWatch::takeFailure(SteadyTime asked, const std::string &reason)
{
    if (healthy_ || !tried_) {
        core_.events.write(Severity::Warning, "store_lost", {{"kind", kind_}, {"reason", reason}});
    }
    healthy_ = false;
    tried_ = true;
    freshness_.fail(asked, core_.clock.now());
}

void StoreWatch::logCall(const WatchCall &call, Duration took, const Expected<ObjectChanges> &result)
{
    const auto tookMs = std::chrono::duration_cast<Millis>(took).count();
    core_.events.writeRequest(result ? Severity::Info : Severity::Warning, "store_call",
                              {{"kind", kind_},
                               {"call", call.since == 0 ? "list" : "watch"},
                               {"since", std::to_string(call.since)},
                               {"waitMs", std::to_string(call.wait.count())},
                               {"tookMs", std::to_string(tookMs)},
                               {"revision", result ? std::to_string(result->revision) : ""},
                               {"objects", result ? std::to_string(result->objects.size()) : ""},
                               {"reason", result ? "" : result.error().message}});
}

bool StoreWatch::isHealthy() const
{
    return healthy_;
}

Freshness &StoreWatch::freshness()
{
    return freshness_;
}

const Freshness &StoreWatch::freshness() const
{
    return freshness_;
}

void StoreWatch::requestLook()
{
    lookRequested_ = true;
    lookWanted_.wake();
}

} // namespace waxwing
