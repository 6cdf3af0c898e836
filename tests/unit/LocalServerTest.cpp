#include "include/home/LocalServerState.h"

#include <doctest/doctest.h>

using namespace waxwing;

namespace {

/** The server beside this node and its announcements. */
struct LocalServerFixture {
    Announcement announcement(const std::string &id, std::uint64_t incarnation, std::uint64_t sequence,
                              ServerState serverState = ServerState::Serving)
    {
        Announcement out;
        out.service = "desk";
        out.server = id;
        out.incarnation = incarnation;
        out.address = "127.0.0.1";
        out.port = 8080;
        out.slots = 3;
        out.sequence = sequence;
        out.state = serverState;
        return out;
    }

    LocalServer expected{"desk", Endpoint{"127.0.0.1", 8080}};
    LocalServerState state;
};

} // namespace

TEST_CASE_FIXTURE(LocalServerFixture, "local server, first announcement, serves")
{
    CHECK(state.serving() == nullptr);
    CHECK(state.update(announcement("i1", 100, 1), expected) == ServerChange::Started);
    REQUIRE(state.serving() != nullptr);
    CHECK(state.serving()->server == "i1");
}

TEST_CASE_FIXTURE(LocalServerFixture, "local server, announcement of another service or address, is not acknowledged")
{
    Announcement other = announcement("i1", 100, 1);
    other.service = "records";
    CHECK(state.update(other, expected) == ServerChange::Ignored);
    other = announcement("i1", 100, 1);
    other.port = 8081;
    CHECK(state.update(other, expected) == ServerChange::Ignored);
    CHECK(state.serving() == nullptr);
}

TEST_CASE_FIXTURE(LocalServerFixture, "local server, late announcement from before it drained, does not bring it back")
{
    // A server announces that it drains, and the announcement is acknowledged. An older heartbeat arrives a second
    // later. If it were applied, a server that is about to exit would get work.
    state.update(announcement("i1", 100, 4), expected);
    CHECK(state.update(announcement("i1", 100, 6, ServerState::Draining), expected) == ServerChange::Stopped);
    CHECK(state.update(announcement("i1", 100, 5), expected) == ServerChange::Ignored);
    CHECK(state.serving() == nullptr);
}

TEST_CASE_FIXTURE(LocalServerFixture, "local server, deregistered, ignores even newer announcements of that process")
{
    state.update(announcement("i1", 100, 4), expected);
    CHECK(state.deregister("i1", 100) == ServerChange::Stopped);
    CHECK(state.update(announcement("i1", 100, 9), expected) == ServerChange::Ignored);
    CHECK(state.serving() == nullptr);
}

TEST_CASE_FIXTURE(LocalServerFixture, "local server, restart under the same id, is a new process with a new sequence")
{
    state.update(announcement("i1", 100, 50), expected);
    state.deregister("i1", 100);
    CHECK(state.update(announcement("i1", 200, 1), expected) == ServerChange::Started);
    CHECK(state.serving()->incarnation == 200);
}

TEST_CASE_FIXTURE(LocalServerFixture, "local server, heartbeat of a crashed process, does not replace its successor")
{
    // A network cut delays the heartbeat. Meanwhile its sender has crashed, and another server has started at the
    // address.
    state.update(announcement("i2", 200, 1), expected);
    CHECK(state.update(announcement("i1", 100, 99), expected) == ServerChange::Ignored);
    CHECK(state.serving()->server == "i2");
    CHECK(state.deregister("i1", 100) == ServerChange::None);
    CHECK(state.serving()->server == "i2");
}

TEST_CASE_FIXTURE(LocalServerFixture, "local server, serving again after a drain, accepts work")
{
    state.update(announcement("i1", 100, 1), expected);
    state.update(announcement("i1", 100, 2, ServerState::Draining), expected);
    CHECK(state.update(announcement("i1", 100, 3), expected) == ServerChange::Started);
}

TEST_CASE_FIXTURE(LocalServerFixture,
                  "local server, another process at its address, is unknown until it announces itself")
{
    state.update(announcement("i1", 100, 1), expected);
    CHECK(state.noteReplaced(100) == ServerChange::Stopped);
    CHECK(state.serving() == nullptr);
    CHECK(state.update(announcement("i2", 200, 1), expected) == ServerChange::Started);
}

// Guards against a new process that gets no work because a request to its predecessor fails later.
TEST_CASE_FIXTURE(LocalServerFixture, "local server, earlier process found replaced, later one continues to serve")
{
    state.update(announcement("i1", 100, 1), expected);
    state.update(announcement("i1", 200, 1), expected);
    CHECK(state.noteReplaced(100) == ServerChange::None);
    REQUIRE(state.serving() != nullptr);
    CHECK(state.serving()->incarnation == 200);
}
