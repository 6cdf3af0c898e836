#include "tests/support/Fleet.h"

#include <csignal>
#include <doctest/doctest.h>

using namespace waxwing;
using namespace waxwing::testing;

TEST_CASE("node, graceful shutdown under load, breaks no request and hands over its claims")
{
    // A VM is replaced under load. No caller may see a broken connection, a booking made through this node must be
    // found through another one, and its servers must continue to serve from other homes.
    FleetOptions options;
    options.workMs = 30;
    Fleet fleet(options);
    const std::string used = fleet.ticket(1);
    const std::string unused = fleet.ticket(1);
    CHECK(fleet.book(1, "before-stop", used).outcome == "ran");
    std::map<std::string, int> seen;
    std::vector<std::function<void()>> tasks;
    tasks.reserve(maxTasks);
    for (int i = 0; i < 120; ++i) {
        tasks.emplace_back([&, i] {
            pause(Millis(i * 10));
            const CallResult result = fleet.read(i % 2 == 0 ? 0 : 2, "stop-" + std::to_string(i));
            ++seen[result.outcome + "/" + result.reason];
        });
    }
    int code = -1;
    tasks.emplace_back([&] {
        pause(Millis(300));
        fleet.node(1).signal(SIGTERM);
        code = fleet.node(1).waitForExit();
    });
    runConcurrently(tasks);
    CHECK(code == 0);
    for (const auto &one : seen) {
        const std::string &outcome = one.first;
        INFO(outcome << " " << one.second);
        CHECK(outcome == "ran/");
    }
    CHECK(fleet.book(2, "before-stop", used).outcome == "ran");
    CHECK(fleet.executions()["before-stop"] == 1);
    CHECK(fleet.book(0, "after-stop", unused).outcome == "ran");
    CHECK(fleet.book(2, "after-stop", unused).outcome == "ran");
    CHECK(fleet.executions()["after-stop"] == 1);
    CHECK(eventually([&] { return fleet.inService() == 6; }));
}

TEST_CASE("server, draining, stops receiving work within two seconds and finishes its own")
{
    FleetOptions options;
    options.workMs = 20;
    Fleet fleet(options);
    bool stop = false;
    std::map<std::string, int> seen;
    std::vector<std::function<void()>> tasks;
    tasks.reserve(maxTasks);
    for (int client = 0; client < 6; ++client) {
        tasks.emplace_back([&, client] {
            int i = 0;
            while (!stop) {
                ++i;
                const CallResult result =
                    fleet.read(client % 3, "drain-" + std::to_string(client) + "-" + std::to_string(i));
                ++seen[result.outcome + "/" + result.reason];
            }
        });
    }
    int code = -1;
    tasks.emplace_back([&] {
        pause(Millis(400));
        fleet.server("s0").signal(SIGTERM);
        code = fleet.server("s0").waitForExit();
        pause(Millis(500));
        stop = true;
    });
    runConcurrently(tasks);
    CHECK(code == 0);
    CHECK(seen.size() == 1);
    CHECK(seen.count("ran/") == 1);
}

TEST_CASE("server, suspended so that its announcements stop, receives no new work after two seconds")
{
    // A server stops sending announcements, as when its VM is lost. That alone must make its home stop using it.
    Fleet fleet;
    fleet.server("s0").signal(SIGSTOP);
    pause(Millis(2300));
    const nlohmann::json status = fleet.view(0, "/v1/status");
    for (const nlohmann::json &server : status["homeOf"]["course-desk"]["servers"]) {
        if (server["server"] == "s0") {
            CHECK_FALSE(server["present"].get<bool>());
        }
    }
    for (int i = 0; i < 20; ++i) {
        const CallResult result = fleet.read(0, "frozen-" + std::to_string(i));
        CHECK(result.outcome == "ran");
        CHECK(result.body.find("\"server\":\"s0\"") == std::string::npos);
    }
    fleet.server("s0").signal(SIGCONT);
}
