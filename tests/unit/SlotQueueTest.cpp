#include "include/home/SlotQueue.h"
#include "tests/support/ManualClock.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace waxwing;

namespace {

const SteadyTime start = SteadyTime(std::chrono::hours(1));

/** A home whose server has three slots and works for about 200 ms on a request. */
struct OneServer {
    OneServer()
    {
        queue.setServer(3, true, now);
        for (int i = 0; i < 20; ++i) {
            queue.addResult("read", false, Millis(200), now);
        }
    }

    SlotRequest request(const std::string &route, bool idempotent, int priority = 1)
    {
        SlotRequest out;
        out.id = next++;
        out.route = route;
        out.retryable = idempotent;
        out.priority = priority;
        out.objective = now + Millis(1000);
        out.deadline = now + Millis(2000);
        out.queueTimeout = Millis(600);
        return out;
    }

    SlotDecision submit(const SlotRequest &request)
    {
        return queue.submit(request, now);
    }

    void fill()
    {
        for (int i = 0; i < 3; ++i) {
            REQUIRE(submit(request("read", true)).action == SlotAction::Start);
        }
    }

    /** Starts eight requests at a server with as many slots, and waits until all of them are overdue. */
    void startEightAndWait()
    {
        queue.setServer(8, false, now);
        for (int i = 0; i < 8; ++i) {
            REQUIRE(submit(request("read", true)).action == SlotAction::Start);
        }
        now += Millis(500);
        queue.noteOverdueWork(now);
    }

    /** Fails a request at once, as gray servers do. */
    void failAtOnce()
    {
        queue.addResult("read", true, Millis(1), now);
    }

    /** Starts a request now that succeeds after the usual time. */
    void probeInTime()
    {
        now += Millis(200);
        queue.addResult("read", false, Millis(200), now);
    }

    SteadyTime now = start;
    SlotQueue queue;
    std::uint64_t next = 1;
};

} // namespace

// Guards against a home that counts as gray, and so is lost to a request without another one, because its own node was
// stalled while responses lay unread.
TEST_CASE_FIXTURE(OneServer, "slot queue, node stalled while eight requests run, server stays usable for all work")
{
    const SteadyTime stalledFrom = now;
    queue.setStallCheck([&](SteadyTime, SteadyTime at) { return std::min<Duration>(Millis(400), at - stalledFrom); });
    startEightAndWait();
    CHECK(queue.grayProbability(now) < SlotTuning{}.grayThreshold);
    CHECK_FALSE(queue.isOverdue(1));
    SUBCASE("and silent for as long again, counts as overdue")
    {
        now += Millis(500);
        queue.noteOverdueWork(now);
        CHECK(queue.isOverdue(1));
    }
}

TEST_CASE_FIXTURE(OneServer, "slot queue, all slots taken, never starts one more")
{
    fill();
    CHECK(submit(request("read", true)).action == SlotAction::Queue);
    CHECK(queue.poll(now).start.empty());
    queue.release(1, now);
    CHECK(queue.poll(now).start.size() == 1);
    CHECK(queue.poll(now).start.empty());
}

TEST_CASE_FIXTURE(OneServer, "slot queue, no server, refuses with that reason")
{
    queue.clearServer();
    const SlotDecision decision = submit(request("read", true));
    CHECK(decision.action == SlotAction::Refuse);
    CHECK(decision.reason == RefusalReason::NoServer);
}

TEST_CASE_FIXTURE(OneServer, "slot queue, server leaves, returns waiting requests for other homes")
{
    // A request is queued when the server begins to leave. If the home kept it in the queue, the leaving server would
    // get it when a slot frees, seconds after its deregistration was acknowledged.
    fill();
    const SlotRequest waiting = request("book", false);
    REQUIRE(submit(waiting).action == SlotAction::Queue);
    CHECK(queue.clearServer() == std::vector<std::uint64_t>{waiting.id});
    queue.release(1, now);
    CHECK(queue.poll(now).start.empty());
}

TEST_CASE_FIXTURE(OneServer, "slot queue, more urgent request arrives later, starts first")
{
    fill();
    const SlotRequest slow = request("browse", true, 2);
    REQUIRE(submit(slow).action == SlotAction::Queue);
    const SlotRequest urgent = request("read", true, 1);
    REQUIRE(submit(urgent).action == SlotAction::Queue);
    queue.release(1, now);
    CHECK(queue.poll(now).start == std::vector<std::uint64_t>{urgent.id});
}

TEST_CASE_FIXTURE(OneServer, "slot queue, request already late, starts after requests that can meet their objective")
{
    fill();
    SlotRequest late = request("read", true, 1);
    late.objective = now + Millis(50);
    REQUIRE(submit(late).action == SlotAction::Queue);
    const SlotRequest inTime = request("browse", true, 2);
    REQUIRE(submit(inTime).action == SlotAction::Queue);
    queue.release(1, now);
    CHECK(queue.poll(now).start == std::vector<std::uint64_t>{inTime.id});
}

TEST_CASE_FIXTURE(OneServer, "slot queue, expected wait above the queue timeout, refuses at once")
{
    fill();
    SlotRequest shortTimeout = request("read", true);
    shortTimeout.queueTimeout = Millis(20);
    const SlotDecision decision = submit(shortTimeout);
    CHECK(decision.action == SlotAction::Refuse);
    CHECK(decision.reason == RefusalReason::Busy);
    CHECK(queue.load(1, now).wait > Millis(20));
}

TEST_CASE_FIXTURE(OneServer, "slot queue, queue timeout passed, removes the request and never starts it")
{
    fill();
    const SlotRequest waiting = request("read", true);
    REQUIRE(submit(waiting).action == SlotAction::Queue);
    CHECK(queue.nextPollTime(now) == now + waiting.queueTimeout);
    now += waiting.queueTimeout;
    CHECK(queue.poll(now).expired == std::vector<std::uint64_t>{waiting.id});
    queue.release(1, now);
    CHECK(queue.poll(now).start.empty());
}

TEST_CASE_FIXTURE(OneServer,
                  "slot queue, less urgent request overtaken repeatedly, is refused because of the real wait")
{
    // Under high load, less urgent requests wait behind urgent ones that keep arriving. An estimate from the queue
    // alone admits them, and they time out in the queue. After a few of these, the estimate must include the later
    // arrivals, so that the request is refused at once.
    SlotRequest calendar = request("browse", true, 2);
    SlotDecision decision;
    for (int round = 0; round < 30; ++round) {
        fill();
        calendar = request("browse", true, 2);
        decision = submit(calendar);
        if (decision.action == SlotAction::Refuse) {
            break;
        }
        now += calendar.queueTimeout;
        queue.poll(now);
        for (std::uint64_t id = 1; id < next; ++id) {
            queue.release(id, now);
        }
    }
    CHECK(decision.action == SlotAction::Refuse);
    CHECK(decision.reason == RefusalReason::Busy);
}

TEST_CASE_FIXTURE(OneServer, "slot queue, late request with no slot before its timeout, is returned at once")
{
    // Guards against a late request that waits behind others under high load for a second or more, until its timeout,
    // and is refused only then. It can't be served, so the home must return it as soon as that is known.
    for (int round = 0; round < 20; ++round) {
        fill();
        now += Millis(200);
        for (std::uint64_t id = 1; id < next; ++id) {
            queue.release(id, now);
        }
    }
    fill();
    SlotRequest booking = request("book", false);
    booking.queueTimeout = Millis(1200);
    REQUIRE(submit(booking).action == SlotAction::Queue);
    for (int i = 0; i < 5; ++i) {
        SlotRequest other = request("read", true);
        other.objective = now + Millis(3000);
        other.queueTimeout = Millis(1900);
        REQUIRE(submit(other).action == SlotAction::Queue);
    }
    now += Millis(850);
    const SlotQueue::PollResult result = queue.poll(now);
    CHECK(std::count(result.expired.begin(), result.expired.end(), booking.id) == 1);
}

TEST_CASE_FIXTURE(OneServer, "slot queue, late request with no other ahead, continues to wait")
{
    for (int i = 0; i < 3; ++i) {
        REQUIRE(submit(request("download", true)).action == SlotAction::Start);
    }
    SlotRequest booking = request("book", false);
    booking.queueTimeout = Millis(1800);
    REQUIRE(submit(booking).action == SlotAction::Queue);
    now += Millis(850);
    CHECK(queue.poll(now).expired.empty());
}

TEST_CASE_FIXTURE(OneServer, "slot queue, one fast failure, refuses requests that can't be retried")
{
    // A gray server answers 500 within a millisecond while it passes its health checks. A non-idempotent request that
    // it fails is lost, because it may have run. An idempotent one can be retried elsewhere and shows whether the
    // server has recovered.
    failAtOnce();
    const SlotDecision booking = submit(request("book", false));
    CHECK(booking.action == SlotAction::Refuse);
    CHECK(booking.reason == RefusalReason::LikelyGray);
    CHECK(submit(request("read", true)).action == SlotAction::Start);
}

TEST_CASE_FIXTURE(OneServer, "slot queue, one failure after the usual work time, refuses nothing")
{
    queue.addResult("read", true, Millis(200), now);
    CHECK(submit(request("book", false)).action == SlotAction::Start);
}

TEST_CASE_FIXTURE(OneServer, "slot queue, server likely gray, admits one idempotent probe per interval")
{
    failAtOnce();
    const SlotRequest probe = request("read", true);
    REQUIRE(submit(probe).action == SlotAction::Start);
    CHECK(submit(request("read", true)).reason == RefusalReason::LikelyGray);
    queue.release(probe.id, now);
    CHECK(submit(request("read", true)).reason == RefusalReason::LikelyGray);
    now += Millis(160);
    CHECK(submit(request("read", true)).action == SlotAction::Start);
}

TEST_CASE_FIXTURE(OneServer, "slot queue, successful probes, admit all requests again")
{
    failAtOnce();
    for (int i = 0; i < 6; ++i) {
        probeInTime();
    }
    CHECK(submit(request("book", false)).action == SlotAction::Start);
}

TEST_CASE_FIXTURE(OneServer, "slot queue, sender accepts a gray server, is admitted")
{
    failAtOnce();
    SlotRequest booking = request("book", false);
    booking.acceptsGray = true;
    CHECK(submit(booking).action == SlotAction::Start);
}

TEST_CASE_FIXTURE(OneServer, "slot queue, server turns gray while requests wait, returns them for other homes")
{
    fill();
    const SlotRequest booking = request("book", false);
    REQUIRE(submit(booking).action == SlotAction::Queue);
    failAtOnce();
    CHECK(queue.poll(now).expired == std::vector<std::uint64_t>{booking.id});
}

TEST_CASE_FIXTURE(OneServer, "slot queue, probes keep failing, interval between them grows")
{
    // Guards against frequent probes of a server that stays gray: servers that failed nearly everything for 15 seconds
    // were probed six times a second. Each probe used up one of the two attempts of an idempotent request and a retry,
    // and the second server was often gray too.
    failAtOnce();
    int probes = 0;
    for (const SteadyTime end = now + std::chrono::seconds(12); now < end; now += Millis(20)) {
        const SlotRequest probe = request("read", true);
        if (submit(probe).action == SlotAction::Start) {
            ++probes;
            failAtOnce();
            queue.release(probe.id, now);
        }
    }
    CHECK(probes <= 16);
    // The floor of servers in use is measured over two seconds: no server may be without work for that long.
    CHECK(probes >= 6);
}

// Guards against probes that use up the retries which requests at other servers need: in a fleet of hundreds of nodes
// some sender has a request whenever a probe is due.
TEST_CASE_FIXTURE(OneServer, "slot queue, gray phase of six seconds in a large fleet, admits at most six probes")
{
    const auto countProbes = [&](bool acceptsGray) {
        int probes = 0;
        failAtOnce();
        for (const SteadyTime end = now + Millis(6500); now < end; now += Millis(20)) {
            SlotRequest probe = request("read", true);
            probe.acceptsGray = acceptsGray;
            if (submit(probe).action == SlotAction::Start) {
                ++probes;
                failAtOnce();
                queue.release(probe.id, now);
            }
        }
        return probes;
    };
    CHECK(countProbes(false) <= 6);
    // Senders without a better home probe sooner, because the capacity is needed.
    for (int i = 0; i < 12; ++i) {
        queue.addResult("read", false, Millis(200), now);
    }
    CHECK(countProbes(true) >= 7);
}

// Guards against a home that refuses all requests for seconds because overdue work still counts as failed after it has
// succeeded.
TEST_CASE_FIXTURE(OneServer, "slot queue, all work overdue at once and then successful, server is not held gray")
{
    startEightAndWait();
    CHECK(queue.isOverdue(1));
    CHECK(queue.grayProbability(now) > 0.9);
    for (std::uint64_t id = 1; id <= 8; ++id) {
        queue.withdrawOverdue(id);
    }
    CHECK(queue.grayProbability(now) < 0.1);
    for (std::uint64_t id = 1; id <= 8; ++id) {
        queue.addResult("read", false, Millis(500), now);
        queue.release(id, now);
    }
    CHECK(queue.grayProbability(now) < 0.1);
    CHECK(submit(request("read", false)).action == SlotAction::Start);
}

// Guards against a hanging server that is held healthy because one work has succeeded.
TEST_CASE_FIXTURE(OneServer, "slot queue, one of eight overdue works succeeds, server is still likely gray")
{
    startEightAndWait();
    queue.withdrawOverdue(1);
    queue.addResult("read", false, Millis(500), now);
    queue.release(1, now);
    CHECK(queue.grayProbability(now) > 0.5);
}

TEST_CASE_FIXTURE(OneServer, "slot queue, last attempt of an idempotent request, is not used as a probe")
{
    // A request that failed at a gray server goes to a second server, and there is no third attempt. If the second
    // server is likely gray too, its home must not admit the request as a probe.
    failAtOnce();
    CHECK(submit(request("read", false)).reason == RefusalReason::LikelyGray);
}

TEST_CASE_FIXTURE(OneServer, "slot queue, server almost certainly gray, refuses senders that accept a gray server")
{
    // Guards against lost requests while all healthy homes are busy: senders then accepted servers that failed nine of
    // ten requests, and callers could not know whether their request had run. After a refusal they know that it has not
    // and that they may retry.
    failAtOnce();
    failAtOnce();
    SlotRequest booking = request("book", false);
    booking.acceptsGray = true;
    CHECK(submit(booking).reason == RefusalReason::LikelyGray);
}

TEST_CASE_FIXTURE(OneServer, "slot queue, three successful probes after many failures, admit all requests again")
{
    for (int i = 0; i < 12; ++i) {
        failAtOnce();
    }
    for (int i = 0; i < 3; ++i) {
        probeInTime();
    }
    CHECK(submit(request("book", false)).action == SlotAction::Start);
}

TEST_CASE_FIXTURE(OneServer, "slot queue, new process of the server, starts without earlier evidence")
{
    failAtOnce();
    queue.setServer(3, true, now);
    CHECK(submit(request("book", false)).action == SlotAction::Start);
}

// Guards against a server that has recovered and gets nothing for two seconds because its last probes failed.
TEST_CASE_FIXTURE(OneServer,
                  "slot queue, idle server likely gray, admits one request of a sender without a better home")
{
    constexpr int failures = 8;
    for (int i = 0; i < failures; ++i) {
        failAtOnce();
    }
    const SlotRequest last = request("read", true);
    REQUIRE(submit(last).action == SlotAction::Start);
    failAtOnce();
    queue.release(last.id, now);
    now += Millis(700);
    CHECK(submit(request("read", true)).reason == RefusalReason::LikelyGray);
    SlotRequest booking = request("book", false);
    booking.acceptsGray = true;
    CHECK(submit(booking).reason == RefusalReason::LikelyGray);
    SlotRequest probe = request("read", true);
    probe.acceptsGray = true;
    REQUIRE(submit(probe).action == SlotAction::Start);
    failAtOnce();
    queue.release(probe.id, now);
    now += Millis(1050);
    REQUIRE(queue.grayProbability(now) > 0.8);
    booking = request("book", false);
    CHECK(submit(booking).reason == RefusalReason::LikelyGray);
    booking = request("book", false);
    booking.acceptsGray = true;
    CHECK(submit(booking).action == SlotAction::Start);
    booking = request("book", false);
    booking.acceptsGray = true;
    CHECK(submit(booking).reason == RefusalReason::LikelyGray);
}

// Guards against work that can't be retried and is sent to the likely gray server of the same node as a probe.
TEST_CASE_FIXTURE(OneServer, "slot queue, server without a request for long, needs one that it would admit")
{
    CHECK_FALSE(queue.needsRequest(true, now));
    now += Millis(500);
    CHECK(queue.needsRequest(false, now));
    failAtOnce();
    CHECK_FALSE(queue.needsRequest(false, now));
    CHECK(queue.needsRequest(true, now));
    REQUIRE(submit(request("read", true)).action == SlotAction::Start);
    now += Millis(500);
    CHECK_FALSE(queue.needsRequest(true, now));
}
