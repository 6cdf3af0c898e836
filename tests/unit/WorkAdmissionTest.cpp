#include "src/sidecar/home/WorkAdmission.h"
#include "src/fiber/FiberLoop.h"
#include "src/node/NodeCore.h"
#include "src/sidecar/home/NestedCalls.h"
#include "src/sidecar/home/SlotScheduler.h"
#include "tests/support/ManualClock.h"

#include <boost/fiber/operations.hpp>
#include <doctest/doctest.h>

#include <deque>

using namespace waxwing;

namespace {

/** A work whose fiber waits for admission. */
struct Waiter {
    WorkKey key;
    Work work;
    RunControlPtr control = std::make_shared<RunControl>();
    std::uint64_t slotId = 0;
    bool ended = false;
    bool admitted = false;
    std::string reason;
};

/** A home whose server has one slot, which the first work takes. */
class OneSlotHome
{
protected:
    OneSlotHome()
    {
        scheduler_.setServer(1, true);
        REQUIRE(submit().admitted);
    }

    /** Submits a work. It has started or waits for a slot afterwards. */
    Waiter &submit()
    {
        Waiter &one = waiters_.emplace_back();
        one.key = WorkKey{{"sender", 1}, waiters_.size()};
        one.work.route = "read";
        one.work.retryable = true;
        one.work.queueTimeout = Millis(2000);
        one.work.remaining = Millis(5000);
        one.work.untilObjective = Millis(4000);
        spawnFiber([this, &one] {
            const SteadyTime now = clock_.now();
            HomeJob job{one.key, one.work, one.control, scheduler_.nextId(), now + one.work.remaining, now, {}, now};
            one.slotId = job.id;
            one.admitted = admission_.await(job, {});
            one.reason = job.reply.reason;
            one.ended = true;
        });
        runFibers();
        return one;
    }

    static void runFibers()
    {
        constexpr int rounds = 5;
        for (int i = 0; i < rounds; ++i) {
            boost::this_fiber::yield();
        }
    }

    Waiter &first()
    {
        return waiters_.front();
    }

    boost::asio::io_context ioContext_;
    waxwing::testing::ManualClock clock_;
    NodeCore core_{ioContext_, clock_, NodeSettings(), 1, 1};
    SlotQueue queue_;
    NestedCalls nestedCalls_{core_, queue_};
    SlotScheduler scheduler_{core_, queue_, nestedCalls_};
    WorkAdmission admission_{core_, scheduler_};
    /** A deque, because the fibers refer to its elements. */
    std::deque<Waiter> waiters_;
};

} // namespace

// Guards against senders that continue to send to a home whose server has left, because its refusals name a time-out.
TEST_CASE_FIXTURE(OneSlotHome, "work admission, server leaves while a work waits, refusal names no server")
{
    Waiter &waiting = submit();
    REQUIRE_FALSE(waiting.ended);
    scheduler_.clearServer();
    runFibers();
    CHECK(waiting.ended);
    CHECK_FALSE(waiting.admitted);
    CHECK(waiting.reason == "no-server");
}

// Guards against senders that continue to send to a home whose node stops, because its refusals name a time-out.
TEST_CASE_FIXTURE(OneSlotHome, "work admission, node stops while a work waits, refusal names the stop")
{
    Waiter &waiting = submit();
    REQUIRE_FALSE(waiting.ended);
    scheduler_.removeWaiting("stopping");
    runFibers();
    CHECK(waiting.ended);
    CHECK_FALSE(waiting.admitted);
    CHECK(waiting.reason == "stopping");
}

// Guards against a queue timeout that is refused with the reason of another removal.
TEST_CASE_FIXTURE(OneSlotHome, "work admission, no slot before the queue timeout, refusal names the timeout")
{
    Waiter &waiting = submit();
    clock_.advance(Millis(2001));
    scheduler_.poll();
    runFibers();
    CHECK(waiting.ended);
    CHECK(waiting.reason == "queue-timeout");
}

// Guards against a free slot that no waiting request gets before the next periodic poll.
TEST_CASE_FIXTURE(OneSlotHome, "work admission, work cancelled between its start and its resume, next one starts")
{
    Waiter &cancelled = submit();
    Waiter &next = submit();
    scheduler_.release(first().slotId);
    cancelled.control->cancel();
    runFibers();
    CHECK(cancelled.ended);
    CHECK_FALSE(cancelled.admitted);
    CHECK(cancelled.reason == "cancelled");
    CHECK(next.admitted);
    scheduler_.clearServer();
    runFibers();
}

// Guards against a work that runs although its sender has cancelled it while it was queued.
TEST_CASE_FIXTURE(OneSlotHome, "work admission, queued work cancelled between its start and its resume, does not run")
{
    Waiter &cancelled = submit();
    Waiter &next = submit();
    scheduler_.release(first().slotId);
    cancelled.control->cancelQueued();
    runFibers();
    CHECK(cancelled.ended);
    CHECK_FALSE(cancelled.admitted);
    CHECK(cancelled.reason == "queue-timeout");
    CHECK(next.admitted);
    scheduler_.clearServer();
    runFibers();
}
