#include "tests/support/Fleet.h"

#include <csignal>
#include <doctest/doctest.h>

using namespace waxwing;
using namespace waxwing::testing;

namespace {

/** Judges the ledgers: no key twice, and nothing that was last told "not run" stands in one. */
void checkExecutions(const Fleet &fleet, const std::map<std::string, std::string> &lastOutcomes)
{
    const std::map<std::string, int> executions = fleet.executions();
    for (const auto &told : lastOutcomes) {
        const std::string &id = told.first;
        const std::string &outcome = told.second;
        const auto found = executions.find(id);
        const int count = found == executions.end() ? 0 : found->second;
        INFO("request " << id << " told " << outcome);
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

TEST_CASE("fleet, three nodes, a request through each comes back whole")
{
    Fleet fleet;
    for (int node = 0; node < 3; ++node) {
        const std::string id = "whole-" + std::to_string(node);
        const CallResult answer = fleet.read(node, id);
        CHECK(answer.status == 200);
        CHECK(answer.outcome == "ran");
        CHECK(answer.body.find("\"" + id + "\"") != std::string::npos);
    }
}

TEST_CASE("booking, same ticket or own key sent through every node, runs once")
{
    // Story: an office manager's client times out and sends its booking again, to whichever node it finds. Each copy
    // must be told of the one seat that was booked.
    Fleet fleet;
    const std::string ticket = fleet.ticket(0);
    for (const std::string &key : {ticket, std::string("own-key-1")}) {
        const std::string id = "resent-" + std::to_string(key == ticket);
        for (int node = 0; node < 3; ++node) {
            const CallResult answer = fleet.book(node, id, key);
            CHECK(answer.outcome == "ran");
            CHECK(answer.status == 200);
        }
        CHECK(fleet.executions()[id] == 1);
        const CallResult other = fleet.book(1, "other", key, "another seat");
        CHECK(other.status == 422);
        CHECK(other.reason == "other-request");
    }
}

TEST_CASE("booking, node killed while many run, no key runs twice")
{
    // Story: a node dies with bookings under way, and the callers send them again through the other nodes at once.
    // Those whose ticket the dead node had minted may have run: they are told "unknown" and never run again.
    FleetOptions options;
    options.workMs = 60;
    Fleet fleet(options);
    std::map<std::string, std::string> told;
    std::vector<std::function<void()>> bodies;
    bodies.reserve(maxTasks);
    for (int i = 0; i < 60; ++i) {
        bodies.emplace_back([&, i] {
            const std::string id = "killed-" + std::to_string(i);
            const std::string key = i % 2 == 0 ? fleet.ticket(i % 3) : "own-" + std::to_string(i);
            pause(Millis(i * 8));
            for (int attempt = 0; attempt < 4; ++attempt) {
                const CallResult answer = fleet.book((i + attempt) % 3, id, key);
                told[id] = answer.outcome.empty() ? "unknown" : answer.outcome;
                if (answer.outcome == "ran") {
                    break;
                }
                pause(Millis(150));
            }
        });
    }
    bodies.emplace_back([&] {
        pause(Millis(250));
        fleet.node(1).kill();
    });
    runConcurrently(bodies);
    checkExecutions(fleet, told);
    int fresh = 0;
    // Fresh work after the kill, with tickets of live nodes, is refused no longer than the fleet takes to notice.
    CHECK(eventually(
        [&] { return fleet.book(0, "fresh-" + std::to_string(++fresh), fleet.ticket(0)).outcome == "ran"; }));
}

TEST_CASE("booking, server killed or resetting while it works, is told unknown and never sent on")
{
    // Story: the records server dies after it took the booking. Nobody knows whether the seat was taken, so the caller
    // must not be told that it was not, and no second server may get it.
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

TEST_CASE("booking, home frozen past the deadline and woken, runs at most once")
{
    // Story: a VM stalls with a booking in its socket buffer. Its caller gives up and resends through other nodes. When
    // the VM wakes it finds the old request. Only the ticket's owner may run it, so there can't be a second run.
    Fleet fleet;
    const std::string frozenTicket = fleet.ticket(1);
    const std::string liveTicket = fleet.ticket(0);
    std::map<std::string, std::string> told;
    fleet.node(1).signal(SIGSTOP);
    std::vector<std::function<void()>> bodies;
    bodies.reserve(maxTasks);
    for (int i = 0; i < 6; ++i) {
        bodies.emplace_back([&, i] {
            const std::string id = i % 2 == 0 ? "frozen-owner" : "frozen-home";
            const CallResult answer = fleet.book(i % 2 == 0 ? 2 : 0, id, i % 2 == 0 ? frozenTicket : liveTicket);
            if (!answer.outcome.empty()) {
                told[id] = answer.outcome;
            }
        });
    }
    runConcurrently(bodies);
    fleet.node(1).signal(SIGCONT);
    pause(Millis(1500));
    for (int node = 0; node < 3; ++node) {
        fleet.book(node, "frozen-owner", frozenTicket);
        fleet.book(node, "frozen-home", liveTicket);
    }
    const std::map<std::string, int> executions = fleet.executions();
    for (const auto &[id, count] : executions) {
        CHECK(count <= 1);
    }
    CHECK(told["frozen-owner"] == "unknown");
}

TEST_CASE("booking, answers between nodes cut one way, runs at most once and is not told not-run")
{
    // Story: node 0 hears nothing from node 1 although node 1 hears it. The booking runs there, its answer is lost. The
    // caller must hear "unknown", and a resend must not run it again.
    FleetOptions options;
    options.proxies = true;
    Fleet fleet(options);
    const std::string ticket = fleet.ticket(1);
    fleet.setProxyFault(1, {{"fromTarget", {{"hold", true}}}});
    const CallResult cut = fleet.book(0, "one-way", ticket);
    CHECK(cut.outcome == "unknown");
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

TEST_CASE("calendar, answers cut or reset or garbled, no part is passed on as whole")
{
    // Story: a gray server closes connections in the middle of answers. Half a calendar shown as a whole one would make
    // a manager book a course that is full.
    Fleet fleet;
    fleet.setServerMode("s0", {{"mode", "cut"}});
    fleet.setServerMode("s3", {{"mode", "reset"}});
    int whole = 0;
    for (int i = 0; i < 40; ++i) {
        const std::string id = "cut-" + std::to_string(i);
        const CallResult answer = fleet.read(0, id);
        if (answer.status == 200) {
            const nlohmann::json body = nlohmann::json::parse(answer.body, nullptr, false);
            CHECK(body.is_object());
            CHECK(body.value("request", "") == id);
            ++whole;
        } else {
            CHECK(answer.outcome != "ran");
        }
    }
    CHECK(whole >= 35);
}

TEST_CASE("booking, object API away, tickets work and own keys are not told not-run")
{
    // Story: the store is away for hours. Bookings with tickets go on. A caller's own key can't be looked up, so
    // whether an earlier attempt ran isn't known and nobody is told that it did not.
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

TEST_CASE("booking, write of its key took effect but its answer was lost, runs once")
{
    Fleet fleet;
    fleet.setApiFault({{"loseAnswers", 1}});
    CHECK(fleet.book(0, "lost-write", "own-lost").outcome == "ran");
    CHECK(fleet.book(2, "lost-write", "own-lost").outcome == "ran");
    CHECK(fleet.executions()["lost-write"] == 1);
}
