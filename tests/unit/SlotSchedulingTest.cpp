#include "tests/support/HomeFleetModel.h"

#include <doctest/doctest.h>

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

/** 37 homes of five slots in six zones of three regions; the routes use 0.7 of all slots. */
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
        routeWith("most-urgent", 0, 53, Millis(270), Millis(2500), Millis(5000)),
        routeWith("urgent", 1, 79, Millis(350), Millis(2500), Millis(6000)),
        routeWith("usual", 2, 63, Millis(680), Millis(2500), Millis(10000)),
        routeWith("least-urgent", 3, 42, Millis(1100), Millis(8000), Millis(12000)),
    };
    return load;
}

void report(const std::string &name, const HomeFleetLoad &load, std::uint32_t seed)
{
    for (const HomePolicy policy : {HomePolicy::Polling, HomePolicy::Reservations, HomePolicy::ZoneQueue}) {
        const FleetCounts c = HomeFleetModel(load, policy, seed).run();
        std::string text;
        for (const auto &[p, one] : c.byPriority) {
            text += " p" + std::to_string(p) + " " + std::to_string(one.servedShare()).substr(0, 5) + "/" + std::to_string(one.inTimeShare()).substr(0, 5)
             + "/" + std::to_string(one.meanWait().count());
        }
        const PriorityCounts a = c.all();
        MESSAGE(name << " " << int(policy) << " served " << a.servedShare() << " intime " << a.inTimeShare() << " sends " << c.sendsPerRun() << " vain " << c.sendsInVain
          << " small " << c.smallPerRequest() << " half " << c.halfObjectiveUsed << " zone " << c.otherZone << " region " << c.otherRegion << " idle " << millisOf(c.longestIdleSlot).count()
          << " after " << millisOf(c.longestAfterDeadline).count() << " unf " << c.unfinished << " n " << a.requests << " turns " << c.spillTurns(0.15)
          << " hot " << c.hotCustomer.inTimeShare() << " others " << c.otherCustomers.inTimeShare() << text);
    }
}

} // namespace

TEST_CASE("reservation trial")
{
    for (std::uint32_t seed : {1U, 2U}) {
    HomeFleetLoad l = ordinaryLoad();
    report("ordinary", l, seed);
    l.burst = 1.9;
    report("scarce", l, seed);
    l = ordinaryLoad(); l.customers = 10; l.hotFactor = 7;
    report("hot", l, seed);
    l = ordinaryLoad(); l.zones = 2; l.waveAmplitude = 0.6; l.burstDuration = Millis(12000);
    for (auto &r : l.routes) r.requestsPerSecond *= 1.15;
    report("wave", l, seed);
    l = ordinaryLoad(); l.homes = 96; l.nodes = 96; l.zones = 4; l.slowHomes = 18; l.slowFactor = 2.5; l.slots = 5;
    l.burst = 2.4;
    report("slow", l, seed);
    l = ordinaryLoad(); l.homesGone = 5; l.burst = 1.25;
    report("gone", l, seed);
    l = ordinaryLoad(); l.burstRoute = "least-urgent"; l.burst = 3;
    report("least", l, seed);
    }
}
