#include "include/route/HomeRanking.h"

#include <doctest/doctest.h>

using namespace waxwing;

namespace {

const SteadyTime start = SteadyTime(std::chrono::hours(1));

/** Two homes in the own zone, one in the other zone of the region and one in another region, without load reports. */
struct FourHomes {
    HomeChoice choose(bool idempotent = true, const std::set<std::string> &without = {}, double kilobytes = 0.0)
    {
        HomeQuery query;
        query.responseKilobytes = kilobytes;
        query.retryable = idempotent;
        query.priority = 1;
        query.untilObjective = Millis(1000);
        query.untilDeadline = Millis(3000);
        query.workTime = Millis(200);
        return ranking.choose(homes, without, query, now);
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

TEST_CASE_FIXTURE(FourHomes, "home ranking, no load reports, stays in the zone")
{
    CHECK(choose().node[0] == 'a');
    CHECK(choose(true, {"a1", "a2"}).node == "b1");
    CHECK(choose(true, {"a1", "a2", "b1"}).node == "far");
}

TEST_CASE_FIXTURE(FourHomes, "home ranking, wait that leaves the objective safe, is preferred to another zone")
{
    load("a1", 0, Millis(100), 0.02);
    load("a2", 0, Millis(120), 0.02);
    const HomeChoice choice = choose();
    CHECK(choice.node == "a1");
    CHECK(choice.queueTimeout >= Millis(100));
}

TEST_CASE_FIXTURE(FourHomes, "home ranking, large response, waits in the region where a small one leaves it")
{
    // Guards against large responses between regions: those of 90 KB were fetched from there as readily as those of 400
    // bytes. The links between regions are narrow and paid by volume, and each large response delayed the messages
    // behind it.
    for (const char *near : {"a1", "a2", "b1"}) {
        load(near, 0, Millis(640), 0.02);
    }
    CHECK(choose().node == "far");
    CHECK(choose(true, {}, 90.0).node != "far");
    CHECK(choose(true, {"a1", "a2", "b1"}, 90.0).node == "far");
}

TEST_CASE_FIXTURE(FourHomes, "home ranking, home without a report for a second, is tried by retryable work")
{
    // Guards against senders that use only homes whose last report was good. Homes without a report got no work for
    // many seconds although their servers were healthy, while others were full: fewer servers than the floor's share
    // were in use.
    load("a1", 3, Millis(0), 0.002);
    load("a2", 3, Millis(0), 0.4);
    now += std::chrono::milliseconds(4000);
    load("a1", 2, Millis(0), 0.002);
    CHECK(choose(true).node == "a2");
    CHECK(choose(false).node == "a1");
}

TEST_CASE_FIXTURE(FourHomes, "home ranking, home likely gray, is not tried before gray phases usually end")
{
    load("a2", 3, Millis(0), 0.99);
    now += std::chrono::milliseconds(1500);
    load("a1", 2, Millis(0), 0.002);
    CHECK(choose(true).node == "a1");
}

TEST_CASE_FIXTURE(FourHomes, "home ranking, servers with many slots, are filled evenly")
{
    // Guards against a load term that counts only the last three free slots of a server: with eleven slots each, some
    // servers were full and slow while others were idle.
    load("a1", 4, Millis(0), 0.002, 11);
    load("a2", 9, Millis(0), 0.002, 11);
    CHECK(choose(false).node == "a2");
}

TEST_CASE_FIXTURE(FourHomes, "home ranking, wait that endangers the objective, goes to the next zone")
{
    load("a1", 0, Millis(900), 0.02);
    load("a2", 0, Millis(900), 0.02);
    CHECK(choose().node == "b1");
}

TEST_CASE_FIXTURE(FourHomes, "home ranking, every home too late, reports a missed deadline")
{
    for (const RankedHome &home : homes) {
        load(home.node, 0, Millis(3000), 0.02);
    }
    const HomeChoice choice = choose();
    CHECK(choice.missesDeadline);
    CHECK(choice.wait >= Millis(2900));
}

TEST_CASE_FIXTURE(FourHomes,
                  "home ranking, homes in the region likely gray, sends non-idempotent work to another region")
{
    // Guards against a probability that decays faster than gray phases end: three of a region's four homes were known
    // to be gray, and two seconds later requests went there again and were lost.
    load("a1", 3, Millis(0), 0.95);
    load("a2", 3, Millis(0), 0.95);
    load("b1", 3, Millis(0), 0.95);
    CHECK(choose(false).node == "far");
    now += std::chrono::seconds(2);
    CHECK(choose(false).node == "far");
}

TEST_CASE_FIXTURE(FourHomes, "home ranking, all homes likely gray, takes the least likely one with acceptsGray")
{
    load("a1", 3, Millis(0), 0.99);
    load("a2", 3, Millis(0), 0.6);
    const HomeChoice choice = choose(false, {"b1", "far"});
    CHECK(choice.node == "a2");
    CHECK(choice.acceptsGray);
}

TEST_CASE_FIXTURE(FourHomes,
                  "home ranking, home with successes, is preferred to an unknown one for non-idempotent work")
{
    load("a2", 3, Millis(0), 0.01);
    CHECK(choose(false).node == "a2");
}

TEST_CASE_FIXTURE(FourHomes, "home ranking, only home behind a failed path, allows a wait up to the deadline")
{
    // Guards against a failed path that shortens the queue timeout at the only home: a link stopped delivering, and
    // three of six requests that were retried over a new link found no free slot and were refused.
    ranking.notePathFailure("a1", now);
    CHECK(choose(false, {"a2", "b1", "far"}).queueTimeout >= Millis(2000));
}

TEST_CASE_FIXTURE(FourHomes, "home ranking, new server at low load, is tried by retryable work")
{
    // Guards against servers that join and get no work for the rest of the day, because the known servers are healthy
    // and have free slots, and an unknown one might be gray.
    load("a1", 3, Millis(0), 0.01);
    CHECK(choose(true).node == "a2");
    CHECK(choose(false).node == "a1");
}

TEST_CASE_FIXTURE(FourHomes, "home ranking, all homes with reports full, tries one without a report")
{
    load("a1", 0, Millis(4000), 0.02);
    load("a2", 0, Millis(4000), 0.02);
    load("b1", 0, Millis(4000), 0.02);
    const HomeChoice choice = choose();
    CHECK(choice.node == "far");
    CHECK_FALSE(choice.missesDeadline);
}

TEST_CASE_FIXTURE(FourHomes,
                  "home ranking, homes refused as likely gray, are avoided, in the own zone for the shortest time")
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

TEST_CASE_FIXTURE(FourHomes, "home ranking, server almost certainly gray, gets no work that can't be retried")
{
    for (const RankedHome &home : homes) {
        load(home.node, 3, Millis(0), 0.97);
    }
    CHECK(choose(false).node.empty());
    CHECK_FALSE(choose(true).node.empty());
}

TEST_CASE_FIXTURE(FourHomes, "home ranking, server that sheds requests, comes after one in the next zone")
{
    HomeLoad shedding;
    shedding.freeSlots = 3;
    shedding.grayProbability = 0.02;
    shedding.shedRate = 0.55;
    ranking.noteLoad("a1", shedding, 1, now);
    ranking.noteLoad("a2", shedding, 1, now);
    load("b1", 3, Millis(0), 0.02);
    CHECK(choose().node == "b1");
}

TEST_CASE_FIXTURE(FourHomes, "home ranking, failed path, is last until it has recovered")
{
    ranking.notePathFailure("a1", now);
    CHECK(choose().node == "a2");
    CHECK(choose(true, {"a2", "b1", "far"}).node == "a1");
    ranking.notePathRecovered("a1");
    CHECK_FALSE(ranking.isPathFailed("a1"));
}

TEST_CASE_FIXTURE(FourHomes, "home ranking, failed path, stays last until a probe succeeds")
{
    // Guards against requests that are sent again and again to a VM that is lost permanently: every sender lost a
    // request there, waited a second, and lost the next one, since the outcome of a request is unknown once its home is
    // lost. Only a probe may find out whether the VM is back.
    ranking.notePathFailure("a1", now);
    now += std::chrono::seconds(20);
    CHECK(choose(false, {"a2"}).node == "b1");
    ranking.notePathRecovered("a1");
    CHECK(choose(false, {"a2"}).node == "a1");
}

TEST_CASE_FIXTURE(FourHomes, "home ranking, home without a server, is avoided for a while and then tried again")
{
    ranking.noteNoServer("a1", now);
    ranking.noteNoServer("a2", now);
    CHECK(choose().node == "b1");
    now += Millis(800);
    CHECK(choose().node[0] == 'a');
}

TEST_CASE_FIXTURE(FourHomes, "home ranking, requests in flight, spread the next ones over equal homes")
{
    const std::string first = choose().node;
    ranking.noteSent(first);
    CHECK(choose().node != first);
}

TEST_CASE_FIXTURE(FourHomes, "home ranking, old report of a long wait, does not hide a recent shorter one")
{
    // Guards against homes that are assumed to have no queue after a burst of urgent requests: the old long wait of the
    // urgent priority was used instead of the recent one of this priority, and had decayed to nothing.
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

TEST_CASE_FIXTURE(FourHomes, "home ranking, waits of less urgent requests, do not count for more urgent ones")
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

// Guards against senders that lose one request on each failed path, and against checks in a fleet that has enough
// homes.
TEST_CASE_FIXTURE(FourHomes, "home ranking, most homes avoided, has paths to the others checked once per interval")
{
    ranking.keepOnly({"a1", "a2", "b1", "far"});
    load("a1", 3, Millis(0), 0.02);
    ranking.notePathFailure("b1", now);
    CHECK(ranking.takePathsToCheck(homes, now).empty());
    load("a1", 3, Millis(0), 0.99);
    CHECK(ranking.takePathsToCheck(homes, now) == std::vector<std::string>{"a2"});
    CHECK(ranking.takePathsToCheck(homes, now).empty());
    now += std::chrono::seconds(4);
    CHECK(ranking.takePathsToCheck(homes, now) == std::vector<std::string>{"a1", "a2"});
}

// Guards against a service that counts as short of homes for ever, because of paths that nobody tries any more.
TEST_CASE_FIXTURE(FourHomes, "home ranking, failed paths neither used nor probed for 10 s, no longer count as avoided")
{
    ranking.keepOnly({"a1", "a2", "b1", "far"});
    ranking.notePathFailure("b1", now);
    ranking.notePathFailure("far", now);
    bool isProbed = false;
    SUBCASE("not probed")
    { }
    SUBCASE("probes fail")
    {
        isProbed = true;
    }
    for (int probe = 0; probe < 3; ++probe) {
        now += Millis(4500);
        if (isProbed) {
            ranking.notePathStillFailed("b1", now);
            ranking.notePathStillFailed("far", now);
        }
    }
    load("a1", 3, Millis(0), 0.02);
    CHECK(ranking.takePathsToCheck(homes, now).empty() == !isProbed);
    // Their rank does not depend on it: only a probe that succeeds or a response may change that.
    CHECK(ranking.isPathFailed("b1"));
    CHECK(choose(false, {"a1", "a2"}).node == "b1");
}

// Guards against a probe on a new link that fails although responses come on the open one.
TEST_CASE_FIXTURE(FourHomes, "home ranking, probe fails after a response came, the path stays usable")
{
    ranking.notePathFailure("a1", now);
    ranking.notePathRecovered("a1");
    ranking.notePathStillFailed("a1", now);
    CHECK_FALSE(ranking.isPathFailed("a1"));
}

// Guards against homes that left while a request to them was in flight and that return with their old failures.
TEST_CASE_FIXTURE(FourHomes, "home ranking, homes behind failed paths left the registry, do not count as avoided")
{
    ranking.keepOnly({"a1", "a2", "b1", "far"});
    for (const char *node : {"b1", "far"}) {
        ranking.noteSent(node);
        ranking.notePathFailure(node, now);
    }
    load("a1", 3, Millis(0), 0.02);
    REQUIRE_FALSE(ranking.takePathsToCheck(homes, now).empty());
    now += std::chrono::seconds(4);
    load("a1", 3, Millis(0), 0.02);
    ranking.keepOnly({"a1", "a2"});
    CHECK(ranking.takePathsToCheck(homes, now).empty());
    CHECK_FALSE(ranking.isPathFailed("b1"));
    // The request in flight still counts.
    CHECK(ranking.statusOf(homes, HomeQuery{}, now)[2].sentSince == 1);
    ranking.noteDone("b1");
    CHECK(ranking.statusOf(homes, HomeQuery{}, now)[2].sentSince == 0);
}

// Guards against a recovered server that gets no request from its own node, which can always reach it.
TEST_CASE_FIXTURE(FourHomes, "home ranking, most homes avoided, sends to the own home if it is idle")
{
    homes[1].distance = Distance::SameNode;
    HomeQuery query;
    query.ownHomeIdle = true;
    load("a1", 3, Millis(0), 0.02);
    load("a2", 3, Millis(0), 0.99);
    ranking.keepOnly({"a1", "a2", "b1", "far"});
    CHECK(ranking.choose(homes, {}, query, now).node == "a1");
    ranking.notePathFailure("b1", now);
    const HomeChoice choice = ranking.choose(homes, {}, query, now);
    CHECK(choice.node == "a2");
    CHECK(choice.acceptsGray);
    CHECK(ranking.choose(homes, {"a2"}, query, now).node != "a2");
}

// Guards against work that can't be retried and is used as a probe while this node knows a usable home.
TEST_CASE_FIXTURE(FourHomes, "home ranking, most homes avoided, accepts a gray server only without another usable home")
{
    ranking.keepOnly({"a1", "a2", "b1", "far"});
    ranking.notePathFailure("b1", now);
    ranking.notePathFailure("far", now);
    load("a1", 3, Millis(0), 0.02);
    const HomeChoice unknown = choose(false, {"a1"});
    CHECK(unknown.node == "a2");
    CHECK(unknown.acceptsGray);
    load("a2", 3, Millis(0), 0.02);
    CHECK_FALSE(choose(false).acceptsGray);
    CHECK(choose(false, {"a1"}).acceptsGray);
}
