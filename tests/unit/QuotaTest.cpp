#include "include/customer/CounterElection.h"
#include "include/customer/QuotaLedger.h"
#include "include/customer/StandInUse.h"
#include "tests/support/ManualClock.h"

#include <doctest/doctest.h>

#include <map>
#include <set>

using namespace waxwing;
using namespace waxwing::testing;

namespace {

class Counter
{
protected:
    QuotaCounter make(CounterStart start = CounterStart::Fresh)
    {
        return QuotaCounter(limit_, tuning_, start, clock_.now());
    }

    ManualClock clock_;
    QuotaTuning tuning_;
    QuotaLimit limit_{100.0, 100.0};
};

class Ledger
{
protected:
    QuotaUse useOf(std::int64_t used, std::uint32_t wanted, std::uint32_t seen) const
    {
        QuotaUse use;
        use.customer = "c";
        use.limit = limit_;
        use.used = used;
        use.wanted = wanted;
        use.seen = seen;
        return use;
    }

    ManualClock clock_;
    QuotaTuning tuning_;
    QuotaLedger ledger_{tuning_};
    QuotaLimit limit_{100.0, 100.0};
};

CountedUse countedOf(std::int64_t added, std::uint32_t granted)
{
    CountedUse counted;
    counted.granted = granted;
    counted.added = added;
    counted.total = added;
    return counted;
}

} // namespace

TEST_CASE_FIXTURE(Counter, "quota counter, more than the burst at once, grants burst and part of the tolerance")
{
    QuotaCounter counter = make();
    const std::uint32_t granted = counter.grant(1000, clock_.now());
    CHECK(granted >= 100);
    CHECK(granted <= 100 + 80);
    CHECK(counter.mode(clock_.now()) == QuotaMode::Metered);
    CHECK(counter.retryAfter(clock_.now()) > Millis(0));
}

TEST_CASE_FIXTURE(Counter, "quota counter, after a denial, opens again once the burst is partly back")
{
    QuotaCounter counter = make();
    counter.grant(1000, clock_.now());
    clock_.advance(std::chrono::seconds(1));
    CHECK(counter.mode(clock_.now()) == QuotaMode::Open);
}

// Guards against requests that a customer has to pay for although they were refused for want of a free server.
TEST_CASE_FIXTURE(Counter, "quota counter, requests given back, can be granted again")
{
    QuotaCounter counter = make();
    const std::uint32_t granted = counter.grant(1000, clock_.now());
    counter.record("n1", -static_cast<std::int64_t>(granted), 0, RegionNodes{}, clock_.now());
    CHECK(counter.grant(1000, clock_.now()) == granted);
}

TEST_CASE_FIXTURE(Counter, "quota counter, lower limit, binds at once and a higher one grants more")
{
    QuotaCounter counter = make();
    counter.setLimit(QuotaLimit{10.0, 10.0}, clock_.now());
    CHECK(counter.grant(1000, clock_.now()) <= 10 + 5);
    counter.setLimit(QuotaLimit{1000.0, 1000.0}, clock_.now());
    clock_.advance(std::chrono::seconds(1));
    CHECK(counter.grant(2000, clock_.now()) >= 900);
}

// Guards against a window that is handed out twice because the node that counted it was lost.
TEST_CASE_FIXTURE(Counter, "quota counter, in place of another one, does not grant the burst again")
{
    QuotaCounter counter = make(CounterStart::InPlaceOfOther);
    CHECK(counter.grant(1000, clock_.now()) == 0);
    CHECK(counter.mode(clock_.now()) == QuotaMode::Metered);
    CHECK(counter.lend(50.0, clock_.now()) == 0.0);
}

// Guards against customers that are refused for seconds after a restart although they send less than their rate.
TEST_CASE_FIXTURE(Counter, "quota counter, node has restarted, grants the usual load at once but not the burst")
{
    QuotaCounter counter = make(CounterStart::AfterLoss);
    int granted = 0;
    for (int step = 0; step < 40; ++step) {
        clock_.advance(Millis(50));
        granted += static_cast<int>(counter.grant(3, clock_.now()));
    }
    CHECK(granted >= 115);
    CHECK(counter.grant(1000, clock_.now()) <= 100);
}

TEST_CASE_FIXTURE(Counter, "quota counter, loan, leaves the lender half of its burst and is not created from nothing")
{
    QuotaCounter lender = make();
    QuotaCounter borrower = make();
    borrower.record("n1", 100, 100, RegionNodes{}, clock_.now());
    CHECK(borrower.needsLoan(clock_.now()));
    const double lent = lender.lend(borrower.loanWanted(clock_.now()), clock_.now());
    CHECK(lent == doctest::Approx(50.0));
    CHECK(lender.lend(100.0, clock_.now()) == doctest::Approx(0.0));
    borrower.borrow(lent, clock_.now());
    CHECK(borrower.loanWanted(clock_.now()) == doctest::Approx(50.0));
}

// Guards against a counter that grants the whole rate after a cut, since it has not met the nodes that it lost.
TEST_CASE_FIXTURE(Counter, "quota counter, customer met seldom and half of the paths failed, grants half of the rate")
{
    QuotaCounter counter = make();
    const auto grantedInASecond = [&](const RegionNodes &nodes) {
        counter.record("n1", 0, 1, nodes, clock_.now());
        counter.grant(1000, clock_.now());
        clock_.advance(std::chrono::seconds(1));
        return counter.grant(1000, clock_.now());
    };
    CHECK(grantedInASecond(RegionNodes{20, 20}) == doctest::Approx(100.0).epsilon(0.02));
    CHECK(grantedInASecond(RegionNodes{20, 10}) == doctest::Approx(50.0).epsilon(0.02));
}

// Guards against a customer whose nodes are all in reach and that is refused because other nodes are cut off.
TEST_CASE_FIXTURE(Counter,
                  "quota counter, customer met often at one node and half of the paths failed, grants the rate")
{
    QuotaCounter counter = make();
    for (int step = 0; step < 20; ++step) {
        counter.record("n1", 0, 10, RegionNodes{20, 10}, clock_.now());
        counter.grant(1000, clock_.now());
        clock_.advance(Millis(100));
    }
    counter.grant(1000, clock_.now());
    clock_.advance(std::chrono::seconds(1));
    CHECK(counter.grant(1000, clock_.now()) == doctest::Approx(100.0).epsilon(0.02));
}

// Guards against two counters that each grant the whole rate to their half of the nodes.
TEST_CASE_FIXTURE(Counter, "quota counter, half of its nodes fall silent under load, grants half of the rate")
{
    QuotaCounter counter = make();
    const auto report = [&](int nodes) {
        for (int node = 0; node < nodes; ++node) {
            counter.record("n" + std::to_string(node), 0, 5, RegionNodes{20, 20}, clock_.now());
        }
        counter.grant(1000, clock_.now());
        clock_.advance(Millis(500));
    };
    for (int step = 0; step < 6; ++step) {
        report(20);
    }
    for (int step = 0; step < 4; ++step) {
        report(10);
    }
    counter.grant(1000, clock_.now());
    clock_.advance(Millis(500));
    CHECK(counter.grant(1000, clock_.now()) <= 35);
}

TEST_CASE_FIXTURE(Ledger, "quota ledger, customer far from its limit, admits and reports later")
{
    CHECK(ledger_.decide("c", limit_, clock_.now()) == QuotaDecision::Admit);
    CHECK(ledger_.decide("c", limit_, clock_.now()) == QuotaDecision::Admit);
    const auto uses = ledger_.takeUnreported(clock_.now());
    REQUIRE(uses.size() == 1);
    CHECK(uses[0].used == 2);
    CHECK_FALSE(ledger_.hasUnreported());
}

TEST_CASE_FIXTURE(Ledger, "quota ledger, customer near its limit, asks first and keeps a denial in mind")
{
    ledger_.setMode("c", QuotaMode::Metered, clock_.now());
    CHECK(ledger_.decide("c", limit_, clock_.now()) == QuotaDecision::Ask);
    ledger_.noteReply("c", QuotaMode::Metered, clock_.now() + Millis(300), clock_.now());
    CHECK(ledger_.decide("c", limit_, clock_.now()) == QuotaDecision::Deny);
    clock_.advance(Millis(301));
    CHECK(ledger_.decide("c", limit_, clock_.now()) == QuotaDecision::Ask);
}

// Guards against a node that is cut off and goes on admitting all that comes.
TEST_CASE_FIXTURE(Ledger, "quota ledger, counter does not reply, admits no more than an equal share")
{
    CHECK(ledger_.decide("c", limit_, clock_.now()) == QuotaDecision::Admit);
    ledger_.takeUnreported(clock_.now());
    clock_.advance(Millis(200));
    int admitted = 0;
    for (int i = 0; i < 100; ++i) {
        CHECK(ledger_.decide("c", limit_, clock_.now()) == QuotaDecision::NoCounter);
        admitted += ledger_.admitAlone("c", 10, clock_.now()) ? 1 : 0;
        clock_.advance(Millis(50));
    }
    CHECK(admitted >= 20);
    CHECK(admitted <= 51);
}

TEST_CASE_FIXTURE(Ledger, "quota ledger, report without a reply, is repeated")
{
    ledger_.decide("c", limit_, clock_.now());
    for (const QuotaUse &use : ledger_.takeUnreported(clock_.now())) {
        ledger_.restore(use, clock_.now());
    }
    CHECK(ledger_.takeUnreported("c", clock_.now()).used == 1);
}

TEST_CASE_FIXTURE(Ledger, "quota ledger, customers without requests, are forgotten")
{
    for (int i = 0; i < 100; ++i) {
        ledger_.decide("c" + std::to_string(i), limit_, clock_.now());
    }
    ledger_.takeUnreported(clock_.now());
    clock_.advance(std::chrono::seconds(11));
    ledger_.evictIdle(clock_.now());
    CHECK(ledger_.size() == 0);
}

// Guards against a counter whose limit becomes zero because a node reports a customer that it has forgotten.
TEST_CASE_FIXTURE(Ledger,
                  "quota ledger, request given back after its customer was forgotten, is not reported without a limit")
{
    ledger_.decide("c", limit_, clock_.now());
    ledger_.takeUnreported(clock_.now());
    clock_.advance(std::chrono::seconds(11));
    ledger_.evictIdle(clock_.now());
    CHECK_FALSE(ledger_.giveBack("c", clock_.now(), clock_.now()));
    for (const QuotaUse &use : ledger_.takeUnreported(clock_.now())) {
        CHECK(use.limit == limit_);
    }
}

// The same for a report that is restored after its customer was forgotten.
TEST_CASE_FIXTURE(Ledger, "quota ledger, report restored after its customer was forgotten, keeps its limit")
{
    ledger_.decide("c", limit_, clock_.now());
    const auto uses = ledger_.takeUnreported(clock_.now());
    clock_.advance(std::chrono::seconds(11));
    ledger_.evictIdle(clock_.now());
    ledger_.restore(uses.at(0), clock_.now());
    const auto again = ledger_.takeUnreported(clock_.now());
    REQUIRE(again.size() == 1);
    CHECK(again[0].used == 1);
    CHECK(again[0].limit == limit_);
}

TEST_CASE("counter election, many customers, spreads them over the nodes and moves few when one is lost")
{
    std::vector<std::string> nodes;
    nodes.reserve(34);
    for (int i = 0; i < 34; ++i) {
        nodes.push_back("n" + std::to_string(i));
    }
    CounterElection before;
    before.setNodes(nodes, SteadyTime());
    CounterElection after;
    after.setNodes({nodes.begin() + 1, nodes.end()}, SteadyTime());
    std::map<std::string, int> counts;
    for (int i = 0; i < 3400; ++i) {
        const std::string customer = "c" + std::to_string(i);
        const std::string counter = before.counterOf(customer, SteadyTime());
        ++counts[counter];
        if (counter != nodes[0]) {
            CHECK(after.counterOf(customer, SteadyTime()) == counter);
        }
    }
    CHECK(counts.size() == 34);
    for (const auto &[node, count] : counts) {
        CHECK(count < 200);
    }
}

TEST_CASE("counter election, silent node, is excluded for a while")
{
    CounterElection election;
    election.setNodes({"a", "b", "c", "d"}, SteadyTime());
    const std::string first = election.counterOf("customer", SteadyTime());
    election.noteUnreachable(first, SteadyTime());
    const std::string second = election.counterOf("customer", SteadyTime());
    CHECK(second != first);
    CHECK_FALSE(election.isFirst(second, "customer"));
    CHECK(election.counterOf("customer", SteadyTime() + std::chrono::seconds(4)) == first);
}

// Guards against a node that is excluded for seconds after it replies again, while another one counts as well.
TEST_CASE("counter election, silent node replies again, is chosen at once")
{
    CounterElection election;
    election.setNodes({"a", "b", "c", "d"}, SteadyTime());
    const std::string first = election.counterOf("customer", SteadyTime());
    election.noteUnreachable(first, SteadyTime());
    CHECK(election.firstOf("customer") == first);
    election.noteReachable(first);
    CHECK(election.counterOf("customer", SteadyTime()) == first);
}

// Guards against a first counter that is charged twice, or for tokens that its bucket has regained since.
TEST_CASE_FIXTURE(Ledger, "stand-in use, requests counted in place of another node, are reported once up to the burst")
{
    StandInUse standIn;
    CHECK(standIn.isEmpty());
    standIn.add(useOf(3, 1, 4), countedOf(4, 1), 10.0, clock_.now());
    auto uses = standIn.take(clock_.now());
    REQUIRE(uses.size() == 1);
    CHECK(uses[0].used == 4);
    CHECK(uses[0].limit == limit_);
    CHECK(uses[0].isFromStandIn());
    CHECK(standIn.isEmpty());
    standIn.restore(uses[0]);
    standIn.add(useOf(30, 0, 30), countedOf(30, 0), 10.0, clock_.now());
    uses = standIn.take(clock_.now());
    REQUIRE(uses.size() == 1);
    CHECK(uses[0].used == 10);
}

// Guards against nodes with different registries that report the same requests to each other without end.
TEST_CASE_FIXTURE(Ledger, "stand-in use, report of another stand-in, is not passed on")
{
    StandInUse standIn;
    standIn.add(useOf(5, 0, 0), countedOf(5, 0), 10.0, clock_.now());
    CHECK(standIn.isEmpty());
}

// Guards against a counter that grants its whole bucket although another node has granted the same tokens meanwhile.
TEST_CASE_FIXTURE(Counter, "quota counter, another node has counted in its place, grants that much less")
{
    QuotaCounter counter = make();
    counter.recordStandIn(60, clock_.now());
    CHECK(counter.loanWanted(clock_.now()) == doctest::Approx(60.0));
}

// Guards against customers that pay twice after a restart: by the empty bucket, and by the report of the stand-in.
TEST_CASE_FIXTURE(Counter, "quota counter, node has restarted and a stand-in reports, begins empty at that time")
{
    QuotaCounter counter = make(CounterStart::AfterLoss);
    clock_.advance(Millis(200));
    counter.recordStandIn(100, clock_.now());
    CHECK(counter.loanWanted(clock_.now()) == doctest::Approx(100.0));
    counter.recordStandIn(10, clock_.now());
    CHECK(counter.loanWanted(clock_.now()) == doctest::Approx(110.0));
}
