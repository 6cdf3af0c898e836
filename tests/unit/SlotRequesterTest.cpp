#include "src/sidecar/ingress/SlotRequester.h"
#include "include/base/EventLog.h"
#include "include/base/Metrics.h"
#include "src/fiber/FiberNotifier.h"
#include "src/sidecar/SidecarTuning.h"
#include "tests/support/ManualClock.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

using namespace waxwing;
using waxwing::testing::ManualClock;

namespace {

/** A requester between homes that record what they get, and a schedule of what happens while a request waits. */
class WaitingIngress
{
protected:
    struct Reserved {
        std::string home;
        SlotReserve reserve;
    };

    WaitingIngress()
        : events_(clock_)
        , requester_(
              clock_, metrics_, events_, [this] { return random_(); }, makeTransport(), {}, tuning())
    { }

    static SlotRequesterTuning tuning()
    {
        SlotRequesterTuning out;
        out.maxWaiting = 1;
        return out;
    }

    SlotRequester::Transport makeTransport()
    {
        SlotRequester::Transport transport;
        transport.knowsReservations = [this](const std::string &home) {
            return unlinked_.count(home) != 0 ? std::nullopt : std::optional<bool>(olderBuilds_.count(home) == 0);
        };
        transport.reserve = [this](const std::string &home, const SlotReserve &reserve) -> std::optional<LinkId> {
            if (unlinked_.count(home) != 0) {
                return std::nullopt;
            }
            reserved_.push_back(Reserved{home, reserve});
            return linkOf(home);
        };
        transport.release = [this](const std::string &home, const SlotRelease &release) {
            released_.emplace_back(home, release.id);
        };
        transport.pause = [this](FiberNotifier &, Duration timeout) { pause(timeout); };
        return transport;
    }

    /** Runs the next scheduled event, or lets the timeout pass if none is due before. */
    void pause(Duration timeout)
    {
        const SteadyTime until = clock_.now() + timeout;
        if (schedule_.empty() || schedule_.begin()->first > until) {
            clock_.advance(timeout);
            return;
        }
        const auto next = schedule_.begin();
        const std::function<void()> event = next->second;
        clock_.advance(std::max(Duration(0), next->first - clock_.now()));
        schedule_.erase(next);
        event();
    }

    void after(Millis delay, std::function<void()> event)
    {
        schedule_.emplace(clock_.now() + delay, std::move(event));
    }

    static LinkId linkOf(const std::string &home)
    {
        return static_cast<LinkId>(home.back());
    }

    /** Lets the home of the reservation number @p index (0 is the first) answer it. */
    void answer(std::size_t index, Millis validFor, const std::string &reason = {})
    {
        REQUIRE(index < reserved_.size());
        HomeLoad load;
        load.slots = 1;
        load.wait = Millis(500);
        requester_.handle(reserved_[index].home, SlotOffer{reserved_[index].reserve.id, validFor, reason, load});
    }

    SlotWait want(const std::string &id = "q1")
    {
        SlotWait out;
        out.requestId = id;
        out.service = "desk";
        out.route = "book";
        out.priority = 2;
        out.need.objective = clock_.now() + Millis(2000);
        out.need.deadline = clock_.now() + Millis(4000);
        out.need.workTime = Millis(200);
        out.candidates = [this] { return candidates(); };
        out.control = control_;
        return out;
    }

    std::vector<ReservationCandidate> candidates() const
    {
        std::vector<ReservationCandidate> out;
        for (const std::string &home : homes_) {
            HomeStatus status;
            status.load = HomeLoad{};
            status.load->slots = 1;
            status.load->wait = Millis(800);
            status.wait = Millis(800);
            status.loadAt = clock_.now();
            out.push_back(ReservationCandidate{home, Distance::SameZone, status});
        }
        return out;
    }

    bool wasReleased(std::size_t index) const
    {
        return std::count(released_.begin(), released_.end(),
                          std::make_pair(reserved_[index].home, reserved_[index].reserve.id))
               == 1;
    }

    ManualClock clock_;
    Metrics metrics_;
    EventLog events_;
    std::mt19937_64 random_{7};
    std::vector<std::string> homes_ = {"n1", "n2", "n3"};
    std::set<std::string> olderBuilds_;
    std::set<std::string> unlinked_;
    std::vector<Reserved> reserved_;
    std::vector<std::pair<std::string, std::uint64_t>> released_;
    std::multimap<SteadyTime, std::function<void()>> schedule_;
    RunControlPtr control_ = std::make_shared<RunControl>();
    SlotRequester requester_;
};

} // namespace

// Guards against a setting that is read but has no effect: waiting must be off where the operator switched it off.
TEST_CASE("sidecar tuning, objective of the settings, decides which routes wait")
{
    Findings findings;
    NodeSettings settings;
    Route route;
    const auto mayWait = [&] {
        const ReservationTuning tuning = makeSidecarTuning(settings, findings).reservations;
        return ReservationPlanner([] { return 0; }, tuning).mayWait(route);
    };
    route.responseTime = Millis(1999);
    CHECK_FALSE(mayWait());
    route.responseTime = Millis(2000);
    CHECK(mayWait());
    settings.waiting.minObjective = Millis(2001);
    CHECK_FALSE(mayWait());
    settings.waiting.minObjective = Millis(0);
    CHECK_FALSE(mayWait());
    settings.waiting.maxRequests = 7;
    CHECK(makeSidecarTuning(settings, findings).maxWaitingRequests == 7);
}

// Guards against more than two reservations of one request, or a release that is missing.
TEST_CASE_FIXTURE(WaitingIngress, "wait, first offer, binds the request and releases the other reservation")
{
    after(Millis(100), [this] { answer(1, Millis(50)); });
    const SlotWaitResult result = requester_.wait(want());
    REQUIRE(result.end == SlotWaitEnd::Offered);
    REQUIRE(reserved_.size() == 2);
    CHECK(reserved_[0].home != reserved_[1].home);
    CHECK(reserved_[0].reserve.id != reserved_[1].reserve.id);
    CHECK(result.home == reserved_[1].home);
    CHECK(result.reservation == reserved_[1].reserve.id);
    CHECK(wasReleased(0));
    CHECK_FALSE(wasReleased(1));
    CHECK(requester_.waiting() == 0);
}

// Failure table: duplicate offer, or two homes offer at the same time.
TEST_CASE_FIXTURE(WaitingIngress, "wait, both homes offer at once, binds the first and releases the second once")
{
    after(Millis(100), [this] {
        answer(0, Millis(50));
        answer(1, Millis(50));
        answer(0, Millis(50));
    });
    const SlotWaitResult result = requester_.wait(want());
    REQUIRE(result.end == SlotWaitEnd::Offered);
    CHECK(result.home == reserved_[0].home);
    CHECK(wasReleased(1));
    // A release of the duplicate could free the slot before the Work arrives.
    answer(0, Millis(50));
    CHECK(released_.size() == 1);
}

// Failure table: an offer for a request that has ended is released, so that the next in order gets the slot.
// Guards against a slot that stays held until its offer expires, because the request may not be sent any more.
TEST_CASE_FIXTURE(WaitingIngress, "offer, request is not sent after its wait, is released")
{
    after(Millis(100), [this] { answer(0, Millis(50)); });
    const SlotWaitResult result = requester_.wait(want());
    REQUIRE(result.end == SlotWaitEnd::Offered);
    CHECK_FALSE(wasReleased(0));
    requester_.release(result);
    CHECK(wasReleased(0));
    released_.clear();
    requester_.release(SlotWaitResult{});
    CHECK(released_.empty());
}

TEST_CASE_FIXTURE(WaitingIngress, "offer, after the wait has ended, is released at once")
{
    after(Millis(100), [this] { answer(0, Millis(50)); });
    REQUIRE(requester_.wait(want()).end == SlotWaitEnd::Offered);
    answer(1, Millis(50));
    CHECK(std::count(released_.begin(), released_.end(), std::make_pair(reserved_[1].home, reserved_[1].reserve.id))
          == 2);
}

// Failure table: link lost: reserve at another home. The other reservation continues.
TEST_CASE_FIXTURE(WaitingIngress, "wait, link to one home is lost, reserves at another one")
{
    after(Millis(100), [this] { requester_.linkClosed(linkOf(reserved_[0].home)); });
    after(Millis(200), [this] {
        REQUIRE(reserved_.size() == 3);
        answer(2, Millis(50));
    });
    const SlotWaitResult result = requester_.wait(want());
    REQUIRE(result.end == SlotWaitEnd::Offered);
    CHECK(result.home == reserved_[2].home);
    CHECK(reserved_[2].home != reserved_[0].home);
    CHECK(wasReleased(1));
    CHECK_FALSE(wasReleased(0));
}

// Failure table: SlotReserve lost, home dies or is partitioned: no offer comes from it; the other one continues.
TEST_CASE_FIXTURE(WaitingIngress, "wait, one home never replies, is offered a slot by the other one")
{
    after(Millis(1500), [this] { answer(1, Millis(50)); });
    const SlotWaitResult result = requester_.wait(want());
    CHECK(result.end == SlotWaitEnd::Offered);
    CHECK(wasReleased(0));
}

// Failure table: home dies. The failure detector of the node is faster than the close of a link that fell silent.
TEST_CASE_FIXTURE(WaitingIngress, "wait, path to a home has failed, reserves at another one")
{
    after(Millis(100), [this] { requester_.homeLost(reserved_[0].home); });
    after(Millis(150), [this] { answer(2, Millis(50)); });
    const SlotWaitResult result = requester_.wait(want());
    REQUIRE(reserved_.size() == 3);
    CHECK(result.home == reserved_[2].home);
}

// Failure table: home shuts down or its server leaves: the sender reserves elsewhere.
TEST_CASE_FIXTURE(WaitingIngress, "wait, home refuses, reserves at another one")
{
    after(Millis(10), [this] { answer(0, Millis(0), "stopping"); });
    after(Millis(20), [this] { answer(2, Millis(50)); });
    const SlotWaitResult result = requester_.wait(want());
    REQUIRE(result.end == SlotWaitEnd::Offered);
    CHECK(result.home == reserved_[2].home);
    CHECK(reserved_.size() == 3);
}

// Failure table: peer of an older build gets no reservations; with no other peer the request is sent as before.
TEST_CASE_FIXTURE(WaitingIngress, "wait, peers of an older build, sends them nothing")
{
    olderBuilds_ = {"n1", "n2"};
    after(Millis(10), [this] { answer(0, Millis(50)); });
    CHECK(requester_.wait(want()).home == "n3");
    CHECK(reserved_.size() == 1);
    olderBuilds_.insert("n3");
    CHECK(requester_.wait(want()).end == SlotWaitEnd::NotPossible);
    CHECK(reserved_.size() == 1);
    CHECK(released_.empty());
}

// Guards against a request that waits at fewer homes than it may because the planned ones have no open link.
TEST_CASE_FIXTURE(WaitingIngress, "wait, homes without an open link, reserves at the others")
{
    unlinked_ = {"n1"};
    after(Millis(10), [this] { answer(0, Millis(50)); });
    CHECK(requester_.wait(want()).end == SlotWaitEnd::Offered);
    CHECK(reserved_.size() == 2);
    unlinked_ = {"n1", "n2", "n3"};
    CHECK(requester_.wait(want()).end == SlotWaitEnd::NotPossible);
}

// Failure table: no home makes an offer. The request is refused at the latest useful start, not at its deadline, and
// callers must not come back at the same time.
TEST_CASE_FIXTURE(WaitingIngress, "wait, no offer, ends at the latest useful start with different retry times")
{
    std::set<Millis> retryTimes;
    for (int i = 0; i < 8; ++i) {
        const SteadyTime deadline = clock_.now() + Millis(4000);
        const SlotWaitResult result = requester_.wait(want());
        REQUIRE(result.end == SlotWaitEnd::NoOffer);
        CHECK(clock_.now() + Millis(200) <= deadline);
        CHECK(clock_.now() + Millis(1000) > deadline);
        CHECK(result.retryAfter >= Millis(800));
        CHECK(result.retryAfter <= Millis(1600));
        retryTimes.insert(result.retryAfter);
    }
    CHECK(retryTimes.size() >= 6);
    // The homes know the latest useful start and end the reservations by themselves.
    CHECK(reserved_.size() == 16);
    CHECK(released_.empty());
    answer(0, Millis(50));
    CHECK(wasReleased(0));
}

// Guards against a request that waits for homes that have all refused it.
TEST_CASE_FIXTURE(WaitingIngress, "wait, every home is busy, ends at once")
{
    const SteadyTime before = clock_.now();
    for (std::size_t i = 0; i < 3; ++i) {
        after(Millis(10), [this, i] { answer(i, Millis(0), "busy"); });
    }
    CHECK(requester_.wait(want()).end == SlotWaitEnd::NoOffer);
    CHECK(clock_.now() - before <= Millis(10));
    CHECK(reserved_.size() == 3);
}

// Guards against a request that goes from home to home although two have refused it because its nested calls would
// fail.
TEST_CASE_FIXTURE(WaitingIngress, "wait, two homes expect the nested calls to fail, ends at once")
{
    const SteadyTime before = clock_.now();
    for (std::size_t i = 0; i < 2; ++i) {
        after(Millis(10), [this, i] { answer(i, Millis(0), "calls-unserved"); });
    }
    const SlotWaitResult result = requester_.wait(want());
    CHECK(result.end == SlotWaitEnd::NoOffer);
    CHECK(result.callsUnserved == maxCallsUnserved);
    CHECK(clock_.now() - before <= Millis(10));
    CHECK(reserved_.size() == 2);
}

// Guards against a request that is given up because of the evidence of a single home.
TEST_CASE_FIXTURE(WaitingIngress, "wait, one of two homes expects the nested calls to fail, waits for the other one")
{
    after(Millis(10), [this] { answer(0, Millis(0), "calls-unserved"); });
    after(Millis(50), [this] { answer(1, Millis(50)); });
    CHECK(requester_.wait(want()).end == SlotWaitEnd::Offered);
    CHECK(reserved_.size() == 2);
}

// Guards against messages for a replacement that is not needed.
TEST_CASE_FIXTURE(WaitingIngress, "wait, one of two homes is busy, is not replaced")
{
    after(Millis(10), [this] { answer(0, Millis(0), "busy"); });
    after(Millis(50), [this] { answer(1, Millis(50)); });
    CHECK(requester_.wait(want()).end == SlotWaitEnd::Offered);
    CHECK(reserved_.size() == 2);
}

// Guards against a request that leaves the queue of a home of an older build although it gets no offer there.
TEST_CASE_FIXTURE(WaitingIngress, "direct queue timeout, at a home of an older build, is as before")
{
    olderBuilds_ = {"n2"};
    unlinked_ = {"n3"};
    HomeChoice choice;
    choice.queueTimeout = Millis(3000);
    choice.node = "n1";
    CHECK(requester_.directQueueTimeout(choice) < choice.queueTimeout);
    for (const char *node : {"n2", "n3"}) {
        choice.node = node;
        CHECK(requester_.directQueueTimeout(choice) == choice.queueTimeout);
    }
}

// Guards against an upgrade in which the first new nodes wait for each other's slots while all others are free.
TEST_CASE_FIXTURE(WaitingIngress, "homes, more than a quarter of an older build, are not reserved at")
{
    homes_ = {"n1", "n2", "n3", "n4"};
    CHECK(requester_.canReserve(candidates()));
    olderBuilds_ = {"n1"};
    CHECK(requester_.canReserve(candidates()));
    olderBuilds_ = {"n1", "n2"};
    CHECK_FALSE(requester_.canReserve(candidates()));
    // A home without a link may be of either build.
    unlinked_ = {"n1", "n2"};
    CHECK(requester_.canReserve(candidates()));
    unlinked_ = {"n1", "n2", "n3", "n4"};
    CHECK_FALSE(requester_.canReserve(candidates()));
}

// Guards against a refusal of the caller although homes have no server for another reason than load.
TEST_CASE_FIXTURE(WaitingIngress, "wait, every home stops, sends the request as before")
{
    for (std::size_t i = 0; i < 3; ++i) {
        after(Millis(10), [this, i] { answer(i, Millis(0), "stopping"); });
    }
    CHECK(requester_.wait(want()).end == SlotWaitEnd::NotPossible);
}

// Guards against a slot that stays held for a caller that has left, also if the offer came in the same moment.
TEST_CASE_FIXTURE(WaitingIngress, "wait, cancelled, releases every reservation")
{
    after(Millis(50), [this] {
        answer(0, Millis(50));
        control_->cancel();
    });
    const SteadyTime before = clock_.now();
    CHECK(requester_.wait(want()).end == SlotWaitEnd::Cancelled);
    CHECK(clock_.now() - before == Millis(50));
    CHECK(wasReleased(0));
    CHECK(wasReleased(1));
    CHECK_FALSE(control_->interrupt);
    CHECK_FALSE(control_->onCancelQueued);
}

// Guards against a stopping node that holds its callers until their deadlines.
TEST_CASE_FIXTURE(WaitingIngress, "wait, node stops, ends the wait")
{
    after(Millis(50), [this] { control_->cancelQueued(); });
    CHECK(requester_.wait(want()).end == SlotWaitEnd::Cancelled);
    SlotWait limited = want();
    limited.control = std::make_shared<RunControl>();
    limited.until = clock_.now() + Millis(30);
    const SteadyTime before = clock_.now();
    CHECK(requester_.wait(limited).end == SlotWaitEnd::NoOffer);
    CHECK(clock_.now() - before == Millis(30));
}

// Guards against waiting requests without bound at an ingress, and against gauges that keep old values.
TEST_CASE_FIXTURE(WaitingIngress, "wait, beyond the bound, is not possible; gauges show who waits")
{
    after(Millis(40), [this] {
        CHECK(requester_.wait(want("q2")).end == SlotWaitEnd::NotPossible);
        requester_.updateGauges();
        CHECK(metrics_.gauge("slot_waiting_desk_priority_2") == 1.0);
        CHECK(metrics_.gauge("slot_waiting_oldest_seconds") == doctest::Approx(0.04));
        answer(0, Millis(50));
    });
    CHECK(requester_.wait(want()).end == SlotWaitEnd::Offered);
    requester_.updateGauges();
    CHECK(metrics_.gauge("slot_waiting_desk_priority_2") == 0.0);
    CHECK(metrics_.gauge("slot_waiting_oldest_seconds") == 0.0);
}
