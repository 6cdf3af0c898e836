#include "platform/Names.h"
#include "tests/support/ConfigPropagationRig.h"

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
        std::vector<int> out;
        for (int node = 0; node < nodes_; ++node) {
            if (roleOf(node) == role) {
                out.push_back(node);
            }
        }
        return out;
    }

    std::string roleOf(int node) const
    {
        const std::string log = mesh_.log(node);
        const std::string key = " role=";
        const std::size_t last = log.rfind("event=watch_role");
        if (last == std::string::npos) {
            return "watcher";
        }
        const std::size_t from = log.find(key, last) + key.size();
        return log.substr(from, log.find(' ', from) - from);
    }

    int storeCalls(const std::vector<int> &nodes) const
    {
        int calls = 0;
        for (const int node : nodes) {
            calls += mesh_.countLogLines(node, {"event=store_call", std::string("kind=") + names::configKind});
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

// Guards against calls to the store that grow with the nodes: only the watchers call it, while nothing changes and at a
// change.
TEST_CASE_FIXTURE(Followers, "followers, new version, hold it in time without a call to the store")
{
    // By then the stand-ins of the start have become followers.
    pause(std::chrono::seconds(4));
    const std::vector<int> followers = withRole("follower");
    REQUIRE(followers.size() == 4);
    const int before = storeCalls(followers);
    mesh_.configure(2, "archive");
    CHECK(eventually([&] { return isInForce(2); }, applyBound));
    pause(std::chrono::seconds(3));
    CHECK(storeCalls(followers) == before);
}

// Guards against a region that receives no more updates because all of its watchers ended at once.
TEST_CASE_FIXTURE(Followers, "followers, all watchers killed at once, hold the next version in time")
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
TEST_CASE_FIXTURE(Followers, "followers, all watchers suspended, hold the next version in time")
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

// Guards against watchers that answer their followers although their own watches on the store are silent.
TEST_CASE_FIXTURE(Followers, "followers, watches gone silent, hold the next version in time")
{
    mesh_.setStoreFault({{"deafWatches", true}});
    mesh_.configure(2, "archive");
    CHECK(eventually([&] { return isInForce(2); }, dueAfterDisturbance));
}

// Guards against followers that lose their watchers' watches together with the store and all wait for a store that
// never received their calls.
TEST_CASE_FIXTURE(Followers, "followers, watches cut while the store is silent, hold the next version in time")
{
    mesh_.setStoreFault({{"silent", true}, {"cutWatches", true}});
    pause(Millis(600));
    mesh_.setStoreFault({{"silent", false}});
    mesh_.configure(2, "archive");
    CHECK(eventually([&] { return isInForce(2); }, dueAfterDisturbance));
}

// Guards against a follower that no node reaches and that waits for its watchers while the store answers.
TEST_CASE_FIXTURE(CutFollowers, "followers, links cut both ways, hold the next version in time")
{
    cutLinks(true);
    mesh_.configure(2, "archive");
    CHECK(eventually([&] { return isInForce(2); }, applyBound));
    cutLinks(false);
}

// Guards against a follower among nodes that have just started: none of them can confirm anything yet.
TEST_CASE_FIXTURE(Followers, "followers, all other nodes restarted at once, hold a version written meanwhile in time")
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
