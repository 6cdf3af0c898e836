#include "platform/ConfigDecoder.h"
#include "platform/Names.h"
#include "tests/support/ConfigPropagationRig.h"
#include "tests/support/WatchRoles.h"

#include <algorithm>
#include <csignal>
#include <doctest/doctest.h>

using namespace waxwing;
using namespace waxwing::testing;

namespace {

namespace names = platform::names;

/** A region in which two nodes watch the store and the others follow them. */
class Followers : public ConfigPropagationRig
{
protected:
    explicit Followers(bool proxies = false)
        : ConfigPropagationRig(Options{0, 6, proxies})
    {
        REQUIRE(eventually([&] { return withRole("follower").size() == 4; }, std::chrono::seconds(10)));
    }

    std::vector<int> withRole(const std::string &role) const
    {
        return nodesWithRole(mesh_, nodes_, role);
    }

    int storeCalls(const std::vector<int> &nodes, const std::string &kind = names::configKind) const
    {
        int calls = 0;
        for (const int node : nodes) {
            calls += mesh_.countLogLines(node, {"event=store_call", "kind=" + kind});
        }
        return calls;
    }

    void cutLinks(bool cut)
    {
        for (int node = 0; node < nodes_; ++node) {
            mesh_.setLinkFault(node, {{"toTarget", {{"hold", cut}}}, {"fromTarget", {{"hold", cut}}}});
        }
    }
};

class CutFollowers : public Followers
{
protected:
    CutFollowers()
        : Followers(true)
    { }
};

} // namespace

// Guards against store calls by every node, whose number grows with the fleet. Only the watchers may call the store,
// with or without a change.
TEST_CASE_FIXTURE(Followers, "followers, new version, hold it when it is due without a call to the store")
{
    // Nodes with the role "stand-in" at the start become followers in this time.
    pause(std::chrono::seconds(4));
    const std::vector<int> followers = withRole("follower");
    REQUIRE(followers.size() == 4);
    const int before = storeCalls(followers);
    mesh_.configure(2, "archive");
    CHECK(eventually([&] { return isInForce(2); }, applyBound));
    pause(std::chrono::seconds(3));
    CHECK(storeCalls(followers) == before);
}

// Guards against store calls by every node at each change of the node registry, and against followers that send nothing
// to a new node because they no longer call the store.
TEST_CASE_FIXTURE(Followers, "followers, node joins, know it within two seconds without a call to the store")
{
    constexpr Millis joinBound{2000};
    // The nodes watch the registry until it has not changed for a while.
    pause(std::chrono::seconds(6));
    const std::vector<int> followers = withRole("follower");
    REQUIRE(followers.size() == 4);
    const int before = storeCalls(followers, platform::registryKind);
    mesh_.addRegistryEntry("joined");
    const auto knowIt = [&] {
        return std::all_of(followers.begin(), followers.end(), [&](int node) {
            return mesh_.countLogLines(node, {"event=registry_changed", "nodes=7", "source=node"}) > 0;
        });
    };
    CHECK(eventually(knowIt, joinBound));
    pause(std::chrono::seconds(3));
    CHECK(storeCalls(followers, platform::registryKind) == before);
}

// Guards against a region that receives no more updates because all of its watchers ended at once.
TEST_CASE_FIXTURE(Followers, "followers, all watchers killed at once, hold the next version when it is due")
{
    const std::vector<int> followers = withRole("follower");
    for (const int watcher : withRole("watcher")) {
        mesh_.node(watcher).kill();
    }
    mesh_.configure(2, "archive");
    for (const int node : followers) {
        CHECK(eventually([&] { return isInForceAt(node, 2); }, applyBound));
    }
}

// Guards against suspended watchers that hold their links open and keep their region on an old version.
TEST_CASE_FIXTURE(Followers, "followers, all watchers suspended, hold the next version when it is due")
{
    const std::vector<int> followers = withRole("follower");
    const std::vector<int> watchers = withRole("watcher");
    for (const int watcher : watchers) {
        mesh_.node(watcher).signal(SIGSTOP);
    }
    mesh_.configure(2, "archive");
    for (const int node : followers) {
        CHECK(eventually([&] { return isInForceAt(node, 2); }, applyBound));
    }
    for (const int watcher : watchers) {
        mesh_.node(watcher).signal(SIGCONT);
    }
}

// Guards against watchers that reply to their followers although their own connections to the store are dead.
TEST_CASE_FIXTURE(Followers, "followers, watches on dead connections, hold the next version when it is due")
{
    mesh_.setStoreFault({{"deafWatches", true}});
    mesh_.configure(2, "archive");
    CHECK(eventually([&] { return isInForce(2); }, dueAfterDisturbance));
}

// Guards against a region whose watchers lose their watches while the store does not respond. All nodes then
// wait long for responses to calls that the store never received.
TEST_CASE_FIXTURE(Followers,
                  "followers, watches cut while the store does not respond, hold the next version when it is due")
{
    mesh_.setStoreFault({{"silent", true}, {"cutWatches", true}});
    pause(Millis(600));
    mesh_.setStoreFault({{"silent", false}});
    mesh_.configure(2, "archive");
    CHECK(eventually([&] { return isInForce(2); }, dueAfterDisturbance));
}

// Guards against a follower that is cut off from all nodes and waits for its watchers although it can reach the store.
TEST_CASE_FIXTURE(CutFollowers, "followers, links cut both ways, hold the next version when it is due")
{
    cutLinks(true);
    mesh_.configure(2, "archive");
    CHECK(eventually([&] { return isInForce(2); }, applyBound));
    cutLinks(false);
}

// Guards against a follower whose peers have all just started, so that none of them can confirm its state yet.
TEST_CASE_FIXTURE(Followers, "followers, all other nodes restarted at once, hold a version written meanwhile when due")
{
    const int follower = withRole("follower").front();
    for (int node = 0; node < nodes_; ++node) {
        if (node != follower) {
            mesh_.node(node).kill();
        }
    }
    mesh_.configure(2, "archive");
    for (int node = 0; node < nodes_; ++node) {
        if (node != follower) {
            mesh_.startNode(node);
        }
    }
    CHECK(eventually([&] { return isInForceAt(follower, 2); }, applyBound));
    CHECK(eventually([&] { return isInForce(2); }, dueAfterDisturbance));
}
