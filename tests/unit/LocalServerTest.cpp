#include "include/home/LocalServerState.h"

#include <doctest/doctest.h>

using namespace waxwing;

namespace {

/** The server beside this node, and what it says. */
struct BesideServer {
    Announcement says(const std::string &id, std::uint64_t incarnation, std::uint64_t sequence,
                      ServerState server = ServerState::Serving)
    {
        Announcement out;
        out.service = "desk";
        out.server = id;
        out.incarnation = incarnation;
        out.address = "127.0.0.1";
        out.port = 8080;
        out.slots = 3;
        out.sequence = sequence;
        out.state = server;
        return out;
    }

    LocalServer expected{"desk", Endpoint{"127.0.0.1", 8080}};
    LocalServerState state;
};

} // namespace

TEST_CASE_FIXTURE(BesideServer, "local server, first announcement, serves")
{
    CHECK(state.serving() == nullptr);
    CHECK(state.update(says("i1", 100, 1), expected) == ServerChange::Started);
    REQUIRE(state.serving() != nullptr);
    CHECK(state.serving()->server == "i1");
}

TEST_CASE_FIXTURE(BesideServer, "local server, announcement of another service or address, is not acknowledged")
{
    Announcement other = says("i1", 100, 1);
    other.service = "records";
    CHECK(state.update(other, expected) == ServerChange::Ignored);
    other = says("i1", 100, 1);
    other.port = 8081;
    CHECK(state.update(other, expected) == ServerChange::Ignored);
    CHECK(state.serving() == nullptr);
}

TEST_CASE_FIXTURE(BesideServer, "local server, late announcement from before it left, does not bring it back")
{
    // A server says that it drains, and is acknowledged. A heartbeat from before, held up on the way, arrives a second
    // later. Taken as news it would bring work to the server that is about to exit.
    state.update(says("i1", 100, 4), expected);
    CHECK(state.update(says("i1", 100, 6, ServerState::Draining), expected) == ServerChange::Stopped);
    CHECK(state.update(says("i1", 100, 5), expected) == ServerChange::Ignored);
    CHECK(state.serving() == nullptr);
}

TEST_CASE_FIXTURE(BesideServer, "local server, farewell, keeps even newer announcements of that process out")
{
    state.update(says("i1", 100, 4), expected);
    CHECK(state.deregister("i1", 100) == ServerChange::Stopped);
    CHECK(state.update(says("i1", 100, 9), expected) == ServerChange::Ignored);
    CHECK(state.serving() == nullptr);
}

TEST_CASE_FIXTURE(BesideServer, "local server, restart under the old id, is a new process and counts anew")
{
    state.update(says("i1", 100, 50), expected);
    state.deregister("i1", 100);
    CHECK(state.update(says("i1", 200, 1), expected) == ServerChange::Started);
    CHECK(state.serving()->incarnation == 200);
}

TEST_CASE_FIXTURE(BesideServer, "local server, heartbeat of a process that crashed, does not replace its successor")
{
    // The heartbeat was held up by a cut; its sender has crashed meanwhile and another server started at the address.
    state.update(says("i2", 200, 1), expected);
    CHECK(state.update(says("i1", 100, 99), expected) == ServerChange::Ignored);
    CHECK(state.serving()->server == "i2");
    CHECK(state.deregister("i1", 100) == ServerChange::None);
    CHECK(state.serving()->server == "i2");
}

TEST_CASE_FIXTURE(BesideServer, "local server, drained and ready again, serves again")
{
    state.update(says("i1", 100, 1), expected);
    state.update(says("i1", 100, 2, ServerState::Draining), expected);
    CHECK(state.update(says("i1", 100, 3), expected) == ServerChange::Started);
}

TEST_CASE_FIXTURE(BesideServer, "local server, another one answers at its address, is unknown until it says who it is")
{
    state.update(says("i1", 100, 1), expected);
    state.noteReplaced();
    CHECK(state.serving() == nullptr);
    CHECK(state.update(says("i2", 200, 1), expected) == ServerChange::Started);
}
