#include "include/fleet/FleetConfig.h"
#include "include/fleet/LinkDelayEstimator.h"
#include "include/fleet/NodeRegistry.h"
#include "include/fleet/WeightedRoundRobin.h"

#include <doctest/doctest.h>

#include <map>

using namespace waxwing;

namespace {

Route route(const std::string &name, const std::string &host, const std::string &prefix)
{
    Route out;
    out.name = name;
    out.host = host;
    out.prefix = prefix;
    out.services = {WeightedService{"desk", 1}};
    return out;
}

RegistryEntry entry(const std::string &id, std::uint64_t revision, const std::string &service = "desk")
{
    return RegistryEntry{id, Endpoint{"127.0.0.1", 7000}, "z1", "r1", service, revision};
}

} // namespace

TEST_CASE("fleet configuration, several prefixes that fit, takes the longest")
{
    FleetConfig config;
    config.addRoute(route("short", "desk.example", "/a/"));
    config.addRoute(route("long", "desk.example", "/a/b/"));
    REQUIRE(config.routeFor("desk.example", "/a/b/c?x=/z/") != nullptr);
    CHECK(config.routeFor("desk.example", "/a/b/c?x=/z/")->name == "long");
    CHECK(config.routeFor("desk.example", "/a/bc")->name == "short");
    CHECK(config.routeFor("desk.example", "/b/") == nullptr);
    CHECK(config.routeFor("other.example", "/a/") == nullptr);
    CHECK(config.routeCount() == 2);
}

TEST_CASE("fleet configuration, host in other letters or with a port, is the same host")
{
    FleetConfig config;
    config.addRoute(route("one", "Desk.Example", "/a/"));
    CHECK(config.routeFor("desk.example:8080", "/a/1") != nullptr);
    CHECK(config.routeFor("[::1]", "/a/1") == nullptr);
}

TEST_CASE("part picker, any run of requests, keeps each part within one request of its weight")
{
    Route split = route("split", "h", "/");
    split.services = {WeightedService{"old", 90}, WeightedService{"new", 10}};
    WeightedRoundRobin picker;
    std::map<std::string, int> counts;
    for (int i = 1; i <= 300; ++i) {
        ++counts[picker.pick(split)];
        CHECK(std::abs(counts["new"] - i * 0.1) <= 1.0);
    }
}

TEST_CASE("roster, entries in any order of arrival, ends with the newest of each")
{
    NodeRegistry registry;
    CHECK(registry.put(entry("n1", 7, "new")));
    CHECK_FALSE(registry.put(entry("n1", 5, "old")));
    CHECK(registry.find("n1")->service == "new");
    CHECK_FALSE(registry.remove("n1", 6));
    CHECK(registry.remove("n1", 8));
    CHECK(registry.revision() == 8);
}

TEST_CASE("roster, full list from a replica that is behind, does not bring back what was removed")
{
    NodeRegistry registry;
    REQUIRE(registry.replace({entry("n1", 3), entry("n2", 4)}, 10));
    REQUIRE(registry.remove("n2", 12));
    CHECK_FALSE(registry.replace({entry("n1", 3), entry("n2", 4)}, 11));
    CHECK(registry.homesOf("desk").size() == 1);
}

// Guards against a node that has written its own entry and from then on refuses lists with nodes that it has not seen.
TEST_CASE("roster, own entry written after the last list, still takes a newer list that is older than the entry")
{
    NodeRegistry registry;
    REQUIRE(registry.replace({entry("n1", 3)}, 10));
    REQUIRE(registry.putOwn(entry("self", 30)));
    CHECK(registry.revision() == 10);
    CHECK(registry.replace({entry("n1", 3), entry("n2", 20)}, 25));
    CHECK(registry.find("n2").get() != nullptr);
    CHECK(registry.find("self").get() != nullptr);
    CHECK(registry.replace({entry("n1", 3), entry("n2", 20)}, 31));
    CHECK(registry.find("self").get() == nullptr);
}

TEST_CASE("transit meter, work held up by a cut, is told as late when the cut heals")
{
    // A booking is sent over a link that has just been cut. Its sender hears nothing, learns through a third node that
    // it has not run, and has it run at another home. Twelve seconds later the cut heals and the link delivers it: run
    // again, the firm would be billed twice.
    LinkDelayEstimator meter;
    CHECK(meter.excessDelay(Millis(1000), Millis(997)) == Millis(0));
    CHECK(meter.excessDelay(Millis(14000), Millis(2000)) >= Millis(11900));
    CHECK(meter.excessDelay(Millis(15000), Millis(14997)) == Millis(0));
}

TEST_CASE("transit meter, link whose greeting was late itself, does not take that for its own delay")
{
    LinkDelayEstimator meter;
    CHECK(meter.excessDelay(Millis(9000), Millis(1000)) >= Millis(7000));
}

TEST_CASE("transit meter, slow link, counts its usual delay as none")
{
    LinkDelayEstimator meter;
    CHECK(meter.excessDelay(Millis(1062), Millis(1000)) == Millis(0));
    CHECK(meter.excessDelay(Millis(2092), Millis(2000)) == Millis(30));
}
