#include "src/fiber/FiberLoop.h"
#include "src/http/HttpServer.h"
#include "tests/support/Fleet.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <map>
#include <vector>

using namespace waxwing;
using namespace waxwing::testing;

namespace {

constexpr Millis unit{30};
constexpr Millis readTimeout{3000};

std::string get(const std::string &path, const std::string &more = "")
{
    return "GET " + path + " HTTP/1.1\r\nHost: desk.example\r\n" + more + "\r\n";
}

std::string post(const std::string &path)
{
    return "POST " + path + " HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 4\r\n\r\nseat";
}

/** A server whose handler takes as many time units as the path's number says, and a caller that writes raw bytes. */
struct RawCaller {
    explicit RawCaller(HttpLimits limits = {})
    {
        server = *HttpServer::MakeListening(
            loopContext(), "127.0.0.1", 0,
            [this](const HttpRequest &request, const CallerWatchPtr &watch) { return handle(request, watch); }, limits);
        socket.connect({boost::asio::ip::make_address("127.0.0.1"), server->port()});
        socket.set_option(boost::asio::ip::tcp::no_delay(true));
    }

    HttpReply handle(const HttpRequest &request, const CallerWatchPtr &watch)
    {
        started.push_back(request.target);
        headers = request.headers;
        othersRunning.push_back(running);
        maxRunning = std::max(maxRunning, ++running);
        const Millis length = std::stoi(request.target.substr(1)) * unit;
        boost::asio::steady_timer timer(loopContext(), length);
        watch->onDisconnect = [this, &timer] {
            ++disconnects;
            timer.cancel();
        };
        await([&](auto done) { timer.async_wait(std::move(done)); });
        watch->onDisconnect = {};
        --running;
        HttpReply reply;
        reply.response.body = "<" + request.target + ">" + std::string(bodyBytes, 'x');
        return reply;
    }

    void write(const std::string &bytes)
    {
        await([&](auto done) { boost::asio::async_write(socket, boost::asio::buffer(bytes), std::move(done)); });
    }

    /** Reads until @p text (unless empty) arrives, the server closes the connection, or readTimeout expires. */
    std::string readUntil(const std::string &text)
    {
        boost::asio::steady_timer timer(loopContext(), readTimeout);
        timer.async_wait([this](boost::system::error_code cancelled) {
            if (!cancelled) {
                socket.cancel();
            }
        });
        std::array<char, 4096> buffer{};
        IoResult result;
        while (!result.error && (text.empty() || read.find(text) == std::string::npos)) {
            result = await([&](auto done) { socket.async_read_some(boost::asio::buffer(buffer), std::move(done)); });
            read.append(buffer.data(), result.bytes);
        }
        closed = result.error == boost::asio::error::eof;
        return read;
    }

    /** The paths whose responses arrived, in order. */
    std::vector<std::string> answered() const
    {
        std::vector<std::string> paths;
        for (std::size_t at = read.find('<'); at != std::string::npos; at = read.find('<', at + 1)) {
            paths.push_back(read.substr(at + 1, read.find('>', at) - at - 1));
        }
        return paths;
    }

    using Paths = std::vector<std::string>;
    std::unique_ptr<HttpServer> server;
    boost::asio::ip::tcp::socket socket{loopContext()};
    Paths started;
    /** Headers of the request that started last. */
    HeaderList headers;
    /** How many other requests ran when each one started. */
    std::vector<int> othersRunning;
    int running = 0;
    int maxRunning = 0;
    int disconnects = 0;
    std::size_t bodyBytes = 0;
    std::string read;
    bool closed = false;
};

struct RawCallerWithLimits : RawCaller {
    static HttpLimits limits()
    {
        HttpLimits out;
        out.pipelinedRequests = 4;
        return out;
    }

    RawCallerWithLimits()
        : RawCaller(limits())
    { }
};

} // namespace

TEST_CASE_FIXTURE(RawCaller, "pipeline, first request is the slowest, all run concurrently and are answered in order")
{
    // Guards against pipelined requests that run one at a time: the second of three was not even read for a second, and
    // its caller gave up.
    write(get("/4") + get("/2") + get("/1"));
    readUntil("</1>");
    CHECK(answered() == Paths{"/4", "/2", "/1"});
    CHECK(maxRunning == 3);
}

TEST_CASE_FIXTURE(RawCaller, "pipeline, requests that arrive byte by byte, are answered in order")
{
    for (const char byte : get("/2") + get("/1")) {
        write(std::string(1, byte));
    }
    readUntil("</1>");
    CHECK(answered() == Paths{"/2", "/1"});
}

TEST_CASE_FIXTURE(RawCaller, "pipeline, large responses to a slow reader, arrive complete and in order")
{
    bodyBytes = 3UL * 1024 * 1024;
    write(get("/1") + get("/2"));
    sleepFor(loopContext(), 8 * unit);
    readUntil("</2>");
    sleepFor(loopContext(), unit);
    write(get("/1", "Connection: close\r\n"));
    readUntil("");
    CHECK(answered() == Paths{"/1", "/2", "/1"});
    CHECK(static_cast<std::size_t>(std::count(read.begin(), read.end(), 'x')) >= 3 * bodyBytes);
}

TEST_CASE_FIXTURE(RawCaller,
                  "pipeline, request that closes the connection, is answered last and requests behind it never run")
{
    // Guards against requests that run twice: the caller resends all requests behind a closing response, whatever their
    // method.
    write(get("/2") + get("/1", "Connection: close\r\n") + get("/3"));
    readUntil("");
    CHECK(closed);
    CHECK(answered() == Paths{"/2", "/1"});
    CHECK(started == Paths{"/2", "/1"});
}

TEST_CASE_FIXTURE(RawCaller, "pipeline, booking between lookups, runs alone")
{
    write(get("/4") + post("/2") + get("/3") + get("/1"));
    readUntil("</1>");
    CHECK(answered() == Paths{"/4", "/2", "/3", "/1"});
    CHECK(othersRunning == std::vector<int>{0, 0, 0, 1});
}

TEST_CASE_FIXTURE(RawCaller,
                  "pipeline, malformed request in the middle, closes the connection after the responses before it")
{
    write(get("/2") + "NONSENSE\r\n\r\n" + get("/1"));
    readUntil("");
    CHECK(closed);
    CHECK(answered() == Paths{"/2"});
    CHECK(read.find("HTTP/1.1 400") > read.find("</2>"));
    CHECK(started == Paths{"/2"});
}

TEST_CASE_FIXTURE(RawCaller, "pipeline, caller that disconnects with requests in progress, has all of them cancelled")
{
    // Guards against a close that is detected only if the socket holds no unread byte: with requests behind the first
    // one, servers kept working after the caller had disconnected.
    write(get("/50") + get("/60") + get("/70"));
    sleepFor(loopContext(), 2 * unit);
    REQUIRE(started.size() == 3);
    socket.close();
    CHECK(eventually([this] { return disconnects == 3; }));
    CHECK(eventually([this] { return server->requestsInFlight() == 0 && server->connections() == 0; }));
}

TEST_CASE_FIXTURE(RawCallerWithLimits, "pipeline, caller that sends without end, is read only up to the limits")
{
    std::string many;
    for (int i = 0; i < 20000; ++i) {
        many += get("/9");
    }
    socket.non_blocking(true);
    std::size_t taken = 0;
    boost::system::error_code error;
    for (int round = 0; round < 40; ++round) {
        const std::size_t wrote = socket.write_some(boost::asio::buffer(many), error);
        taken += error ? 0 : wrote;
        sleepFor(loopContext(), Millis(2));
    }
    CHECK(maxRunning == 4);
    // Bytes beyond the limits stay in the socket buffers of both ends.
    CHECK(error == boost::asio::error::would_block);
    CHECK(taken < 20 * many.size());
    socket.close();
    CHECK(eventually([this] { return server->connections() == 0; }));
}

TEST_CASE_FIXTURE(RawCaller, "pipeline, shutdown with five requests outstanding, answers all five and runs no sixth")
{
    // Guards against a close after the first response, which would leave four executed requests without a response.
    write(get("/5") + get("/4") + get("/3") + get("/2") + get("/1"));
    sleepFor(loopContext(), unit);
    server->announceClose();
    write(get("/0"));
    readUntil("");
    CHECK(closed);
    CHECK(answered() == Paths{"/5", "/4", "/3", "/2", "/1"});
    CHECK(started.size() == 5);
    CHECK(read.find("Connection: close") > read.find("</2>"));
}

TEST_CASE_FIXTURE(RawCaller, "pipeline, drain with requests outstanding, answers them and closes")
{
    write(get("/3") + get("/1"));
    sleepFor(loopContext(), unit);
    server->drain();
    readUntil("");
    CHECK(closed);
    CHECK(answered() == Paths{"/3", "/1"});
}

// Guards against a request whose length is taken for a part of another header's value, so that its body is read as the
// next request.
TEST_CASE_FIXTURE(RawCaller, "caller's request, folded header line, is refused and not run")
{
    std::string line;
    SUBCASE("length")
    {
        line = " Content-Length: 4";
    }
    SUBCASE("coding")
    {
        line = "\tTransfer-Encoding: chunked";
    }
    SUBCASE("value")
    {
        line = " value";
    }
    write("POST /0 HTTP/1.1\r\nHost: desk.example\r\nA: b\r\n" + line + "\r\n\r\nseat");
    const std::string response = readUntil("");
    CHECK(response.compare(0, 12, "HTTP/1.1 400") == 0);
    CHECK(response.find("HTTP/1.1", 12) == std::string::npos);
    CHECK(closed);
    CHECK(started.empty());
}

// Guards against a trailer that passes for a header of the request, past all checks of its headers.
TEST_CASE_FIXTURE(RawCaller, "caller's request, trailers, are not headers of the request")
{
    write("POST /0 HTTP/1.1\r\nHost: desk.example\r\nA: b\r\nTransfer-Encoding: chunked\r\n\r\n"
          "4\r\nseat\r\n0\r\nLate: x\r\nHost: other.example\r\n\r\n");
    readUntil("</0>");
    REQUIRE(started.size() == 1);
    CHECK(headerValue(headers, "A") == "b");
    CHECK(headerValue(headers, "Host") == "desk.example");
    CHECK(headerValue(headers, "Late").empty());
}
