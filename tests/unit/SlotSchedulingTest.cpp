#include "tests/support/HomeFleetModel.h"

#include <doctest/doctest.h>

#include <iomanip>
#include <sstream>

using namespace waxwing;
using namespace waxwing::testing;

namespace {

FleetRoute routeWith(const std::string &name, int priority, double perSecond, Millis work, Millis objective,
                     Millis deadline)
{
    FleetRoute route;
    route.route.name = name;
    route.route.priority = priority;
    route.route.responseTime = objective;
    route.route.timeout = deadline;
    route.requestsPerSecond = perSecond;
    route.work = work;
    return route;
}

/** 37 homes of five slots in six zones of three regions; the routes use 0.4 of all slots, as on a usual day. */
HomeFleetLoad ordinaryLoad()
{
    HomeFleetLoad load;
    load.nodes = 72;
    load.homes = 37;
    load.zones = 6;
    load.zonesPerRegion = 2;
    load.slots = 5;
    load.burstDuration = Millis(6000);
    load.routes = {
        routeWith("most-urgent", 0, 30, Millis(270), Millis(2500), Millis(5000)),
        routeWith("urgent", 1, 45, Millis(350), Millis(2500), Millis(6000)),
        routeWith("usual", 2, 36, Millis(680), Millis(2500), Millis(10000)),
        routeWith("least-urgent", 3, 24, Millis(1100), Millis(8000), Millis(12000)),
    };
    return load;
}

/** A home with five slots replies, and so reports, about as often. */
constexpr Millis reportInterval{100};
constexpr Millis longestRoundTrip{60};
constexpr double tolerance = 0.02;

FleetCounts run(const HomeFleetLoad &load, HomePolicy policy, std::uint32_t seed = 1)
{
    return HomeFleetModel(load, policy, seed).run();
}

std::string textOf(const FleetCounts &counts)
{
    const PriorityCounts all = counts.all();
    std::ostringstream text;
    text << std::fixed << std::setprecision(3) << all.requests << " requests, served " << all.servedShare()
         << ", in time " << all.inTimeShare() << ", sends per run " << counts.sendsPerRun() << ", in vain "
         << counts.sendsInVain << ", small " << counts.smallPerRequest() << ", half of the objective "
         << counts.halfObjectiveUsed << ", zone " << counts.otherZone << ", region " << counts.otherRegion
         << ", idle ms " << millisOf(counts.longestIdleSlot).count() << ";";
    for (const auto &[priority, one] : counts.byPriority) {
        text << " p" << priority << " " << one.servedShare() << " " << one.inTimeShare() << " "
             << one.meanWait().count() << " ms";
    }
    return text.str();
}

/** Runs @p load with all ways to schedule, checks what must hold with reservations at any load, and returns that run.
 */
FleetCounts checkedRun(const std::string &name, const HomeFleetLoad &load)
{
    FleetCounts counts = run(load, HomePolicy::Reservations);
    MESSAGE(name << ", polling: " << textOf(run(load, HomePolicy::Polling)));
    MESSAGE(name << ", reservations: " << textOf(counts));
    MESSAGE(name << ", queue per zone: " << textOf(run(load, HomePolicy::ZoneQueue)));
    CHECK(counts.sendsPerRun() < 1.6);
    CHECK(counts.smallPerRequest() <= 4.0);
    CHECK(counts.longestIdleSlot <= longestRoundTrip + reportInterval);
    // Every request has its final response by its deadline.
    CHECK(counts.unfinished == 0);
    CHECK(counts.longestAfterDeadline <= Duration(0));
    return counts;
}

void checkOrder(const PriorityCounts &moreUrgent, const PriorityCounts &lessUrgent)
{
    CHECK(moreUrgent.servedShare() >= lessUrgent.servedShare() - tolerance);
    CHECK(moreUrgent.inTimeShare() >= lessUrgent.inTimeShare() - tolerance);
}

} // namespace

// Guards against a fourth of all requests that go from one refusal to the next while slots become free elsewhere.
TEST_CASE("slot reservations, 1.8 times as much work as slots in four priorities, keep the order with few sends")
{
    HomeFleetLoad load = ordinaryLoad();
    load.burst = 4.5;
    FleetCounts counts = checkedRun("scarce", load);
    CHECK(counts.sendsInVain < counts.sends / 10);
    // The least urgent route has three times the time of the others, so it is not compared.
    checkOrder(counts.byPriority[0], counts.byPriority[1]);
    checkOrder(counts.byPriority[1], counts.byPriority[2]);
    for (FleetRoute &route : load.routes) {
        route.route.responseTime = Millis(2500);
        route.route.timeout = Millis(8000);
    }
    counts = checkedRun("scarce, equal objectives", load);
    for (int priority = 0; priority < 3; ++priority) {
        checkOrder(counts.byPriority[priority], counts.byPriority[priority + 1]);
    }
}

// Guards against one customer that takes the slots of all others.
TEST_CASE("slot reservations, one of ten customers at 7 times its usual rate, others are served no less often")
{
    HomeFleetLoad load = ordinaryLoad();
    load.customers = 10;
    load.hotFactor = 7.0;
    load.burst = 2.2;
    const FleetCounts counts = checkedRun("one customer", load);
    CHECK(counts.otherCustomers.servedShare() >= 1.0 - tolerance);
    CHECK(counts.otherCustomers.inTimeShare() >= counts.hotCustomer.inTimeShare() - tolerance);
}

// Guards against a check that finds no oscillation whatever happens.
TEST_CASE("model of slot reservations, spilled share alternates, counts each turn above the threshold")
{
    FleetCounts counts;
    counts.spilledShares = {0.0, 0.3, 0.0, 0.3, 0.25, 0.3, 0.0};
    CHECK(counts.spillTurns(0.15) == 3);
    counts.spilledShares = {0.0, 0.1, 0.2, 0.3, 0.25, 0.15, 0.05};
    CHECK(counts.spillTurns(0.15) == 1);
}

// Guards against two zones that send their work to each other in turn, by reports that are stale by then.
TEST_CASE("slot reservations, waves in opposite phase in two zones, spilled share turns no more often than the waves")
{
    HomeFleetLoad load = ordinaryLoad();
    load.zones = 2;
    load.homes *= 2;
    load.nodes *= 2;
    load.burst = 2.0 * 2.4;
    load.waveAmplitude = 0.6;
    load.burstDuration = Millis(12000);
    checkedRun("waves", load);
    constexpr int turnsPerWave = 2;
    // An interval has at least 60 requests of the zone, so that 0.15 is three standard deviations of a share of 0.2.
    constexpr double threshold = 0.15;
    for (std::uint32_t seed = 1; seed <= 3; ++seed) {
        const FleetCounts counts = run(load, HomePolicy::Reservations, seed);
        MESSAGE("turns of the spilled share: " << counts.spillTurns(threshold) << ", elsewhere " << counts.otherZone);
        CHECK(counts.spillTurns(threshold) <= turnsPerWave * (load.burstDuration / load.wavePeriod));
    }
}

// Guards against requests that wait at slow servers while fast ones are free.
TEST_CASE("slot reservations, 78 fast servers beside 18 slow ones, serve nearly all requests")
{
    HomeFleetLoad load = ordinaryLoad();
    load.homes = 96;
    load.nodes = 96;
    load.zones = 4;
    load.slowHomes = 18;
    load.slowFactor = 2.5;
    load.burst = 7.0;
    const FleetCounts counts = checkedRun("slow servers", load);
    CHECK(counts.all().servedShare() >= 1.0 - tolerance);
}

// Guards against requests that spend half of their time on the search for a slot.
TEST_CASE("slot reservations, 5 of 37 servers gone at high load, few requests use half of their objective")
{
    HomeFleetLoad load = ordinaryLoad();
    load.homesGone = 5;
    load.burst = 2.8;
    const FleetCounts counts = checkedRun("servers gone", load);
    CHECK(counts.halfObjectiveUsed < 300);
    CHECK(counts.all().servedShare() >= 1.0 - tolerance);
}

// Guards against a burst that delays more urgent requests, and against starvation of its own.
TEST_CASE("slot reservations, burst of the least urgent route, others are in time and the burst is served later")
{
    HomeFleetLoad load = ordinaryLoad();
    load.burstRoute = "least-urgent";
    load.burst = 8.0;
    FleetCounts counts = checkedRun("least urgent burst", load);
    for (int priority = 0; priority < 3; ++priority) {
        CHECK(counts.byPriority[priority].inTimeShare() >= 1.0 - tolerance);
    }
    CHECK(counts.byPriority[3].servedShare() >= 1.0 - tolerance);
}

// Guards against reservations where a send would have done.
TEST_CASE("slot reservations, ordinary load, need no more messages than polling")
{
    double polling = 0.0;
    double reservations = 0.0;
    const auto messages = [](const FleetCounts &counts) { return 2.0 * counts.sends + counts.smallMessages; };
    for (std::uint32_t seed = 1; seed <= 8; ++seed) {
        polling += messages(run(ordinaryLoad(), HomePolicy::Polling, seed));
        reservations += messages(run(ordinaryLoad(), HomePolicy::Reservations, seed));
    }
    MESSAGE("messages with polling " << polling << ", with reservations " << reservations);
    CHECK(reservations <= polling * (1.0 + tolerance));
    checkedRun("ordinary", ordinaryLoad());
    HomeFleetLoad busy = ordinaryLoad();
    busy.burst = 1.75;
    checkedRun("0.7 of all slots", busy);
}
