#include "include/customer/QuotaLedger.h"
#include "include/wire/Messages.h"
#include "tests/support/ManualClock.h"
#include "tests/support/QuotaFleetModel.h"

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <utility>
#include <vector>

using namespace waxwing;
using namespace waxwing::testing;

namespace {

using nlohmann::json;

/** Position of the list of customers in a report. */
constexpr std::size_t reportUses = 4;
constexpr std::size_t fieldsOfEarlierBuild = 5;

class Returns
{
protected:
    QuotaCounter make(CounterStart start = CounterStart::Fresh)
    {
        return QuotaCounter(limit_, tuning_, start, clock_.now());
    }

    /** Returns the most tokens above rate and burst that returned and granted tokens may add in a window. */
    double addedByCounter() const
    {
        const double tolerance =
            tuning_.over * (limit_.ratePerSecond * secondsOf(tuning_.window) + limit_.burst) + tuning_.slack;
        return 0.5 * tolerance;
    }

    ManualClock clock_;
    QuotaTuning tuning_;
    QuotaLimit limit_{100.0, 100.0};
    QuotaLedger ledger_{tuning_};
};

using WaitDraw = std::function<double(boost::random::mt19937 &)>;

/**
 * Has a counter grant all it can for 20 s, and gives back each token after a wait until the slots are free at 12 s.
 * Returns the most requests that were both granted and run within one window.
 */
int worstWindowWith(const QuotaLimit &limit, const WaitDraw &draw, std::uint32_t seed)
{
    boost::random::mt19937 random(seed);
    const QuotaTuning tuning;
    const SteadyTime start = SteadyTime(std::chrono::hours(1000));
    const SteadyTime freeAt = start + std::chrono::seconds(12);
    QuotaCounter counter(limit, tuning, CounterStart::Fresh, start);
    std::multimap<SteadyTime, SteadyTime> waiting;
    std::vector<std::pair<SteadyTime, SteadyTime>> runs;
    for (SteadyTime now = start; now < start + std::chrono::seconds(20); now += Millis(10)) {
        while (!waiting.empty() && waiting.begin()->first <= now) {
            const SteadyTime takenAt = waiting.begin()->second;
            counter.giveBack(QuotaReturn{millisOf(now - takenAt), 1}, now);
            waiting.erase(waiting.begin());
        }
        const std::uint32_t granted = counter.grant(1000, now);
        for (std::uint32_t i = 0; i < granted; ++i) {
            const SteadyTime until = now + durationOf(draw(random));
            if (now >= freeAt || until >= freeAt) {
                runs.emplace_back(now, std::max(now, freeAt));
            } else {
                waiting.emplace(until, now);
            }
        }
    }
    std::ptrdiff_t worst = 0;
    for (auto first = runs.begin(); first != runs.end(); ++first) {
        const SteadyTime until = first->first + tuning.window;
        worst = std::max(worst, std::count_if(first, runs.end(), [&](const auto &run) { return run.second <= until; }));
    }
    return static_cast<int>(worst);
}

QuotaReport sampleReport()
{
    QuotaUse use;
    use.customer = "c";
    use.limit = QuotaLimit{100.0, 50.0};
    use.used = -3;
    use.wanted = 1;
    use.seen = 9;
    use.returned = {QuotaReturn{Millis(2500), 4}, QuotaReturn{Millis(0), 2}};
    return QuotaReport{7, 3, {use}};
}

QuotaUse decodedUse(const json &fields)
{
    std::string bytes;
    json::to_cbor(fields, bytes);
    const auto message = decodeMessage(bytes);
    REQUIRE(message);
    return std::get<QuotaReport>(*message).uses.at(0);
}

} // namespace

// Guards against tokens that are granted again long after the bucket was refilled without them.
TEST_CASE_FIXTURE(Returns, "quota return, bucket was full meanwhile, the tokens count only up to the tolerance")
{
    QuotaCounter counter = make();
    counter.grant(100, clock_.now());
    clock_.advance(Millis(1500));
    const std::uint32_t granted = counter.grant(1000, clock_.now());
    const double counted = counter.giveBack(QuotaReturn{Millis(1500), 100}, clock_.now());
    CHECK(granted >= 100);
    CHECK(counted <= addedByCounter());
}

// Guards against customers that pay for requests that were refused while their bucket never was full.
TEST_CASE_FIXTURE(Returns, "quota return, bucket was low ever since, the tokens count")
{
    QuotaCounter counter = make();
    for (int step = 0; step < 20; ++step) {
        counter.grant(1000, clock_.now());
        clock_.advance(Millis(100));
    }
    counter.grant(1000, clock_.now());
    CHECK(counter.giveBack(QuotaReturn{Millis(2000), 20}, clock_.now()) == doctest::Approx(20.0));
    CHECK(counter.grant(1000, clock_.now()) == 20);
}

// Guards against returns that are lost because their requests were refused before the counter heard of them.
TEST_CASE_FIXTURE(Returns, "quota return, whole burst refused at once, can be granted again")
{
    QuotaCounter counter = make();
    counter.record("n1", 100, 100, RegionNodes{}, clock_.now());
    clock_.advance(Millis(20));
    CHECK(counter.giveBack(QuotaReturn{Millis(70), 100}, clock_.now()) >= 97.0);
}

// Guards against a new counter whose bucket is filled by tokens that the counter before it granted.
TEST_CASE_FIXTURE(Returns, "quota return, taken before the counter began, does not count")
{
    for (const CounterStart start : {CounterStart::AfterLoss, CounterStart::InPlaceOfOther}) {
        QuotaCounter counter = make(start);
        clock_.advance(Millis(200));
        CHECK(counter.giveBack(QuotaReturn{Millis(400), 50}, clock_.now()) == 0.0);
        const double level = limit_.burst - counter.loanWanted(clock_.now());
        counter.record("older-build", -50, 0, RegionNodes{}, clock_.now());
        CHECK(limit_.burst - counter.loanWanted(clock_.now()) == doctest::Approx(level));
    }
    QuotaCounter counter = make();
    counter.grant(100, clock_.now());
    CHECK(counter.giveBack(QuotaReturn{Millis(3000), 50}, clock_.now()) == 0.0);
}

// Guards against a distribution of waits for which the tokens that come back add up to more than the rule allows.
TEST_CASE("quota return, any distribution of waits, requests that run in a window stay within the bound")
{
    const std::vector<WaitDraw> draws = {
        [](auto &random) { return boost::random::uniform_real_distribution<double>(0.2, 10.0)(random); },
        [](auto &random) { return boost::random::uniform_real_distribution<double>(0.2, 1.0)(random); },
        [](auto &random) { return boost::random::exponential_distribution<double>(1.0)(random); },
        [](auto &random) { return random() % 2 == 0 ? 0.3 : 4.0; },
        [](auto &random) { return random() % 8 == 0 ? 9.0 : 0.05; },
        [](auto & /*random*/) { return 1.1; },
        [](auto & /*random*/) { return 2.0; },
        [](auto & /*random*/) { return 4.9; },
    };
    const QuotaTuning tuning;
    for (const QuotaLimit &limit : {QuotaLimit{136.0, 136.0}, QuotaLimit{16.0, 16.0}, QuotaLimit{40.0, 400.0}}) {
        const double seconds = secondsOf(tuning.window);
        const double bound = (limit.ratePerSecond * seconds + limit.burst) * (1.0 + tuning.over) + tuning.slack;
        for (std::size_t i = 0; i < draws.size(); ++i) {
            for (std::uint32_t seed = 1; seed <= 3; ++seed) {
                INFO("limit " << limit.ratePerSecond << ", distribution " << i << ", seed " << seed);
                CHECK(worstWindowWith(limit, draws[i], seed) <= bound);
            }
        }
    }
}

// Guards against a return that is sent to a counter which never counted its request.
TEST_CASE_FIXTURE(Returns, "quota return, request not reported yet, is cancelled at its ingress")
{
    ledger_.decide("c", limit_, clock_.now());
    ledger_.decide("c", limit_, clock_.now());
    CHECK(ledger_.giveBack("c", clock_.now(), clock_.now()));
    const QuotaUse use = ledger_.takeUnreported("c", clock_.now());
    CHECK(use.used == 1);
    CHECK(use.seen == 2);
    CHECK(use.returned.empty());
}

// Guards against returns that count as new because their report was repeated after the counter was unreachable.
TEST_CASE_FIXTURE(Returns, "quota return, report repeated later, states the age of the request")
{
    const SteadyTime admittedAt = clock_.now();
    ledger_.decide("c", limit_, admittedAt);
    ledger_.takeUnreported("c", clock_.now());
    clock_.advance(Millis(1000));
    CHECK(ledger_.giveBack("c", admittedAt, clock_.now()));
    CHECK(ledger_.hasUnreported());
    const auto uses = ledger_.takeUnreported(clock_.now());
    REQUIRE(uses.size() == 1);
    CHECK(uses[0].used == -1);
    CHECK(uses[0].taken() == 0);
    clock_.advance(Millis(2000));
    ledger_.restore(uses[0], clock_.now());
    const QuotaUse again = ledger_.takeUnreported("c", clock_.now());
    REQUIRE(again.returned.size() == 1);
    CHECK(again.returned[0].count == 1);
    CHECK(again.returned[0].age >= Millis(3000));
    CHECK(again.returned[0].age <= Millis(3100));
}

// Guards against state that grows while no counter replies.
TEST_CASE_FIXTURE(Returns, "quota return, counter unreachable for a minute, state is bounded and old tokens are lost")
{
    ledger_.decide("c", limit_, clock_.now());
    ledger_.takeUnreported("c", clock_.now());
    for (int i = 0; i < 6000; ++i) {
        ledger_.giveBack("c", clock_.now() - Millis(500), clock_.now());
        const QuotaUse use = ledger_.takeUnreported("c", clock_.now());
        CHECK(use.returned.size() <= 205);
        ledger_.restore(use, clock_.now());
        clock_.advance(Millis(10));
    }
    CHECK_FALSE(ledger_.giveBack("c", clock_.now() - std::chrono::seconds(11), clock_.now()));
}

// Guards against ages that are lost in the message, and against bytes spent on an empty list of returns.
TEST_CASE("quota report, tokens given back, are kept on the way and left out where there are none")
{
    const QuotaUse use = decodedUse(json::from_cbor(encodeMessage(sampleReport())));
    CHECK(use.used == -3);
    CHECK(use.taken() == 3);
    REQUIRE(use.returned.size() == 2);
    CHECK(use.returned[0].age == Millis(2500));
    CHECK(use.returned[0].count == 4);
    QuotaReport without = sampleReport();
    without.uses[0].returned.clear();
    const json fields = json::from_cbor(encodeMessage(without));
    CHECK(fields.at(reportUses).at(0).size() == fieldsOfEarlierBuild);
}

// Guards against an upgrade in which reports of one build mean something else to the other.
TEST_CASE("quota report, peer of an earlier build, reports used less what was returned in both directions")
{
    json fields = json::from_cbor(encodeMessage(sampleReport()));
    json &use = fields.at(reportUses).at(0);
    // What an earlier build reads: the fields before the new one.
    CHECK(use.at(2).get<int>() == -3);
    use.erase(fieldsOfEarlierBuild);
    const QuotaUse decoded = decodedUse(fields);
    CHECK(decoded.taken() == -3);
    CHECK(decoded.returned.empty());
}

// Guards against a malformed list of a peer that is decoded as valid returns.
TEST_CASE("quota report, malformed tokens given back, is refused")
{
    for (const json &malformed : {json("text"), json::array({json::array({-5, 1})}), json::array({json::array({1})}),
                                  json::array({json::array({"a", 1})})}) {
        json fields = json::from_cbor(encodeMessage(sampleReport()));
        fields.at(reportUses).at(0).at(fieldsOfEarlierBuild) = malformed;
        std::string bytes;
        json::to_cbor(fields, bytes);
        CHECK_FALSE(decodeMessage(bytes));
    }
}

// Guards against late returns that fill the bucket of a new counter, or of several counters, while a hot customer waits
// for slots.
TEST_CASE("quota return, counter lost or fleet cut while requests wait, the fleet stays within the bound")
{
    for (const double rate : {136.0, 16.0}) {
        for (const int waitMs : {800, 1300, 3000}) {
            QuotaFleetLoad load;
            load.limit = QuotaLimit{rate, rate};
            load.requestsPerSecond = rate / 1.6;
            load.hotFactor = 7.0;
            load.hotFrom = Millis(2000);
            load.hotUntil = Millis(13000);
            load.scarceFrom = Millis(3000);
            load.scarceUntil = Millis(9000);
            load.scarceSlotsPerSecond = rate / 13.0;
            load.maxWait = Millis(waitMs);
            load.length = Millis(16000);
            QuotaFleetLoad killed = load;
            killed.counterKills = {Millis(5000), Millis(6500)};
            QuotaFleetLoad cut = load;
            cut.cutShare = 0.17;
            cut.cutFrom = Millis(5000);
            cut.cutUntil = Millis(8000);
            QuotaFleetLoad halves = cut;
            halves.cutShare = 0.5;
            for (const QuotaFleetLoad &one : {load, killed, cut, halves}) {
                for (std::uint32_t seed = 1; seed <= 3; ++seed) {
                    const auto outcome = QuotaFleetModel(one, QuotaPolicy::RegionCounters, seed).run();
                    INFO("rate " << rate << ", waits to " << waitMs << " ms, cut " << one.cutShare << ", kills "
                                 << one.counterKills.size() << ", seed " << seed);
                    CHECK(outcome.worstWindow <= rate * 6.0 * 1.1 + 20.0);
                }
            }
        }
    }
}

// Guards against customers below their limit that are refused for quota because earlier requests got no slot.
TEST_CASE("quota return, usual load while slots are scarce, at most 1 in 1,000 is refused for quota")
{
    for (const double rate : {136.0, 16.0}) {
        for (const int repeats : {0, 1}) {
            for (std::uint32_t seed = 1; seed <= 5; ++seed) {
                QuotaFleetLoad load;
                load.limit = QuotaLimit{rate, rate};
                load.requestsPerSecond = rate / 1.6;
                load.scarceFrom = Millis(3000);
                load.scarceUntil = Millis(9000);
                load.scarceSlotsPerSecond = rate / 2.0;
                load.repeats = repeats;
                load.length = Millis(16000);
                const auto outcome = QuotaFleetModel(load, QuotaPolicy::RegionCounters, seed).run();
                INFO("rate " << rate << ", repeats " << repeats << ", seed " << seed << ", requests "
                             << outcome.requests);
                CHECK(outcome.refusedForQuota * 1000 <= outcome.requests);
            }
        }
    }
}
