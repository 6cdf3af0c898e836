#include "src/fiber/FiberLoop.h"
#include "src/link/PeerHub.h"
#include "tests/support/Fleet.h"

#include <doctest/doctest.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

using namespace waxwing;
using namespace waxwing::testing;

namespace {

/** Returns the port of an IPv4 address; 0 for any other one. */
std::uint16_t portOf(const sockaddr_in &address)
{
    return address.sin_family == AF_INET ? ntohs(address.sin_port) : 0;
}

/** Returns the value of TCP_NODELAY of each connected socket of this process with @p port at either end. */
std::vector<int> noDelayOfSockets(std::uint16_t port)
{
    constexpr int maxDescriptor = 1024;
    std::vector<int> values;
    for (int descriptor = 0; descriptor < maxDescriptor; ++descriptor) {
        sockaddr_in local{};
        sockaddr_in remote{};
        socklen_t localSize = sizeof(local);
        socklen_t remoteSize = sizeof(remote);
        const bool connected = getsockname(descriptor, reinterpret_cast<sockaddr *>(&local), &localSize) == 0
                               && getpeername(descriptor, reinterpret_cast<sockaddr *>(&remote), &remoteSize) == 0;
        if (!connected || (portOf(local) != port && portOf(remote) != port)) {
            continue;
        }
        int value = 0;
        socklen_t size = sizeof(value);
        REQUIRE(getsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &value, &size) == 0);
        values.push_back(value);
    }
    return values;
}

} // namespace

// Guards against TCP_NODELAY that is set before the socket is open and has no effect: small messages wait 40 ms for an
// ACK.
TEST_CASE("link, open, has TCP_NODELAY at both ends")
{
    SystemClock clock;
    PeerHub listening(loopContext(), clock, NodeRef{"n1", 1}, PeerHub::Hooks{});
    PeerHub connecting(loopContext(), clock, NodeRef{"n2", 1}, PeerHub::Hooks{});
    const Endpoint endpoint = freeEndpoint();
    REQUIRE(listening.listen(endpoint).has_value());
    REQUIRE(connecting.linkAt(endpoint, std::chrono::seconds(5)).has_value());
    const std::vector<int> values = noDelayOfSockets(endpoint.port);
    REQUIRE(values.size() == 2);
    CHECK(values[0] != 0);
    CHECK(values[1] != 0);
    connecting.stop();
    listening.stop();
}
