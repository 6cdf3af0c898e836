#include "tests/support/SlotPolicies.h"

#include <numeric>

namespace waxwing::testing {

namespace {

constexpr Millis pollInterval{10};
/** Between two exchanges of free slots with the other zones. */
constexpr Millis exchangeInterval{100};

} // namespace

ZoneQueuePolicy::ZoneQueuePolicy(HomeFleetModel &model)
    : SlotPolicy(model)
    , zones_(static_cast<std::size_t>(model.load().zones))
{
    const int slots = static_cast<int>(model.load().slots);
    for (Zone &zone : zones_) {
        zone.freeSlots.assign(static_cast<std::size_t>(model.load().homes), 0);
        zone.otherFree.assign(zones_.size(), 0);
    }
    for (int home = 0; home < model.load().homes; ++home) {
        zones_[static_cast<std::size_t>(model.zoneOf(home))].freeSlots[static_cast<std::size_t>(home)] = slots;
    }
    for (Zone &zone : zones_) {
        const int all = std::accumulate(zone.freeSlots.begin(), zone.freeSlots.end(), 0);
        zone.queue.setServer(static_cast<std::uint32_t>(all), true, model.now());
    }
}

Distance ZoneQueuePolicy::zoneDistance(int a, int b) const
{
    return model_.distance(a, b);
}

void ZoneQueuePolicy::arrive(const FleetRequestPtr &request)
{
    const int zone = model_.zoneOf(request->sender);
    model_.sendSmall(*request, Distance::SameZone, [this, zone, request] { enqueue(zone, request, false); });
}

void ZoneQueuePolicy::exchange(int zone)
{
    Zone &own = zones_[static_cast<std::size_t>(zone)];
    if (model_.now() - own.exchangedAt < exchangeInterval) {
        return;
    }
    own.exchangedAt = model_.now();
    for (std::size_t other = 0; other < zones_.size(); ++other) {
        const std::vector<int> &slots = zones_[other].freeSlots;
        own.otherFree[other] = std::accumulate(slots.begin(), slots.end(), 0);
    }
}

int ZoneQueuePolicy::zoneWithRoom(int zone)
{
    exchange(zone);
    std::vector<int> &free = zones_[static_cast<std::size_t>(zone)].otherFree;
    int best = -1;
    for (int other = 0; other < static_cast<int>(zones_.size()); ++other) {
        const auto roomier = [&](int a, int b) {
            const auto near = [&](int c) { return zoneDistance(zone, c) == Distance::SameRegion; };
            const int roomA = free[static_cast<std::size_t>(a)];
            const int roomB = free[static_cast<std::size_t>(b)];
            return near(a) == near(b) ? roomA > roomB : near(a);
        };
        const bool hasRoom = other != zone && free[static_cast<std::size_t>(other)] > 0;
        best = hasRoom && (best < 0 || roomier(other, best)) ? other : best;
    }
    if (best >= 0) {
        --free[static_cast<std::size_t>(best)];
    }
    return best;
}

void ZoneQueuePolicy::enqueue(int zone, const FleetRequestPtr &request, bool forwarded)
{
    Zone &own = zones_[static_cast<std::size_t>(zone)];
    const HomeLoad load = own.queue.load(request->route->route.priority, model_.now());
    const int other = !forwarded && (load.freeSlots == 0 || load.queued > 0) ? zoneWithRoom(zone) : -1;
    if (other >= 0) {
        model_.sendSmall(*request, zoneDistance(zone, other),
                         [this, other, request] { enqueue(other, request, true); });
        return;
    }
    SlotRequest slotRequest;
    slotRequest.id = request->id;
    slotRequest.route = request->route->route.name;
    slotRequest.customer = request->customer;
    slotRequest.priority = request->route->route.priority;
    slotRequest.objective = request->objective;
    slotRequest.deadline = request->deadline;
    slotRequest.queueTimeout = millisOf(request->deadline - request->route->work - model_.now());
    const SlotDecision decision = own.queue.submit(slotRequest, model_.now());
    own.requests[request->id] = request;
    if (decision.action == SlotAction::Start) {
        grant(zone, request);
    } else if (decision.action == SlotAction::Refuse) {
        refuse(zone, request);
    }
    poll(zone);
}

void ZoneQueuePolicy::grant(int zone, const FleetRequestPtr &request)
{
    Zone &own = zones_[static_cast<std::size_t>(zone)];
    const auto freest = std::max_element(own.freeSlots.begin(), own.freeSlots.end());
    --*freest;
    const int home = static_cast<int>(freest - own.freeSlots.begin());
    model_.sendSmall(*request, zoneDistance(request->sender, zone), [this, home, request] {
        model_.sendWork(request, home, [this, home, request] { model_.begin(home, request); });
    });
}

void ZoneQueuePolicy::refuse(int zone, const FleetRequestPtr &request)
{
    zones_[static_cast<std::size_t>(zone)].requests.erase(request->id);
    model_.sendSmall(*request, zoneDistance(request->sender, zone), [this, request] { model_.finish(request, false); });
}

void ZoneQueuePolicy::workEnded(int home, const FleetRequestPtr &request, Duration took)
{
    const int zone = model_.zoneOf(home);
    model_.sendSmall(*request, Distance::SameZone, [this, zone, home, request, took] {
        Zone &own = zones_[static_cast<std::size_t>(zone)];
        own.queue.addResult(request->route->route.name, false, took, model_.now());
        own.queue.release(request->id, model_.now());
        own.requests.erase(request->id);
        ++own.freeSlots[static_cast<std::size_t>(home)];
        poll(zone);
    });
    model_.after(model_.delay(model_.distance(request->sender, home)),
                 [this, request] { model_.finish(request, true); });
}

void ZoneQueuePolicy::serverLeft(int home)
{
    Zone &own = zones_[static_cast<std::size_t>(model_.zoneOf(home))];
    const int slots = static_cast<int>(model_.load().slots);
    own.freeSlots[static_cast<std::size_t>(home)] -= slots;
    std::uint32_t all = 0;
    for (int other = 0; other < model_.load().homes; ++other) {
        const bool stays = model_.zoneOf(other) == model_.zoneOf(home) && other > home;
        all += stays ? model_.load().slots : 0;
    }
    own.queue.setServer(all, false, model_.now());
}

void ZoneQueuePolicy::poll(int zone)
{
    Zone &own = zones_[static_cast<std::size_t>(zone)];
    const SlotQueue::PollResult result = own.queue.poll(model_.now());
    for (const std::uint64_t id : result.start) {
        grant(zone, own.requests.at(id));
    }
    for (const std::uint64_t id : result.expired) {
        refuse(zone, FleetRequestPtr(own.requests.at(id)));
    }
    if (!own.pollScheduled && own.queue.waiting() > 0) {
        own.pollScheduled = true;
        model_.after(pollInterval, [this, zone] {
            zones_[static_cast<std::size_t>(zone)].pollScheduled = false;
            poll(zone);
        });
    }
}

} // namespace waxwing::testing
