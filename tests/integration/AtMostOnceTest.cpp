#include "tests/support/Fleet.h"

#include <csignal>
#include <doctest/doctest.h>

using namespace waxwing;
using namespace waxwing::testing;

namespace {

/**
 * Checks the executions of the servers: no request ran twice, one last reported as "not-run" never ran, and one last
 * reported as "ran" ran once.
 */
void checkExecutions(const Fleet &fleet, const std::map<std::string, std::string> &lastOutcomes)
{
    const std::map<std::string, int> executions = fleet.executions();
    for (const auto &reported : lastOutcomes) {
        const std::string &id = reported.first;
        const std::string &outcome = reported.second;
        const auto found = executions.find(id);
        const int count = found == executions.end() ? 0 : found->second;
        INFO("request " << id << " reported " << outcome);
        CHECK(count <= 1);
        if (outcome == "not-run") {
            CHECK(count == 0);
        }
        if (outcome == "ran") {
            CHECK(count == 1);
        }
    }
}

} // namespace

TEST_CASE("fleet, request through each of three nodes, gets the complete response")
{
    Fleet fleet;
    for (int node = 0; node < 3; ++node) {
        const std::string id = "whole-" + std::to_string(node);
        const CallResult result = fleet.read(node, id);
        CHECK(result.status == 200);
        CHECK(result.outcome == "ran");
        CHECK(result.body.find("\"" + id + "\"") != std::string::npos);
    }
}

TEST_CASE("booking, same ticket or own key sent through every node, runs once")
{
    // Guards against a second execution when a client times out and resends its booking through another node: every
    // attempt must return the result of the first one.
    Fleet fleet;
    const std::string ticket = fleet.ticket(0);
    for (const std::string &key : {ticket, std::string("own-key-1")}) {
        const std::string id = "resent-" + std::to_string(key == ticket);
        for (int node = 0; node < 3; ++node) {
            const CallResult result = fleet.book(node, id, key);
            CHECK(result.outcome == "ran");
            CHECK(result.status == 200);
        }
        CHECK(fleet.executions()[id] == 1);
        const CallResult other = fleet.book(1, "other", key, "another seat");
        CHECK(other.status == 422);
        CHECK(other.reason == "other-request");
    }
}

TEST_CASE("booking, node killed while many run, no key runs twice")
{
    // A node is killed with bookings in flight, and the callers resend them through the other nodes at once. Bookings
    // with a ticket of the killed node may have run: they must be reported as "unknown" and never run again.
    FleetOptions options;
    options.workMs = 60;
    Fleet fleet(options);
    std::map<std::string, std::string> reported;
    std::vector<std::function<void()>> tasks;
    tasks.reserve(maxTasks);
    for (int i = 0; i < 60; ++i) {
        tasks.emplace_back([&, i] {
            const std::string id = "killed-" + std::to_string(i);
            const std::string key = i % 2 == 0 ? fleet.ticket(i % 3) : "own-" + std::to_string(i);
            pause(Millis(i * 8));
            for (int attempt = 0; attempt < 4; ++attempt) {
                const CallResult result = fleet.book((i + attempt) % 3, id, key);
                reported[id] = result.outcome.empty() ? "unknown" : result.outcome;
                if (result.outcome == "ran") {
                    break;
                }
                pause(Millis(150));
            }
        });
    }
    tasks.emplace_back([&] {
        pause(Millis(250));
        fleet.node(1).kill();
    });
    runConcurrently(tasks);
    checkExecutions(fleet, reported);
    int attempts = 0;
    // New work with tickets of live nodes is refused only until the other nodes have detected that the node is down.
    CHECK(eventually(
        [&] { return fleet.book(0, "fresh-" + std::to_string(++attempts), fleet.ticket(0)).outcome == "ran"; }));
}

TEST_CASE("booking, server killed while it runs, is reported unknown and never sent to another server")
{
    // The server is killed after it received the booking, so it is unknown whether the booking ran. The booking must
    // not be reported as "not-run", and no second server may receive it.
    FleetOptions options;
    options.workMs = 300;
    Fleet fleet(options);
    CallResult first;
    CallResult second;
    const std::string ticket = fleet.ticket(0);
    runConcurrently({[&] { first = fleet.book(0, "dies", ticket); },
                     [&] {
                         pause(Millis(120));
                         for (const std::string &name : {std::string("s0"), std::string("s3")}) {
                             fleet.server(name).kill();
                         }
                     }});
    second = fleet.book(2, "dies", ticket);
    CHECK(first.outcome == "unknown");
    CHECK(second.outcome == "unknown");
    CHECK(second.reason == "in-doubt");
    CHECK(fleet.executions()["dies"] == 1);
}

TEST_CASE("booking, home suspended past the deadline and resumed, runs at most once")
{
    // A VM is suspended with a booking in its socket buffer. The caller times out and resends through other nodes; then
    // the VM resumes and reads the old request. There must be no second execution, because only the ticket's owner may
    // run it.
    Fleet fleet;
    const std::string suspendedTicket = fleet.ticket(1);
    const std::string liveTicket = fleet.ticket(0);
    std::map<std::string, std::string> reported;
    fleet.node(1).signal(SIGSTOP);
    std::vector<std::function<void()>> tasks;
    tasks.reserve(maxTasks);
    for (int i = 0; i < 6; ++i) {
        tasks.emplace_back([&, i] {
            const std::string id = i % 2 == 0 ? "frozen-owner" : "frozen-home";
            const CallResult result = fleet.book(i % 2 == 0 ? 2 : 0, id, i % 2 == 0 ? suspendedTicket : liveTicket);
            if (!result.outcome.empty()) {
                reported[id] = result.outcome;
            }
        });
    }
    runConcurrently(tasks);
    fleet.node(1).signal(SIGCONT);
    pause(Millis(1500));
    for (int node = 0; node < 3; ++node) {
        fleet.book(node, "frozen-owner", suspendedTicket);
        fleet.book(node, "frozen-home", liveTicket);
    }
    const std::map<std::string, int> executions = fleet.executions();
    for (const auto &[id, count] : executions) {
        CHECK(count <= 1);
    }
    CHECK(reported["frozen-owner"] == "unknown");
}

TEST_CASE("booking, replies between nodes lost in one direction, runs at most once and is not reported not-run")
{
    // Node 0 receives nothing from node 1, although node 1 receives what node 0 sends. The booking runs at node 1 and
    // its reply is lost. The caller must get "unknown", and a resend must not run the booking again.
    FleetOptions options;
    options.proxies = true;
    Fleet fleet(options);
    const std::string ticket = fleet.ticket(1);
    fleet.setProxyFault(1, {{"fromTarget", {{"hold", true}}}});
    const CallResult first = fleet.book(0, "one-way", ticket);
    CHECK(first.outcome == "unknown");
    fleet.setProxyFault(1, {{"fromTarget", {{"hold", false}}}});
    CallResult again;
    CHECK(eventually(
        [&] {
            again = fleet.book(0, "one-way", ticket);
            return again.outcome == "ran";
        },
        std::chrono::seconds(15)));
    CHECK(fleet.executions()["one-way"] == 1);
}

TEST_CASE("calendar, responses truncated or reset, are not returned as complete")
{
    // A gray server closes connections in the middle of responses. Guards against a truncated response that is returned
    // as complete: a caller that sees half of a calendar could book a course that is full.
    Fleet fleet;
    fleet.setServerMode("s0", {{"mode", "cut"}});
    fleet.setServerMode("s3", {{"mode", "reset"}});
    int complete = 0;
    for (int i = 0; i < 40; ++i) {
        const std::string id = "cut-" + std::to_string(i);
        const CallResult result = fleet.read(0, id);
        if (result.status == 200) {
            const nlohmann::json body = nlohmann::json::parse(result.body, nullptr, false);
            CHECK(body.is_object());
            CHECK(body.value("request", "") == id);
            ++complete;
        } else {
            CHECK(result.outcome != "ran");
        }
    }
    CHECK(complete >= 35);
}

TEST_CASE("booking, object API unreachable, tickets work and own keys are not reported not-run")
{
    // Bookings with tickets continue during an outage of the object API. A caller's own key can't be looked up then, so
    // it is unknown whether an earlier attempt ran, and the booking must not be reported as "not-run".
    Fleet fleet;
    fleet.setApiFault({{"outage", true}});
    CHECK(fleet.book(0, "away-ticket", fleet.ticket(0)).outcome == "ran");
    const CallResult own = fleet.book(0, "away-own", "own-away");
    CHECK(own.outcome == "unknown");
    CHECK(own.reason == "key-store-away");
    CHECK_FALSE(headerValue(own.headers, "Retry-After").empty());
    fleet.setApiFault({{"outage", false}});
    CHECK(eventually([&] { return fleet.book(1, "away-own", "own-away").outcome == "ran"; }));
    CHECK(fleet.executions()["away-own"] == 1);
}

TEST_CASE("booking, write of its key took effect but the response was lost, runs once")
{
    Fleet fleet;
    fleet.setApiFault({{"loseAnswers", 1}, {"loseAnswersKind", "key"}});
    CHECK(fleet.book(0, "lost-write", "own-lost").outcome == "ran");
    CHECK(fleet.book(2, "lost-write", "own-lost").outcome == "ran");
    CHECK(fleet.executions()["lost-write"] == 1);
}
