#include "src/fiber/FiberLoop.h"
#include "src/http/HttpClient.h"
#include "tests/support/ScriptedServer.h"

#include <boost/fiber/operations.hpp>
#include <doctest/doctest.h>

#include <optional>
#include <string>

using namespace waxwing;
using namespace waxwing::testing;

namespace {

using ExchangeResult = tl::expected<HttpResponse, ExchangeError>;

/** A client of a server that sends chosen bytes and keeps the connection open. */
class MalformedResponder
{
protected:
    MalformedResponder()
        : server_(ioContext_, [this](ScriptedServer::Connection &, const HttpRequest &) { return bytes_; })
    { }

    /** Sends a request that the server answers with @p bytes. A client that waits fails by its timeout. */
    ExchangeResult send(const std::string &bytes, const std::string &method = "POST")
    {
        bytes_ = bytes;
        std::optional<ExchangeResult> result;
        spawnFiber([&] {
            result = client_.exchange(Endpoint{"127.0.0.1", server_.port()}, HttpRequest{method, "/", {}, {}},
                                      std::chrono::seconds(2));
        });
        runUntil([&] { return result.has_value(); });
        return *result;
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

    /** Checks that @p bytes fail at once as malformed, and that their connection carries no other request. */
    void checkMalformed(const std::string &bytes, const std::string &method = "POST")
    {
        CAPTURE(bytes);
        CAPTURE(method);
        const auto result = send(bytes, method);
        REQUIRE_FALSE(result);
        CHECK(result.error().failure == ExchangeFailure::Malformed);
        CHECK(result.error().mayHaveSentBytes);
        CHECK_FALSE(result.error().connectionEnded);
        runUntil([&] { return server_.openConnections() == 0; });
    }

    boost::asio::io_context ioContext_;
    HttpClient client_{ioContext_};
    std::string bytes_;
    ScriptedServer server_;
};

std::string statusLine(const std::string &status)
{
    return "HTTP/1.1 " + status + " X\r\n";
}

} // namespace

// Guards against bytes of a server in trouble that pass for a response, and against a caller who waits its whole time
// for a body that belongs to none.
TEST_CASE_FIXTURE(MalformedResponder, "client, status that is none of HTTP, fails at once as malformed")
{
    for (const char *status : {"000", "001", "099", "101", "600", "999"}) {
        checkMalformed(statusLine(status) + "Content-Length: 4\r\n\r\nbody");
        checkMalformed(statusLine(status) + "\r\n");
        checkMalformed(statusLine(status) + "\r\npart");
        checkMalformed(statusLine(status) + "\r\n", "GET");
        checkMalformed(statusLine(status) + "\r\n", "HEAD");
        checkMalformed(statusLine(status) + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n");
        checkMalformed(statusLine(status) + "\r\n" + responseText(200, {}, "whole"));
        checkMalformed(statusLine("100") + "\r\n" + statusLine(status) + "\r\n");
    }
    for (const char *status : {"", "20", "2000", "2x0", "-20", "20 0"}) {
        checkMalformed(statusLine(status) + "Content-Length: 4\r\n\r\nbody");
    }
}

// Guards against responses that are lost because their status is unusual or an interim response comes before them.
TEST_CASE_FIXTURE(MalformedResponder, "client, any status of HTTP, is returned")
{
    for (const unsigned status : {200U, 299U, 302U, 399U, 404U, 499U, 500U, 599U}) {
        CAPTURE(status);
        const auto result = send(responseText(status, {}, "whole"));
        REQUIRE(result);
        CHECK(result->status == status);
        CHECK(result->body == "whole");
    }
    for (const char *interim : {"100", "102", "103", "199"}) {
        CAPTURE(interim);
        const auto result = send(statusLine(interim) + "\r\n" + responseText(200, {}, "whole"));
        REQUIRE(result);
        CHECK(result->body == "whole");
    }
}

// Guards against a response whose length is taken for a part of another header's value, so that its framing and the
// bytes behind it become its body.
TEST_CASE_FIXTURE(MalformedResponder, "client, folded header line, fails as malformed")
{
    const std::string begin = statusLine("200") + "A: b\r\n";
    checkMalformed(begin + " c\r\nContent-Length: 4\r\n\r\nbody");
    checkMalformed(begin + "\tc\r\nContent-Length: 4\r\n\r\nbody");
    checkMalformed(begin + "Content-Length: 4\r\n c\r\n\r\nbody");
    checkMalformed(begin + " Content-Length: 4\r\n\r\nbody");
    checkMalformed(begin + " Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
    checkMalformed(begin + " Content-Length: 4\r\n\r\nbody", "GET");
    checkMalformed(begin + " Content-Length: 4\r\n\r\n", "HEAD");
    checkMalformed(statusLine("103") + "A: b\r\n c\r\n\r\n" + responseText(200, {}, "whole"));
    checkMalformed(statusLine("103") + "\r\n" + begin + " c\r\nContent-Length: 4\r\n\r\nbody");
}

// Guards against a body in an unknown coding that reaches the caller without the header that names the coding.
TEST_CASE_FIXTURE(MalformedResponder, "client, transfer coding other than chunks, fails as malformed")
{
    for (const char *coding :
         {"xchunked", "identity", "gzip, chunked", "chunked, gzip", "chunked\r\nTransfer-Encoding: x"}) {
        checkMalformed(statusLine("200") + "Transfer-Encoding: " + coding + "\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
    }
    checkMalformed(statusLine("200") + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
}

// Guards against bytes of a server in trouble that pass for the headers of a response.
TEST_CASE_FIXTURE(MalformedResponder, "client, name of a header with a blank or a control byte, fails as malformed")
{
    const std::string nul(1, '\0');
    for (const std::string &line : {std::string("A B: c"), std::string("A : c"), std::string("A\t: c"),
                                    std::string("A\tB: c"), std::string("A\x01: c"),
                                    std::string("\x1f"
                                                "A: c"),
                                    std::string("A\x7f: c"), std::string("A\x80: c"), std::string("A\xff: c"),
                                    "A" + nul + ": c", std::string(": c"), std::string("A"), std::string("A: \x01"),
                                    "A: " + nul, std::string("A: \x7f"), std::string("A: b\rc")}) {
        checkMalformed(statusLine("200") + line + "\r\nContent-Length: 4\r\n\r\nbody");
        checkMalformed(statusLine("200") + "Content-Length: 4\r\n" + line + "\r\n\r\nbody", "GET");
    }
    checkMalformed(statusLine("200") + " A: b\r\nContent-Length: 4\r\n\r\nbody");
    const auto trailer = send(statusLine("200") + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nA B: c\r\n\r\n");
    CHECK_FALSE(trailer);
}

// Guards against a trailer that passes for a header: a seal makes a response valid, and a rejection makes a request
// that ran look as if it had not.
TEST_CASE_FIXTURE(MalformedResponder, "client, trailers, are not headers of the response")
{
    const auto result = send(statusLine("200") + "A: b\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"
                             + "Late: x\r\nA: c\r\nConnection: close\r\nKeep-Alive: timeout=1\r\n\r\n");
    REQUIRE(result);
    CHECK(result->body == "body");
    CHECK(result->headers == HeaderList{{"A", "b"}});
    // They don't end the connection either.
    REQUIRE(send(responseText(200, {}, "next")));
    CHECK(server_.connections().size() == 1);
}
