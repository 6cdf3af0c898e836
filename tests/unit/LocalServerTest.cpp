#include "include/home/LocalServerState.h"

#include <doctest/doctest.h>

#include <functional>
#include <optional>
#include <vector>

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

// Guards against a server that gets work after it has left, because a new process of its node doesn't know of that.
TEST_CASE_FIXTURE(LocalServerFixture,
                  "local server, earlier process of the node knew of its notice, stays out of service")
{
    const auto departureAfter = [&](bool isKnown, const std::function<void(LocalServerState &)> &notice) {
        LocalServerState earlier;
        if (isKnown) {
            earlier.update(announcement("i1", 100, 4), expected);
        }
        notice(earlier);
        return earlier.departure();
    };
    const auto drains = [&](LocalServerState &earlier) {
        earlier.update(announcement("i1", 100, 6, ServerState::Draining), expected);
    };
    const std::vector<std::optional<ServerDeparture>> departures = {
        departureAfter(true, [](LocalServerState &earlier) { earlier.deregister("i1", 100); }),
        departureAfter(true, [](LocalServerState &earlier) { earlier.deregister("i1", std::nullopt); }),
        departureAfter(false, [](LocalServerState &earlier) { earlier.deregister("i1", 100); }),
        departureAfter(true, drains),
        departureAfter(false, drains),
    };
    const auto checkStaysOut = [&](LocalServerState &later) {
        CHECK(later.update(announcement("i1", 100, 5), expected) == ServerChange::Ignored);
        CHECK(later.serving() == nullptr);
        CHECK(later.update(announcement("i1", 200, 1), expected) == ServerChange::Started);
    };
    for (const auto &departure : departures) {
        REQUIRE(departure);
        LocalServerState restored;
        restored.restore(departure);
        checkStaysOut(restored);

        LocalServerState announcedBefore;
        announcedBefore.awaitRestore();
        CHECK(announcedBefore.update(announcement("i1", 100, 5), expected) == ServerChange::None);
        CHECK(announcedBefore.restore(departure) == ServerChange::None);
        checkStaysOut(announcedBefore);

        LocalServerState confirmedBefore;
        confirmedBefore.awaitRestore();
        confirmedBefore.update(announcement("i1", 100, 4), expected);
        confirmedBefore.update(announcement("i1", 100, 5), expected);
        CHECK(confirmedBefore.restore(departure) == ServerChange::Stopped);
        checkStaysOut(confirmedBefore);
    }
}

// Guards against a server without work for as long as the store is away when its node starts.
TEST_CASE_FIXTURE(LocalServerFixture, "local server, stored notice can't be read, second announcement is believed")
{
    state.awaitRestore();
    CHECK(state.update(announcement("i1", 100, 4), expected) == ServerChange::None);
    CHECK(state.serving() == nullptr);
    CHECK(state.update(announcement("i1", 100, 4), expected) == ServerChange::None);
    CHECK(state.update(announcement("i1", 100, 3), expected) == ServerChange::None);
    CHECK(state.serving() == nullptr);
    CHECK(state.update(announcement("i1", 100, 5), expected) == ServerChange::Started);
}

// Guards against a late announcement of a crashed server that confirms the first one of its successor.
TEST_CASE_FIXTURE(LocalServerFixture,
                  "local server, stored notice can't be read, announcements of two processes confirm none")
{
    state.awaitRestore();
    state.update(announcement("i1", 200, 1), expected);
    CHECK(state.update(announcement("i1", 100, 9), expected) == ServerChange::None);
    CHECK(state.serving() == nullptr);
    CHECK(state.update(announcement("i1", 200, 2), expected) == ServerChange::Started);
}

// Guards against a wait for a second announcement where no notice was given.
TEST_CASE_FIXTURE(LocalServerFixture, "local server, nothing to restore, serves with its first announcement")
{
    state.awaitRestore();
    CHECK(state.update(announcement("i1", 100, 4), expected) == ServerChange::None);
    CHECK(state.restore(std::nullopt) == ServerChange::Started);
    REQUIRE(state.serving() != nullptr);
    CHECK(state.serving()->sequence == 4);
}

// Guards against an acknowledged deregistration that later announcements revoke, because its process is unknown.
TEST_CASE_FIXTURE(LocalServerFixture,
                  "local server, unknown process deregisters without its incarnation, is not acknowledged")
{
    CHECK(state.deregister("i1", std::nullopt) == ServerChange::Ignored);
    state.awaitRestore();
    state.update(announcement("i1", 100, 4), expected);
    CHECK(state.deregister("i1", std::nullopt) == ServerChange::None);
    CHECK(state.restore(std::nullopt) == ServerChange::None);
    CHECK(state.update(announcement("i1", 100, 5), expected) == ServerChange::Ignored);
}

// Guards against a write to the store with every heartbeat of a leaving server.
TEST_CASE_FIXTURE(LocalServerFixture, "local server, repeats its notice, has the same departure to store")
{
    state.update(announcement("i1", 100, 4), expected);
    state.update(announcement("i1", 100, 5, ServerState::Draining), expected);
    const std::optional<ServerDeparture> first = state.departure();
    REQUIRE(first);
    state.update(announcement("i1", 100, 6, ServerState::Draining), expected);
    state.deregister("i1", 100);
    CHECK(state.departure() == first);
    LocalServerState later;
    later.restore(first);
    later.update(announcement("i1", 100, 7, ServerState::Draining), expected);
    CHECK(later.departure() == first);
    LocalServerState again;
    again.restore(first);
    CHECK(again.update(announcement("i1", 100, 8), expected) == ServerChange::Started);
    again.update(announcement("i1", 100, 9, ServerState::Draining), expected);
    CHECK(again.departure() != first);
}
