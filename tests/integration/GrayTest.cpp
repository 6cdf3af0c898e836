#include "tests/support/Fleet.h"

#include <csignal>
#include <doctest/doctest.h>

using namespace waxwing;
using namespace waxwing::testing;

namespace {

nlohmann::json serverView(Fleet &fleet, int node, const std::string &name)
{
    const nlohmann::json status = fleet.view(node, "/v1/status");
    for (const nlohmann::json &server : status["homeOf"]["course-desk"]["servers"]) {
        if (server["server"] == name) {
            return server;
        }
    }
    return nlohmann::json::object();
}

/** Adds clients that read through every node until @p stop is set. */
void addReaders(Fleet &fleet, std::vector<std::function<void()>> &tasks, const bool &stop,
                std::map<std::string, int> &seen)
{
    for (int client = 0; client < 9; ++client) {
        tasks.emplace_back([&, client] {
            int i = 0;
            while (!stop) {
                ++i;
                const CallResult result = fleet.read(client % 3, std::to_string(client) + "-" + std::to_string(i));
                ++seen[result.outcome];
                pause(Millis(10));
            }
        });
    }
}

} // namespace

TEST_CASE("server, stalls while its health checks pass, is ejected and returns after it recovers")
{
    // A server stalls every lookup that it receives while its health check passes; only real requests show the failure.
    // It must be ejected, its requests must be served by others, and it must return to service after it recovers.
    Fleet fleet;
    bool stop = false;
    std::map<std::string, int> seen;
    std::vector<std::function<void()>> tasks;
    tasks.reserve(maxTasks);
    addReaders(fleet, tasks, stop, seen);
    bool ejected = false;
    bool returned = false;
    tasks.emplace_back([&] {
        pause(Millis(500));
        fleet.setServerMode("s0", {{"mode", "stall"}});
        ejected = eventually([&] { return serverView(fleet, 0, "s0").value("phase", "") == "ejected"; });
        fleet.setServerMode("s0", {{"mode", "ok"}});
        returned = eventually([&] { return serverView(fleet, 0, "s0").value("phase", "") == "in-service"; },
                              std::chrono::seconds(20));
        stop = true;
    });
    runConcurrently(tasks);
    CHECK(ejected);
    CHECK(returned);
    CHECK(seen["ran"] > 100);
    CHECK(seen["ran"] >= 49 * (seen["unknown"] + seen["not-run"] + seen[""]));
    std::string output;
    CHECK(fleet.ctl({"explain", "s0"}, &output) == 0);
    CHECK(output.find("server_ejected") != std::string::npos);
    CHECK(output.find("suspicion=") != std::string::npos);
}

TEST_CASE("floor, more unhealthy servers than may be ejected, keeps the floor in service")
{
    // Three of six servers stall at once, and the floor is five servers. One may be ejected. The others must stay,
    // since a service with too few servers refuses requests. The node also reports that it kept them and why,
    // which is not checked here.
    FleetOptions options;
    options.floor = "5 servers";
    Fleet fleet(options);
    bool stop = false;
    int minInService = 6;
    std::map<std::string, int> seen;
    std::vector<std::function<void()>> tasks;
    tasks.reserve(maxTasks);
    addReaders(fleet, tasks, stop, seen);
    tasks.emplace_back([&] {
        for (const char *name : {"s0", "s1", "s2"}) {
            fleet.setServerMode(name, {{"mode", "stall"}});
        }
        for (int i = 0; i < 50; ++i) {
            minInService = std::min(minInService, fleet.inService());
            pause(Millis(100));
        }
        stop = true;
    });
    runConcurrently(tasks);
    CHECK(minInService >= 5);
}

TEST_CASE("poison request, retried through every node, crashes two servers at most and is refused at once")
{
    // One lookup crashes each server that runs it, and its caller keeps retrying it. After the second crash no server
    // may receive it: the caller gets a final refusal, and other callers are not affected.
    Fleet fleet;
    const HttpRequest poison{"GET", "/sessions/ends-the-server", {}, {}};
    CallResult last;
    for (int i = 0; i < 6; ++i) {
        last = fleet.send(i % 3, poison);
        pause(Millis(50));
    }
    int crashed = 0;
    for (const std::string &name : fleet.serverNames()) {
        crashed += fleet.server(name).running() ? 0 : 1;
    }
    CHECK(crashed == 2);
    CHECK(last.status == 422);
    CHECK(last.reason == "request-ends-servers");
    CHECK(headerValue(last.headers, "Retry-After").empty());
    for (int i = 0; i < 10; ++i) {
        CHECK(fleet.read(i % 3, "after-poison-" + std::to_string(i)).outcome == "ran");
    }
}

TEST_CASE("shedding server, reports that it did not run the work, is not ejected")
{
    Fleet fleet;
    fleet.setServerMode("s0", {{"mode", "shed"}});
    for (int i = 0; i < 60; ++i) {
        CHECK(fleet.book(0, "shed-" + std::to_string(i), "").outcome != "unknown");
    }
    CHECK(serverView(fleet, 0, "s0").value("phase", "") != "ejected");
    for (const auto &[id, count] : fleet.executions()) {
        CHECK(count == 1);
    }
}
