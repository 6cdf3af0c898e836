#include "tests/support/Fleet.h"

#include <csignal>
#include <doctest/doctest.h>
#include <fstream>

using namespace waxwing;
using namespace waxwing::testing;

namespace {

std::uint64_t revisionAt(Fleet &fleet, int node)
{
    const nlohmann::json config = fleet.view(node, "/v1/config");
    return config.is_object()
               ? config.value("course-desk", nlohmann::json::object()).value("revision", std::uint64_t(0))
               : 0;
}

} // namespace

TEST_CASE("configuration, node started without state during an outage, gets the newest from its peers")
{
    // Guards against a VM that is replaced while the store is down. If the new node waited for the store, it would
    // refuse callers for hours; if it started with no configuration in force, the accepted configuration would be lost.
    Fleet fleet;
    REQUIRE(fleet.ctl({"apply", fleet.intentsFile("400ms"), "--wait"}) == 0);
    const std::uint64_t accepted = revisionAt(fleet, 0);
    fleet.setApiFault({{"outage", true}});
    fleet.node(2).kill();
    fleet.startNode(2);
    CHECK(eventually([&] { return revisionAt(fleet, 2) == accepted; }));
    CHECK(eventually([&] { return fleet.read(2, "after-outage").outcome == "ran"; }));
    fleet.setApiFault({{"outage", false}});
}

TEST_CASE("configuration, two operators write at once, one succeeds and the other gets the difference")
{
    Fleet fleet;
    std::string mine;
    REQUIRE(fleet.ctl({"get"}, &mine) == 0);
    const std::string path = fleet.directory() + "/race.json";
    nlohmann::json document = nlohmann::json::parse(mine);
    document["services"]["course-desk"]["classes"]["booking"]["responseTime"] = "700ms";
    std::ofstream(path) << document.dump(2);
    REQUIRE(fleet.ctl({"apply", fleet.intentsFile("500ms")}) == 0);
    std::string output;
    CHECK(fleet.ctl({"apply", path}, &output) == 4);
    CHECK(output.find("responseTime") != std::string::npos);
    CHECK(output.find("500ms") != std::string::npos);
}

TEST_CASE("configuration, write whose response was lost, is found again and not written twice")
{
    Fleet fleet;
    const std::uint64_t before = revisionAt(fleet, 0);
    // Without the kind, a node's write of its pledge could be the one whose response is lost.
    fleet.setApiFault({{"loseAnswers", 1}, {"loseAnswersKind", "service"}});
    std::string output;
    CHECK(fleet.ctl({"apply", fleet.intentsFile("450ms"), "--wait"}, &output) == 0);
    INFO(output);
    CHECK(output.find("operation id") != std::string::npos);
    CHECK(revisionAt(fleet, 2) > before);
    CHECK(fleet.ctl({"apply", fleet.intentsFile("450ms")}, &output) == 0);
    CHECK(output.find("unchanged") != std::string::npos);
}

TEST_CASE("configuration, one node suspended, apply --wait names it")
{
    Fleet fleet;
    fleet.node(2).signal(SIGSTOP);
    std::string output;
    CHECK(fleet.ctl({"apply", fleet.intentsFile("350ms"), "--wait", "--timeout", "2s"}, &output) == 6);
    CHECK(output.find("n2") != std::string::npos);
    fleet.node(2).signal(SIGCONT);
    CHECK(fleet.ctl({"apply", fleet.intentsFile("350ms"), "--wait"}, &output) == 0);
}

TEST_CASE("intents, weights and addresses and other faults, are all reported with their locations")
{
    Fleet fleet;
    const std::string path = fleet.directory() + "/bad.json";
    std::ofstream(path) << R"({"services": {"course-desk": {"classes": {"booking": {
        "routes": [{"prefix": "bookings", "weight": 3}], "responseTime": "soon", "address": "10.0.0.1"}}}}})";
    std::string output;
    CHECK(fleet.ctl({"apply", path}, &output) == 3);
    for (const char *place : {"/routes/0/weight", "/routes/0/prefix", "/responseTime", "/address", "/idempotent"}) {
        INFO(place);
        CHECK(output.find(place) != std::string::npos);
    }
    std::ofstream(path) << "{\n \"services\": {,}\n}";
    CHECK(fleet.ctl({"check", path}, &output) == 3);
    CHECK(output.find(":2:") != std::string::npos);
}
