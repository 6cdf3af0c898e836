#include "platform/Names.h"
#include "tests/support/Mesh.h"

#include <doctest/doctest.h>

#include <string>

using namespace waxwing;
using namespace waxwing::testing;

namespace {

namespace names = platform::names;

constexpr std::uint64_t megabyte = 1024UL * 1024;

/** Two nodes; the only server of the service is beside the first, and its responses can be replaced. */
class BrokenServer
{
protected:
    BrokenServer()
        : mesh_(options())
    { }

    /** Returns what the caller of @p node gets for a booking while the server responds with @p reply. */
    std::string book(int node, const std::string &reply, bool isReset, std::size_t uploadBytes)
    {
        const std::string id = "broken-" + std::to_string(node);
        // Open connections to the server are reset, since they would carry the request past the reply.
        mesh_.setServerLinkFault(0, {{"reply", {{"bytes", reply}, {"reset", isReset}}}, {"reset", true}});
        return mesh_.sendRaw(node, Mesh::requestText(id, "/seats/1", std::string(uploadBytes, 'u')), Millis(4000));
    }

    /** Returns the headers of a success that the server would send to the request of @p node. */
    static std::string headers(int node)
    {
        return std::string(names::requestId) + ": broken-" + std::to_string(node) + "\r\n" + names::signature
               + ": seal-i-0\r\n";
    }

    static MeshOptions options()
    {
        MeshOptions out;
        out.services = {"desk", "other"};
        out.serverProxies = true;
        out.maxBodyBytes = 8 * megabyte;
        return out;
    }

    Mesh mesh_;
};

} // namespace

// Guards against a part of a response that reaches the caller as a whole one, because its server reset the connection
// while it was still being sent the request.
TEST_CASE_FIXTURE(BrokenServer, "mesh, response without a length reset under the upload, is a failure to the caller")
{
    int node = 0;
    SUBCASE("at the node of the server")
    { }
    SUBCASE("at another node")
    {
        node = 1;
    }
    const std::string response = book(node, "HTTP/1.1 200 X\r\n" + headers(node) + "\r\npart", true, 6 * megabyte);
    CAPTURE(response);
    CHECK(response.substr(0, 12) == "HTTP/1.1 502");
}

// Guards against bytes of a server in trouble that reach the caller as a response, and against a caller who waits for a
// body that belongs to none.
TEST_CASE_FIXTURE(BrokenServer, "mesh, message that is no response, is a failure to the caller at once")
{
    std::string begin;
    SUBCASE("status 000 without a length")
    {
        begin = "HTTP/1.1 000 X\r\n";
    }
    SUBCASE("status 999 with a length")
    {
        begin = "HTTP/1.1 999 X\r\nContent-Length: 0\r\n";
    }
    SUBCASE("folded length")
    {
        begin = "HTTP/1.1 200 X\r\nA: b\r\n Content-Length: 0\r\n";
    }
    for (int node = 0; node < 2; ++node) {
        const std::string response = book(node, begin + headers(node) + "\r\n", false, 1);
        CAPTURE(response);
        // The second may be refused without being sent, because the server looks gray by then.
        const bool isFailure =
            response.substr(0, 12) == "HTTP/1.1 502" || (node > 0 && response.substr(0, 12) == "HTTP/1.1 503");
        CHECK(isFailure);
    }
}
