#include "tests/support/Fleet.h"

#include <csignal>
#include <doctest/doctest.h>

using namespace waxwing;
using namespace waxwing::testing;

namespace {

/**
 * Sends bookings while @p faults runs, and resends each through other nodes until it has run, five times at most in
 * total. Checks that the last reported outcomes agree with the executions.
 */
void bookDuringFaults(Fleet &fleet, const std::string &name, const std::function<void()> &faults)
{
    constexpr int bookings = 36;
    constexpr int attempts = 5;
    std::map<std::string, std::string> reported;
    std::vector<std::function<void()>> tasks;
    tasks.reserve(maxTasks);
    for (int i = 0; i < bookings; ++i) {
        tasks.emplace_back([&, i] {
            pause(Millis(i * 30));
            const std::string id = name + "-" + std::to_string(i);
            const std::string key = i % 3 == 2 ? "own-" + id : fleet.ticket(i % 3);
            for (int attempt = 0; attempt < attempts && !key.empty(); ++attempt) {
                const CallResult result = fleet.book((i + attempt) % 3, id, key);
                // Without a response the outcome is unknown.
                reported[id] = result.outcome.empty() ? "unknown" : result.outcome;
                if (result.outcome == "ran") {
                    break;
                }
                pause(Millis(200));
            }
        });
    }
    tasks.emplace_back(faults);
    runConcurrently(tasks);
    const std::map<std::string, int> executions = fleet.executions();
    int ran = 0;
    for (const auto &entry : reported) {
        const auto found = executions.find(entry.first);
        const int count = found == executions.end() ? 0 : found->second;
        INFO(entry.first << " reported " << entry.second << " ran " << count);
        CHECK(count <= 1);
        CHECK((entry.second != "not-run" || count == 0));
        CHECK((entry.second != "ran" || count == 1));
        ran += count;
    }
    CHECK(ran > bookings / 3);
}

} // namespace

TEST_CASE("bookings, object API unreachable and a node killed, none runs twice")
{
    // The object API becomes unreachable, and shortly afterwards a VM is lost with bookings in flight. Callers resend
    // through the other nodes. Keys can't be looked up, and some tickets have no owner any more.
    FleetOptions options;
    options.workMs = 40;
    Fleet fleet(options);
    bookDuringFaults(fleet, "away-kill", [&] {
        pause(Millis(250));
        fleet.setApiFault({{"outage", true}});
        pause(Millis(250));
        fleet.node(2).kill();
        pause(Millis(800));
        fleet.setApiFault({{"outage", false}});
    });
}

TEST_CASE("bookings, a home suspended and a server killed, none runs twice")
{
    // A node is suspended while one of its servers dies, and resumes with old requests in its sockets.
    FleetOptions options;
    options.workMs = 40;
    Fleet fleet(options);
    bookDuringFaults(fleet, "freeze-kill", [&] {
        pause(Millis(300));
        fleet.node(1).signal(SIGSTOP);
        fleet.server("s1").kill();
        pause(Millis(1500));
        fleet.node(1).signal(SIGCONT);
        pause(Millis(500));
    });
}

TEST_CASE("bookings, a one-way network fault and a graceful stop, none runs twice")
{
    // Messages from node 0 don't reach the nodes that connected to it, while node 2 stops gracefully and hands over its
    // claims.
    FleetOptions options;
    options.workMs = 40;
    options.proxies = true;
    Fleet fleet(options);
    bookDuringFaults(fleet, "cut-stop", [&] {
        pause(Millis(300));
        fleet.setProxyFault(0, {{"fromTarget", {{"hold", true}}}});
        pause(Millis(200));
        fleet.node(2).signal(SIGTERM);
        pause(Millis(1500));
        fleet.setProxyFault(0, {{"fromTarget", {{"hold", false}}}});
        CHECK(fleet.node(2).waitForExit() == 0);
    });
}

TEST_CASE("server, responses to its home lost, bookings are unknown and run once and reads use other servers")
{
    // Requests reach the server, but its responses are lost; its announcements still arrive. The bookings sent to it
    // have run, so they must not be reported as "not-run", and readers must not wait for this server.
    FleetOptions options;
    options.proxyServer = true;
    Fleet fleet(options);
    fleet.setServerFault({{"fromTarget", {{"hold", true}}}});
    int unknown = 0;
    for (int i = 0; i < 4; ++i) {
        const std::string id = "cut-server-" + std::to_string(i);
        const CallResult result = fleet.book(0, id, fleet.ticket(0));
        const int count = fleet.executions()[id];
        CHECK(count == 1);
        CHECK(result.outcome != "not-run");
        unknown += result.outcome == "unknown" ? 1 : 0;
    }
    CHECK(unknown >= 1);
    for (int i = 0; i < 20; ++i) {
        CHECK(fleet.read(0, "beside-cut-" + std::to_string(i)).outcome == "ran");
    }
    fleet.setServerFault({{"fromTarget", {{"hold", false}}}});
}
