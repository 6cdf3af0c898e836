#include "src/fiber/FiberLoop.h"
#include "src/http/HttpClient.h"
#include "tests/support/EarlyServer.h"
#include "tests/support/ScriptedServer.h"

#include <boost/fiber/operations.hpp>
#include <doctest/doctest.h>

#include <algorithm>
#include <optional>

using namespace waxwing;
using namespace waxwing::testing;

namespace {

using ExchangeResult = tl::expected<HttpResponse, ExchangeError>;

/** A client that uploads more than the kernel buffers to a server that responds before it has read the upload. */
class EarlyResponder
{
protected:
    /** Sends a request with an upload from a fiber and runs the loop until it has ended. */
    ExchangeResult upload()
    {
        return send(HttpRequest{"POST", "/", {}, std::string(uploadBytes, 'u')});
    }

    ExchangeResult send(const HttpRequest &request)
    {
        std::optional<ExchangeResult> result;
        spawnFiber([&] {
            result = client_.exchange(Endpoint{"127.0.0.1", server_.port()}, request, std::chrono::seconds(5));
        });
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (!result) {
            REQUIRE(std::chrono::steady_clock::now() < end);
            runLoop();
        }
        return *result;
    }

    void runLoop()
    {
        ioContext_.restart();
        ioContext_.run_for(Millis(1));
        boost::this_fiber::yield();
    }

    /** More than a loopback connection buffers while the server does not read. */
    static constexpr std::size_t uploadBytes = 16UL * 1024 * 1024;

    boost::asio::io_context ioContext_;
    HttpClient client_{ioContext_};
    EarlyServer server_{ioContext_};
};

const std::string openEndedHead = "HTTP/1.1 200 X\r\n\r\n";

} // namespace

// Guards against a part of a response that passes for a whole one. The server answers an upload early and resets the
// connection. The write of the upload takes the error from the kernel, which reports it once, and the read sees an
// ordinary end.
TEST_CASE_FIXTURE(EarlyResponder, "client, response without a length reset under the upload, fails as truncated")
{
    Ending ending = Ending::Resets;
    std::string body = "part";
    SUBCASE("part of the body")
    { }
    SUBCASE("no byte of the body")
    {
        body.clear();
    }
    SUBCASE("connection closed with the upload unread")
    {
        ending = Ending::Closes;
    }
    for (const Millis delay : {Millis(0), Millis(1), Millis(5), Millis(20), Millis(100)}) {
        CAPTURE(delay.count());
        server_.setResponse(EarlyResponse{openEndedHead + body, ending, delay});
        const auto result = upload();
        REQUIRE_FALSE(result);
        CHECK(result.error().failure == ExchangeFailure::Truncated);
        CHECK(result.error().connectionEnded);
        CHECK(result.error().mayHaveSentBytes);
    }
}

// Guards against the loss of responses from servers that end them in good order before they have read the upload.
TEST_CASE_FIXTURE(EarlyResponder, "client, response without a length ended in good order, is returned and marked")
{
    EarlyResponse response{openEndedHead + "whole", Ending::StopsSending};
    SUBCASE("server reads on")
    { }
    SUBCASE("server resets the connection after the end of the response")
    {
        response.ending = Ending::StopsSendingAndResets;
    }
    SUBCASE("server ends the response late")
    {
        response.delay = Millis(20);
    }
    server_.setResponse(response);
    const auto result = upload();
    REQUIRE(result);
    CHECK(result->isCloseDelimited);
    CHECK(result->body == "whole");
}

// Guards against the loss of a response that is known to be whole by its length.
TEST_CASE_FIXTURE(EarlyResponder, "client, response with a length reset under the upload, is whole or fails")
{
    SUBCASE("whole")
    {
        server_.setResponse(EarlyResponse{responseText(200, {}, "whole"), Ending::Resets});
        const auto result = upload();
        REQUIRE(result);
        CHECK(result->body == "whole");
    }
    SUBCASE("part")
    {
        server_.setResponse(EarlyResponse{"HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\npart", Ending::Resets});
        const auto result = upload();
        REQUIRE_FALSE(result);
        CHECK(result.error().failure == ExchangeFailure::Truncated);
    }
    SUBCASE("part in chunks")
    {
        server_.setResponse(
            EarlyResponse{"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", Ending::Resets});
        const auto result = upload();
        REQUIRE_FALSE(result);
        CHECK(result.error().failure == ExchangeFailure::Truncated);
    }
}

// Guards against another request whose bytes a server reads as the rest of an upload.
TEST_CASE_FIXTURE(EarlyResponder, "client, response before the upload has been read, its connection carries no other")
{
    server_.setResponse(EarlyResponse{responseText(200, {}, "whole"), Ending::KeepsOpen, Millis(100)});
    REQUIRE(upload());
    const auto next = send(HttpRequest{"GET", "/next", {}, {}});
    REQUIRE(next);
    // The server reads what the client has sent of the upload.
    const auto end = std::chrono::steady_clock::now() + Millis(300);
    while (std::chrono::steady_clock::now() < end) {
        runLoop();
    }
    const auto received = server_.received();
    REQUIRE(received.size() == 2);
    CHECK(received[0].find("GET /next") == std::string::npos);
    CHECK(received[1].find("GET /next") == 0);
    CHECK(std::count(received[1].begin(), received[1].end(), 'u') == 0);
}
