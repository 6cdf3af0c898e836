#include "include/home/SlotQueue.h"
#include "tests/support/ManualClock.h"

#include <doctest/doctest.h>

using namespace waxwing;

namespace {

/** A server with 15 slots whose two routes have been seen often enough to know their work times. */
class BusyServer
{
protected:
    BusyServer()
    {
        queue_.setServer(15, true, clock_.now());
        for (int i = 0; i < 20; ++i) {
            const double factor = 0.7 + 0.03 * i;
            queue_.addResult("short", false, std::chrono::duration_cast<Duration>(Millis(250) * factor), clock_.now());
            queue_.addResult("long", false, std::chrono::duration_cast<Duration>(Millis(1500) * factor), clock_.now());
        }
    }

    void start(std::uint64_t id, const std::string &route)
    {
        SlotRequest request;
        request.id = id;
        request.route = route;
        request.retryable = true;
        request.objective = clock_.now() + std::chrono::seconds(4);
        request.deadline = clock_.now() + std::chrono::seconds(8);
        REQUIRE(queue_.submit(request, clock_.now()).action == SlotAction::Start);
    }

    void noteOverdue(bool waitsForCall = false)
    {
        queue_.setCallCheck([waitsForCall](const std::string &) { return waitsForCall; });
        queue_.noteOverdueWork(clock_.now());
    }

    RefusalReason refusalOfBooking()
    {
        SlotRequest booking;
        booking.id = 1000;
        booking.route = "short";
        booking.objective = clock_.now() + std::chrono::seconds(4);
        booking.deadline = clock_.now() + std::chrono::seconds(8);
        const SlotDecision decision = queue_.submit(booking, clock_.now());
        queue_.release(booking.id, clock_.now());
        return decision.reason;
    }

    waxwing::testing::ManualClock clock_;
    SlotQueue queue_;
};

} // namespace

// Guards against a server that hangs and fills all its slots before the first request there times out.
TEST_CASE_FIXTURE(BusyServer,
                  "slot queue, work in progress for longer than nearly all of its route, keeps bookings away")
{
    start(1, "short");
    start(2, "short");
    clock_.advance(Millis(300));
    noteOverdue();
    CHECK(refusalOfBooking() == RefusalReason::None);
    clock_.advance(Millis(700));
    noteOverdue();
    CHECK(refusalOfBooking() == RefusalReason::LikelyGray);
    CHECK(queue_.isOverdue(1));
}

// Guards against a route whose work always takes long and that makes a healthy server look gray.
TEST_CASE_FIXTURE(BusyServer, "slot queue, long work beside short work, is not taken for a hang")
{
    for (std::uint64_t id = 1; id <= 8; ++id) {
        start(id, "long");
    }
    clock_.advance(Millis(1700));
    noteOverdue();
    CHECK(refusalOfBooking() == RefusalReason::None);
    CHECK_FALSE(queue_.isOverdue(1));
}

// Guards against a server that hangs and is taken for sound, since work that it had begun before still ends well.
TEST_CASE_FIXTURE(BusyServer, "slot queue, successes of work started before a silence, are no sign of its end")
{
    clock_.advance(Millis(1000));
    start(1, "short");
    start(2, "short");
    clock_.advance(Millis(600));
    noteOverdue();
    for (int i = 0; i < 4; ++i) {
        queue_.addResult("long", false, Millis(1500), clock_.now());
    }
    CHECK(refusalOfBooking() == RefusalReason::LikelyGray);
}

// Guards against a sound server that is blamed for time-outs of work that it began long before: it has ended much
// since.
TEST_CASE_FIXTURE(BusyServer, "slot queue, time-outs of work started before many successes, blame nobody")
{
    constexpr double ratio = 8.0;
    constexpr int timeouts = 4;
    for (int i = 0; i < 20; ++i) {
        clock_.advance(Millis(100));
        queue_.addResult("short", false, Millis(250), clock_.now());
    }
    for (int i = 0; i < timeouts; ++i) {
        queue_.addEvidence(ratio, Millis(2500), clock_.now());
    }
    CHECK(refusalOfBooking() == RefusalReason::None);
    for (int i = 0; i < timeouts; ++i) {
        queue_.addEvidence(ratio, Millis(0), clock_.now());
    }
    CHECK(refusalOfBooking() == RefusalReason::LikelyGray);
}

// Guards against a hang that nobody sees because the server has had little work of the route.
TEST_CASE_FIXTURE(BusyServer, "slot queue, route seen once, is overdue at many times its work time")
{
    queue_.addResult("rare", false, Millis(2), clock_.now());
    start(1, "rare");
    start(2, "rare");
    clock_.advance(Millis(10));
    noteOverdue();
    CHECK(refusalOfBooking() == RefusalReason::None);
    clock_.advance(Millis(200));
    noteOverdue();
    CHECK(refusalOfBooking() == RefusalReason::LikelyGray);
}

// Guards against a server that is blamed because it waits for another service.
TEST_CASE_FIXTURE(BusyServer, "slot queue, work that waits for a nested call, is not taken for a hang")
{
    start(1, "short");
    start(2, "short");
    clock_.advance(Millis(1000));
    noteOverdue(true);
    CHECK(refusalOfBooking() == RefusalReason::None);
}

// Guards against cold servers and new routes whose usual work time nobody knows.
TEST_CASE_FIXTURE(BusyServer, "slot queue, route without samples, is never overdue")
{
    start(1, "new");
    start(2, "new");
    clock_.advance(std::chrono::seconds(6));
    noteOverdue();
    CHECK_FALSE(queue_.isOverdue(1));
    CHECK(refusalOfBooking() == RefusalReason::None);
}

TEST_CASE_FIXTURE(BusyServer, "slot queue, one run overdue for long, counts once")
{
    start(1, "short");
    clock_.advance(Millis(1000));
    noteOverdue();
    const double once = queue_.grayProbability(clock_.now());
    noteOverdue();
    CHECK(queue_.grayProbability(clock_.now()) == doctest::Approx(once));
}
