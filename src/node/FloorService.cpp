#include "src/node/FloorService.h"

#include "include/member/Ring.h"
#include "platform/ObjectApi.h"
#include "src/fiber/FiberLoop.h"
#include "src/node/GossipService.h"
#include "src/node/HomeService.h"
#include "src/node/NodeCore.h"

#include <algorithm>

namespace waxwing {

namespace {

constexpr Millis pollInterval{500};
constexpr Millis maxPause = std::chrono::seconds(30);
constexpr Millis minReadInterval{2000};
constexpr double callBurst = 10.0;
const std::string pledgeKind = "pledge";

} // namespace

FloorService::FloorService(NodeCore &core)
    : core_(core)
    , calls_(1.0, callBurst, core.clock.now())
{ }

void FloorService::start()
{
    spawnFiber([this] { loop(); });
}

bool FloorService::readIfNeeded(const std::string &service, ServiceHome &home)
{
    std::vector<NodeRef> homes;
    for (const NodeRecord *node : core_.service<GossipService>("gossip").homesOf(service)) {
        homes.push_back(node->ref);
    }
    const SteadyTime now = core_.clock.now();
    const auto last = readAt_.find(service);
    const bool tooSoon = last != readAt_.end() && now - last->second < minReadInterval;
    if (tooSoon || !home.floor().needsRefresh(homes)) {
        return true;
    }
    readAt_[service] = now;
    calls_.take(1.0, now);
    const auto stored = core_.service<ObjectApi>("platform").read(pledgeKind, service);
    if (!stored) {
        return false;
    }
    const Expected<PledgeTable> table =
        *stored ? PledgeTable::parse((*stored)->version, (*stored)->value) : PledgeTable{};
    if (table) {
        home.floor().updateTable(*table);
    }
    return true;
}

bool FloorService::writeProposal(const std::string &service, ServiceHome &home)
{
    HomeFloor &floor = home.floor();
    // Only one home absorbs the pledges of homes that are no longer up. If every home did, the loss of a zone would
    // cause one write for each pair of homes.
    std::vector<std::string> homes;
    for (const NodeRecord *node : core_.service<GossipService>("gossip").homesOf(service)) {
        homes.push_back(node->ref.id);
    }
    const std::vector<std::string> first = firstByHash(service, homes, 1);
    const bool mayAbsorb = !first.empty() && first.front() == core_.self.id;
    const std::optional<PledgeTable> proposal = floor.proposal(mayAbsorb);
    if (!proposal) {
        return true;
    }
    const UpdateResult result =
        core_.service<ObjectApi>("platform").update(pledgeKind, service, proposal->version, proposal->json());
    switch (result.kind) {
    case UpdateResult::Kind::Stored:
        floor.accepted(result.version);
        core_.events.write(Severity::Info, "pledge_written",
                           {{"service", service},
                            {"pledge", std::to_string(floor.pledge())},
                            {"mustKeep", std::to_string(floor.mustKeep())}});
        return true;
    case UpdateResult::Kind::Conflict: {
        std::optional<PledgeTable> current;
        if (result.current) {
            const Expected<PledgeTable> parsed = PledgeTable::parse(result.current->version, result.current->value);
            current = parsed ? std::optional<PledgeTable>(*parsed) : std::nullopt;
        }
        floor.rejected(std::move(current));
        return true;
    }
    case UpdateResult::Kind::NotStored:
    case UpdateResult::Kind::Unknown:
        floor.rejected(std::nullopt);
        return false;
    }
    return false;
}

void FloorService::loop()
{
    Millis pause = pollInterval;
    while (!core_.stopping) {
        const Millis jitter = core_.randomBelow(pause);
        sleepFor(core_.ioContext, pause / 2 + jitter);
        bool reached = true;
        // The capacity of the object API doesn't grow with the fleet, so each node gets an equal share of a fixed rate.
        const auto nodes =
            static_cast<double>(std::max<std::size_t>(1, core_.service<GossipService>("gossip").upIds().size()));
        calls_.setRate(core_.settings.limits.fleetPledgeCallsPerSecond / nodes, callBurst);
        for (const auto &[service, home] : core_.service<HomeService>("homes").homes()) {
            if (!core_.stopping && reached && calls_.hasAny(core_.clock.now())) {
                reached = readIfNeeded(service, *home) && writeProposal(service, *home);
            }
        }
        pause = reached ? pollInterval : std::min(maxPause, pause * 2);
    }
}

} // namespace waxwing
