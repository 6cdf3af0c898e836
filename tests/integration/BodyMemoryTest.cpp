#include "platform/Names.h"
#include "tests/support/Mesh.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace waxwing;
using namespace waxwing::testing;

namespace {

namespace names = platform::names;

constexpr std::size_t megabyte = 1024UL * 1024;
constexpr std::size_t largestBody = 64 * megabyte;
constexpr unsigned ok = 200;
constexpr unsigned unavailable = 503;
// What the sanitizer holds counts as the node's own memory and would leave none for large bodies. Its build has memory
// for all of them, and checks everything but the bounds.
#ifdef __SANITIZE_ADDRESS__
constexpr bool isSanitized = true;
#else
constexpr bool isSanitized = false;
#endif
constexpr int sanitizerMegabytes = 4096;

/** A node with a server, and another node for a second service. */
class LargeBodies
{
protected:
    static MeshOptions optionsFor(int memoryMegabytes)
    {
        MeshOptions options;
        options.services = {"desk", "other"};
        options.maxBodyBytes = largestBody;
        options.timeoutMs = 20000;
        options.workMs = 300;
        options.memoryMegabytes = isSanitized ? sanitizerMegabytes : memoryMegabytes;
        return options;
    }

    static HttpRequest booking(const std::string &id, std::size_t bytes)
    {
        return HttpRequest{
            "POST", "/seats/1", {{"Host", "desk.example"}, {names::requestId, id}}, std::string(bytes, 'b')};
    }

    struct Counts {
        int served = 0;
        int refused = 0;
        int other = 0;
    };

    /** Sends @p count bodies of @p bytes at once, and small requests beside them. */
    static Counts sendAtOnce(Mesh &mesh, int count, std::size_t bytes)
    {
        Counts counts;
        std::vector<std::function<void()>> tasks;
        tasks.reserve(maxTasks);
        for (int i = 0; i < count; ++i) {
            tasks.emplace_back([&, i] {
                const std::string id = "large-" + std::to_string(i);
                const auto response = loopClient().exchange(mesh.callers(0), booking(id, bytes), Millis(20000));
                const unsigned status = response ? response->status : 0;
                ++(status == ok ? counts.served : (status == unavailable ? counts.refused : counts.other));
                if (status == unavailable) {
                    CHECK_FALSE(headerValue(response->headers, "Retry-After").empty());
                    CHECK(mesh.executions()[id] == 0);
                }
            });
        }
        for (int i = 0; i < 5; ++i) {
            tasks.emplace_back([&, i] {
                pause(Millis(100 * i));
                const auto response = mesh.send(0, "small-" + std::to_string(i), "/dates/1", Millis(15000));
                CHECK((response ? response->status : 0) == ok);
            });
        }
        runConcurrently(tasks);
        return counts;
    }

    static void checkPeak(Mesh &mesh, std::size_t maxBytes)
    {
        const std::size_t peak = mesh.node(0).memoryKilobytes("VmHWM") * 1024;
        MESSAGE("peak resident ", peak / megabyte, " MiB");
        CHECK((isSanitized || peak < maxBytes));
        CHECK(mesh.node(0).running());
    }
};

} // namespace

// Guards against a node that is killed for its memory because it copies the body of a request.
TEST_CASE_FIXTURE(LargeBodies, "large bodies, one of the largest size, is in memory once")
{
    Mesh mesh(optionsFor(256));
    SUBCASE("with a length")
    {
        const auto response =
            loopClient().exchange(mesh.callers(0), booking("large", largestBody), std::chrono::seconds(20));
        REQUIRE(response);
        CHECK(response->status == ok);
    }
    SUBCASE("in chunks")
    {
        std::string text =
            "POST /seats/1 HTTP/1.1\r\nHost: desk.example\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n";
        text.append(names::requestId).append(": large\r\n\r\n");
        for (std::size_t sent = 0; sent < largestBody; sent += megabyte) {
            text.append("100000\r\n").append(megabyte, 'b').append("\r\n");
        }
        text.append("0\r\n\r\n");
        CHECK(mesh.sendRaw(0, text, std::chrono::seconds(20)).compare(0, 12, "HTTP/1.1 200") == 0);
    }
    CHECK(mesh.executions()["large"] == 1);
    checkPeak(mesh, 2 * largestBody);
}

// Guards against a node that is killed for its memory by several bodies that are each within their limit.
TEST_CASE_FIXTURE(LargeBodies, "large bodies, many at once, are served or refused and the node keeps its memory")
{
    SUBCASE("eight of the largest size at 256 MB")
    {
        Mesh mesh(optionsFor(256));
        const Counts counts = sendAtOnce(mesh, 8, largestBody);
        CHECK(counts.served >= 2);
        CHECK((isSanitized || counts.refused >= 1));
        CHECK(counts.other == 0);
        checkPeak(mesh, 256 * megabyte);
    }
    SUBCASE("two of the largest size at 128 MB")
    {
        Mesh mesh(optionsFor(128));
        const Counts counts = sendAtOnce(mesh, 2, largestBody);
        CHECK(counts.served >= 1);
        CHECK(counts.other == 0);
        checkPeak(mesh, 128 * megabyte);
    }
    SUBCASE("60 of 4 MB at 256 MB")
    {
        Mesh mesh(optionsFor(256));
        const Counts counts = sendAtOnce(mesh, 60, 4 * megabyte);
        CHECK(counts.served >= 20);
        CHECK(counts.other == 0);
        checkPeak(mesh, 256 * megabyte);
    }
}

// Guards against links that close under the requests of others because a body is too large for them.
TEST_CASE_FIXTURE(LargeBodies, "large bodies, server on another VM, is refused and its link stays open")
{
    Mesh mesh(optionsFor(256));
    const auto response =
        loopClient().exchange(mesh.callers(1), booking("large", 9 * megabyte), std::chrono::seconds(20));
    REQUIRE(response);
    CHECK(response->status == unavailable);
    CHECK(response->body.text().find("body-too-large-for-link") != std::string::npos);
    CHECK(mesh.executions()["large"] == 0);
    CHECK(mesh.log(0).find("event=link_garbage") == std::string::npos);
}
