#include "platform/Names.h"
#include "tests/support/Mesh.h"

#include <csignal>
#include <doctest/doctest.h>

#include <algorithm>

using namespace waxwing;
using namespace waxwing::testing;

namespace {

namespace names = platform::names;

unsigned statusOf(const tl::expected<HttpResponse, ExchangeError> &answer)
{
    return answer ? answer->status : 0;
}

std::string id(const std::string &prefix, int number)
{
    return prefix + std::to_string(number);
}

} // namespace

TEST_CASE("mesh, requests at every node, are served whole and told who called")
{
    Mesh mesh;
    for (int node = 0; node < 3; ++node) {
        const auto answer = mesh.send(node, id("whole", node), "/seats/1");
        REQUIRE(answer);
        CHECK(answer->status == 200);
        CHECK(answer->body == "whole answer to " + id("whole", node));
        CHECK_FALSE(headerValue(answer->headers, names::signature).empty());
        CHECK(mesh.executions()[id("whole", node)] == 1);
        CHECK(mesh.isReady(node));
    }
    CHECK(statusOf(mesh.send(0, "nowhere", "/nowhere/")) == 404);
}

TEST_CASE("mesh, server that answers with garbage, never reaches the caller as a success")
{
    Mesh mesh;
    for (const char *mode : {"cut", "reset", "unsigned", "other-id"}) {
        for (int server = 0; server < 3; ++server) {
            mesh.setServerMode(server, {{"mode", mode}, {"workMs", 30}});
        }
        const std::string request = std::string("garbage-") + mode;
        const auto answer = mesh.send(0, request, "/seats/1");
        CHECK((statusOf(answer) == 502 || statusOf(answer) == 504));
        CHECK(mesh.executions()[request] == 1);
    }
}

TEST_CASE("mesh, gray server, idempotent work is served elsewhere and bookings soon avoid it")
{
    // One records server answers 500 at once while its health is good. An inspector's look-up must not notice; of the
    // bookings at most the first one may be lost, since it can't be tried again.
    Mesh mesh;
    mesh.setServerMode(0, {{"mode", "errors"}});
    int lost = 0;
    for (int i = 0; i < 10; ++i) {
        CHECK(statusOf(mesh.send(0, id("look", i), "/dates/1")) == 200);
        lost += statusOf(mesh.send(0, id("book", i), "/seats/1")) == 200 ? 0 : 1;
    }
    CHECK(lost <= 1);
}

TEST_CASE("mesh, server that drains, gets nothing after it was acknowledged and others take its work")
{
    Mesh mesh;
    mesh.server(1).signal(SIGTERM);
    REQUIRE(eventually([&] { return mesh.log(1).find("event=server_leaves") != std::string::npos; }));
    const auto before = mesh.executions();
    for (int i = 0; i < 12; ++i) {
        const auto answer = mesh.send(1, id("drained", i), "/seats/1");
        REQUIRE(statusOf(answer) == 200);
        CHECK(headerValue(answer->headers, names::signature) != "seal-i-1");
    }
}

TEST_CASE("mesh, link that falls silent, has its bookings run once and answered in time")
{
    // An open link goes silent without a reset, while new connections work. A booking that was sent over it gets no
    // receipt; over a fresh link the sender learns that it never ran, forbids it and books again. When the old link
    // delivers its bytes two seconds later the first booking must not run: the firm would be billed twice.
    MeshOptions options;
    options.services = {"other", "desk", "other"};
    options.proxies = true;
    Mesh mesh(options);
    mesh.setLinkFault(1, {{"silenceOpen", true}});
    std::vector<unsigned> statuses(6);
    std::vector<std::function<void()>> bodies;
    bodies.reserve(maxTasks);
    for (int i = 0; i < 6; ++i) {
        bodies.emplace_back(
            [&, i] { statuses[static_cast<std::size_t>(i)] = statusOf(mesh.send(0, id("cut", i), "/seats/1")); });
    }
    runConcurrently(bodies);
    pause(Millis(2000));
    mesh.setLinkFault(1, {{"silenceOpen", false}});
    pause(Millis(1000));
    auto executions = mesh.executions();
    for (int i = 0; i < 6; ++i) {
        CHECK(statuses[static_cast<std::size_t>(i)] == 200);
        CHECK(executions[id("cut", i)] == 1);
    }
    CHECK(mesh.log(0).find("event=fate_asked") != std::string::npos);
}

TEST_CASE("mesh, home that falls silent for good, loses only the bookings sent before its silence showed")
{
    // A VM was lost without a word. What became of a booking under way to it can't be known, and its sender asks until
    // the booking's time is over. Only then did it hold the path to be bad: all bookings that it sent there in these
    // two seconds were lost as well, though the first missing receipt had shown the silence after 0.15 s.
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
    std::vector<std::function<void()>> bodies;
    bodies.reserve(bookings);
    for (int i = 0; i < bookings; ++i) {
        bodies.emplace_back([&, i] {
            pause(Millis(100) * i);
            statuses[static_cast<std::size_t>(i)] = statusOf(mesh.send(0, id("gone", i), "/seats/1"));
        });
    }
    runConcurrently(bodies);
    const auto lost = std::count_if(statuses.begin(), statuses.end(), [](unsigned status) { return status != 200; });
    CHECK(lost <= 3);
    mesh.setLinkFault(1, {{"toTarget", {{"hold", false}}}});
    pause(Millis(500));
    for (const auto &[request, count] : mesh.executions()) {
        CHECK(count <= 1);
    }
}

TEST_CASE("mesh, home that one node found silent, is left alone by the others without a loss of their own")
{
    // A fleet of a hundred nodes lost sixteen VMs at once. Each of the others found out for itself, by a booking that
    // it lost there: hundreds of bookings whose fate nobody knew, for sixteen facts that the first senders had known.
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
        std::vector<std::function<void()>> bodies;
        constexpr int atOnce = 12;
        bodies.reserve(atOnce);
        for (int i = 0; i < atOnce; ++i) {
            bodies.emplace_back([&mesh, number = ++sent] { mesh.send(0, id("first", number), "/dates/1"); });
        }
        runConcurrently(bodies);
        return mesh.log(0).find("event=path_failed") != std::string::npos;
    }));
    REQUIRE(eventually([&] { return mesh.log(1).find("event=path_failed") != std::string::npos; }));
    for (int i = 0; i < 10; ++i) {
        CHECK(statusOf(mesh.send(1, id("later", i), "/seats/1")) == 200);
    }
}

TEST_CASE("mesh, home cut off from every other node, is told as unknown or not run and nothing runs twice")
{
    MeshOptions options;
    options.services = {"other", "desk", "desk"};
    options.proxies = true;
    Mesh mesh(options);
    mesh.setLinkFault(1, {{"toTarget", {{"hold", true}}}});
    std::vector<unsigned> statuses(6);
    std::vector<std::function<void()>> bodies;
    bodies.reserve(maxTasks);
    for (int i = 0; i < 6; ++i) {
        bodies.emplace_back(
            [&, i] { statuses[static_cast<std::size_t>(i)] = statusOf(mesh.send(0, id("off", i), "/seats/1")); });
    }
    runConcurrently(bodies);
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

TEST_CASE("mesh, answer lost on the way back, is fetched through another node")
{
    // The home runs a booking and its answer is held up by a cut in that direction. The caller must get it all the
    // same: a 504 would leave an office manager not knowing whether the seat is taken.
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

TEST_CASE("mesh, new configuration, is followed everywhere and never goes back")
{
    MeshOptions options;
    options.services = {"desk", "desk", "spare"};
    Mesh mesh(options);
    mesh.configure(7, "spare");
    CHECK(eventually(
        [&] {
            const auto answer = mesh.send(0, "probe", "/seats/1");
            return answer && headerValue(answer->headers, names::signature) == "seal-i-2";
        },
        Millis(2500)));
    for (int node = 0; node < 2; ++node) {
        const auto answer = mesh.send(node, id("after", node), "/seats/1");
        CHECK((answer && headerValue(answer->headers, names::signature) == "seal-i-2"));
    }
}

TEST_CASE("mesh, node restarted while the store is away, learns the configuration from the others and serves")
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

TEST_CASE("mesh, node told to stop, finishes what it has read and says first that it goes")
{
    MeshOptions options;
    options.workMs = 400;
    Mesh mesh(options);
    std::vector<unsigned> statuses(4);
    bool notReady = false;
    std::vector<std::function<void()>> bodies;
    bodies.reserve(maxTasks);
    for (int i = 0; i < 4; ++i) {
        bodies.emplace_back(
            [&, i] { statuses[static_cast<std::size_t>(i)] = statusOf(mesh.send(1, id("stop", i), "/seats/1")); });
    }
    bodies.emplace_back([&] {
        pause(Millis(100));
        mesh.node(1).signal(SIGTERM);
        pause(Millis(100));
        notReady = !mesh.isReady(1);
    });
    runConcurrently(bodies);
    for (const unsigned status : statuses) {
        CHECK(status == 200);
    }
    CHECK(notReady);
    CHECK(mesh.node(1).waitForExit(std::chrono::seconds(8)) == 0);
}

TEST_CASE("mesh, node told to stop while bookings wait for a server, refuses them in time and they never run")
{
    // The service's only server is busy for longer than the stop may take. Bookings that wait for it through the
    // stopping node ended with a closed connection: an office did not know whether it had its seat.
    MeshOptions options;
    options.services = {"other", "desk", "other"};
    options.timeoutMs = 10000;
    options.graceSeconds = 4;
    Mesh mesh(options);
    mesh.setServerMode(1, {{"workMs", 6000}});
    constexpr int slots = 3;
    std::vector<unsigned> statuses(2UL * slots);
    std::vector<std::function<void()>> bodies;
    bodies.reserve(maxTasks);
    for (int i = 0; i < 2 * slots; ++i) {
        bodies.emplace_back([&, i] {
            pause(i < slots ? Millis(0) : Millis(300));
            statuses[static_cast<std::size_t>(i)] =
                statusOf(mesh.send(0, id("late-stop", i), "/seats/1", std::chrono::seconds(9)));
        });
    }
    bodies.emplace_back([&] {
        pause(Millis(800));
        mesh.node(0).signal(SIGTERM);
    });
    runConcurrently(bodies);
    auto executions = mesh.executions();
    for (int i = 0; i < 2 * slots; ++i) {
        const bool ran = executions[id("late-stop", i)] > 0;
        CHECK(ran == (i < slots));
        CHECK(statuses[static_cast<std::size_t>(i)] == (ran ? 504 : 503));
    }
}

TEST_CASE("mesh, node told to stop with an answer ready behind a slow one, delivers it before it ends")
{
    // Two look-ups on one connection. The first meets a server that takes longer than the stop may, the second is
    // answered at once; its answer must not be lost with the connection.
    MeshOptions options;
    options.services = {"other", "desk", "other"};
    options.timeoutMs = 10000;
    options.graceSeconds = 4;
    Mesh mesh(options);
    const auto lookUp = [](const std::string &name) {
        return "GET /dates/1 HTTP/1.1\r\nHost: desk.example\r\n" + std::string(names::requestId) + ": " + name + "\r\n"
               + names::timeoutMs + ": 9000\r\n\r\n";
    };
    std::string answers;
    std::vector<std::function<void()>> bodies = {
        [&] { answers = mesh.sendRaw(0, lookUp("slow-one") + lookUp("ready-one"), std::chrono::seconds(8)); },
        [&] {
            REQUIRE(eventually([&] { return mesh.executions()["slow-one"] == 1; }));
            mesh.node(0).signal(SIGTERM);
        }};
    mesh.setServerMode(1, {{"workMs", 6000}, {"onlyFirst", true}});
    runConcurrently(bodies);
    CHECK(answers.find("HTTP/1.1 50") < answers.find("whole answer to ready-one"));
    CHECK(answers.find("whole answer to ready-one") != std::string::npos);
}

TEST_CASE("mesh, look-up that ends every server which begins it, is given to no third one")
{
    // One look-up makes each server that runs it crash. Its caller sends it again and again, through any node. Without
    // a memory of it the whole service would be down after a dozen tries. A server that ends closes its connection some
    // milliseconds before its listener: a home that looks once, at once, takes that for a broken connection.
    Mesh mesh;
    for (int i = 0; i < 4; ++i) {
        mesh.send(i % 3, id("poison", i), "/dates/ends-the-server");
        pause(Millis(300));
    }
    int deaths = 0;
    for (const auto &[request, runs] : mesh.executions()) {
        deaths += request.compare(0, 6, "poison") == 0 ? runs : 0;
    }
    CHECK(deaths <= 2);
    CHECK(statusOf(mesh.send(0, "poison-last", "/dates/ends-the-server")) == 503);
}

TEST_CASE("mesh, caller that leaves, has its look-up stopped and its slot freed")
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

TEST_CASE("callers' port, requests that two readers could understand differently, are refused and not run")
{
    MeshOptions options;
    options.services = {"desk"};
    Mesh mesh(options);
    const std::string idLine = std::string(names::requestId) + ": smuggled\r\n";
    const auto refused = [&](const std::string &bytes) {
        return mesh.sendRaw(0, bytes).compare(0, 12, "HTTP/1.1 400") == 0;
    };
    CHECK(refused("GET /dates/1 HTTP/1.1\r\n" + idLine + "\r\n"));
    CHECK(refused("GET /dates/1 HTTP/1.1\r\nHost: a\r\nHost: b\r\n" + idLine + "\r\n"));
    CHECK(refused("POST /seats/1 HTTP/1.1\r\nHost: desk.example\r\n" + idLine
                  + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"));
    CHECK(refused("POST /seats/1 HTTP/1.1\r\nHost: desk.example\r\n" + idLine
                  + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"));
    CHECK(mesh.executions()["smuggled"] == 0);
}

TEST_CASE("callers' port, absolute target and Expect, are served like any request")
{
    MeshOptions options;
    options.services = {"desk"};
    Mesh mesh(options);
    const std::string idLine = std::string(names::requestId) + ": usual\r\n";
    const std::string absolute = mesh.sendRaw(
        0, "GET http://desk.example/dates/1 HTTP/1.1\r\nHost: ignored\r\nConnection: close\r\n" + idLine + "\r\n");
    CHECK(absolute.compare(0, 12, "HTTP/1.1 200") == 0);
    const std::string expecting =
        mesh.sendRaw(0, "POST /seats/1 HTTP/1.1\r\nHost: desk.example\r\nConnection: close\r\nContent-Length: 4\r\n"
                        "Expect: 100-continue\r\n"
                            + idLine + "\r\n");
    CHECK(expecting.compare(0, 12, "HTTP/1.1 100") == 0);
}
