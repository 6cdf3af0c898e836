#include "include/base/Ids.h"
#include "include/customer/CountedReports.h"
#include "include/customer/OverflowHistory.h"
#include "include/customer/QuotaLedger.h"
#include "include/customer/StandInUse.h"
#include "include/wire/Messages.h"
#include "tests/support/ManualClock.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <vector>

using namespace waxwing;
using namespace waxwing::testing;

namespace {

using nlohmann::json;

/** Positions in a report: of the list of customers, and of the fields for one customer. */
constexpr std::size_t reportUses = 4;
constexpr std::size_t fieldsOfEarlierBuild = 5;
constexpr std::size_t sequenceField = 6;
constexpr std::size_t forwardedField = 7;

/** An ingress, the first counter of a customer and its stand-in, with messages that the test delivers or loses. */
class Reports
{
protected:
    QuotaCounter make(CounterStart start = CounterStart::Fresh)
    {
        return QuotaCounter(limit_, tuning_, start, clock_.now());
    }

    void admit(int requests)
    {
        for (int i = 0; i < requests; ++i) {
            REQUIRE(ledger_.decide("c", limit_, clock_.now()) == QuotaDecision::Admit);
        }
    }

    std::vector<QuotaUse> report()
    {
        return ledger_.takeUnreported(clock_.now());
    }

    /** Returns the report by which the ingress asks for a grant for one request. */
    QuotaUse askForOne()
    {
        ledger_.setMode("c", QuotaMode::Metered, clock_.now());
        REQUIRE(ledger_.decide("c", limit_, clock_.now()) == QuotaDecision::Ask);
        QuotaUse use = ledger_.takeUnreported("c", clock_.now());
        use.wanted = 1;
        return use;
    }

    CountedUse countAt(QuotaCounter &counter, const QuotaUse &use)
    {
        return counter.count("ingress", use, RegionNodes{}, clock_.now());
    }

    /** The stand-in counts a report. */
    CountedUse countAtStandIn(const QuotaUse &use)
    {
        const CountedUse counted = countAt(standIn_, use);
        standInUse_.add(use, counted, limit_.burst, clock_.now());
        return counted;
    }

    /** The first counter receives what the stand-in has counted. */
    void forwardToFirst(const QuotaUse &use)
    {
        first_.count("stand-in", use, RegionNodes{}, clock_.now());
    }

    /** Returns how many tokens the first counter's bucket lacks. */
    double takenAtFirst()
    {
        return first_.loanWanted(clock_.now());
    }

    ManualClock clock_;
    QuotaTuning tuning_;
    /** With this rate a bucket regains little during a test. */
    QuotaLimit limit_{0.001, 100.0};
    QuotaLedger ledger_{tuning_, ReportId{stableHash("ingress"), 1}};
    QuotaCounter first_ = make();
    QuotaCounter standIn_ = make();
    StandInUse standInUse_;
};

QuotaReport sampleReport()
{
    QuotaUse own;
    own.customer = "c";
    own.limit = QuotaLimit{100.0, 50.0};
    own.used = 3;
    own.seen = 9;
    own.id = ReportId{0, 77};
    QuotaUse standIn = own;
    standIn.id = {};
    standIn.seen = 0;
    standIn.forwarded = {ForwardedReport{ReportId{stableHash("n1"), 8}, 2, 5, Millis(120)},
                         ForwardedReport{ReportId{stableHash("n2"), 9}, 1, 1, Millis(0)}};
    return QuotaReport{7, 3, {own, standIn}};
}

std::optional<QuotaReport> decoded(const json &fields)
{
    std::string bytes;
    json::to_cbor(fields, bytes);
    const auto message = decodeMessage(bytes);
    return message ? std::optional<QuotaReport>(std::get<QuotaReport>(*message)) : std::nullopt;
}

} // namespace

// Guards against requests that a counter counts again because its reply to the report was lost.
TEST_CASE_FIXTURE(Reports, "quota report, reply lost and sent again to the same counter, is counted once")
{
    admit(5);
    const auto uses = report();
    REQUIRE(uses.size() == 1);
    CHECK(countAt(first_, uses[0]).added == 5);
    ledger_.restore(uses[0], clock_.now());
    admit(2);
    clock_.advance(Millis(400));
    std::uint32_t repeated = 0;
    for (const QuotaUse &use : report()) {
        repeated += countAt(first_, use).repeated;
    }
    CHECK(repeated == 1);
    CHECK(takenAtFirst() == doctest::Approx(7.0).epsilon(0.01));
}

// Guards against requests that the first counter counts itself, and again in the report of the stand-in.
TEST_CASE_FIXTURE(Reports, "quota report, reply lost and sent to the stand-in, is counted once at the first counter")
{
    admit(5);
    const auto uses = report();
    countAt(first_, uses.at(0));
    ledger_.restore(uses.at(0), clock_.now());
    admit(2);
    for (const QuotaUse &use : report()) {
        countAtStandIn(use);
    }
    for (const QuotaUse &use : standInUse_.take(clock_.now())) {
        forwardToFirst(use);
    }
    CHECK(takenAtFirst() == doctest::Approx(7.0).epsilon(0.01));
}

// Guards against requests counted twice where the delayed report of the ingress arrives after that of the stand-in.
TEST_CASE_FIXTURE(Reports, "quota report, arrives after the stand-in has forwarded it, is counted once")
{
    admit(5);
    const auto uses = report();
    countAtStandIn(uses.at(0));
    for (const QuotaUse &use : standInUse_.take(clock_.now())) {
        forwardToFirst(use);
    }
    countAt(first_, uses[0]);
    CHECK(takenAtFirst() == doctest::Approx(5.0).epsilon(0.01));
}

// Guards against requests that the first counter counts again because its reply to the stand-in was lost.
TEST_CASE_FIXTURE(Reports, "quota report, stand-in's report received but not acknowledged, is counted once")
{
    admit(5);
    countAtStandIn(report().at(0));
    const auto forwarded = standInUse_.take(clock_.now());
    forwardToFirst(forwarded.at(0));
    standInUse_.restore(forwarded[0]);
    admit(1);
    countAtStandIn(report().at(0));
    for (const QuotaUse &use : standInUse_.take(clock_.now())) {
        forwardToFirst(use);
    }
    CHECK(takenAtFirst() == doctest::Approx(6.0).epsilon(0.01));
}

// Guards against a request that costs two tokens because the first grant did not arrive.
TEST_CASE_FIXTURE(Reports, "quota report, grant lost and granted by the stand-in, is counted once at the first counter")
{
    const QuotaUse ask = askForOne();
    CHECK(countAt(first_, ask).granted == 1);
    CHECK(countAtStandIn(ask).granted == 1);
    for (const QuotaUse &use : standInUse_.take(clock_.now())) {
        forwardToFirst(use);
    }
    CHECK(takenAtFirst() == doctest::Approx(1.0).epsilon(0.01));
}

// Guards against a request that costs two tokens because the ingress asks the same counter again.
TEST_CASE_FIXTURE(Reports, "quota report, grant lost and asked for again at the same counter, costs one token")
{
    const QuotaUse ask = askForOne();
    CHECK(countAt(first_, ask).granted == 1);
    CHECK(countAt(first_, ask).granted == 1);
    CHECK(takenAtFirst() == doctest::Approx(1.0).epsilon(0.01));
}

// Guards against a request that costs two tokens because a counter has granted it with a lost reply, and the ingress
// admits it within its own share.
TEST_CASE_FIXTURE(Reports, "quota report, grant lost and request admitted alone, is counted once")
{
    limit_ = QuotaLimit{10.0, 100.0};
    clock_.advance(std::chrono::seconds(1));
    const QuotaUse ask = askForOne();
    CHECK(countAt(first_, ask).granted == 1);
    clock_.advance(std::chrono::seconds(2));
    REQUIRE(ledger_.admitUnanswered(ask, 1, clock_.now()));
    CHECK(ledger_.hasUnreported());
    for (const QuotaUse &use : report()) {
        CHECK(use.taken() == 1);
        CHECK(use.wanted == 0);
        countAt(first_, use);
    }
    CHECK(takenAtFirst() == doctest::Approx(1.0).epsilon(0.01));
}

// Guards against a request that was admitted alone and is never counted, since its report seems to be a repeated one.
TEST_CASE_FIXTURE(Reports, "quota report, request denied and then admitted alone, is counted")
{
    limit_ = QuotaLimit{10.0, 100.0};
    first_.grant(1000, clock_.now());
    const double before = takenAtFirst();
    const QuotaUse ask = askForOne();
    CHECK(countAt(first_, ask).granted == 0);
    clock_.advance(std::chrono::seconds(2));
    REQUIRE(ledger_.admitUnanswered(ask, 1, clock_.now()));
    for (const QuotaUse &use : report()) {
        CHECK(countAt(first_, use).added == 1);
    }
    CHECK(takenAtFirst() == doctest::Approx(before + 1.0).epsilon(0.01));
}

// Guards against tokens that are given back twice because their report was repeated.
TEST_CASE_FIXTURE(Reports, "quota report, repeated with tokens given back, gives them back once")
{
    admit(5);
    const SteadyTime admittedAt = clock_.now();
    countAt(first_, report().at(0));
    clock_.advance(Millis(200));
    ledger_.giveBack("c", admittedAt, clock_.now());
    const auto uses = report();
    countAt(first_, uses.at(0));
    ledger_.restore(uses[0], clock_.now());
    for (const QuotaUse &use : report()) {
        countAt(first_, use);
    }
    CHECK(takenAtFirst() == doctest::Approx(4.0).epsilon(0.01));
}

// Guards against a peer of an earlier build whose reports are dropped as repeated ones.
TEST_CASE_FIXTURE(Reports, "quota report, without an identifier and sent twice, is counted twice")
{
    admit(5);
    QuotaUse use = report().at(0);
    use.id = {};
    countAt(first_, use);
    countAt(first_, use);
    CHECK(takenAtFirst() == doctest::Approx(10.0).epsilon(0.01));
}

// Guards against restored requests that are lost because the first of them became the upper bound of the sum.
TEST_CASE_FIXTURE(Reports, "stand-in use, two reports of one customer restored, keeps the requests of both")
{
    admit(5);
    countAtStandIn(report().at(0));
    const auto one = standInUse_.take(clock_.now());
    admit(3);
    countAtStandIn(report().at(0));
    const auto other = standInUse_.take(clock_.now());
    standInUse_.restore(one.at(0));
    standInUse_.restore(other.at(0));
    const auto uses = standInUse_.take(clock_.now());
    REQUIRE(uses.size() == 1);
    CHECK(uses[0].used == 8);
    CHECK(uses[0].forwarded.size() == 2);
}

// Guards against state and messages of a stand-in that grow with the number of ingresses.
TEST_CASE_FIXTURE(Reports, "stand-in use, thousands of reports, forwards a bounded number and counts the rest")
{
    for (std::uint64_t i = 1; i <= 5000; ++i) {
        QuotaUse use = askForOne();
        use.id = ReportId{i, 1};
        CountedUse counted;
        counted.added = 1;
        counted.total = 1;
        standInUse_.add(use, counted, 10000.0, clock_.now());
    }
    const auto uses = standInUse_.take(clock_.now());
    REQUIRE(uses.size() == 1);
    CHECK(uses[0].used == 5000);
    CHECK(uses[0].forwarded.size() == 256);
    forwardToFirst(uses[0]);
    CHECK(takenAtFirst() == doctest::Approx(5000.0).epsilon(0.01));
}

// Guards against requests that a stand-in granted long ago and that empty a bucket which was full ever since.
TEST_CASE_FIXTURE(Reports, "quota counter, stand-in reports late and the bucket was full meanwhile, takes no tokens")
{
    limit_ = QuotaLimit{10.0, 10.0};
    first_ = make();
    admit(8);
    countAtStandIn(report().at(0));
    clock_.advance(std::chrono::seconds(2));
    const auto uses = standInUse_.take(clock_.now());
    REQUIRE(uses.at(0).forwarded.size() == 1);
    CHECK(uses[0].forwarded[0].age == std::chrono::seconds(2));
    forwardToFirst(uses[0]);
    CHECK(takenAtFirst() == doctest::Approx(0.0));
}

// Guards against a late report that costs nothing although the bucket has regained nothing since.
TEST_CASE_FIXTURE(Reports, "quota counter, stand-in reports late and the bucket was low meanwhile, takes the tokens")
{
    limit_ = QuotaLimit{10.0, 10.0};
    first_ = make();
    first_.grant(1000, clock_.now());
    admit(4);
    countAtStandIn(report().at(0));
    clock_.advance(Millis(500));
    const double before = takenAtFirst();
    forwardToFirst(standInUse_.take(clock_.now()).at(0));
    CHECK(takenAtFirst() == doctest::Approx(before + 4.0));
}

// Guards against one lost refill that pays for several late reports.
TEST_CASE("overflow history, lost refills, cover tokens that were taken before them, and only once")
{
    const SteadyTime start = SteadyTime(std::chrono::hours(1000));
    OverflowHistory history(Millis(5000), start);
    history.note(10.0, start, start + Millis(1000));
    CHECK(history.cover(2.0, start + Millis(1000)) == doctest::Approx(0.0));
    CHECK(history.cover(4.0, start + Millis(500)) == doctest::Approx(4.0));
    CHECK(history.cover(4.0, start + Millis(500)) == doctest::Approx(0.5));
    CHECK(history.cover(20.0, start) == doctest::Approx(5.0));
    history.note(0.0, start + Millis(1000), start + std::chrono::seconds(20));
    CHECK(history.cover(20.0, start) == doctest::Approx(0.0));
}

// Guards against a first counter that lowers its rate for nodes whose stand-in reports what it grants to them.
TEST_CASE_FIXTURE(Reports, "quota counter, half of its nodes report through a stand-in, keeps its rate")
{
    limit_ = QuotaLimit{100.0, 100.0};
    first_ = make();
    std::uint64_t sequence = 0;
    const auto report = [&](int from, int to) {
        QuotaUse standIn;
        for (int node = 0; node < 20; ++node) {
            const std::string name = "n" + std::to_string(node);
            if (node >= from && node < to) {
                first_.record(name, 0, 5, RegionNodes{20, 20}, clock_.now());
            } else {
                standIn.forwarded.push_back(ForwardedReport{ReportId{stableHash(name), ++sequence}, 0, 5, Millis(0)});
            }
        }
        if (!standIn.forwarded.empty()) {
            first_.count("stand-in", standIn, RegionNodes{20, 20}, clock_.now());
        }
        first_.grant(1000, clock_.now());
        clock_.advance(Millis(500));
    };
    for (int step = 0; step < 6; ++step) {
        report(0, 20);
    }
    for (int step = 0; step < 4; ++step) {
        report(0, 10);
    }
    first_.grant(1000, clock_.now());
    clock_.advance(Millis(500));
    CHECK(first_.grant(1000, clock_.now()) == doctest::Approx(50.0).epsilon(0.05));
}

// Guards against identifiers that are kept for longer than they can matter, or without a bound.
TEST_CASE("counted reports, many of them, are bounded and forgotten after a window")
{
    const SteadyTime start = SteadyTime(std::chrono::hours(1000));
    CountedReports reports(Millis(5000));
    for (std::uint64_t i = 1; i <= 10000; ++i) {
        CHECK(reports.add(ReportId{i, 1}, 1, start) == 1);
    }
    CHECK(reports.size() == CountedReports::maxReports);
    CHECK(reports.add(ReportId{10000, 1}, 3, start + Millis(4999)) == 2);
    CHECK(reports.add(ReportId{10000, 1}, 3, start + Millis(5000)) == 3);
    CHECK(reports.size() == 1);
}

// Guards against a repeated report that is counted twice because it takes its own place in a full list.
TEST_CASE("counted reports, list is full and its oldest is repeated, is counted once")
{
    const SteadyTime start = SteadyTime(std::chrono::hours(1000));
    CountedReports reports(Millis(5000));
    for (std::uint64_t i = 1; i <= CountedReports::maxReports; ++i) {
        CHECK(reports.add(ReportId{i, 1}, 4, start) == 4);
    }
    CHECK(reports.add(ReportId{1, 1}, 4, start + Millis(1)) == 0);
    CHECK(reports.add(ReportId{2, 1}, 6, start + Millis(1)) == 2);
}

// Guards against reports of an ingress that pile up while no counter replies, and against requests lost with them.
TEST_CASE_FIXTURE(Reports, "quota ledger, no counter replies for a minute, keeps few reports and all requests")
{
    constexpr int steps = 1200;
    for (int i = 0; i < steps; ++i) {
        admit(1);
        const auto uses = report();
        CHECK(uses.size() <= 17);
        std::int64_t taken = 0;
        for (const QuotaUse &use : uses) {
            taken += use.taken();
            ledger_.restore(use, clock_.now());
        }
        CHECK(taken == i + 1);
        clock_.advance(Millis(50));
        ledger_.noteReply("c", QuotaMode::Open, clock_.now(), clock_.now());
    }
}

// Guards against identifiers that are changed or lost on the way.
TEST_CASE("quota report, identifiers, are kept on the way")
{
    const auto report = decoded(json::from_cbor(encodeMessage(sampleReport())));
    REQUIRE(report);
    CHECK(report->uses.at(0).id.sequence == 77);
    CHECK(report->uses.at(0).returned.empty());
    CHECK(report->uses.at(0).forwarded.empty());
    const QuotaUse &standIn = report->uses.at(1);
    CHECK_FALSE(standIn.id.isKnown());
    CHECK(standIn.isFromStandIn());
    REQUIRE(standIn.forwarded.size() == 2);
    CHECK(standIn.forwarded[0].id.origin == stableHash("n1"));
    CHECK(standIn.forwarded[0].id.sequence == 8);
    CHECK(standIn.forwarded[0].count == 2);
    CHECK(standIn.forwarded[0].seen == 5);
    CHECK(standIn.forwarded[0].age == Millis(120));
}

// Guards against an upgrade in which a peer of an earlier build can't read a report, or this one can't read its.
TEST_CASE("quota report, peer of an earlier build, reads and sends the fields before the identifiers")
{
    json fields = json::from_cbor(encodeMessage(sampleReport()));
    json &use = fields.at(reportUses).at(0);
    CHECK(use.at(2).get<int>() == 3);
    CHECK(use.at(4).get<int>() == 9);
    // The list of returned tokens, which the build before this one reads.
    CHECK(use.at(fieldsOfEarlierBuild) == json::array());
    while (use.size() > fieldsOfEarlierBuild) {
        use.erase(use.size() - 1);
    }
    const auto report = decoded(fields);
    REQUIRE(report);
    CHECK_FALSE(report->uses.at(0).id.isKnown());
    CHECK(report->uses.at(0).taken() == 3);
}

// Guards against malformed identifiers of a peer that are decoded as valid ones.
TEST_CASE("quota report, malformed identifiers, is refused")
{
    for (const json &malformed : {json("text"), json(-1), json::array()}) {
        json fields = json::from_cbor(encodeMessage(sampleReport()));
        fields.at(reportUses).at(0).at(sequenceField) = malformed;
        CHECK_FALSE(decoded(fields));
    }
    for (const json &malformed :
         {json("text"), json::array({json::array({1, 2})}), json::array({json::array({1, 2, -3, 4, 5})}),
          json::array({json::array({1, 2, 3, 4, -5})}), json(std::vector<json>(2000, json::array({1, 2, 3, 4, 5})))}) {
        json fields = json::from_cbor(encodeMessage(sampleReport()));
        fields.at(reportUses).at(1).at(forwardedField) = malformed;
        CHECK_FALSE(decoded(fields));
    }
}
