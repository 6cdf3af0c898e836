/**
 * Measures what one request costs a node at different sizes of the fleet: the look-ups in the registry and the choice
 * of a home. None of them may grow with the fleet.
 */
#include "include/fleet/NodeRegistry.h"
#include "include/route/HomeRanking.h"
#include "include/route/HomeSubset.h"

#include <chrono>
#include <cstdio>
#include <functional>
#include <random>
#include <string>

namespace {

using namespace waxwing;

constexpr int zones = 9;
constexpr int zonesPerRegion = 3;
constexpr int calls = 2000;

std::string nodeName(int number)
{
    return "node-" + std::to_string(number);
}

NodeRegistry makeRegistry(int nodes)
{
    std::vector<RegistryEntry> entries;
    for (int i = 0; i < nodes; ++i) {
        RegistryEntry entry;
        entry.id = nodeName(i);
        entry.zone = "zone-" + std::to_string(i % zones);
        entry.region = "region-" + std::to_string(i % zones / zonesPerRegion);
        entry.service = i % 2 == 0 ? "course-desk" : "records-desk";
        entry.revision = 1;
        entries.push_back(entry);
    }
    NodeRegistry registry;
    registry.replace(entries, 1);
    return registry;
}

std::vector<RankedHome> homesOf(const NodeRegistry &registry)
{
    std::vector<RankedHome> homes;
    for (const RegistryEntryPtr &entry : registry.homesOf("course-desk")) {
        Distance distance = Distance::OtherRegion;
        if (entry->zone == "zone-0") {
            distance = Distance::SameZone;
        } else if (entry->region == "region-0") {
            distance = Distance::SameRegion;
        }
        homes.push_back(RankedHome{entry->id, distance});
    }
    return homes;
}

/** Prints the time of one call in microseconds, the mean of many. */
void measure(const char *name, const std::function<void()> &call)
{
    const auto before = std::chrono::steady_clock::now();
    for (int i = 0; i < calls; ++i) {
        call();
    }
    const std::chrono::duration<double, std::micro> took = std::chrono::steady_clock::now() - before;
    std::printf("  %-26s %8.2f us\n", name, took.count() / calls);
}

void measureFleet(int nodes)
{
    std::printf("%d nodes\n", nodes);
    const NodeRegistry registry = makeRegistry(nodes);
    std::mt19937_64 random(1);
    const auto next = [&random] { return random(); };
    const auto any = [](const RegistryEntry &) { return true; };
    measure("find a node", [&] { registry.find(nodeName(nodes / 2)); });
    measure("share of a service", [&] { registry.countOf("zone-0", "course-desk"); });
    measure("two relays in the region", [&] { sampleEntries(registry.inRegion("region-0"), 2, next, any); });
    const std::vector<RankedHome> homes = homesOf(registry);
    const std::vector<RankedHome> subset = homeSubset(homes, nodeName(0), registry.inZone("zone-0").size());
    HomeRanking ranking(next);
    const SteadyTime now = std::chrono::steady_clock::now();
    HomeLoad load;
    load.slots = 3;
    load.freeSlots = 2;
    for (const RankedHome &home : subset) {
        ranking.noteReport(home.node, load, now);
    }
    measure("choose among the subset", [&] { ranking.choose(subset, {}, HomeQuery{}, now); });
    measure("choose among all homes", [&] { ranking.choose(homes, {}, HomeQuery{}, now); });
}

} // namespace

int main()
{
    for (const int nodes : {30, 300, 3000, 30000}) {
        measureFleet(nodes);
    }
    return 0;
}
