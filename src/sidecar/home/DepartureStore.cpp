#include "src/sidecar/home/DepartureStore.h"

#include "platform/DepartureRecord.h"
#include "platform/ObjectApi.h"
#include "src/fiber/FiberLoop.h"
#include "src/node/NodeCore.h"

#include <algorithm>

namespace waxwing {

namespace {

constexpr Millis minBackoff{100};
constexpr Millis maxBackoff{2000};
constexpr Millis savePollInterval{5};

/** Doubles the pause up to the maximum and spreads it, because many nodes may fail at the same time. */
Millis nextBackoff(NodeCore &core, Millis &pause)
{
    const Millis current = pause;
    pause = std::min(maxBackoff, pause * 2);
    return current + core.randomBelow(current);
}

} // namespace

DepartureStore::DepartureStore(NodeCore &core)
    : core_(core)
{ }

void DepartureStore::read(ReadHook onRead)
{
    spawnFiber([this, hook = std::move(onRead)] { readLoop(hook); });
}

void DepartureStore::readLoop(const ReadHook &onRead)
{
    ObjectApi &api = core_.service<ObjectApi>("platform");
    Millis pause = minBackoff;
    while (!core_.stopping) {
        const auto object = api.read(platform::departureKind, core_.settings.node);
        if (!object) {
            core_.events.write(Severity::Warning, "departure_not_read", {{"reason", object.error().message}});
            sleepFor(core_.ioContext, nextBackoff(core_, pause));
            continue;
        }
        std::optional<ServerDeparture> departure;
        if (*object) {
            version_ = std::max(version_, (*object)->version);
            departure = platform::decodeDeparture((*object)->value);
        }
        if (*object && !departure) {
            core_.events.write(Severity::Warning, "departure_unreadable", {{"node", core_.settings.node}});
        }
        onRead(departure);
        return;
    }
}

bool DepartureStore::save(const ServerDeparture &departure, Duration timeout)
{
    const SteadyTime end = core_.clock.now() + timeout;
    wanted_ = departure;
    if (!writing_ && stored_ != departure) {
        writing_ = true;
        spawnFiber([this] { writeLoop(); });
    }
    while (stored_ != departure && core_.clock.now() < end) {
        sleepFor(core_.ioContext, savePollInterval);
    }
    return stored_ == departure;
}

void DepartureStore::writeLoop()
{
    Millis pause = minBackoff;
    while (!core_.stopping && stored_ != wanted_) {
        if (!tryWrite(ServerDeparture(*wanted_))) {
            sleepFor(core_.ioContext, nextBackoff(core_, pause));
        }
    }
    writing_ = false;
}

bool DepartureStore::tryWrite(const ServerDeparture &departure)
{
    const UpdateResult result =
        core_.service<ObjectApi>("platform")
            .update(platform::departureKind, core_.settings.node, version_, platform::encodeDeparture(departure));
    if (result.kind == UpdateResult::Kind::Stored) {
        version_ = result.version;
        stored_ = departure;
        core_.events.write(Severity::Info, "departure_stored", {{"server", departure.server}});
        return true;
    }
    if (result.kind == UpdateResult::Kind::Conflict) {
        // Written by an earlier process of this node, or by a call of this process whose response was lost.
        version_ = result.current ? result.current->version : 0;
        const auto current = result.current ? platform::decodeDeparture(result.current->value) : std::nullopt;
        if (current && (*current == departure || current->supersedes(departure))) {
            stored_ = departure;
        }
        return true;
    }
    core_.events.write(Severity::Warning, "departure_not_stored",
                       {{"server", departure.server}, {"reason", result.message}});
    return false;
}

void DepartureStore::remove()
{
    if (version_ == 0) {
        return;
    }
    const UpdateResult result =
        core_.service<ObjectApi>("platform").remove(platform::departureKind, core_.settings.node, version_);
    if (result.kind != UpdateResult::Kind::Stored) {
        core_.events.write(Severity::Warning, "departure_not_removed", {{"reason", result.message}});
    }
}

} // namespace waxwing
