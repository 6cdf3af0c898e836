#include "tests/support/ConfigFleetModel.h"

#include <doctest/doctest.h>

using namespace waxwing;
using namespace waxwing::testing;

namespace {

constexpr Millis applyBound{3000};
constexpr int watchersPerRegion = 2;
constexpr int largeRegion = 650;

ConfigFleetOutcome run(const ConfigFleetLoad &load, ConfigPath path = ConfigPath::Tree)
{
    const ConfigFleetOutcome outcome = runConfigFleet(load, path);
    INFO("nodes ", load.nodesPerRegion, ", way ", static_cast<int>(path), ", seed ", load.seed, ": half ",
         outcome.median.count(), " ms, last ", outcome.last.count(), " ms, reads ", outcome.storeReads, " (",
         outcome.storeReadsAtOnce, " at once), path ", outcome.pathBytes, " bytes, busiest sender ",
         outcome.busiestSender, " (", outcome.deliveriesAtOnce, " at once), requests ", outcome.requests, ", refused ",
         outcome.refusedRequests);
    return outcome;
}

} // namespace

// Shows the fault that the tree replaces: nearly all nodes of the other region read the document over one path.
TEST_CASE("config fleet, every node reads the store after the announcement, takes longer than the bound")
{
    const ConfigFleetOutcome outcome = run({}, ConfigPath::StoreAfterAnnouncement);
    CHECK(outcome.last > applyBound);
    CHECK(outcome.pathBytes > 40 * ConfigFleetLoad().documentBytes);
}

// Guards against a document that crosses the path between regions once per node, and so is late.
TEST_CASE("config fleet, region of 48 nodes, holds the version within the bound after one read per watcher")
{
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        ConfigFleetLoad load;
        load.seed = seed;
        const ConfigFleetOutcome outcome = run(load);
        CHECK(outcome.isComplete);
        CHECK(outcome.last <= applyBound);
        CHECK(outcome.storeReads == load.regions * watchersPerRegion);
        CHECK(outcome.pathBytes == watchersPerRegion * load.documentBytes);
        CHECK(outcome.busiestSender <= 6);
        CHECK(outcome.deliveriesAtOnce <= 3);
    }
}

// Guards against a way that works only in small regions: one sender's link can't carry the document to all nodes.
TEST_CASE("config fleet, region of 650 nodes, holds the version within the bound after one read per watcher")
{
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        ConfigFleetLoad load;
        load.nodesPerRegion = largeRegion;
        load.seed = seed;
        const ConfigFleetOutcome outcome = run(load);
        CHECK(outcome.isComplete);
        CHECK(outcome.last <= applyBound);
        CHECK(outcome.storeReads <= 2 * load.regions * watchersPerRegion);
        CHECK(outcome.busiestSender <= 8);
    }
}

// Compares the ways weighed in docs/design/size.md.
TEST_CASE("config fleet, ways without a tree, are later in a large region")
{
    ConfigFleetLoad load;
    load.nodesPerRegion = largeRegion;
    const Millis tree = run(load).last;
    CHECK(run(load, ConfigPath::PushedByWatchers).last > tree);
    CHECK(run(load, ConfigPath::AnyHolder).last > tree);
}

// Guards against nodes that wait for a dead peer until their store read is late as well.
TEST_CASE("config fleet, node killed while it delivers, other nodes take its place")
{
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        ConfigFleetLoad load;
        load.kills = {Millis(850)};
        load.seed = seed;
        const ConfigFleetOutcome outcome = run(load);
        CHECK(outcome.isComplete);
        CHECK(outcome.last <= applyBound);
        CHECK(outcome.pathBytes <= load.documentBytes * 3 * watchersPerRegion);
    }
}

// Guards against a region that all reads the store at once, which takes seconds on the path, when its watchers are
// lost.
TEST_CASE("config fleet, watchers of a region hang, few nodes read the store at once")
{
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        ConfigFleetLoad load;
        load.watchersHang = true;
        load.seed = seed;
        const ConfigFleetOutcome outcome = run(load);
        CHECK(outcome.isComplete);
        CHECK(outcome.storeReadsAtOnce <= 12);
        CHECK(outcome.last <= 2 * applyBound);
    }
    ConfigFleetLoad load;
    load.watchersHang = true;
    load.nodesPerRegion = largeRegion;
    const ConfigFleetOutcome outcome = run(load);
    CHECK(outcome.isComplete);
    CHECK(outcome.storeReadsAtOnce <= 12);
}
