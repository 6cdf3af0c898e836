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

/** Readers at every node until @p stop. */
void addReaders(Fleet &fleet, std::vector<std::function<void()>> &bodies, const bool &stop,
                std::map<std::string, int> &seen)
{
    for (int client = 0; client < 9; ++client) {
        bodies.emplace_back([&, client] {
            int i = 0;
            while (!stop) {
                ++i;
                const CallResult answer = fleet.read(client % 3, std::to_string(client) + "-" + std::to_string(i));
                ++seen[answer.outcome];
                pause(Millis(10));
            }
        });
    }
}

} // namespace

TEST_CASE("server, stalls while its health endpoint is well, leaves service and returns when it is well again")
{
    // Story: an inspector waits at the door while a server holds every lookup it gets. Its health check is fine; only
    // the real requests show it. It must go, its requests must be answered elsewhere, and it must come back later.
    Fleet fleet;
    bool stop = false;
    std::map<std::string, int> seen;
    std::vector<std::function<void()>> bodies;
    bodies.reserve(maxTasks);
    addReaders(fleet, bodies, stop, seen);
    bool left = false;
    bool returned = false;
    bodies.emplace_back([&] {
        pause(Millis(500));
        fleet.setServerMode("s0", {{"mode", "stall"}});
        left = eventually([&] { return serverView(fleet, 0, "s0").value("phase", "") == "ejected"; });
        fleet.setServerMode("s0", {{"mode", "ok"}});
        returned = eventually([&] { return serverView(fleet, 0, "s0").value("phase", "") == "in-service"; },
                              std::chrono::seconds(20));
        stop = true;
    });
    runConcurrently(bodies);
    CHECK(left);
    CHECK(returned);
    CHECK(seen["ran"] > 100);
    CHECK(seen["ran"] >= 49 * (seen["unknown"] + seen["not-run"] + seen[""]));
    std::string output;
    CHECK(fleet.ctl({"explain", "s0"}, &output) == 0);
    CHECK(output.find("server_ejected") != std::string::npos);
    CHECK(output.find("suspicion=") != std::string::npos);
}

TEST_CASE("floor, more sick servers than it allows, keeps the floor in service")
{
    // Story: three of six servers stall at once and the floor is five. One may go; the others must stay, because an
    // enrolment desk with too few servers turns learners away. The system says that it kept them and why.
    FleetOptions options;
    options.floor = "5 servers";
    Fleet fleet(options);
    bool stop = false;
    int least = 6;
    std::map<std::string, int> seen;
    std::vector<std::function<void()>> bodies;
    bodies.reserve(maxTasks);
    addReaders(fleet, bodies, stop, seen);
    bodies.emplace_back([&] {
        for (const char *name : {"s0", "s1", "s2"}) {
            fleet.setServerMode(name, {{"mode", "stall"}});
        }
        for (int i = 0; i < 50; ++i) {
            least = std::min(least, fleet.inService());
            pause(Millis(100));
        }
        stop = true;
    });
    runConcurrently(bodies);
    CHECK(least >= 5);
}

TEST_CASE("poison request, resent through every node, ends two servers at most and is refused at once")
{
    // Story: one certificate lookup crashes each server that runs it and its caller keeps sending it. After the second
    // crash no server may get it; the caller is told so finally, and other callers notice nothing.
    Fleet fleet;
    const HttpRequest poison{"GET", "/sessions/ends-the-server", {}, {}};
    CallResult last;
    for (int i = 0; i < 6; ++i) {
        last = fleet.send(i % 3, poison);
        pause(Millis(50));
    }
    int dead = 0;
    for (const std::string &name : fleet.serverNames()) {
        dead += fleet.server(name).running() ? 0 : 1;
    }
    CHECK(dead == 2);
    CHECK(last.status == 422);
    CHECK(last.reason == "request-ends-servers");
    CHECK(headerValue(last.headers, "Retry-After").empty());
    for (int i = 0; i < 10; ++i) {
        CHECK(fleet.read(i % 3, "after-poison-" + std::to_string(i)).outcome == "ran");
    }
}

TEST_CASE("shedding server, says that it did not run the work, is not held to be sick")
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
