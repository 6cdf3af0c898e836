#include "include/fleet/WatchElection.h"
#include "platform/Names.h"
#include "tests/support/ConfigPropagationRig.h"
#include "tests/support/WatchRoles.h"

#include <csignal>
#include <doctest/doctest.h>

using namespace waxwing;
using namespace waxwing::testing;

namespace {

namespace names = platform::names;

constexpr int nodeCount = 8;
constexpr std::size_t watcherCount = 2;

/** A region with a configuration of 1,500 spare routes, which is too large to be sent unasked. */
class LargeConfigRegion : public ConfigPropagationRig
{
protected:
    explicit LargeConfigRegion(bool proxies = false, bool storeProxies = false, bool upgrade = false)
        : ConfigPropagationRig(Options{1500, nodeCount, proxies, storeProxies, upgrade})
    {
        REQUIRE(eventually([&] { return withRole("follower").size() == nodeCount - watcherCount; },
                           std::chrono::seconds(10)));
    }

    std::vector<int> withRole(const std::string &role) const
    {
        return nodesWithRole(mesh_, nodes_, role);
    }

    /** Returns the nodes that have the version in force as read from the store. */
    std::vector<int> readersOf(std::uint64_t version) const
    {
        std::vector<int> out;
        for (int node = 0; node < nodes_; ++node) {
            const std::string field = "version=" + std::to_string(version);
            if (mesh_.countLogLines(node, {"event=config_in_force", field, "store revision"}) > 0) {
                out.push_back(node);
            }
        }
        return out;
    }

    int storeCalls(const std::vector<int> &nodes) const
    {
        int calls = 0;
        for (const int node : nodes) {
            calls += mesh_.countLogLines(node, {"event=store_call", std::string("kind=") + names::configKind});
        }
        return calls;
    }

    bool isInForceAtAll(const std::vector<int> &nodes, std::uint64_t version) const
    {
        return std::all_of(nodes.begin(), nodes.end(), [&](int node) { return isInForceAt(node, version); });
    }

    /** Slows down what a watcher sends, writes version 2, and returns when that watcher has begun to deliver it. */
    int startSlowDelivery()
    {
        const int slow = withRole("watcher").front();
        // A delivery takes about half a second. At less, the node's other messages would already fill the link.
        constexpr int bytesPerSecond = 20000;
        mesh_.setLinkFault(slow, {{"fromTarget", {{"bytesPerSecond", bytesPerSecond}}}});
        mesh_.configure(2, "archive");
        REQUIRE(eventually([&] { return mesh_.countLogLines(slow, {"event=config_sent"}) > 0; }));
        return slow;
    }
};

class LargeConfigLinks : public LargeConfigRegion
{
protected:
    LargeConfigLinks()
        : LargeConfigRegion(true)
    { }
};

class LargeConfigStoreLinks : public LargeConfigRegion
{
protected:
    LargeConfigStoreLinks()
        : LargeConfigRegion(false, true)
    { }
};

class LargeConfigMixedBuilds : public LargeConfigRegion
{
protected:
    LargeConfigMixedBuilds()
        : LargeConfigRegion(false, false, true)
    { }
};

} // namespace

// Guards against a region in which each node reads a large document from the store, over one path that all share.
TEST_CASE_FIXTURE(LargeConfigRegion,
                  "large configuration, new version, followers get it from their region without a call to the store")
{
    // Nodes with the role "stand-in" at the start become followers in this time.
    pause(std::chrono::seconds(4));
    const std::vector<int> followers = withRole("follower");
    REQUIRE(followers.size() == nodeCount - watcherCount);
    const int before = storeCalls(followers);
    mesh_.configure(2, "archive");
    CHECK(eventually([&] { return isInForce(2); }, applyBound));
    pause(std::chrono::seconds(3));
    CHECK(storeCalls(followers) == before);
    CHECK(readersOf(2).size() <= watcherCount);
}

// Guards against a version that is skipped or late because the one before it is still being delivered.
TEST_CASE_FIXTURE(LargeConfigRegion,
                  "large configuration, three versions in a row, the last is in force when it is due")
{
    for (const std::uint64_t version : {2, 3, 4}) {
        mesh_.configure(version, version == 3 ? "desk" : "archive");
        pause(Millis(150));
    }
    CHECK(eventually([&] { return isInForce(4); }, applyBound));
}

// Guards against nodes that wait for a dead peer beyond the bound.
TEST_CASE_FIXTURE(LargeConfigLinks, "large configuration, peer killed while it delivers, others get it when it is due")
{
    const int slow = startSlowDelivery();
    mesh_.node(slow).kill();
    for (int node = 0; node < nodes_; ++node) {
        CHECK((node == slow || eventually([&] { return isInForceAt(node, 2); }, applyBound)));
    }
}

// Guards against nodes that wait for a peer that is cut off, whose links stay open.
TEST_CASE_FIXTURE(LargeConfigLinks, "large configuration, peer cut off while it delivers, others get it when it is due")
{
    const int slow = startSlowDelivery();
    mesh_.setLinkFault(slow, {{"toTarget", {{"hold", true}}}, {"fromTarget", {{"hold", true}}}});
    for (int node = 0; node < nodes_; ++node) {
        CHECK((node == slow || eventually([&] { return isInForceAt(node, 2); }, applyBound)));
    }
    mesh_.setLinkFault(slow, {{"toTarget", {{"hold", false}}}, {"fromTarget", {{"hold", false}}}});
}

// Guards against a region that waits for its watchers although none is left.
TEST_CASE_FIXTURE(LargeConfigRegion, "large configuration, all watchers killed, other nodes read it for their region")
{
    const std::vector<int> followers = withRole("follower");
    for (const int watcher : withRole("watcher")) {
        mesh_.node(watcher).kill();
    }
    mesh_.configure(2, "archive");
    CHECK(eventually([&] { return isInForceAtAll(followers, 2); }, applyBound));
}

// Guards against a region whose nodes all read the store at once when their watchers hang with open links.
TEST_CASE_FIXTURE(LargeConfigRegion, "large configuration, all watchers suspended, a few other nodes read it")
{
    const std::vector<int> followers = withRole("follower");
    const std::vector<int> watchers = withRole("watcher");
    for (const int watcher : watchers) {
        mesh_.node(watcher).signal(SIGSTOP);
    }
    mesh_.configure(2, "archive");
    CHECK(eventually([&] { return isInForceAtAll(followers, 2); }, applyBound));
    CHECK(readersOf(2).size() <= WatchElectionTuning().firstStandIns);
    for (const int watcher : watchers) {
        mesh_.node(watcher).signal(SIGCONT);
    }
    const bool allHold = eventually([&] { return isInForce(2); }, dueAfterDisturbance);
    std::string late;
    for (const int watcher : watchers) {
        late += isInForceAt(watcher, 2) ? "" : mesh_.log(watcher);
    }
    INFO("logs of late watchers: ", late);
    CHECK(allHold);
}

// Guards against followers that need their own path to the store for a document that their region holds.
TEST_CASE_FIXTURE(LargeConfigStoreLinks,
                  "large configuration, only watchers reach the store, all get it when it is due")
{
    for (const int follower : withRole("follower")) {
        mesh_.setStoreLinkFault(follower, {{"toTarget", {{"hold", true}}}, {"fromTarget", {{"hold", true}}}});
    }
    mesh_.configure(2, "archive");
    CHECK(eventually([&] { return isInForce(2); }, applyBound));
    CHECK(readersOf(2).size() <= watcherCount);
}

// Guards against a message that an older build can't read, in either direction, while nodes are replaced. The first
// processes run the build that WAXWING_OTHER_BUILD names, if it is set.
TEST_CASE_FIXTURE(LargeConfigMixedBuilds, "large configuration, nodes of two builds, all get it when it is due")
{
    for (int node = 0; node < nodes_; node += 2) {
        mesh_.node(node).kill();
        mesh_.startNode(node);
    }
    REQUIRE(eventually([&] { return mesh_.allServing(); }, std::chrono::seconds(20)));
    pause(std::chrono::seconds(4));
    for (const std::uint64_t version : {2, 3}) {
        mesh_.configure(version, "archive");
        CHECK(eventually([&] { return isInForce(version); }, applyBound));
        pause(Millis(500));
    }
    for (int node = 0; node < nodes_; ++node) {
        CHECK(mesh_.countLogLines(node, {"event=link_garbage"}) == 0);
    }
}
