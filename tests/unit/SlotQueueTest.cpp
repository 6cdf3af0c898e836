#include "include/home/SlotQueue.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace waxwing;

namespace {

const SteadyTime start = SteadyTime(std::chrono::hours(1));

/** A home whose server has three slots and works for about 200 ms. */
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

    /** The server fails a request at once, as gray servers do. */
    void failAtOnce()
    {
        queue.addResult("read", true, Millis(1), now);
    }

    SteadyTime now = start;
    SlotQueue queue;
    std::uint64_t next = 1;
};

} // namespace

TEST_CASE_FIXTURE(OneServer, "slot queue, all slots taken, never starts one more")
{
    fill();
    CHECK(submit(request("read", true)).action == SlotAction::Queue);
    CHECK(queue.poll(now).start.empty());
    queue.release(1, now);
    CHECK(queue.poll(now).start.size() == 1);
    CHECK(queue.poll(now).start.empty());
}

TEST_CASE_FIXTURE(OneServer, "slot queue, no server, refuses and says so")
{
    queue.clearServer();
    const SlotDecision decision = submit(request("read", true));
    CHECK(decision.action == SlotAction::Refuse);
    CHECK(decision.reason == RefusalReason::NoServer);
}

TEST_CASE_FIXTURE(OneServer, "slot queue, server leaves, gives back what waited so that other homes can take it")
{
    // A caller's booking waits at a home whose server says that it leaves. If the home kept it in the queue, it would
    // be handed to the leaving server when a slot frees, seconds after the leaving was acknowledged.
    fill();
    const SlotRequest waiting = request("book", false);
    REQUIRE(submit(waiting).action == SlotAction::Queue);
    CHECK(queue.clearServer() == std::vector<std::uint64_t>{waiting.id});
    queue.release(1, now);
    CHECK(queue.poll(now).start.empty());
}

TEST_CASE_FIXTURE(OneServer, "slot queue, more urgent work that came later, starts first")
{
    fill();
    const SlotRequest slow = request("browse", true, 2);
    REQUIRE(submit(slow).action == SlotAction::Queue);
    const SlotRequest urgent = request("read", true, 1);
    REQUIRE(submit(urgent).action == SlotAction::Queue);
    queue.release(1, now);
    CHECK(queue.poll(now).start == std::vector<std::uint64_t>{urgent.id});
}

TEST_CASE_FIXTURE(OneServer, "slot queue, work that is late already, goes behind work that can be in time")
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

TEST_CASE_FIXTURE(OneServer, "slot queue, wait beyond the request's patience, refuses at once instead of holding it")
{
    fill();
    SlotRequest impatient = request("read", true);
    impatient.queueTimeout = Millis(20);
    const SlotDecision decision = submit(impatient);
    CHECK(decision.action == SlotAction::Refuse);
    CHECK(decision.reason == RefusalReason::Busy);
    CHECK(queue.load(1, now).wait > Millis(20));
}

TEST_CASE_FIXTURE(OneServer, "slot queue, patience spent, takes the request out and never starts it")
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
                  "slot queue, less urgent work overtaken again and again, is told the real wait and refused")
{
    // On a day of high load an office manager's calendar waits behind bookings that keep coming. The estimate counts
    // only those that are there already, lets the calendar in, and it waits in vain until its time is over. After some
    // of these the home must say what the wait really is, so that the caller is refused at once.
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

TEST_CASE_FIXTURE(OneServer, "slot queue, late work that those in time leave no room for, is given back at once")
{
    // On a day of high load a booking that had become late waited behind others until its time was over, a second or
    // more, and then was refused. It can't be served: its caller hears so as soon as the home knows.
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
    const SlotQueue::PollResult due = queue.poll(now);
    CHECK(std::count(due.expired.begin(), due.expired.end(), booking.id) == 1);
}

TEST_CASE_FIXTURE(OneServer, "slot queue, late work at a home with room, goes on waiting")
{
    fill();
    SlotRequest booking = request("book", false);
    booking.queueTimeout = Millis(1800);
    REQUIRE(submit(booking).action == SlotAction::Queue);
    now += Millis(850);
    CHECK(queue.poll(now).expired.empty());
}

TEST_CASE_FIXTURE(OneServer, "slot queue, one failure that came at once, keeps work that can't be tried again away")
{
    // A gray server answers 500 within a millisecond while its health is good. A booking that meets it is lost for
    // good, since it may have run; a calendar can be asked again elsewhere and shows whether the server is well again.
    failAtOnce();
    const SlotDecision booking = submit(request("book", false));
    CHECK(booking.action == SlotAction::Refuse);
    CHECK(booking.reason == RefusalReason::LikelyGray);
    CHECK(submit(request("read", true)).action == SlotAction::Start);
}

TEST_CASE_FIXTURE(OneServer,
                  "slot queue, one failure after the usual work time, is the request's and keeps nobody away")
{
    queue.addResult("read", true, Millis(200), now);
    CHECK(submit(request("book", false)).action == SlotAction::Start);
}

TEST_CASE_FIXTURE(OneServer, "slot queue, doubtful server, gets idempotent trials one at a time and not at once again")
{
    failAtOnce();
    const SlotRequest trial = request("read", true);
    REQUIRE(submit(trial).action == SlotAction::Start);
    CHECK(submit(request("read", true)).reason == RefusalReason::LikelyGray);
    queue.release(trial.id, now);
    CHECK(submit(request("read", true)).reason == RefusalReason::LikelyGray);
    now += Millis(160);
    CHECK(submit(request("read", true)).action == SlotAction::Start);
}

TEST_CASE_FIXTURE(OneServer, "slot queue, good trials, bring the server back for all work")
{
    failAtOnce();
    for (int i = 0; i < 6; ++i) {
        queue.addResult("read", false, Millis(200), now);
    }
    CHECK(submit(request("book", false)).action == SlotAction::Start);
}

TEST_CASE_FIXTURE(OneServer, "slot queue, sender that knows of the doubt, is let in")
{
    failAtOnce();
    SlotRequest booking = request("book", false);
    booking.acceptsGray = true;
    CHECK(submit(booking).action == SlotAction::Start);
}

TEST_CASE_FIXTURE(OneServer, "slot queue, server turns gray while bookings wait, gives them back for other homes")
{
    fill();
    const SlotRequest booking = request("book", false);
    REQUIRE(submit(booking).action == SlotAction::Queue);
    failAtOnce();
    CHECK(queue.poll(now).expired == std::vector<std::uint64_t>{booking.id});
}

TEST_CASE_FIXTURE(OneServer, "slot queue, trials that keep failing, are made less and less often")
{
    // Servers that fail nearly everything for a quarter of a minute were tried six times a second all the while. Each
    // trial took one of the two servers that a calendar request may use, and a second send; the second server was often
    // a gray one too.
    failAtOnce();
    int trials = 0;
    for (const SteadyTime end = now + std::chrono::seconds(12); now < end; now += Millis(20)) {
        const SlotRequest trial = request("read", true);
        if (submit(trial).action == SlotAction::Start) {
            ++trials;
            failAtOnce();
            queue.release(trial.id, now);
        }
    }
    CHECK(trials <= 16);
    // The floor of servers in use is judged over two seconds: none may go without work for so long.
    CHECK(trials >= 6);
}

// Guards against trials that take the second sends which requests at other servers need: in a fleet of hundreds some
// sender knocks whenever a trial may be made.
TEST_CASE_FIXTURE(OneServer, "slot queue, gray phase of six seconds in a large fleet, costs six trials at most")
{
    const auto trialsOf = [&](bool acceptsGray) {
        int trials = 0;
        failAtOnce();
        for (const SteadyTime end = now + Millis(6500); now < end; now += Millis(20)) {
            SlotRequest trial = request("read", true);
            trial.acceptsGray = acceptsGray;
            if (submit(trial).action == SlotAction::Start) {
                ++trials;
                failAtOnce();
                queue.release(trial.id, now);
            }
        }
        return trials;
    };
    CHECK(trialsOf(false) <= 6);
    // Who has no better home finds out sooner: the capacity is needed.
    for (int i = 0; i < 12; ++i) {
        queue.addResult("read", false, Millis(200), now);
    }
    CHECK(trialsOf(true) >= 7);
}

TEST_CASE_FIXTURE(OneServer, "slot queue, last try of a request that can be repeated, is not used as a trial")
{
    // A certificate look-up that a gray server failed is sent to a second server, and there is no third. That one was
    // gray too, its home knew it, and let the look-up in as a trial.
    failAtOnce();
    CHECK(submit(request("read", false)).reason == RefusalReason::LikelyGray);
}

TEST_CASE_FIXTURE(OneServer, "slot queue, server that surely is gray, refuses also those that say they know of it")
{
    // With all sound homes busy, bookings went knowingly into servers that failed nine of ten, and their callers could
    // not tell whether they had a seat. A refusal tells them that they have none and may come again.
    failAtOnce();
    failAtOnce();
    SlotRequest booking = request("book", false);
    booking.acceptsGray = true;
    CHECK(submit(booking).reason == RefusalReason::LikelyGray);
}

TEST_CASE_FIXTURE(OneServer, "slot queue, trials end well, server is back after three of them")
{
    for (int i = 0; i < 12; ++i) {
        failAtOnce();
    }
    for (int i = 0; i < 3; ++i) {
        queue.addResult("read", false, Millis(200), now);
    }
    CHECK(submit(request("book", false)).action == SlotAction::Start);
}

TEST_CASE_FIXTURE(OneServer,
                  "slot queue, another process of the server, starts without the doubt about the earlier one")
{
    failAtOnce();
    queue.setServer(3, true, now);
    CHECK(submit(request("book", false)).action == SlotAction::Start);
}

TEST_CASE("gray filter, silence after a failure, moves back to the usual doubt by itself")
{
    GrayFilter filter;
    const double usual = filter.grayProbability(start);
    filter.addFailure(150.0, start);
    CHECK(filter.grayProbability(start) > 0.9);
    CHECK(filter.grayProbability(start + std::chrono::seconds(3)) < filter.grayProbability(start));
    CHECK(filter.grayProbability(start + std::chrono::seconds(60)) == doctest::Approx(usual).epsilon(0.01));
}

TEST_CASE("gray filter, phase that has lasted long, is expected to go on as long again")
{
    GrayFilter brief;
    brief.addFailure(500.0, start);
    GrayFilter lasting;
    for (int second = 0; second <= 15; second += 3) {
        lasting.addFailure(500.0, start + std::chrono::seconds(second));
    }
    const Duration pause = std::chrono::seconds(5);
    CHECK(lasting.grayProbability(start + std::chrono::seconds(15) + pause)
          > brief.grayProbability(start + pause) + 0.1);
}

TEST_CASE("gray filter, phase that fails nearly everything, is over after few good answers")
{
    GrayFilter half;
    GrayFilter all;
    for (int i = 0; i < 10; ++i) {
        all.addFailure(500.0, start);
        half.addFailure(500.0, start);
        half.addSuccess(start);
    }
    for (int i = 0; i < 3; ++i) {
        all.addSuccess(start);
        half.addSuccess(start);
    }
    CHECK(all.grayProbability(start) < 0.45);
    CHECK(half.grayProbability(start) > 0.45);
}

TEST_CASE("gray filter, a failure among many good answers, is less than a failure after silence")
{
    GrayFilter busy;
    for (int i = 0; i < 10; ++i) {
        busy.addSuccess(start);
    }
    busy.addFailure(50.0, start);
    GrayFilter silent;
    silent.addFailure(50.0, start);
    CHECK(busy.grayProbability(start) < silent.grayProbability(start));
}
