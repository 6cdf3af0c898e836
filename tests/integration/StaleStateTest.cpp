#include "platform/Names.h"
#include "tests/support/ConfigPropagationRig.h"

#include <csignal>
#include <doctest/doctest.h>

using namespace waxwing;
using namespace waxwing::testing;

namespace {

namespace names = platform::names;

class StaleState : public ConfigPropagationRig
{
protected:
    explicit StaleState(int spareRoutes = 0, int nodes = 3)
        : ConfigPropagationRig(Options{spareRoutes, nodes})
    { }
};

class LargeConfiguration : public StaleState
{
protected:
    LargeConfiguration()
        : StaleState(3000, 8)
    { }
};

} // namespace

// Guards against a node whose CPU is busy for seconds with copies of a configuration that it already has.
TEST_CASE_FIXTURE(LargeConfiguration, "stale state, node started beside many peers, reads the configuration once")
{
    mesh_.setStoreFault({{"slowListMs", 800}, {"slowListKind", names::configKind}});
    mesh_.node(0).kill();
    mesh_.startNode(0);
    REQUIRE(eventually([&] { return mesh_.isReady(0); }));
    // Any further copies from peers are read in this time.
    pause(Millis(1500));
    CHECK(mesh_.countLogLines(0, {"event=config_read"}) == 1);
}

// Guards against a starting node that becomes ready with a response that waited unread while the version was replaced.
TEST_CASE_FIXTURE(StaleState, "stale state, node suspended while it starts, is ready only with the newest version")
{
    mesh_.setStoreFault({{"slowListMs", 800}, {"slowListKind", names::configKind}});
    mesh_.node(0).kill();
    mesh_.startNode(0);
    pause(Millis(400));
    mesh_.node(0).signal(SIGSTOP);
    pause(Millis(800));
    // The list with version 1 is unread in the node's socket, and the store does not report version 2 to the other
    // nodes.
    mesh_.setStoreFault({{"deafWatches", true}, {"slowMs", 300}});
    mesh_.configure(2, "archive");
    pause(applyBound + Millis(100));
    mesh_.node(0).signal(SIGCONT);
    REQUIRE(eventually([&] { return mesh_.isReady(0); }));
    const auto response = mesh_.send(0, "after-ready", "/seats/1");
    REQUIRE(response);
    CHECK(headerValue(response->headers, names::signature) == "seal-i-2");
}

// Guards against nodes that lose their watches together and wait long for a store that never received their calls.
TEST_CASE_FIXTURE(
    StaleState, "stale state, watches cut while the store does not respond, nodes hold the next version when it is due")
{
    mesh_.setStoreFault({{"silent", true}, {"cutWatches", true}});
    pause(Millis(600));
    mesh_.setStoreFault({{"silent", false}});
    mesh_.configure(2, "archive");
    CHECK(eventually([&] { return isInForce(2); }, dueAfterDisturbance));
}

// Guards against nodes that keep an old version because the connections of all watches die without a reset, right after
// a change that made all nodes start a new watch at the same time.
TEST_CASE_FIXTURE(StaleState, "stale state, watches on dead connections, nodes hold the next version when it is due")
{
    mesh_.configure(2);
    REQUIRE(eventually([&] { return isInForce(2); }));
    pause(Millis(300));
    mesh_.setStoreFault({{"deafWatches", true}});
    mesh_.configure(3, "archive");
    CHECK(eventually([&] { return isInForce(3); }, dueAfterDisturbance));
}

// Guards against a node that joins and gets no work because the other nodes watch the registry over dead connections.
TEST_CASE_FIXTURE(StaleState, "stale state, watches on dead connections, nodes soon detect a node that joins")
{
    mesh_.addRegistryEntry("first-to-join");
    REQUIRE(eventually([&] { return mesh_.countLogLines(0, {"event=registry_changed", "nodes=4"}) > 0; }));
    pause(Millis(600));
    mesh_.setStoreFault({{"deafWatches", true}});
    mesh_.addRegistryEntry("second-to-join");
    for (int node = 0; node < 3; ++node) {
        CHECK(eventually(
            [&] {
                return mesh_.countLogLines(node, {"event=registry_changed", "nodes=5"}) > 0;
            },
            2 * dueAfterDisturbance));
    }
}

// Guards against a home that has evicted a booking and therefore reports that it never runs: it would run twice.
TEST_CASE("stale state, home that has evicted a booking, does not report that it never runs")
{
    MeshOptions options;
    options.services = {"other", "desk", "other"};
    options.proxies = true;
    options.timeoutMs = 20000;
    Mesh mesh(options);
    mesh.setLinkFault(1, {{"fromTarget", {{"hold", true}}}});
    unsigned status = 0;
    runConcurrently({[&] {
                         const auto response = mesh.send(0, "forgotten", "/seats/1", std::chrono::seconds(17));
                         status = response ? response->status : 0;
                     },
                     [&] {
                         pause(std::chrono::seconds(14));
                         mesh.setLinkFault(1, {{"fromTarget", {{"hold", false}}}, {"reset", true}});
                     }});
    CHECK(mesh.executions()["forgotten"] == 1);
    CHECK((status == 502 || status == 504));
}
