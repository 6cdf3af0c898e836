#include "include/limit/FleetRetryBudget.h"
#include "include/limit/NestedCallTracker.h"

#include <doctest/doctest.h>

#include <vector>

using namespace waxwing;

namespace {

const SteadyTime start = SteadyTime(std::chrono::hours(1));

FleetRetryTuning tuning()
{
    FleetRetryTuning out;
    out.share = 0.2;
    out.slack = 50.0;
    out.usableShare = 1.0;
    out.usableSlack = 1.0;
    out.reservedFraction = 0.5;
    return out;
}

int takeAll(FleetRetryBudget &budget, std::size_t nodes, RetryReason reason, SteadyTime now)
{
    int taken = 0;
    while (budget.has(1.0, nodes, reason, now) && taken < 10000) {
        budget.spend(1.0, reason, now);
        ++taken;
    }
    return taken;
}

/**
 * Simulates @p count runs of route "parent" with one nested call each. Runs of "single", without calls, are concurrent
 * with every second one and follow each. Then a caller's request arrives while the server is idle.
 */
void trainTracker(NestedCallTracker &tracker, int count)
{
    std::uint64_t id = 0;
    SteadyTime now = start;
    for (int i = 0; i < count; ++i) {
        tracker.begin(++id, "parent", 1, now);
        if (i % 2 == 0) {
            tracker.begin(++id, "single", 1, now);
        }
        now += Millis(20);
        tracker.arrived("inner", "records", now);
        tracker.end(id--, now);
        if (i % 2 == 0) {
            tracker.end(id, now);
        }
        ++id;
        tracker.begin(id + 1000, "single", 1, now);
        now += Millis(20);
        tracker.end(id + 1000, now);
        now += Millis(40);
        tracker.arrived("callers", "records", now);
    }
}

} // namespace

TEST_CASE("fleet retry budget, many nodes, together stay within the fleet's bound")
{
    constexpr std::size_t nodes = 24;
    constexpr int requestsEach = 40;
    int taken = 0;
    for (std::size_t node = 0; node < nodes; ++node) {
        FleetRetryBudget budget(tuning());
        for (int i = 0; i < requestsEach; ++i) {
            budget.noteRequest(start);
        }
        taken += takeAll(budget, nodes, RetryReason::Failure, start);
    }
    CHECK(taken <= 0.2 * nodes * requestsEach + 50.0);
    CHECK(taken >= 0.2 * nodes * requestsEach);
}

// Guards against a fraction that is applied to the other term of the limit, or to both.
TEST_CASE("fleet retry budget, fractions of the share and of the slack, each limit their own term")
{
    const auto takenWith = [](double usableShare, double usableSlack) {
        FleetRetryTuning one = tuning();
        one.usableShare = usableShare;
        one.usableSlack = usableSlack;
        FleetRetryBudget budget(one);
        for (int i = 0; i < 500; ++i) {
            budget.noteRequest(start);
        }
        return takeAll(budget, 2, RetryReason::Failure, start);
    };
    CHECK(takenWith(1.0, 1.0) == 125);
    CHECK(takenWith(0.5, 1.0) == 75);
    CHECK(takenWith(1.0, 0.2) == 105);
    CHECK(takenWith(0.0, 0.2) == 5);
}

TEST_CASE("fleet retry budget, any interval as long as the window, stays within the bound")
{
    FleetRetryBudget budget(tuning());
    int taken = 0;
    for (int step = 0; step < 40; ++step) {
        const SteadyTime now = start + Millis(250) * step;
        budget.noteRequest(now);
        taken += takeAll(budget, 1, RetryReason::Failure, now);
    }
    CHECK(taken <= 0.2 * 40 + 50.0);
}

// Guards against requests that hang at gray servers and get no hedge, while the budget is kept for failures that don't
// occur.
TEST_CASE("fleet retry budget, hedges, leave as many tokens as failures needed, from a tenth to a half")
{
    const auto hedgesAfter = [](int failures) {
        FleetRetryBudget budget(tuning());
        for (int i = 0; i < failures; ++i) {
            budget.spend(1.0, RetryReason::Failure, start);
        }
        const int hedges = takeAll(budget, 1, RetryReason::Hedge, start);
        CHECK(takeAll(budget, 1, RetryReason::Failure, start) == 50 - failures - hedges);
        return hedges;
    };
    CHECK(hedgesAfter(0) == 45);
    CHECK(hedgesAfter(10) == 30);
    CHECK(hedgesAfter(20) == 10);
    CHECK(hedgesAfter(25) == 0);
    CHECK(hedgesAfter(40) == 0);
}

TEST_CASE("fleet retry budget, failures a window ago, are forgotten and hedges get their tokens again")
{
    FleetRetryBudget budget(tuning());
    for (int i = 0; i < 30; ++i) {
        budget.spend(1.0, RetryReason::Failure, start);
    }
    CHECK(takeAll(budget, 1, RetryReason::Hedge, start + std::chrono::seconds(5)) == 0);
    CHECK(takeAll(budget, 1, RetryReason::Hedge, start + std::chrono::seconds(11)) == 45);
}

TEST_CASE("fleet retry budget, low-priority failures, leave half of the tokens to urgent ones, transfers included")
{
    // Guards against less urgent requests that use up the budget while a whole service sheds half of its requests: the
    // nested calls of lookups took all tokens, and lodgings, which are worth twice as much and had not run, were
    // refused.
    FleetRetryTuning tuning;
    tuning.slack = 50.0 / tuning.usableSlack;
    FleetRetryBudget budget(tuning);
    CHECK(takeAll(budget, 1, RetryReason::LowPriorityFailure, start) == 25);
    CHECK(budget.transferOut(5.0, RetryReason::LowPriorityFailure, 1, start) == 0.0);
    CHECK(budget.transferOut(5.0, RetryReason::Failure, 1, start) == 5.0);
    CHECK(takeAll(budget, 1, RetryReason::Failure, start) == 20);
}

TEST_CASE(
    "nested call tracker, several works running, caller rank is that of the most urgent one that makes such calls")
{
    NestedCallTracker tracker;
    CHECK_FALSE(tracker.callerRank("checks").has_value());
    for (std::uint64_t id = 0; id < 20; ++id) {
        tracker.begin(id, "parent", 3, start);
        tracker.arrived("check", "checks", start);
        tracker.end(id, start);
    }
    tracker.begin(100, "parent", 3, start);
    tracker.begin(101, "single", 1, start);
    CHECK(tracker.callerRank("checks") == 3);
}

TEST_CASE("fleet retry budget, window has passed, is full again")
{
    FleetRetryBudget budget(tuning());
    takeAll(budget, 1, RetryReason::Failure, start);
    CHECK_FALSE(budget.has(1.0, 1, RetryReason::Failure, start + std::chrono::seconds(9)));
    CHECK(budget.has(1.0, 1, RetryReason::Failure, start + std::chrono::seconds(11)));
}

TEST_CASE("fleet retry budget, transfers, move tokens and never create any")
{
    // Guards against requests lost for lack of transfers. Failures are concentrated around a gray server: the node
    // beside it exhausted its share while the fleet had used a tenth of its bound, and one in four calendar requests
    // that a retry could have saved was lost.
    constexpr std::size_t nodes = 4;
    std::vector<FleetRetryBudget> budgets(nodes, FleetRetryBudget(tuning()));
    int taken = 0;
    for (int round = 0; round < 200; ++round) {
        const SteadyTime now = start + Millis(20) * round;
        FleetRetryBudget &recipient = budgets[0];
        if (!recipient.has(1.0, nodes, RetryReason::Failure, now)) {
            const std::size_t donor = 1 + static_cast<std::size_t>(round) % (nodes - 1);
            recipient.transferIn(budgets[donor].transferOut(3.0, RetryReason::Failure, nodes, now), now);
        }
        if (recipient.has(1.0, nodes, RetryReason::Failure, now)) {
            recipient.spend(1.0, RetryReason::Failure, now);
            ++taken;
        }
    }
    CHECK(taken > 35);
    CHECK(taken <= 50);
}

TEST_CASE("fleet retry budget, transferred tokens not used at once, expire")
{
    FleetRetryBudget budget(tuning());
    takeAll(budget, 1, RetryReason::Failure, start);
    budget.transferIn(2.0, start);
    CHECK(budget.has(2.0, 1, RetryReason::Failure, start + Millis(100)));
    CHECK_FALSE(budget.has(1.0, 1, RetryReason::Failure, start + Millis(600)));
}

TEST_CASE("fleet retry budget, new transfer, does not extend an earlier one")
{
    // Guards against a node that keeps unused tokens by requesting transfers again and again. The donor's window has
    // passed by then and the donor spends the same amount again, so that both together exceed the bound.
    FleetRetryBudget budget(tuning());
    takeAll(budget, 1, RetryReason::Failure, start);
    budget.transferIn(2.0, start);
    budget.transferIn(1.0, start + Millis(400));
    CHECK(budget.has(3.0, 1, RetryReason::Failure, start + Millis(450)));
    CHECK_FALSE(budget.has(2.0, 1, RetryReason::Failure, start + Millis(600)));
    CHECK(budget.has(1.0, 1, RetryReason::Failure, start + Millis(600)));
}

TEST_CASE("fleet retry budget, exhausted, transfers nothing")
{
    FleetRetryBudget budget(tuning());
    takeAll(budget, 1, RetryReason::Failure, start);
    CHECK(budget.transferOut(2.0, RetryReason::Failure, 1, start) == 0.0);
}

TEST_CASE("nested call tracker, call fails, is attributed to the work that made it and to no other")
{
    // Guards against a healthy server that is taken for gray: a calendar server returns 500 because its nested call to
    // the records service failed. This counted as evidence against it, and bookings were sent elsewhere.
    NestedCallTracker tracker;
    trainTracker(tracker, 50);
    const SteadyTime later = start + std::chrono::minutes(1);
    tracker.begin(1, "parent", 1, later);
    tracker.begin(2, "single", 1, later);
    tracker.arrived("inner", "records", later);
    CHECK_FALSE(tracker.hadFailedCall(1));
    tracker.failed("inner", "records");
    CHECK(tracker.hadFailedCall(1));
    CHECK_FALSE(tracker.hadFailedCall(2));
}

TEST_CASE("nested call tracker, server never idle, callers' requests are not classified as nested calls")
{
    // Guards against misclassification under high load: the server always runs something, so callers' requests arrive
    // while it is busy, as its nested calls do. Classified as nested calls, they all had the highest priority and their
    // deadline as objective. The queue lost its order, and late work was served before work that could still meet its
    // objective.
    NestedCallTracker tracker;
    tracker.begin(1, "booking", 1, start);
    for (int i = 0; i < 500; ++i) {
        tracker.arrived("callers", "desk", start + Millis(20) * i);
    }
    CHECK_FALSE(tracker.isNestedCall("callers"));
}

TEST_CASE("nested call tracker, callers pause and resume, are not classified as nested calls")
{
    NestedCallTracker tracker;
    SteadyTime now = start;
    tracker.begin(1, "booking", 1, now);
    for (int i = 0; i < 60; ++i) {
        now += Millis(20);
        tracker.arrived("callers", "desk", now);
    }
    tracker.end(1, now);
    now += std::chrono::seconds(30);
    tracker.begin(2, "booking", 1, now);
    tracker.arrived("callers", "desk", now);
    CHECK_FALSE(tracker.isNestedCall("callers"));
}

TEST_CASE("nested call tracker, first request of a route, is not classified as a nested call")
{
    NestedCallTracker tracker;
    tracker.begin(1, "booking", 1, start);
    tracker.arrived("callers", "desk", start);
    CHECK_FALSE(tracker.isNestedCall("callers"));
}

TEST_CASE("nested call tracker, server idle half of the time, nested calls and callers' requests are distinguished")
{
    NestedCallTracker tracker;
    SteadyTime now = start;
    for (std::uint64_t id = 1; id <= 40; ++id) {
        tracker.begin(id, "parent", 1, now);
        tracker.arrived("inner", "records", now);
        tracker.arrived("callers", "desk", now);
        now += Millis(100);
        tracker.end(id, now);
        tracker.arrived("callers", "desk", now);
        now += Millis(100);
    }
    CHECK(tracker.isNestedCall("inner"));
    CHECK_FALSE(tracker.isNestedCall("callers"));
}

TEST_CASE("nested call tracker, callers' own request fails, is attributed to no work")
{
    NestedCallTracker tracker;
    trainTracker(tracker, 50);
    const SteadyTime later = start + std::chrono::minutes(1);
    tracker.begin(1, "parent", 1, later);
    tracker.failed("callers", "records");
    CHECK_FALSE(tracker.hadFailedCall(1));
}

TEST_CASE("nested call tracker, calls concurrent with other work, are attributed to the route that makes them")
{
    // Guards against nested calls that are not charged to the retry budget. A retried calendar request repeats its two
    // calls to the records service. These were 117 of 224 repeated requests in ten seconds and exceeded the service's
    // bound, while each node stayed within its own share.
    NestedCallTracker tracker;
    trainTracker(tracker, 300);
    REQUIRE(tracker.rates("parent").count("records") == 1);
    CHECK(tracker.rates("parent").at("records") == doctest::Approx(1.0).epsilon(0.15));
    const CallRates &single = tracker.rates("single");
    CHECK((single.count("records") == 0 || single.at("records") < 0.1));
}

TEST_CASE("nested call tracker, first executions of a route, yield its call rate")
{
    // Guards against uncharged nested calls after a start with gray servers: calendar requests are retried from the
    // first second on, before their homes have enough samples of the call rate. The called service then received
    // 243 repeated requests, where 200 were allowed.
    NestedCallTracker tracker;
    for (std::uint64_t id = 1; id <= 3; ++id) {
        tracker.begin(id, "parent", 1, start);
        tracker.arrived("inner", "records", start);
        tracker.end(id, start);
    }
    REQUIRE(tracker.rates("parent").count("records") == 1);
    CHECK(tracker.rates("parent").at("records") > 0.8);
}

TEST_CASE("nested call tracker, callers' own requests, are attributed to no work")
{
    NestedCallTracker tracker;
    for (std::uint64_t id = 1; id <= 200; ++id) {
        tracker.begin(id, "parent", 1, start);
        tracker.arrived("callers", "records", start);
        tracker.end(id, start);
        tracker.arrived("callers", "records", start);
    }
    const CallRates &rates = tracker.rates("parent");
    CHECK((rates.count("records") == 0 || rates.at("records") < 0.05));
}
