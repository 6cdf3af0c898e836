#include "platform/Names.h"
#include "tests/support/Mesh.h"

#include <csignal>
#include <doctest/doctest.h>

#include <algorithm>

using namespace waxwing;
using namespace waxwing::testing;

namespace {

namespace names = platform::names;

unsigned statusOf(const tl::expected<HttpResponse, ExchangeError> &response)
{
    return response ? response->status : 0;
}

std::string id(const std::string &prefix, int number)
{
    return prefix + std::to_string(number);
}

} // namespace

TEST_CASE("mesh, requests at every node, are served in full and run once")
{
    Mesh mesh;
    for (int node = 0; node < 3; ++node) {
        const auto response = mesh.send(node, id("whole", node), "/seats/1");
        REQUIRE(response);
        CHECK(response->status == 200);
        CHECK(response->body == "whole answer to " + id("whole", node));
        CHECK_FALSE(headerValue(response->headers, names::signature).empty());
        CHECK(mesh.executions()[id("whole", node)] == 1);
        CHECK(mesh.isReady(node));
    }
    CHECK(statusOf(mesh.send(0, "nowhere", "/nowhere/")) == 404);
}

TEST_CASE("mesh, servers send invalid responses, caller never receives a success")
{
    Mesh mesh;
    for (const char *mode : {"cut", "reset", "unsigned", "other-id"}) {
        for (int server = 0; server < 3; ++server) {
            mesh.setServerMode(server, {{"mode", mode}, {"workMs", 30}});
        }
        const std::string request = std::string("garbage-") + mode;
        const auto response = mesh.send(0, request, "/seats/1");
        CHECK((statusOf(response) == 502 || statusOf(response) == 504));
        CHECK(mesh.executions()[request] == 1);
    }
}

// Guards against a part of a response that looks complete because a node adds a length to what it has received.
TEST_CASE("mesh, responses without a length, reach the caller without one and end its connection")
{
    MeshOptions options;
    options.services = {"desk", "other"};
    Mesh mesh(options);
    mesh.setServerMode(0, {{"mode", "without-length"}});
    for (int node = 0; node < 2; ++node) {
        const std::string request = id("open-ended", node);
        const std::string response = mesh.sendRaw(node, Mesh::requestText(request, "/seats/1"));
        CHECK(response.compare(0, 12, "HTTP/1.1 200") == 0);
        CHECK(response.find("Content-Length") == std::string::npos);
        CHECK(response.find("Connection: close") != std::string::npos);
        CHECK(response.find("whole answer to " + request) != std::string::npos);
        CHECK(mesh.executions()[request] == 1);
    }
}

TEST_CASE("mesh, gray server, idempotent requests are served elsewhere and bookings soon avoid it")
{
    // One server returns 500 at once while its health checks pass. No lookup may fail. At most the first booking may be
    // lost, since bookings can't be retried.
    Mesh mesh;
    mesh.setServerMode(0, {{"mode", "errors"}});
    int lost = 0;
    for (int i = 0; i < 10; ++i) {
        CHECK(statusOf(mesh.send(0, id("look", i), "/dates/1")) == 200);
        lost += statusOf(mesh.send(0, id("book", i), "/seats/1")) == 200 ? 0 : 1;
    }
    CHECK(lost <= 1);
}

TEST_CASE("mesh, draining server, receives no more requests and others serve them")
{
    Mesh mesh;
    mesh.server(1).signal(SIGTERM);
    REQUIRE(eventually([&] { return mesh.log(1).find("event=server_leaves") != std::string::npos; }));
    const auto before = mesh.executions();
    for (int i = 0; i < 12; ++i) {
        const auto response = mesh.send(1, id("drained", i), "/seats/1");
        REQUIRE(statusOf(response) == 200);
        CHECK(headerValue(response->headers, names::signature) != "seal-i-1");
    }
}

TEST_CASE("mesh, open link stops delivering, its bookings run once and are answered before the timeout")
{
    // Guards against a booking that runs twice and is billed twice. An open link stops delivering without a reset,
    // while new connections work. A booking sent over it gets no acknowledgement; its sender fences it over a new link,
    // learns that it has not run and sends it again. Two seconds later the old link delivers its bytes: the first
    // booking must not run.
    MeshOptions options;
    options.services = {"other", "desk", "other"};
    options.proxies = true;
    Mesh mesh(options);
    mesh.setLinkFault(1, {{"silenceOpen", true}});
    std::vector<unsigned> statuses(6);
    std::vector<std::function<void()>> tasks;
    tasks.reserve(maxTasks);
    for (int i = 0; i < 6; ++i) {
        tasks.emplace_back(
            [&, i] { statuses[static_cast<std::size_t>(i)] = statusOf(mesh.send(0, id("cut", i), "/seats/1")); });
    }
    runConcurrently(tasks);
    pause(Millis(2000));
    mesh.setLinkFault(1, {{"silenceOpen", false}});
    pause(Millis(1000));
    auto executions = mesh.executions();
    for (int i = 0; i < 6; ++i) {
        CHECK(statuses[static_cast<std::size_t>(i)] == 200);
        CHECK(executions[id("cut", i)] == 1);
    }
    CHECK(mesh.log(0).find("event=outcome_queried") != std::string::npos);
}

TEST_CASE("mesh, home stops responding for good, loses only the bookings sent before that is detected")
{
    // Guards against bookings that are still sent to a lost VM. The outcome of a booking in progress there can't be
    // known, and its sender queries it until its deadline. The path was marked as failed only then, so all bookings
    // sent there within two seconds were lost as well, although the first missing acknowledgement showed the failure
    // after 0.15 s.
    MeshOptions options;
    options.services = {"other", "desk", "desk"};
    options.proxies = true;
    Mesh mesh(options);
    for (int i = 0; i < 8; ++i) {
        REQUIRE(statusOf(mesh.send(0, id("before", i), "/seats/1")) == 200);
    }
    mesh.setLinkFault(1, {{"toTarget", {{"hold", true}}}});
    constexpr int bookings = 14;
    std::vector<unsigned> statuses(bookings);
    std::vector<std::function<void()>> tasks;
    tasks.reserve(bookings);
    for (int i = 0; i < bookings; ++i) {
        tasks.emplace_back([&, i] {
            pause(Millis(100) * i);
            statuses[static_cast<std::size_t>(i)] = statusOf(mesh.send(0, id("gone", i), "/seats/1"));
        });
    }
    runConcurrently(tasks);
    const auto lost = std::count_if(statuses.begin(), statuses.end(), [](unsigned status) { return status != 200; });
    CHECK(lost <= 3);
    mesh.setLinkFault(1, {{"toTarget", {{"hold", false}}}});
    pause(Millis(500));
    for (const auto &[request, count] : mesh.executions()) {
        CHECK(count <= 1);
    }
}

TEST_CASE("mesh, one node detects an unresponsive home, others avoid it without losing a booking")
{
    // Guards against each node detecting a lost home by a lost booking of its own. When a fleet of a hundred nodes lost
    // sixteen VMs at once, that left hundreds of bookings with an unknown outcome, although the first senders had
    // already detected all sixteen failures.
    MeshOptions options;
    options.services = {"other", "other", "desk", "desk"};
    options.proxies = true;
    Mesh mesh(options);
    for (int i = 0; i < 6; ++i) {
        REQUIRE(statusOf(mesh.send(0, id("warm", i), "/dates/1")) == 200);
        REQUIRE(statusOf(mesh.send(1, id("warmed", i), "/dates/1")) == 200);
    }
    mesh.setLinkFault(2, {{"toTarget", {{"hold", true}}}});
    int sent = 0;
    REQUIRE(eventually([&] {
        std::vector<std::function<void()>> tasks;
        constexpr int atOnce = 12;
        tasks.reserve(atOnce);
        for (int i = 0; i < atOnce; ++i) {
            tasks.emplace_back([&mesh, number = ++sent] { mesh.send(0, id("first", number), "/dates/1"); });
        }
        runConcurrently(tasks);
        return mesh.log(0).find("event=path_failed") != std::string::npos;
    }));
    REQUIRE(eventually([&] { return mesh.log(1).find("event=path_failed") != std::string::npos; }));
    for (int i = 0; i < 10; ++i) {
        CHECK(statusOf(mesh.send(1, id("later", i), "/seats/1")) == 200);
    }
}

TEST_CASE("mesh, home unreachable from every other node, bookings end as unknown or not run and none runs twice")
{
    MeshOptions options;
    options.services = {"other", "desk", "desk"};
    options.proxies = true;
    Mesh mesh(options);
    mesh.setLinkFault(1, {{"toTarget", {{"hold", true}}}});
    std::vector<unsigned> statuses(6);
    std::vector<std::function<void()>> tasks;
    tasks.reserve(maxTasks);
    for (int i = 0; i < 6; ++i) {
        tasks.emplace_back(
            [&, i] { statuses[static_cast<std::size_t>(i)] = statusOf(mesh.send(0, id("off", i), "/seats/1")); });
    }
    runConcurrently(tasks);
    pause(Millis(1500));
    mesh.setLinkFault(1, {{"toTarget", {{"hold", false}}}});
    pause(Millis(1000));
    auto executions = mesh.executions();
    for (int i = 0; i < 6; ++i) {
        const unsigned status = statuses[static_cast<std::size_t>(i)];
        INFO("status " << status);
        CHECK(executions[id("off", i)] <= 1);
        CHECK((status == 200 || status == 503 || status == 504));
        CHECK((status != 200 || executions[id("off", i)] == 1));
        CHECK((status != 503 || executions[id("off", i)] == 0));
    }
}

TEST_CASE("mesh, reply lost on the way back, is fetched through another node")
{
    // The home runs a booking, and its reply is held back by a path failure in that direction. The caller must still
    // receive it: after a 504 it would not know whether the seat is taken.
    MeshOptions options;
    options.services = {"other", "desk", "other"};
    options.proxies = true;
    options.workMs = 300;
    Mesh mesh(options);
    unsigned status = 0;
    runConcurrently({[&] { status = statusOf(mesh.send(0, "lost-answer", "/seats/1")); },
                     [&] {
                         pause(Millis(150));
                         mesh.setLinkFault(1, {{"fromTarget", {{"hold", true}}}});
                         pause(Millis(300));
                         mesh.setLinkFault(1, {{"reset", true}, {"fromTarget", {{"hold", false}}}});
                     }});
    CHECK(status == 200);
    CHECK(mesh.executions()["lost-answer"] == 1);
}

TEST_CASE("mesh, new configuration, is applied at every node and not reverted")
{
    MeshOptions options;
    options.services = {"desk", "desk", "spare"};
    Mesh mesh(options);
    mesh.configure(7, "spare");
    CHECK(eventually(
        [&] {
            const auto response = mesh.send(0, "probe", "/seats/1");
            return response && headerValue(response->headers, names::signature) == "seal-i-2";
        },
        Millis(2500)));
    for (int node = 0; node < 2; ++node) {
        const auto response = mesh.send(node, id("after", node), "/seats/1");
        CHECK((response && headerValue(response->headers, names::signature) == "seal-i-2"));
    }
}

TEST_CASE("mesh, node restarts during a store outage, receives the configuration from other nodes and serves")
{
    Mesh mesh;
    mesh.setStoreFault({{"outage", true}});
    mesh.node(1).kill();
    mesh.startNode(1);
    CHECK(eventually(
        [&] {
            mesh.send(0, "wake", "/dates/1");
            mesh.send(2, "wake", "/dates/1");
            return mesh.isReady(1);
        },
        std::chrono::seconds(15)));
    CHECK(statusOf(mesh.send(1, "restarted", "/seats/1")) == 200);
}

TEST_CASE("mesh, node stops, reports not ready first and finishes the requests that it has read")
{
    MeshOptions options;
    options.workMs = 400;
    Mesh mesh(options);
    std::vector<unsigned> statuses(4);
    bool notReady = false;
    std::vector<std::function<void()>> tasks;
    tasks.reserve(maxTasks);
    for (int i = 0; i < 4; ++i) {
        tasks.emplace_back(
            [&, i] { statuses[static_cast<std::size_t>(i)] = statusOf(mesh.send(1, id("stop", i), "/seats/1")); });
    }
    tasks.emplace_back([&] {
        pause(Millis(100));
        mesh.node(1).signal(SIGTERM);
        pause(Millis(100));
        notReady = !mesh.isReady(1);
    });
    runConcurrently(tasks);
    for (const unsigned status : statuses) {
        CHECK(status == 200);
    }
    CHECK(notReady);
    CHECK(mesh.node(1).waitForExit(std::chrono::seconds(8)) == 0);
}

TEST_CASE("mesh, node stops while bookings are queued, refuses them before it exits and they never run")
{
    // The service's only server is busy for longer than the shutdown may take. Bookings queued for it through the
    // stopping node ended with a closed connection, so their callers did not know whether they had run.
    MeshOptions options;
    options.services = {"other", "desk", "other"};
    options.timeoutMs = 10000;
    options.graceSeconds = 4;
    Mesh mesh(options);
    mesh.setServerMode(1, {{"workMs", 6000}});
    constexpr int slots = 3;
    std::vector<unsigned> statuses(2UL * slots);
    std::vector<std::function<void()>> tasks;
    tasks.reserve(maxTasks);
    for (int i = 0; i < 2 * slots; ++i) {
        tasks.emplace_back([&, i] {
            pause(i < slots ? Millis(0) : Millis(300));
            statuses[static_cast<std::size_t>(i)] =
                statusOf(mesh.send(0, id("late-stop", i), "/seats/1", std::chrono::seconds(9)));
        });
    }
    tasks.emplace_back([&] {
        pause(Millis(800));
        mesh.node(0).signal(SIGTERM);
    });
    runConcurrently(tasks);
    auto executions = mesh.executions();
    for (int i = 0; i < 2 * slots; ++i) {
        const bool ran = executions[id("late-stop", i)] > 0;
        CHECK(ran == (i < slots));
        CHECK(statuses[static_cast<std::size_t>(i)] == (ran ? 504 : 503));
    }
}

// Guards against a request that a stopping node takes late, passes on and cuts when it exits, so that its caller
// doesn't know whether it ran.
TEST_CASE("mesh, requests whose last byte arrives late in a stop, are not passed on")
{
    MeshOptions options;
    options.services = {"desk", "other"};
    options.workMs = 1800;
    options.graceSeconds = 6;
    options.timeoutMs = 8000;
    Mesh mesh(options);
    const int node = 0;
    const std::vector<Millis> delays = {Millis(2600), Millis(3200), Millis(4200), Millis(5200)};
    std::vector<std::string> responses(delays.size());
    std::vector<std::function<void()>> tasks;
    tasks.reserve(maxTasks);
    for (std::size_t i = 0; i < delays.size(); ++i) {
        tasks.emplace_back([&, i] {
            const bool isBooking = i % 2 == 0;
            const std::string request = Mesh::requestText(id("late", static_cast<int>(i)),
                                                          isBooking ? "/seats/1" : "/dates/1", isBooking ? "x" : "");
            responses[i] = mesh.sendRawInParts(node, request.substr(0, request.size() - 1), delays[i],
                                               request.substr(request.size() - 1), Millis(7000));
        });
    }
    tasks.emplace_back([&] { mesh.node(node).signal(SIGTERM); });
    runConcurrently(tasks);
    auto executions = mesh.executions();
    for (std::size_t i = 0; i < delays.size(); ++i) {
        CAPTURE(responses[i]);
        CHECK(executions[id("late", static_cast<int>(i))] == 0);
        CHECK((responses[i].empty() || responses[i].compare(0, 12, "HTTP/1.1 503") == 0));
    }
    CHECK(mesh.node(node).waitForExit(std::chrono::seconds(8)) == 0);
}

TEST_CASE("mesh, node stops with a response ready behind a slow one, delivers it before it exits")
{
    // Two pipelined lookups on one connection. The server takes longer for the first one than the shutdown may, and
    // answers the second one at once. The second response must not be lost with the connection.
    MeshOptions options;
    options.services = {"other", "desk", "other"};
    options.timeoutMs = 10000;
    options.graceSeconds = 4;
    Mesh mesh(options);
    const auto lookup = [](const std::string &name) {
        return "GET /dates/1 HTTP/1.1\r\nHost: desk.example\r\n" + std::string(names::requestId) + ": " + name + "\r\n"
               + names::timeoutMs + ": 9000\r\n\r\n";
    };
    std::string responses;
    std::vector<std::function<void()>> tasks = {
        [&] { responses = mesh.sendRaw(0, lookup("slow-one") + lookup("ready-one"), std::chrono::seconds(8)); },
        [&] {
            REQUIRE(eventually([&] { return mesh.executions()["slow-one"] == 1; }));
            mesh.node(0).signal(SIGTERM);
        }};
    mesh.setServerMode(1, {{"workMs", 6000}, {"onlyFirst", true}});
    runConcurrently(tasks);
    CHECK(responses.find("HTTP/1.1 50") < responses.find("whole answer to ready-one"));
    CHECK(responses.find("whole answer to ready-one") != std::string::npos);
}

TEST_CASE("mesh, lookup that crashes every server, is sent to no third one")
{
    // One lookup crashes each server that runs it, and its caller retries it through any node. If the crashes are not
    // recorded, the whole service is down after a dozen retries. A crashing server closes its connection some
    // milliseconds before its listener, so a home that checks the listener once, at once, takes the crash for a broken
    // connection.
    Mesh mesh;
    for (int i = 0; i < 4; ++i) {
        mesh.send(i % 3, id("poison", i), "/dates/ends-the-server");
        pause(Millis(300));
    }
    int crashes = 0;
    for (const auto &[request, runs] : mesh.executions()) {
        crashes += request.compare(0, 6, "poison") == 0 ? runs : 0;
    }
    CHECK(crashes <= 2);
    CHECK(statusOf(mesh.send(0, "poison-last", "/dates/ends-the-server")) == 503);
}

TEST_CASE("mesh, caller disconnects, its lookup is cancelled and its slot freed")
{
    MeshOptions options;
    options.services = {"desk"};
    options.workMs = 50;
    Mesh mesh(options);
    mesh.setServerMode(0, {{"workMs", 2500}});
    runConcurrently({[&] {
        mesh.sendRaw(0, "GET /dates/1 HTTP/1.1\r\nHost: desk.example\r\n" + std::string(names::requestId)
                            + ": gone\r\n\r\n");
    }});
    CHECK(eventually([&] { return mesh.log(0).find("callerGone=yes") != std::string::npos; }, Millis(1500)));
}

TEST_CASE("callers' port, requests that two parsers may interpret differently, are refused and not run")
{
    MeshOptions options;
    options.services = {"desk"};
    Mesh mesh(options);
    const std::string idHeader = std::string(names::requestId) + ": smuggled\r\n";
    const auto refused = [&](const std::string &bytes) {
        return mesh.sendRaw(0, bytes).compare(0, 12, "HTTP/1.1 400") == 0;
    };
    CHECK(refused("GET /dates/1 HTTP/1.1\r\n" + idHeader + "\r\n"));
    CHECK(refused("GET /dates/1 HTTP/1.1\r\nHost: a\r\nHost: b\r\n" + idHeader + "\r\n"));
    CHECK(refused("POST /seats/1 HTTP/1.1\r\nHost: desk.example\r\n" + idHeader
                  + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"));
    CHECK(refused("POST /seats/1 HTTP/1.1\r\nHost: desk.example\r\n" + idHeader
                  + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"));
    CHECK(mesh.executions()["smuggled"] == 0);
}

TEST_CASE("callers' port, absolute target and Expect, are served like any other request")
{
    MeshOptions options;
    options.services = {"desk"};
    Mesh mesh(options);
    const std::string idHeader = std::string(names::requestId) + ": usual\r\n";
    const std::string absolute = mesh.sendRaw(
        0, "GET http://desk.example/dates/1 HTTP/1.1\r\nHost: ignored\r\nConnection: close\r\n" + idHeader + "\r\n");
    CHECK(absolute.compare(0, 12, "HTTP/1.1 200") == 0);
    const std::string expecting =
        mesh.sendRaw(0, "POST /seats/1 HTTP/1.1\r\nHost: desk.example\r\nConnection: close\r\nContent-Length: 4\r\n"
                        "Expect: 100-continue\r\n"
                            + idHeader + "\r\n");
    CHECK(expecting.compare(0, 12, "HTTP/1.1 100") == 0);
}
