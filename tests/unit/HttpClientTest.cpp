#include "src/http/HttpClient.h"
#include "platform/Names.h"
#include "platform/ServerDialect.h"
#include "src/fiber/FiberLoop.h"
#include "tests/support/ScriptedServer.h"

#include <boost/fiber/operations.hpp>
#include <doctest/doctest.h>

#include <map>
#include <optional>

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

    std::string respond(const ScriptedServer::Connection &connection, const std::string &id)
    {
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
