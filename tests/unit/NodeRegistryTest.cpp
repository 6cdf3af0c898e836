#include "include/fleet/NodeRegistry.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <set>
#include <string>

using namespace waxwing;

namespace {

RegistryEntry entryOf(int number, std::uint64_t revision, const std::string &service = "desk")
{
    RegistryEntry entry;
    entry.id = "node-" + std::to_string(number);
    entry.zone = "zone-" + std::to_string(number % 6);
    entry.region = "region-" + std::to_string(number % 3);
    entry.service = service;
    entry.revision = revision;
    return entry;
}

/** Two nodes of one fleet, of which the second follows the first by its changes. */
struct FollowedRegistry {
    FollowedRegistry()
    {
        constexpr int count = 12;
        std::vector<RegistryEntry> entries;
        entries.reserve(count);
        for (int i = 0; i < count; ++i) {
            entries.push_back(entryOf(i, static_cast<std::uint64_t>(i) + 1));
        }
        REQUIRE(watcher.replace(entries, 20));
        REQUIRE(follower.replace(entries, 20));
    }

    /** Returns whether the follower applied what it lacks. */
    bool follow()
    {
        const std::uint64_t held = follower.revision();
        return watcher.knowsChangesSince(held) && follower.apply(watcher.changesSince(held), changed);
    }

    std::set<std::string> followedIds() const
    {
        std::set<std::string> ids;
        for (const RegistryEntryPtr &entry : follower.all()) {
            ids.insert(entry->id);
        }
        return ids;
    }

    NodeRegistry watcher;
    NodeRegistry follower;
    bool changed = false;
};

} // namespace

TEST_CASE("node registry, entry changes its service and zone, is found only by the new ones")
{
    NodeRegistry registry;
    registry.put(entryOf(1, 1, "desk"));
    registry.put(entryOf(7, 2, "desk"));
    RegistryEntry moved = entryOf(1, 3, "records");
    moved.zone = "zone-5";
    registry.put(moved);
    CHECK(registry.homesOf("desk").size() == 1);
    CHECK(registry.homesOf("records").size() == 1);
    CHECK(registry.inZone("zone-1").size() == 1);
    CHECK(registry.inZone("zone-5").front()->id == "node-1");
    CHECK(registry.inRegion("region-1").size() == 2);
    CHECK(registry.countOf("zone-1", "desk") == 1);
    CHECK(registry.countOf("zone-5", "desk") == 0);
    CHECK(registry.countOf("zone-5", "records") == 1);
    CHECK(registry.remove("node-1", 4));
    CHECK(registry.homesOf("records").empty());
    CHECK(registry.all().size() == 1);
}

TEST_CASE("node registry, entries in any order, lists each group by id")
{
    NodeRegistry registry;
    for (const int number : {21, 3, 9, 15}) {
        registry.put(entryOf(number, static_cast<std::uint64_t>(number)));
    }
    const RegistryEntries &homes = registry.homesOf("desk");
    CHECK(std::is_sorted(homes.begin(), homes.end(), [](const auto &a, const auto &b) { return a->id < b->id; }));
}

TEST_CASE_FIXTURE(FollowedRegistry, "registry changes, node joins and another leaves, reach a follower")
{
    watcher.put(entryOf(30, 25));
    watcher.remove("node-4", 26);
    REQUIRE(follow());
    CHECK(changed);
    CHECK(follower.revision() == 26);
    CHECK(followedIds().count("node-30") == 1);
    CHECK(followedIds().count("node-4") == 0);
}

TEST_CASE_FIXTURE(FollowedRegistry, "registry changes, no entry changed, only advance the revision")
{
    watcher.advance(40);
    REQUIRE(follow());
    CHECK_FALSE(changed);
    CHECK(follower.revision() == 40);
}

TEST_CASE_FIXTURE(FollowedRegistry, "registry changes, sent twice and out of order, never go back")
{
    const RegistryChanges before = [this] {
        watcher.remove("node-4", 26);
        return watcher.changesSince(20);
    }();
    watcher.put(entryOf(4, 27));
    REQUIRE(follow());
    CHECK(followedIds().count("node-4") == 1);
    CHECK(follower.apply(before, changed));
    CHECK(followedIds().count("node-4") == 1);
    CHECK(follower.revision() == 27);
}

// Guards against a follower that counts as current although it never heard of a removal.
TEST_CASE_FIXTURE(FollowedRegistry, "registry changes, earlier ones are missing, are not applied")
{
    watcher.remove("node-4", 26);
    RegistryChanges changes = watcher.changesSince(26);
    changes.revision = 30;
    CHECK_FALSE(follower.apply(changes, changed));
    CHECK(follower.revision() == 20);
    NodeRegistry started;
    started.replace({entryOf(1, 1)}, 50);
    CHECK_FALSE(started.knowsChangesSince(20));
}

// Guards against a node that passes on changes of which it has seen a removal only in a full list.
TEST_CASE_FIXTURE(FollowedRegistry, "registry changes, removal seen as a gap in a full list, reaches a follower")
{
    std::vector<RegistryEntry> rest;
    for (const RegistryEntryPtr &entry : watcher.all()) {
        if (entry->id != "node-4") {
            rest.push_back(*entry);
        }
    }
    REQUIRE(watcher.replace(rest, 33));
    REQUIRE(follow());
    CHECK(followedIds().count("node-4") == 0);
}

TEST_CASE_FIXTURE(FollowedRegistry, "registry changes, removal of an entry that a node never held, is passed on")
{
    NodeRegistry relay;
    REQUIRE(relay.replace({entryOf(1, 2)}, 20));
    relay.remove("node-4", 26);
    REQUIRE(follower.apply(relay.changesSince(20), changed));
    CHECK(followedIds().count("node-4") == 0);
}

TEST_CASE("sample of entries, few accepted among many, finds them all")
{
    NodeRegistry registry;
    for (int i = 0; i < 300; ++i) {
        registry.put(entryOf(i, static_cast<std::uint64_t>(i) + 1));
    }
    std::mt19937_64 random(1);
    const auto sample = [&](std::size_t count, const std::function<bool(const RegistryEntry &)> &accepts) {
        return sampleEntries(
            registry.all(), count, [&random] { return random(); }, accepts);
    };
    const RegistryEntries two =
        sample(5, [](const RegistryEntry &entry) { return entry.id == "node-7" || entry.id == "node-299"; });
    CHECK(two.size() == 2);
    const RegistryEntries any = sample(8, [](const RegistryEntry &) { return true; });
    const std::set<RegistryEntryPtr> different(any.begin(), any.end());
    CHECK(different.size() == 8);
    CHECK(sample(8, [](const RegistryEntry &) { return false; }).empty());
}

// Guards against a lost VM of which most nodes of a large region are never told, and against messages that grow with
// the region.
TEST_CASE("path suspicion, each node that confirms it tells eight random nodes, reaches a region of any size")
{
    constexpr std::size_t told = 8;
    for (const int nodes : {9, 327, 5589}) {
        NodeRegistry registry;
        for (int i = 0; i < nodes; ++i) {
            registry.put(entryOf(3 * i, static_cast<std::uint64_t>(i) + 1));
        }
        std::mt19937_64 random(7);
        std::set<std::string> knows = {"node-0"};
        std::vector<std::string> latest = {"node-0"};
        int steps = 0;
        while (!latest.empty()) {
            std::vector<std::string> next;
            for (const std::string &self : latest) {
                const RegistryEntries chosen = sampleEntries(
                    registry.inRegion("region-0"), told, [&random] { return random(); },
                    [&](const RegistryEntry &entry) { return entry.id != self; });
                CHECK(chosen.size() <= told);
                for (const RegistryEntryPtr &entry : chosen) {
                    if (knows.insert(entry->id).second) {
                        next.push_back(entry->id);
                    }
                }
            }
            steps += next.empty() ? 0 : 1;
            latest = next;
        }
        CHECK(static_cast<double>(knows.size()) >= 0.99 * nodes);
        CHECK(steps <= 7);
    }
}
