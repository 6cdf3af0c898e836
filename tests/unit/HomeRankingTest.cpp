#include "include/route/HomeRanking.h"

#include <doctest/doctest.h>

using namespace waxwing;

namespace {

const SteadyTime start = SteadyTime(std::chrono::hours(1));

/** Two homes in the own zone, one in the region's other zone, one in another region; nothing is known of them. */
struct FourHomes {
    HomeChoice choose(bool idempotent = true, const std::set<std::string> &without = {}, double kilobytes = 0.0)
    {
        HomeQuery need;
        need.responseKilobytes = kilobytes;
        need.retryable = idempotent;
        need.priority = 1;
        need.untilObjective = Millis(1000);
        need.untilDeadline = Millis(3000);
        need.workTime = Millis(200);
        return ranking.choose(homes, without, need, now);
    }

    void load(const std::string &node, std::int32_t freeSlots, Millis wait, double grayProbability,
              std::int32_t slots = 3)
    {
        HomeLoad out;
        out.slots = slots;
        out.freeSlots = freeSlots;
        out.wait = wait;
        out.grayProbability = grayProbability;
        ranking.noteLoad(node, out, 1, now);
    }

    SteadyTime now = start;
    HomeRanking ranking{[] { return std::uint64_t(0); }};
    std::vector<RankedHome> homes = {{"a1", Distance::SameZone},
                                     {"a2", Distance::SameZone},
                                     {"b1", Distance::SameRegion},
                                     {"far", Distance::OtherRegion}};
};

} // namespace

TEST_CASE_FIXTURE(FourHomes, "home ranking, nothing known, stays in the zone")
{
    CHECK(choose().node[0] == 'a');
    CHECK(choose(true, {"a1", "a2"}).node == "b1");
    CHECK(choose(true, {"a1", "a2", "b1"}).node == "far");
}

TEST_CASE_FIXTURE(FourHomes, "home ranking, a wait that leaves the objective safe, is better than another zone's bytes")
{
    load("a1", 0, Millis(100), 0.02);
    load("a2", 0, Millis(120), 0.02);
    const HomeChoice choice = choose();
    CHECK(choice.node == "a1");
    CHECK(choice.queueTimeout >= Millis(100));
}

TEST_CASE_FIXTURE(FourHomes, "home ranking, a large answer, waits in the region where a small one goes to another")
{
    // Downloads of 90 KB went to other regions as readily as look-ups of 400 bytes, over links that are narrow and paid
    // by volume, where each held up what came behind it.
    for (const char *near : {"a1", "a2", "b1"}) {
        load(near, 0, Millis(640), 0.02);
    }
    CHECK(choose().node == "far");
    CHECK(choose(true, {}, 90.0).node != "far");
    CHECK(choose(true, {"a1", "a2", "b1"}, 90.0).node == "far");
}

TEST_CASE_FIXTURE(FourHomes,
                  "home ranking, a home not heard of for a second, is found out about by work that can be repeated")
{
    // Each sender kept to the homes that had answered it well. Homes of which nobody happened to hear got nothing for
    // many seconds, with sound servers beside them, while others were full: less than the floor's share was in use.
    load("a1", 3, Millis(0), 0.002);
    load("a2", 3, Millis(0), 0.4);
    now += std::chrono::milliseconds(4000);
    load("a1", 2, Millis(0), 0.002);
    CHECK(choose(true).node == "a2");
    CHECK(choose(false).node == "a1");
}

TEST_CASE_FIXTURE(FourHomes, "home ranking, a home in doubt, is not found out about before gray phases usually end")
{
    load("a2", 3, Millis(0), 0.99);
    now += std::chrono::milliseconds(1500);
    load("a1", 2, Millis(0), 0.002);
    CHECK(choose(true).node == "a1");
}

TEST_CASE_FIXTURE(FourHomes, "home ranking, servers with many slots, are filled evenly and not one after the other")
{
    // Only the last three free slots of a server counted: with eleven, some were full and slow while others were idle.
    load("a1", 4, Millis(0), 0.002, 11);
    load("a2", 9, Millis(0), 0.002, 11);
    CHECK(choose(false).node == "a2");
}

TEST_CASE_FIXTURE(FourHomes, "home ranking, a wait that endangers the objective, goes to the next zone")
{
    load("a1", 0, Millis(900), 0.02);
    load("a2", 0, Millis(900), 0.02);
    CHECK(choose().node == "b1");
}

TEST_CASE_FIXTURE(FourHomes, "home ranking, every home would be too late, says so instead of sending")
{
    for (const RankedHome &home : homes) {
        load(home.node, 0, Millis(3000), 0.02);
    }
    const HomeChoice choice = choose();
    CHECK(choice.missesDeadline);
    CHECK(choice.wait >= Millis(2900));
}

TEST_CASE_FIXTURE(FourHomes,
                  "home ranking, doubtful homes in the zone, sends bookings across regions rather than into them")
{
    // Three of a region's four homes were known to be gray. Requests went there again two seconds later, because the
    // doubt was forgotten faster than gray phases end, and were lost.
    load("a1", 3, Millis(0), 0.95);
    load("a2", 3, Millis(0), 0.95);
    load("b1", 3, Millis(0), 0.95);
    CHECK(choose(false).node == "far");
    now += std::chrono::seconds(2);
    CHECK(choose(false).node == "far");
}

TEST_CASE_FIXTURE(FourHomes, "home ranking, nothing but doubtful homes, takes the least doubtful and says it knows")
{
    load("a1", 3, Millis(0), 0.99);
    load("a2", 3, Millis(0), 0.6);
    const HomeChoice choice = choose(false, {"b1", "far"});
    CHECK(choice.node == "a2");
    CHECK(choice.acceptsGray);
}

TEST_CASE_FIXTURE(FourHomes,
                  "home ranking, a home of which good answers came, is preferred to an unknown one for bookings")
{
    load("a2", 3, Millis(0), 0.01);
    CHECK(choose(false).node == "a2");
}

TEST_CASE_FIXTURE(FourHomes, "home ranking, only home behind a path that failed, is waited at as long as there is time")
{
    // A link fell silent, and three of six bookings that were sent again over a fresh one found the slots taken. The
    // failed path counted against waiting there, though there was no other home, and they were refused.
    ranking.notePathFailure("a1");
    CHECK(choose(false, {"a2", "b1", "far"}).queueTimeout >= Millis(2000));
}

TEST_CASE_FIXTURE(FourHomes,
                  "home ranking, server that joined on a calm day, is found out by work that can be repeated")
{
    // New servers were added and got nothing for the rest of the day: the known ones were good and had room, and an
    // unknown one might have been gray.
    load("a1", 3, Millis(0), 0.01);
    CHECK(choose(true).node == "a2");
    CHECK(choose(false).node == "a1");
}

TEST_CASE_FIXTURE(FourHomes, "home ranking, homes heard of are full, tries one not heard of before it gives up")
{
    load("a1", 0, Millis(4000), 0.02);
    load("a2", 0, Millis(4000), 0.02);
    load("b1", 0, Millis(4000), 0.02);
    const HomeChoice choice = choose();
    CHECK(choice.node == "far");
    CHECK_FALSE(choice.missesDeadline);
}

TEST_CASE_FIXTURE(FourHomes,
                  "home ranking, homes refused for doubt, are left alone, the own zone's for the shortest time")
{
    ranking.noteLikelyGray(homes[0], now);
    ranking.noteLikelyGray(homes[1], now);
    ranking.noteLikelyGray(homes[2], now);
    ranking.noteLikelyGray(homes[3], now);
    CHECK(choose().node.empty());
    now += Millis(1100);
    CHECK(choose().node[0] == 'a');
    CHECK(choose(true, {"a1", "a2"}).node.empty());
}

TEST_CASE_FIXTURE(FourHomes, "home ranking, server that surely is gray, gets no work that can't be repeated")
{
    for (const RankedHome &home : homes) {
        load(home.node, 3, Millis(0), 0.97);
    }
    CHECK(choose(false).node.empty());
    CHECK_FALSE(choose(true).node.empty());
}

TEST_CASE_FIXTURE(FourHomes, "home ranking, server that turns requests away, comes after one of the next zone")
{
    HomeLoad shedRate;
    shedRate.freeSlots = 3;
    shedRate.grayProbability = 0.02;
    shedRate.shedRate = 0.55;
    ranking.noteLoad("a1", shedRate, 1, now);
    ranking.noteLoad("a2", shedRate, 1, now);
    load("b1", 3, Millis(0), 0.02);
    CHECK(choose().node == "b1");
}

TEST_CASE_FIXTURE(FourHomes, "home ranking, path that failed, is last and comes back when it is good again")
{
    ranking.notePathFailure("a1");
    CHECK(choose().node == "a2");
    CHECK(choose(true, {"a2", "b1", "far"}).node == "a1");
    ranking.notePathRecovered("a1");
    CHECK_FALSE(ranking.isPathFailed("a1"));
}

TEST_CASE_FIXTURE(FourHomes, "home ranking, path that failed, stays last until a probe says that it is good")
{
    // A VM was lost for good. Every sender lost a booking there, waited a second, and lost the next one: what became of
    // a booking can't be known once its home is gone. Only a probe may find out whether the VM is back.
    ranking.notePathFailure("a1");
    now += std::chrono::seconds(20);
    CHECK(choose(false, {"a2"}).node == "b1");
    ranking.notePathRecovered("a1");
    CHECK(choose(false, {"a2"}).node == "a1");
}

TEST_CASE_FIXTURE(FourHomes, "home ranking, home without a server, is avoided for a while and then asked again")
{
    ranking.noteNoServer("a1", now);
    ranking.noteNoServer("a2", now);
    CHECK(choose().node == "b1");
    now += Millis(800);
    CHECK(choose().node[0] == 'a');
}

TEST_CASE_FIXTURE(FourHomes, "home ranking, work sent and not yet answered, spreads the next over equal homes")
{
    const std::string first = choose().node;
    ranking.noteSent(first);
    CHECK(choose().node != first);
}

TEST_CASE_FIXTURE(FourHomes, "home ranking, long wait heard long ago, does not hide a shorter one heard just now")
{
    // A burst of urgent work was over, and homes still were thought to have no queue: the old long wait of the urgent
    // had been picked over the fresh one of this rank, and had faded to nothing.
    HomeLoad old;
    old.wait = Millis(3000);
    old.grayProbability = 0.02;
    ranking.noteLoad("a1", old, 0, now);
    ranking.noteLoad("a2", old, 0, now);
    now += std::chrono::seconds(8);
    load("a1", 0, Millis(900), 0.02);
    load("a2", 0, Millis(900), 0.02);
    CHECK(choose().node == "b1");
}

TEST_CASE_FIXTURE(FourHomes, "home ranking, waits of the less urgent, don't keep the more urgent away")
{
    HomeLoad busy;
    busy.freeSlots = 0;
    busy.wait = Millis(900);
    busy.grayProbability = 0.02;
    ranking.noteLoad("a1", busy, 2, now);
    ranking.noteLoad("a2", busy, 2, now);
    CHECK(choose().node[0] == 'a');
    CHECK_FALSE(choose().missesDeadline);
}
