#include "tests/support/Mesh.h"

#include <csignal>
#include <doctest/doctest.h>

using namespace waxwing;
using namespace waxwing::testing;

// Nodes are replaced one by one. If WAXWING_OTHER_BUILD names an earlier build (tools/check-mixed), this build replaces
// it, and each build must read the stored data and the messages of the other. Otherwise, both are this build.

namespace {

constexpr int nodeCount = 3;
constexpr int serverCount = 6;

/** A fleet whose nodes are replaced one by one. */
class FleetUpgrade
{
protected:
    FleetUpgrade()
        : fleet_(options())
    { }

    static FleetOptions options()
    {
        FleetOptions out;
        out.upgrade = true;
        out.serversPerNode = serverCount / nodeCount;
        return out;
    }

    void replace(int node)
    {
        fleet_.node(node).signal(SIGTERM);
        REQUIRE(fleet_.node(node).waitForExit() == 0);
        fleet_.startNode(node);
        // The servers of this node moved to other homes when it stopped, and don't move back.
        const auto allServe = [this, node] {
            return fleet_.read(node, "started").status == 200 && fleet_.inService() == serverCount;
        };
        REQUIRE(eventually(allServe, std::chrono::seconds(20)));
    }

    Fleet fleet_;
};

class MeshUpgrade
{
protected:
    MeshUpgrade()
        : mesh_(options())
    { }

    static MeshOptions options()
    {
        MeshOptions out;
        out.upgrade = true;
        return out;
    }

    /** Sends a booking and a read to every node, and checks that each is served and runs once. */
    void serveAt(const std::string &prefix)
    {
        for (int node = 0; node < nodeCount; ++node) {
            for (const char *path : {"/seats/1", "/dates/1"}) {
                const std::string id = prefix + std::to_string(node) + path;
                const auto response = mesh_.send(node, id, path);
                REQUIRE(response);
                CHECK(response->status == 200);
                CHECK(mesh_.executions()[id] == 1);
            }
        }
    }

    Mesh mesh_;
};

class ScarceBudget
{
protected:
    ScarceBudget()
        : mesh_(options())
    { }

    /** A node uses three quarters of its equal part of the slack, less than the one token that a retry costs. */
    static MeshOptions options()
    {
        MeshOptions out;
        out.budgetRatio = 0.0;
        out.budgetSlack = 3;
        return out;
    }

    Mesh mesh_;
};

} // namespace

// Guards against a release that can't read the claims, tickets, keys or intents of the previous one. A booking that is
// resent after the upgrade would then run a second time or be reported as "unknown".
TEST_CASE_FIXTURE(FleetUpgrade, "upgrade, every node of a fleet replaced, keeps claims and tickets and intents")
{
    std::vector<std::string> used;
    std::vector<std::string> unused;
    for (int node = 0; node < nodeCount; ++node) {
        used.push_back(fleet_.ticket(node));
        unused.push_back(fleet_.ticket(node));
        CHECK(fleet_.book(node, "used-" + std::to_string(node), used.back()).outcome == "ran");
    }
    CHECK(fleet_.book(0, "own", "own-key").outcome == "ran");
    const nlohmann::json configBefore = fleet_.view(0, "/v1/config");
    for (int node = 0; node < nodeCount; ++node) {
        replace(node);
    }
    for (int node = 0; node < nodeCount; ++node) {
        const std::string number = std::to_string(node);
        for (int through = 0; through < nodeCount; ++through) {
            CHECK(fleet_.book(through, "used-" + number, used[static_cast<std::size_t>(node)]).outcome == "ran");
            CHECK(fleet_.book(through, "unused-" + number, unused[static_cast<std::size_t>(node)]).outcome == "ran");
            CHECK(fleet_.book(through, "own", "own-key").outcome == "ran");
            CHECK(fleet_.read(through, "read-" + number + std::to_string(through)).status == 200);
        }
    }
    for (const auto &execution : fleet_.executions()) {
        const std::string &id = execution.first;
        INFO("request " << id);
        CHECK((execution.second == 1 || id == "started"));
    }
    CHECK(eventually([&] { return fleet_.view(nodeCount - 1, "/v1/config") == configBefore; }));
}

// Guards against a release that can't read the registry entries or the configuration that the previous one stored, or
// its messages while nodes of both releases run.
TEST_CASE_FIXTURE(MeshUpgrade, "upgrade, nodes of a mesh replaced by stops and a kill, serve at every step")
{
    serveAt("before-");
    for (int node = 0; node < nodeCount; ++node) {
        // A killed node leaves its entry in the store, and its next process finds it there.
        if (node == nodeCount - 1) {
            mesh_.node(node).kill();
        } else {
            mesh_.node(node).signal(SIGTERM);
            REQUIRE(mesh_.node(node).waitForExit() == 0);
        }
        mesh_.startNode(node);
        REQUIRE(eventually([this] { return mesh_.allServing(); }, std::chrono::seconds(20)));
        serveAt("after-" + std::to_string(node) + "-");
    }
    mesh_.configure(2);
    for (int node = 0; node < nodeCount; ++node) {
        CHECK(eventually([&] { return mesh_.countLogLines(node, {"event=config_in_force", "version=2"}) == 1; }));
    }
}

// Guards against nodes that can't transfer tokens of the retry budget, within one build or between two: a lookup that
// fails at a gray server would be lost although the fleet as a whole may still retry it.
TEST_CASE_FIXTURE(ScarceBudget, "retry budget, node's own tokens cover no retry, takes tokens of other nodes")
{
    mesh_.setServerMode(0, {{"mode", "errors"}});
    const auto lookup = [this] {
        static int number = 0;
        const auto response = mesh_.send(0, "lookup-" + std::to_string(++number), "/dates/1");
        CHECK((response && response->status == 200));
        return mesh_.countLogLines(0, {"event=retry_requested ", "allowed=yes"}) > 0;
    };
    REQUIRE(eventually(lookup));
    // Another node transfers at most half of its own part.
    CHECK(mesh_.countLogLines(0, {"event=retry_budget_transferred", "received=0.375"}) > 0);
}
