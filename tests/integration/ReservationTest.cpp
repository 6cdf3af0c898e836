#include "tests/support/Mesh.h"

#include <csignal>
#include <cstdlib>
#include <doctest/doctest.h>

using namespace waxwing;
using namespace waxwing::testing;

namespace {

constexpr unsigned served = 200;
constexpr unsigned notRunStatus = 503;

MeshOptions scarceOptions(const std::vector<std::string> &services, int workMs)
{
    MeshOptions out;
    out.services = services;
    out.slots = 1;
    out.workMs = workMs;
    out.objectiveMs = 3000;
    out.timeoutMs = 5000;
    out.urgentRoute = true;
    return out;
}

/** Callers that send at the same time, and what each got. */
struct Callers {
    explicit Callers(Mesh &meshIn)
        : mesh(meshIn)
    { }

    void add(int node, const std::string &id, const std::string &path, Millis delay = Millis(0))
    {
        tasks.emplace_back([this, node, id, path, delay] {
            pause(delay);
            const auto start = std::chrono::steady_clock::now();
            const auto response = mesh.send(node, id, path, Millis(5000));
            statuses[id] = response ? response->status : 0;
            took[id] = std::chrono::duration_cast<Millis>(std::chrono::steady_clock::now() - start);
        });
    }

    int countServed() const
    {
        int count = 0;
        for (const auto &[id, status] : statuses) {
            count += status == served ? 1 : 0;
        }
        return count;
    }

    /** Returns the mean time of the served requests whose id begins with @p prefix. */
    Millis meanTime(const std::string &prefix) const
    {
        Millis sum{0};
        int count = 0;
        for (const auto &[id, time] : took) {
            if (id.compare(0, prefix.size(), prefix) == 0 && statuses.at(id) == served) {
                sum += time;
                ++count;
            }
        }
        return count == 0 ? Millis(0) : sum / count;
    }

    /** Checks that each served request ran once, and that a refused one did not run. */
    void checkExecutions() const
    {
        std::map<std::string, int> executions = mesh.executions();
        for (const auto &one : statuses) {
            const std::string &id = one.first;
            const unsigned status = one.second;
            INFO("request " << id << " status " << status);
            const bool isBooking = id.compare(0, 4, "book") == 0;
            CHECK((!isBooking || executions[id] <= 1));
            if (status == served) {
                CHECK(executions[id] >= 1);
            } else if (status == notRunStatus) {
                CHECK((!isBooking || executions[id] == 0));
            }
        }
    }

    Mesh &mesh;
    std::vector<std::function<void()>> tasks;
    std::map<std::string, unsigned> statuses;
    std::map<std::string, Millis> took;
};

/** Servers beside nodes 0 and 2, which run this build in a fleet of two builds (tools/check-mixed). */
class TwoScarceServers
{
protected:
    TwoScarceServers()
        : mesh_(scarceOptions({"desk", "other", "desk"}, 100))
    { }

    int countLines(const std::vector<std::string> &texts) const
    {
        int count = 0;
        for (int node = 0; node < 3; ++node) {
            count += mesh_.countLogLines(node, texts);
        }
        return count;
    }

    Mesh mesh_;
};

/** One server, beside node 2. In a fleet of two builds (tools/check-mixed), nodes 0, 2 and 4 run this build. */
class OneScarceServer
{
protected:
    OneScarceServer()
        : mesh_(scarceOptions({"other", "other", "desk", "other", "other"}, 150))
    { }

    Mesh mesh_;
};

/** One server, beside node 1, which runs the earlier build in a fleet of two builds. */
class ServerAtOtherBuild
{
protected:
    ServerAtOtherBuild()
        : mesh_(scarceOptions({"other", "desk", "other"}, 100))
    { }

    Mesh mesh_;
};

class ThreeScarceServers
{
protected:
    ThreeScarceServers()
        : mesh_(scarceOptions({"desk", "desk", "desk"}, 150))
    { }

    /** Sends 18 requests to two nodes, does @p event while most of them wait, and returns how many were served. */
    int countServedWith(const std::function<void()> &event)
    {
        Callers callers(mesh_);
        for (int i = 0; i < 18; ++i) {
            const bool isBooking = i % 3 == 0;
            callers.add(i % 2, (isBooking ? "book-" : "read-") + std::to_string(i),
                        isBooking ? "/seats/1" : "/dates/1");
        }
        callers.tasks.emplace_back([&event] {
            pause(Millis(250));
            event();
        });
        runConcurrently(callers.tasks);
        callers.checkExecutions();
        MESSAGE("served " << callers.countServed() << " of 18");
        return callers.countServed();
    }

    Mesh mesh_;
};

/** The same scarce servers, with reservations switched off. */
class ShortObjective
{
protected:
    ShortObjective()
        : mesh_(options())
    { }

    static MeshOptions options()
    {
        MeshOptions out = scarceOptions({"desk", "desk", "other"}, 100);
        out.objectiveMs = 1900;
        return out;
    }

    Mesh mesh_;
};

} // namespace

// Guards against requests that go from one busy home to the next while their turn comes elsewhere, against a request
// that runs twice because it reserved at two homes, and against priority inversion.
TEST_CASE_FIXTURE(TwoScarceServers, "reservation, more callers than slots, serves the more urgent first and each once")
{
    Callers callers(mesh_);
    for (int i = 0; i < 15; ++i) {
        const int node = i % 2 == 0 ? 2 : 0;
        callers.add(node, "book-" + std::to_string(i), "/seats/1");
    }
    for (int i = 0; i < 15; ++i) {
        const int node = i % 2 == 0 ? 2 : 0;
        callers.add(node, "urgent-" + std::to_string(i), "/urgent/1");
    }
    runConcurrently(callers.tasks);
    callers.checkExecutions();
    CHECK(callers.countServed() >= 28);
    CHECK(callers.meanTime("urgent-") < callers.meanTime("book-"));
    CHECK(countLines({"event=slot_bound"}) >= 5);
    const int sends = countLines({"event=sent", "request=book-"}) + countLines({"event=sent", "request=urgent-"});
    MESSAGE("sends " << sends << ", bound " << countLines({"event=slot_bound"}) << ", served " << callers.countServed()
                     << ", urgent " << callers.meanTime("urgent-").count() << " ms, others "
                     << callers.meanTime("book-").count() << " ms");
    CHECK(sends <= 2 * callers.countServed());
}

// Guards against a slot that stays unused because its reservations belong to requests at a home that died, and against
// requests that wait for offers of a dead home until they are refused.
TEST_CASE_FIXTURE(ThreeScarceServers, "reservation, home killed while reservations wait there, others serve them")
{
    // What ran at the killed home is lost for a booking.
    CHECK(countServedWith([this] { mesh_.node(2).kill(); }) >= 16);
}

// Guards against requests that are lost, or wait in vain, because the home of their reservations stops.
TEST_CASE_FIXTURE(ThreeScarceServers, "reservation, home stops while reservations wait there, others serve them")
{
    CHECK(countServedWith([this] { mesh_.node(2).signal(SIGTERM); }) == 18);
}

// The same for a home whose server drains and deregisters.
TEST_CASE_FIXTURE(ThreeScarceServers, "reservation, server leaves while reservations wait there, others serve them")
{
    CHECK(countServedWith([this] { mesh_.server(2).signal(SIGTERM); }) == 18);
}

// Guards against a slot held for a sender that no longer runs. Its link stays open while it is suspended, so only the
// validity of the offer frees the slot.
TEST_CASE_FIXTURE(OneScarceServer, "reservation, sender suspended and killed after an offer, slot serves others")
{
    Callers callers(mesh_);
    for (int i = 0; i < 6; ++i) {
        callers.add(4, "read-" + std::to_string(i), "/dates/1");
    }
    Callers lost(mesh_);
    // Requests that arrive while replies report a wait make reservations, and the urgent ones are offered slots first.
    for (int i = 0; i < 12; ++i) {
        lost.add(0, "urgent-" + std::to_string(i), "/urgent/1", Millis(60 * i));
    }
    std::vector<std::function<void()>> tasks = callers.tasks;
    tasks.insert(tasks.end(), lost.tasks.begin(), lost.tasks.end());
    tasks.emplace_back([this] {
        pause(Millis(700));
        mesh_.node(0).signal(SIGSTOP);
        pause(Millis(1500));
        mesh_.node(0).kill();
    });
    runConcurrently(tasks);
    callers.checkExecutions();
    lost.checkExecutions();
    CHECK(callers.countServed() == 6);
    CHECK(mesh_.countLogLines(2, {"event=slot_offer_expired", "to=n0"}) > 0);
    MESSAGE("expired " << mesh_.countLogLines(2, {"event=slot_offer_expired"}));
}

// Guards against an upgrade during which nodes send reservations to a build that closes the link on them.
TEST_CASE_FIXTURE(ServerAtOtherBuild, "reservation, home of an earlier build, gets requests as before")
{
    Callers callers(mesh_);
    for (int i = 0; i < 20; ++i) {
        callers.add(2 * (i % 2), "read-" + std::to_string(i), "/dates/1", Millis(20 * i));
    }
    runConcurrently(callers.tasks);
    callers.checkExecutions();
    CHECK(callers.countServed() == 20);
    const bool isMixed = std::getenv("WAXWING_OTHER_BUILD") != nullptr;
    const int reserved =
        mesh_.countLogLines(0, {"event=slot_reserved"}) + mesh_.countLogLines(2, {"event=slot_reserved"});
    CHECK((reserved > 0) == !isMixed);
    CHECK(mesh_.countLogLines(1, {"event=link_garbage"}) == 0);
}

// Guards against messages about reservations where they are not enabled.
TEST_CASE_FIXTURE(ShortObjective, "reservation, objective too short for waiting, reserves nothing")
{
    Callers callers(mesh_);
    for (int i = 0; i < 12; ++i) {
        callers.add(2, "book-" + std::to_string(i), "/seats/1");
    }
    runConcurrently(callers.tasks);
    callers.checkExecutions();
    for (int node = 0; node < 3; ++node) {
        CHECK(mesh_.countLogLines(node, {"event=slot_"}) == 0);
    }
}
