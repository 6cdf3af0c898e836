#include "src/http/HttpClient.h"
#include "platform/Names.h"
#include "platform/ServerDialect.h"
#include "src/fiber/FiberLoop.h"
#include "tests/support/ScriptedServer.h"

#include <boost/fiber/operations.hpp>
#include <doctest/doctest.h>

#include <functional>
#include <map>
#include <optional>
#include <vector>

using namespace waxwing;
using namespace waxwing::testing;

namespace {

namespace names = platform::names;
using ExchangeResult = tl::expected<HttpResponse, ExchangeError>;

std::string rejection(const std::string &id)
{
    return responseText(503, {{names::requestId, id}, {names::notRun, "1"}}, "");
}

std::string success(const std::string &id)
{
    return responseText(200, {{names::requestId, id}, {names::signature, "seal"}}, "done");
}

/** A client of a server that may hand out a response a second time, in front of the next one on its connection. */
class FaultyServer
{
protected:
    FaultyServer()
        : server_(ioContext_, [this](ScriptedServer::Connection &connection, const HttpRequest &request) {
            return respond(connection, std::string(headerValue(request.headers, names::requestId)));
        })
    { }

    /** Sends a request from a fiber and runs the loop until it has ended. */
    ExchangeResult send(const std::string &id)
    {
        ExchangeOptions options;
        options.timeout = std::chrono::seconds(2);
        options.requestId = id;
        options.matchResponse = [id](const HttpResponse &response) { return platform::matchResponse(response, id); };
        std::optional<ExchangeResult> result;
        spawnFiber([&] {
            result = client_.exchange(Endpoint{"127.0.0.1", server_.port()},
                                      HttpRequest{"POST", "/", {{names::requestId, id}}, "x"}, options);
        });
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (!result) {
            REQUIRE(std::chrono::steady_clock::now() < end);
            runLoop();
        }
        // The server learns what the client has closed.
        runLoop();
        return *result;
    }

    void runLoop()
    {
        ioContext_.restart();
        ioContext_.run_for(Millis(1));
        boost::this_fiber::yield();
    }

    std::string respond(ScriptedServer::Connection &connection, const std::string &id)
    {
        connection.closes = closes_;
        if (ends_) {
            server_.stopListening();
        }
        std::string out;
        out.swap(late_[connection.number]);
        ++arrivals_[id];
        if (rejected_.count(id) > 0 && arrivals_[id] <= rejected_[id]) {
            late_[connection.number] = copy_.empty() ? rejection(id) : copy_;
            return out + rejection(id);
        }
        return out + (answer_.empty() ? success(id) : answer_);
    }

    boost::asio::io_context ioContext_;
    HttpClient client_{ioContext_};
    /** How many sends of a request the server rejects, each of them with a late copy of the rejection. */
    std::map<std::string, int> rejected_;
    /** Bytes sent in place of the copy, and in place of a success; empty: the usual ones. */
    std::string copy_;
    std::string answer_;
    /** The server closes the connection after its response, or ends. */
    bool closes_ = false;
    bool ends_ = false;
    std::map<int, std::string> late_;
    std::map<std::string, int> arrivals_;
    ScriptedServer server_;
};

} // namespace

// Guards against a request that is reported as rejected although it runs.
TEST_CASE_FIXTURE(FaultyServer, "client, late copy of a rejection, is not the response to the next send")
{
    rejected_["a"] = 1;
    REQUIRE(send("a")->status == 503);
    SUBCASE("next on the connection")
    { }
    SUBCASE("after another request on the connection")
    {
        late_[1].swap(copy_);
        REQUIRE(send("b")->status == 200);
        late_[1].swap(copy_);
    }
    const auto second = send("a");
    REQUIRE(second);
    CHECK(second->status == 200);
    CHECK(arrivals_["a"] == 2);
}

// Guards against a late response without an ID that is taken for the response to another request.
TEST_CASE_FIXTURE(FaultyServer, "client, late response without an ID, is no response to another request")
{
    rejected_["a"] = 1;
    copy_ = responseText(503, {{names::notRun, "1"}}, "");
    REQUIRE(send("a")->status == 503);
    const auto other = send("b");
    REQUIRE_FALSE(other);
    CHECK(other.error().failure == ExchangeFailure::Malformed);
    CHECK(other.error().mayHaveSentBytes);
    CHECK(server_.openConnections() == 0);
}

// Guards against servers whose responses name no request and that can't be used at all.
TEST_CASE_FIXTURE(FaultyServer, "client, response without an ID on a new connection, is accepted")
{
    answer_ = responseText(200, {{names::signature, "seal"}}, "done");
    const auto only = send("a");
    REQUIRE(only);
    CHECK(only->status == 200);
}

// Guards against a request that fails because an interim response to an earlier one arrives late.
TEST_CASE_FIXTURE(FaultyServer, "client, late interim response, is skipped")
{
    rejected_["a"] = 1;
    copy_ = "HTTP/1.1 103 X\r\n\r\n";
    REQUIRE(send("a")->status == 503);
    const auto other = send("b");
    REQUIRE(other);
    CHECK(other->status == 200);
}

// Guards against a part of a response that looks complete because the client adds the length of what has arrived.
TEST_CASE_FIXTURE(FaultyServer, "client, response without a length, is marked or fails if its server has ended")
{
    closes_ = true;
    answer_ = "HTTP/1.1 200 X\r\n" + std::string(names::requestId) + ": a\r\n\r\n";
    SUBCASE("with a body, server lives")
    {
        answer_ += "part";
    }
    SUBCASE("without a body, server lives")
    { }
    SUBCASE("server has ended")
    {
        answer_ += "part";
        ends_ = true;
    }
    const auto only = send("a");
    if (!ends_) {
        REQUIRE(only);
        CHECK(only->isCloseDelimited);
        return;
    }
    REQUIRE_FALSE(only);
    CHECK(only.error().failure == ExchangeFailure::Truncated);
    CHECK(only.error().connectionEnded);
    CHECK(only.error().mayHaveSentBytes);
}

// Guards against an ordinary response that costs the caller its connection.
TEST_CASE_FIXTURE(FaultyServer, "client, response with a length, is not marked")
{
    const auto only = send("a");
    REQUIRE(only);
    CHECK_FALSE(only->isCloseDelimited);
}

// Guards against a server that resets connections because each repeated send adds one.
TEST_CASE_FIXTURE(FaultyServer, "client, request sent many times, does not add connections")
{
    rejected_["a"] = 20;
    for (int i = 0; i < 20; ++i) {
        REQUIRE(send("a")->status == 503);
    }
    CHECK(send("a")->status == 200);
    CHECK(send("b")->status == 200);
    CHECK(server_.openConnections() <= 1);
    CHECK(server_.connections().size() <= 22);
}

namespace {

constexpr std::uint64_t megabyte = 1024UL * 1024;

/** A client with a bound of 4 MB, and a server that sends without end where a request asks for it. */
class EndlessServer
{
protected:
    explicit EndlessServer(std::uint64_t readBytes = 4 * megabyte)
        : client_(ioContext_, readBytes)
        , server_(ioContext_, [this](ScriptedServer::Connection &connection, const HttpRequest &request) {
            return respond(connection, request);
        })
    { }

    /** Returns the beginning of the response; what follows it without end is sent afterwards. */
    std::string respond(ScriptedServer::Connection &connection, const HttpRequest &request)
    {
        if (request.target != "/endless") {
            return responseText(200, {}, "small");
        }
        connection.endless = repeated_;
        return begin_;
    }

    void start(const std::string &target, std::optional<ExchangeResult> &result)
    {
        spawnFiber([this, target, &result] {
            ExchangeOptions options;
            options.timeout = timeout_;
            options.bodyTimeout = bodyTimeout_;
            options.maxResponseBytes = maxResponseBytes_;
            result =
                client_.exchange(Endpoint{"127.0.0.1", server_.port()}, HttpRequest{"GET", target, {}, {}}, options);
        });
    }

    void runUntil(const std::function<bool()> &isDone)
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (!isDone()) {
            REQUIRE(std::chrono::steady_clock::now() < end);
            ioContext_.restart();
            ioContext_.run_for(Millis(1));
            boost::this_fiber::yield();
        }
    }

    /** Returns the failure of a request that gets an endless response, and checks what it took. */
    ExchangeFailure failureOfEndless()
    {
        std::optional<ExchangeResult> result;
        start("/endless", result);
        runUntil([&] { return result.has_value(); });
        REQUIRE_FALSE(*result);
        CHECK(result->error().mayHaveSentBytes);
        runUntil([&] { return server_.openConnections() == 0; });
        CHECK(server_.connections().back()->sentBytes < maxSentBytes);
        return result->error().failure;
    }

    /** The kernel's buffers at both ends take some megabytes more than the client reads. */
    static constexpr std::uint64_t maxSentBytes = 16 * megabyte;

    boost::asio::io_context ioContext_;
    HttpClient client_;
    Millis timeout_ = std::chrono::seconds(20);
    Millis bodyTimeout_{0};
    std::uint64_t maxResponseBytes_ = megabyte;
    std::string begin_;
    std::string repeated_;
    ScriptedServer server_;
};

/** The same with bounds that no response reaches before its timeout. */
class EndlessServerWithinBounds : protected EndlessServer
{
protected:
    EndlessServerWithinBounds()
        : EndlessServer(maxBytes)
    {
        maxResponseBytes_ = maxBytes;
    }

    static constexpr std::uint64_t maxBytes = 512 * megabyte;
};

} // namespace

// Guards against a node that ends by its memory because a server sends without end.
TEST_CASE_FIXTURE(EndlessServer, "client, response without end, fails and its connection is closed")
{
    SUBCASE("status line")
    {
        repeated_ = std::string(1000, 'x');
        begin_ = "HTTP/1.1 200 ";
        CHECK(failureOfEndless() == ExchangeFailure::TooLarge);
    }
    SUBCASE("headers")
    {
        begin_ = "HTTP/1.1 200 X\r\n";
        repeated_ = "X-Header: value\r\n";
        CHECK(failureOfEndless() == ExchangeFailure::TooLarge);
    }
    SUBCASE("body until the connection closes")
    {
        begin_ = "HTTP/1.1 200 X\r\n\r\n";
        repeated_ = std::string(10000, 'x');
        CHECK(failureOfEndless() == ExchangeFailure::TooLarge);
    }
    SUBCASE("body of a large announced length")
    {
        begin_ = "HTTP/1.1 200 X\r\nContent-Length: 4000000000000\r\n\r\n";
        repeated_ = std::string(10000, 'x');
        CHECK(failureOfEndless() == ExchangeFailure::TooLarge);
    }
    SUBCASE("chunks")
    {
        begin_ = "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n";
        repeated_ = "3E8\r\n" + std::string(1000, 'x') + "\r\n";
        CHECK(failureOfEndless() == ExchangeFailure::TooLarge);
    }
    SUBCASE("size of a chunk")
    {
        begin_ = "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n1;";
        repeated_ = std::string(1000, 'x');
        CHECK(failureOfEndless() == ExchangeFailure::TooLarge);
    }
    SUBCASE("chunks whose extensions are longer than their bodies")
    {
        maxResponseBytes_ = 64 * megabyte;
        begin_ = "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n";
        repeated_ = "1;" + std::string(1000, 'e') + "\r\nx\r\n";
        CHECK(failureOfEndless() == ExchangeFailure::TooLarge);
    }
    SUBCASE("trailers")
    {
        begin_ = "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";
        repeated_ = "X-Trailer: value\r\n";
        CHECK(failureOfEndless() == ExchangeFailure::TooLarge);
    }
    SUBCASE("interim responses")
    {
        repeated_ = "HTTP/1.1 103 X\r\n\r\n";
        CHECK(failureOfEndless() == ExchangeFailure::Malformed);
    }
}

// Guards against an exchange that outlasts its timeout because each read of its response completes at once.
TEST_CASE_FIXTURE(EndlessServerWithinBounds, "client, bytes without pause, the exchange ends at its timeout")
{
    begin_ = "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n";
    repeated_ = "3E8\r\n" + std::string(1000, 'x') + "\r\n";
    SUBCASE("timeout of the exchange")
    {
        timeout_ = Millis(50);
    }
    SUBCASE("timeout of the body")
    {
        bodyTimeout_ = Millis(50);
    }
    std::optional<ExchangeResult> result;
    start("/endless", result);
    runUntil([&] { return result.has_value(); });
    REQUIRE_FALSE(*result);
    CHECK(result->error().failure == ExchangeFailure::Timeout);
    runUntil([&] { return server_.openConnections() == 0; });
}

// Guards against a connection that stays in use although its server sends on after the response.
TEST_CASE_FIXTURE(EndlessServer,
                  "client, bytes without end after a response, the response is returned and the rest dropped")
{
    begin_ = responseText(200, {}, "whole");
    repeated_ = std::string(10000, 'x');
    std::optional<ExchangeResult> result;
    start("/endless", result);
    runUntil([&] { return result.has_value(); });
    REQUIRE(*result);
    CHECK(result->value().body == "whole");
    std::optional<ExchangeResult> next;
    start("/", next);
    runUntil([&] { return next.has_value(); });
    REQUIRE(*next);
    CHECK(next->value().body == "small");
    runUntil([&] { return server_.connections().front()->closed; });
}

// Guards against many endless responses that are each within their bound and together take a node's memory.
TEST_CASE_FIXTURE(EndlessServer, "client, several responses without end, are given up and a small one is read")
{
    maxResponseBytes_ = 64 * megabyte;
    begin_ = "HTTP/1.1 200 X\r\n\r\n";
    repeated_ = std::string(10000, 'x');
    std::vector<std::optional<ExchangeResult>> endless(3);
    for (auto &result : endless) {
        start("/endless", result);
    }
    std::optional<ExchangeResult> small;
    start("/", small);
    runUntil([&] { return small.has_value() && endless[0] && endless[1] && endless[2]; });
    REQUIRE(*small);
    CHECK(small->value().body == "small");
    for (const auto &result : endless) {
        REQUIRE_FALSE(*result);
        CHECK(result->error().failure == ExchangeFailure::TooLarge);
    }
    runUntil([&] { return server_.openConnections() <= 1; });
    for (const auto &connection : server_.connections()) {
        CHECK(connection->sentBytes < maxSentBytes);
    }
}
