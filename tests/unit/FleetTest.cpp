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

TEST_CASE("fleet configuration, several matching prefixes, uses the longest")
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

TEST_CASE("fleet configuration, host in another case or with a port, is the same host")
{
    FleetConfig config;
    config.addRoute(route("one", "Desk.Example", "/a/"));
    CHECK(config.routeFor("desk.example:8080", "/a/1") != nullptr);
    CHECK(config.routeFor("[::1]", "/a/1") == nullptr);
}

TEST_CASE("weighted round robin, any number of requests, keeps each service within one request of its share")
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

TEST_CASE("node registry, entries in any order of arrival, keeps the newest of each")
{
    NodeRegistry registry;
    CHECK(registry.put(entry("n1", 7, "new")));
    CHECK_FALSE(registry.put(entry("n1", 5, "old")));
    CHECK(registry.find("n1")->service == "new");
    CHECK_FALSE(registry.remove("n1", 6));
    CHECK(registry.remove("n1", 8));
    CHECK(registry.revision() == 8);
}

TEST_CASE("node registry, full list from a stale replica, does not restore removed entries")
{
    NodeRegistry registry;
    REQUIRE(registry.replace({entry("n1", 3), entry("n2", 4)}, 10));
    REQUIRE(registry.remove("n2", 12));
    CHECK_FALSE(registry.replace({entry("n1", 3), entry("n2", 4)}, 11));
    CHECK(registry.homesOf("desk").size() == 1);
}

// Guards against a node that writes its own entry and then refuses lists with nodes that it has not seen.
TEST_CASE(
    "node registry, own entry written after the last list, still accepts a newer list that is older than the entry")
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

TEST_CASE("link delay estimator, work delayed by a cut, reports the delay when the cut heals")
{
    // Guards against a request that runs twice. A booking is written to a link that has just been cut. Its sender gets
    // no ack, learns through a third node that the booking has not run, and has it run at another home. Twelve seconds
    // later the cut heals and the link delivers the booking: if it ran again, the company would be billed twice.
    LinkDelayEstimator estimator;
    CHECK(estimator.excessDelay(Millis(1000), Millis(997)) == Millis(0));
    CHECK(estimator.excessDelay(Millis(14000), Millis(2000)) >= Millis(11900));
    CHECK(estimator.excessDelay(Millis(15000), Millis(14997)) == Millis(0));
}

TEST_CASE("link delay estimator, link whose Hello was itself delayed, does not count that as base delay")
{
    LinkDelayEstimator estimator;
    CHECK(estimator.excessDelay(Millis(9000), Millis(1000)) >= Millis(7000));
}

TEST_CASE("link delay estimator, slow link, reports no excess at its usual delay")
{
    LinkDelayEstimator estimator;
    CHECK(estimator.excessDelay(Millis(1062), Millis(1000)) == Millis(0));
    CHECK(estimator.excessDelay(Millis(2092), Millis(2000)) == Millis(30));
}
