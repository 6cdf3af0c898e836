#include "src/sidecar/StoreWatch.h"

#include "src/fiber/FiberLoop.h"
#include "src/node/NodeCore.h"

#include <algorithm>

namespace waxwing {

StoreWatch::StoreWatch(NodeCore &core, std::string kind, StoreWatchTuning tuning, ChangesHook onChanges)
    : core_(core)
    , kind_(std::move(kind))
    , tuning_(tuning)
    , onChanges_(std::move(onChanges))
{ }

Millis StoreWatch::randomBetween(Millis least, Millis most)
{
    const auto range = static_cast<std::uint64_t>(std::max<std::int64_t>(1, (most - least).count()));
    return least + Millis(static_cast<std::int64_t>(core_.random() % range));
}

void StoreWatch::run()
{
    ObjectApi &api = core_.service<ObjectApi>("platform");
    std::uint64_t since = 0;
    Millis backoff = tuning_.firstBackoff;
    bool first = true;
    while (!core_.stopping) {
        WatchCall call;
        call.since = since;
        if (healthy_) {
            call.wait = randomBetween(tuning_.shortestWait, tuning_.longestWait);
        } else {
            // Nothing shows that the store hears this node, and a store that does not would be waited for in vain.
            call.answerWithin = tuning_.lookTimeout;
            call.fresh = true;
        }
        const SteadyTime asked = core_.clock.now();
        const Expected<ObjectChanges> changes = api.watch(kind_, call, tuning_.mode);
        logCall(call, core_.clock.now() - asked, changes);
        if (!changes) {
            if (healthy_ || first) {
                core_.events.write(Severity::Warning, "store_lost",
                                   {{"kind", kind_}, {"reason", changes.error().message}});
            }
            healthy_ = false;
            first = false;
            // Jitter: after an outage not every node comes back at the same moment.
            sleepFor(core_.ioContext, randomBetween(backoff / 2, backoff));
            backoff = std::min(tuning_.longestBackoff, backoff * 2);
            continue;
        }
        if (!healthy_) {
            core_.events.write(Severity::Info, "store_answers",
                               {{"kind", kind_}, {"revision", std::to_string(changes->revision)}});
        }
        healthy_ = true;
        first = false;
        backoff = tuning_.firstBackoff;
        onChanges_(*changes);
        // A list of a kind that has no objects yet may carry no revision to watch from.
        const bool canWatch = changes->revision > 0;
        since = changes->revision;
        if (!canWatch) {
            sleepFor(core_.ioContext, tuning_.longestBackoff);
        } else if (!changes->objects.empty() && tuning_.gather > Millis(0)) {
            sleepFor(core_.ioContext, tuning_.gather);
        }
    }
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

} // namespace waxwing
