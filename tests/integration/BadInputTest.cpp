#include "src/fiber/FiberLoop.h"
#include "tests/support/Fleet.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

using namespace waxwing;
using namespace waxwing::testing;

namespace {

namespace asio = boost::asio;

/** Sends raw bytes and returns the response, read until the peer closes or half a second has passed. */
std::string rawExchange(const Endpoint &endpoint, const std::string &bytes)
{
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    boost::system::error_code error;
    socket.connect({asio::ip::make_address(endpoint.address), endpoint.port}, error);
    asio::write(socket, asio::buffer(bytes), error);
    socket.non_blocking(true, error);
    std::string response;
    std::array<char, 4096> buffer{};
    for (int tries = 0; tries < 50; ++tries) {
        boost::system::error_code readError;
        const std::size_t count = socket.read_some(asio::buffer(buffer), readError);
        response.append(buffer.data(), count);
        if (readError && readError != asio::error::would_block) {
            break;
        }
        pause(Millis(10));
    }
    return response;
}

} // namespace

TEST_CASE("node, malformed and oversized and foreign input on every port, answers clearly and serves on")
{
    // Guards against a node that stops serving after invalid input from a broken client, a port scanner or a server of
    // a newer release. Each of them gets a clear error or a clean close, and other requests still succeed.
    FleetOptions options;
    options.nodes = 1;
    options.floor = "1 servers";
    Fleet fleet(options);
    const std::string head = "GET /sessions/1 HTTP/1.1\r\nHost: course-desk\r\n";
    CHECK(rawExchange(fleet.callers(0), "NONSENSE\r\n\r\n").find("400") != std::string::npos);
    CHECK(rawExchange(fleet.callers(0), head + "X: " + std::string(20000, 'x') + "\r\n\r\n").find("431")
          != std::string::npos);
    CHECK(rawExchange(fleet.callers(0),
                      "POST /bookings HTTP/1.1\r\nHost: course-desk\r\nContent-Length: 99999999\r\n\r\n")
              .find("413")
          != std::string::npos);
    CHECK(rawExchange(fleet.callers(0), "POST /bookings HTTP/1.1\r\nHost: course-desk\r\nContent-Length: x\r\n\r\n")
              .find("400")
          != std::string::npos);
    rawExchange(fleet.callers(0), head);
    rawExchange(fleet.peers(0), std::string("\x00\xff garbage \r\n\r\n", 14));
    rawExchange(fleet.peers(0), "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    CHECK(rawExchange(fleet.operators(0),
                      "POST /v1/announce HTTP/1.1\r\nHost: x\r\nContent-Length: 14\r\n\r\n{\"service\": 5}")
              .find("/service")
          != std::string::npos);

    CHECK(fleet.send(0, HttpRequest{"GET", "/nowhere", {}, {}}).reason == "unknown-class");
    CHECK(fleet.send(0, HttpRequest{"GET", "/sessions", {{"Host", "no-such"}}, {}}).reason == "unknown-service");
    CHECK(fleet.send(0, HttpRequest{"GET", "/sessions", {{"Waxwing-Deadline-Ms", "soon"}}, {}}).reason
          == "malformed-deadline");
    CHECK(fleet.book(0, "bad-ticket", "wx1.what").reason == "malformed-ticket");
    CHECK(fleet.book(0, "long-key", std::string(300, 'k')).reason == "malformed-key");
    CHECK(fleet.book(0, "gone", "wx1.n7.1.1.1").outcome == "unknown");
    const CallResult deadline = fleet.send(0, HttpRequest{"GET", "/sessions/2", {{"Waxwing-Deadline-Ms", "1"}}, {}});
    CHECK(deadline.outcome != "ran");

    CHECK(fleet.node(0).running());
    CHECK(fleet.read(0, "after-bad-input").outcome == "ran");
    const nlohmann::json metrics = fleet.view(0, "/v1/metrics");
    CHECK(metrics["counters"].value("http_rejected", 0) >= 3);
    CHECK(metrics["counters"].value("announcements_refused", 0) == 1);
}

TEST_CASE("object of a newer schema, written without validation, is rejected and the active version stays")
{
    Fleet fleet;
    const nlohmann::json standing = fleet.view(0, "/v1/config");
    const auto version = standing["course-desk"].value("revision", std::uint64_t(0));
    const nlohmann::json newer = {{"schema", 9}, {"classes", nlohmann::json::object()}};
    REQUIRE(fleet.writeObject("service", "course-desk", version, newer));
    CHECK(eventually([&] {
        const nlohmann::json config = fleet.view(2, "/v1/config");
        return config["course-desk"].value("refusal", "").find("/schema") != std::string::npos;
    }));
    CHECK(fleet.read(2, "after-newer").outcome == "ran");
}

TEST_CASE("node, unreadable settings file, reports the error and does not start")
{
    FleetOptions options;
    options.nodes = 1;
    options.floor = "1 servers";
    Fleet fleet(options);
    Process node("waxwingd", {"--settings", fleet.directory() + "/missing.json"}, fleet.directory() + "/bad.log");
    CHECK(node.waitForExit() == 3);
    CHECK(node.output().find("can't be read") != std::string::npos);
    std::string output;
    CHECK(fleet.ctl({"check", fleet.directory() + "/n0.json"}, &output) == 0);
    CHECK(fleet.ctl({"frobnicate"}, &output) == 2);
}
