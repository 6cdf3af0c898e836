#include "include/home/SlotQueue.h"
#include "include/schedule/OfferedSlots.h"
#include "include/schedule/ReservationPlanner.h"
#include "include/schedule/ReservationSet.h"

#include <boost/random/mersenne_twister.hpp>
#include <doctest/doctest.h>

#include <algorithm>
#include <map>

using namespace waxwing;

namespace {

const SteadyTime start{std::chrono::hours(1)};

/** Reported just now. */
ReservationCandidate homeWith(const std::string &node, Distance distance, int freeSlots, Millis wait = Millis(0))
{
    HomeLoad load;
    load.slots = 5;
    load.freeSlots = freeSlots;
    ReservationCandidate candidate;
    candidate.node = node;
    candidate.distance = distance;
    candidate.status.load = load;
    candidate.status.wait = wait;
    candidate.status.loadAt = start;
    return candidate;
}

ReservationCandidate fullHome(const std::string &node, Distance distance)
{
    constexpr Millis longWait{1500};
    return homeWith(node, distance, 0, longWait);
}

SlotNeed needOf(Millis untilObjective = Millis(2500), Millis untilDeadline = Millis(5000))
{
    SlotNeed need;
    need.objective = start + untilObjective;
    need.deadline = start + untilDeadline;
    return need;
}

ReservationPlanner planner(ReservationTuning tuning = {})
{
    boost::random::mt19937_64 random(7);
    return ReservationPlanner([random]() mutable { return random(); }, tuning);
}

std::vector<std::string> planned(const std::vector<ReservationCandidate> &candidates, const SlotNeed &need)
{
    std::vector<std::string> homes = planner().plan(candidates, need, start);
    std::sort(homes.begin(), homes.end());
    return homes;
}

using Homes = std::vector<std::string>;

} // namespace

// Guards against two servers that get one request.
TEST_CASE("reservation set, two homes offer at the same time, binds the first and releases the other")
{
    ReservationSet set;
    set.add("a", 1);
    set.add("b", 2);
    CHECK(set.acceptOffer("b", 2) == OfferAction::Bind);
    CHECK(set.acceptOffer("a", 1) == OfferAction::Release);
    CHECK(set.bound() == HomeReservation{"b", 2});
    CHECK(set.takeOthers() == std::vector<HomeReservation>{{"a", 1}});
    CHECK(set.takeOthers().empty());
}

// Guards against a release that frees the slot in which the request runs.
TEST_CASE("reservation set, the offer that bound the request arrives again, is ignored")
{
    ReservationSet set;
    set.add("a", 1);
    REQUIRE(set.acceptOffer("a", 1) == OfferAction::Bind);
    CHECK(set.acceptOffer("a", 1) == OfferAction::Ignore);
    CHECK(set.acceptOffer("a", 9) == OfferAction::Release);
}

TEST_CASE("reservation set, offer after the request has ended or its reservation was removed, is released")
{
    ReservationSet set;
    set.add("a", 1);
    set.add("b", 2);
    CHECK(set.remove("b", 2));
    CHECK_FALSE(set.remove("b", 2));
    CHECK(set.acceptOffer("b", 2) == OfferAction::Release);
    CHECK(set.takeOthers().size() == 1);
    CHECK(set.acceptOffer("a", 1) == OfferAction::Release);
    CHECK_FALSE(set.isBound());
}

// Guards against a request that waits for an offer from a home that can't be reached.
TEST_CASE("reservation set, link to a home is lost, drops its reservations and keeps the others")
{
    ReservationSet set;
    set.add("a", 1);
    set.add("b", 2);
    CHECK(set.removeHome("a") == std::vector<HomeReservation>{{"a", 1}});
    CHECK(set.held() == std::vector<HomeReservation>{{"b", 2}});
    CHECK(set.count() == 1);
}

TEST_CASE("reservation set, home refuses the bound Work as not run, can bind again")
{
    ReservationSet set;
    set.add("a", 1);
    REQUIRE(set.acceptOffer("a", 1) == OfferAction::Bind);
    CHECK_FALSE(set.remove("a", 1));
    set.unbind();
    set.add("b", 2);
    CHECK(set.acceptOffer("b", 2) == OfferAction::Bind);
}

// Guards against two Works in one slot.
TEST_CASE("offered slots, offer is claimed twice, only the first claim gets the slot")
{
    OfferedSlots slots;
    const ReservationKey key{NodeRef{"n", 1}, 5};
    slots.offer(key, 77, Millis(50), start);
    CHECK(slots.claim(key, start + Millis(49)) == 77);
    CHECK_FALSE(slots.claim(key, start + Millis(49)));
    CHECK_FALSE(slots.release(key));
    CHECK(slots.expire(start + Millis(60)).empty());
}

// Guards against a slot that stays held for a sender that died.
TEST_CASE("offered slots, offer expires, can't be claimed and its slot is returned once")
{
    OfferedSlots slots;
    const ReservationKey first{NodeRef{"n", 1}, 5};
    const ReservationKey second{NodeRef{"n", 1}, 6};
    slots.offer(first, 77, Millis(50), start);
    slots.offer(second, 78, Millis(200), start);
    CHECK(slots.nextExpiry() == start + Millis(50));
    CHECK_FALSE(slots.claim(first, start + Millis(50)));
    CHECK(slots.expire(start + Millis(50)) == std::vector<std::uint64_t>{77});
    CHECK(slots.nextExpiry() == start + Millis(200));
    CHECK(slots.release(second) == 78);
    CHECK(slots.nextExpiry() == SteadyTime::max());
    CHECK(slots.count() == 0);
}

TEST_CASE("offered slots, sender is lost, returns the slots of all its incarnations and of no other sender")
{
    OfferedSlots slots;
    slots.offer(ReservationKey{NodeRef{"n", 1}, 5}, 1, Millis(50), start);
    slots.offer(ReservationKey{NodeRef{"n", 2}, 5}, 2, Millis(50), start);
    slots.offer(ReservationKey{NodeRef{"n2", 1}, 5}, 3, Millis(50), start);
    CHECK(slots.releaseSender("n") == std::vector<std::uint64_t>{1, 2});
    CHECK(slots.count() == 1);
}

TEST_CASE("reservation planner, objective of a route, lets only long ones wait")
{
    Route route;
    route.responseTime = Millis(2000);
    CHECK(planner().mayWait(route));
    route.responseTime = Millis(1999);
    CHECK_FALSE(planner().mayWait(route));
    ReservationTuning off;
    off.minObjective = Millis(0);
    route.responseTime = std::chrono::hours(1);
    CHECK_FALSE(planner(off).mayWait(route));
}

TEST_CASE("reservation planner, own zone has free slots, reserves in it only")
{
    const auto zone = Distance::SameZone;
    CHECK(planned({homeWith("a", zone, 1), homeWith("b", zone, 1), homeWith("c", Distance::SameRegion, 5),
                   homeWith("d", Distance::OtherRegion, 5)},
                  needOf())
          == Homes{"a", "b"});
}

// Guards against a herd of requests at the one home whose report shows free slots.
TEST_CASE("reservation planner, own zone is full, spreads over other zones in proportion to their free slots")
{
    const ReservationPlanner plans = planner();
    std::vector<ReservationCandidate> homes{fullHome("own", Distance::SameZone),
                                            homeWith("few", Distance::SameRegion, 1),
                                            homeWith("many", Distance::SameRegion, 3)};
    homes.push_back(homeWith("far", Distance::OtherRegion, 5));
    std::map<std::string, int> first;
    constexpr int requests = 4000;
    for (int i = 0; i < requests; ++i) {
        ++first[plans.plan(homes, needOf(), start).front()];
    }
    CHECK(first["own"] + first["far"] == 0);
    CHECK(first["many"] > 0.7 * requests);
    CHECK(first["many"] < 0.8 * requests);
}

TEST_CASE("reservation planner, own reservations use up the free slots of a report, reserves elsewhere")
{
    std::vector<ReservationCandidate> homes{homeWith("a", Distance::SameZone, 1, Millis(900)),
                                            homeWith("b", Distance::SameRegion, 1),
                                            homeWith("c", Distance::SameRegion, 1)};
    homes[0].reserved = 1;
    CHECK(planned(homes, needOf()) == Homes{"b", "c"});
}

TEST_CASE("reservation planner, no zone of the region has a free slot, reserves in the other region within its limits")
{
    const std::vector<ReservationCandidate> homes{
        fullHome("a", Distance::SameZone), fullHome("b", Distance::SameRegion), homeWith("c", Distance::OtherRegion, 2),
        homeWith("d", Distance::OtherRegion, 2)};
    CHECK(planned(homes, needOf()) == Homes{"c", "d"});
    SUBCASE("large response")
    {
        SlotNeed need = needOf();
        need.responseKilobytes = 90.0;
        CHECK(planned(homes, need) == Homes{"a", "b"});
    }
    SUBCASE("objective that only a near home can meet")
    {
        CHECK(planned(homes, needOf(Millis(300))) == Homes{"a", "b"});
    }
    SUBCASE("wait nearby that costs less than the traffic between regions")
    {
        CHECK(planned({homeWith("a", Distance::SameZone, 0, Millis(900)), homeWith("b", Distance::SameZone, 0),
                       homeWith("c", Distance::OtherRegion, 2)},
                      needOf())
              == Homes{"a", "b"});
    }
}

// Guards against traffic between zones for slots that are free no sooner.
TEST_CASE("reservation planner, slot of the own zone is free within the message time, stays in the zone")
{
    CHECK(planned({homeWith("a", Distance::SameZone, 0, Millis(5)), homeWith("b", Distance::SameZone, 0, Millis(5)),
                   homeWith("c", Distance::SameRegion, 2)},
                  needOf())
          == Homes{"a", "b"});
}

TEST_CASE("reservation planner, home is likely gray or on a failed path or without a server, is left out")
{
    std::vector<ReservationCandidate> homes(4, homeWith("", Distance::SameZone, 5));
    homes[0].node = "gray";
    homes[0].status.likelyGray = true;
    homes[1].node = "failed";
    homes[1].status.pathFailed = true;
    homes[2].node = "empty";
    homes[2].status.hasServer = false;
    homes[3].node = "good";
    CHECK(planned(homes, needOf()) == Homes{"good"});
    homes.pop_back();
    CHECK(planned(homes, needOf()).empty());
}

TEST_CASE("reservation planner, homes were tried or hold a reservation, plans tried ones only if nothing else is left")
{
    const std::vector<ReservationCandidate> homes{homeWith("held", Distance::SameZone, 5),
                                                  homeWith("tried", Distance::SameZone, 5),
                                                  fullHome("far", Distance::OtherRegion)};
    SlotNeed need = needOf();
    need.held = {"held"};
    need.tried = {"tried"};
    CHECK(planned(homes, need) == Homes{"far"});
    need.tried = {"tried", "far"};
    CHECK(planned(homes, need) == Homes{"tried"});
    need.held = {"held", "tried"};
    CHECK(planned(homes, need).empty());
}

// Guards against a request that goes from refusal to refusal, with two messages each.
TEST_CASE("reservation planner, request has made all its reservations, plans no more")
{
    SlotNeed need = needOf();
    need.made = ReservationTuning().maxReservations;
    CHECK(planned({homeWith("a", Distance::SameZone, 5)}, need).empty());
}

TEST_CASE("reservation planner, only a distant home is left, reserves there in spite of the response's size")
{
    SlotNeed need = needOf();
    need.responseKilobytes = 540.0;
    CHECK(planned({homeWith("far", Distance::OtherRegion, 1)}, need) == Homes{"far"});
}

// Guards against work that begins although its caller will have given up at its end.
TEST_CASE("reservation planner, latest start, leaves time for the work and the messages but is not in the past")
{
    SlotNeed need = needOf();
    need.workTime = Millis(1000);
    const SteadyTime latest = planner().latestStart(need, start);
    CHECK(latest < need.deadline - need.workTime);
    CHECK(latest > need.deadline - 2 * need.workTime);
    CHECK(planner().latestStart(need, start + Millis(4900)) == start + Millis(4900));
}

// Guards against reservations for homes that would serve the request at once.
TEST_CASE("reservation planner, best home lets the request wait, sends only to homes of the zone with free slots")
{
    HomeChoice best;
    best.node = "a";
    best.wait = Millis(49);
    best.queueTimeout = Millis(900);
    CHECK_FALSE(planner().shouldReserve(best));
    CHECK(planner().directQueueTimeout(best) == Millis(500));
    best.wait = Millis(50);
    CHECK(planner().shouldReserve(best));
    CHECK(planner().shouldReserve(HomeChoice()));
    CHECK(planner().mayBeSent(1));
    CHECK_FALSE(planner().mayBeSent(2));
    std::vector<ReservationCandidate> homes{
        homeWith("free", Distance::SameZone, 2), fullHome("full", Distance::SameZone),
        homeWith("far", Distance::SameRegion, 5), homeWith("queue", Distance::SameZone, 2)};
    homes[3].status.load->queued = 2;
    CHECK(planner().homesWithoutRoom(homes, start) == std::set<std::string>{"far", "full", "queue"});
    homes[0].status.sentSince = 1;
    homes[0].reserved = 1;
    CHECK(planner().homesWithoutRoom(homes, start).count("free") == 1);
}

TEST_CASE("reservation planner, reports are old, counts homes as free by the mean of the current ones")
{
    std::vector<ReservationCandidate> homes{homeWith("old", Distance::SameZone, 0), fullHome("a", Distance::SameZone),
                                            fullHome("b", Distance::SameZone)};
    homes[0].status.loadAt = start - std::chrono::minutes(1);
    CHECK(planner().homesWithoutRoom(homes, start).count("old") == 1);
    homes.resize(1);
    CHECK(planner().homesWithoutRoom(homes, start).count("old") == 0);
}

namespace {

/** A home with one slot, in use by request 1, and a work time of 100 ms. */
struct OneSlotHome {
    OneSlotHome()
    {
        SlotTuning tuning;
        tuning.customerUse.learningTime = Millis(0);
        queue = SlotQueue(tuning);
        queue.setServer(1, true, start);
        for (int i = 0; i < 50; ++i) {
            queue.addResult("read", false, Millis(100), start);
        }
        REQUIRE(queue.submit(request(1, 1), start).action == SlotAction::Start);
    }

    static SlotRequest request(std::uint64_t id, int priority, bool isReservation = false)
    {
        SlotRequest out;
        out.id = id;
        out.route = "read";
        out.priority = priority;
        out.objective = start + Millis(2500);
        out.deadline = start + Millis(5000);
        out.queueTimeout = Millis(4000);
        out.isReservation = isReservation;
        return out;
    }

    SlotQueue queue;
};

} // namespace

// Guards against a reservation that overtakes, or is overtaken by, requests of another rank.
TEST_CASE("reservation in a slot queue, waits with requests of other priorities, starts in the order of their ranks")
{
    OneSlotHome home;
    CHECK(home.queue.submit(OneSlotHome::request(2, 2), start).action == SlotAction::Queue);
    CHECK(home.queue.submit(OneSlotHome::request(3, 1, true), start).action == SlotAction::Queue);
    CHECK(home.queue.submit(OneSlotHome::request(4, 0), start).action == SlotAction::Queue);
    std::vector<std::uint64_t> order;
    for (std::uint64_t running = 1; order.size() < 3; running = order.back()) {
        home.queue.release(running, start);
        const std::vector<std::uint64_t> started = home.queue.poll(start).start;
        REQUIRE(started.size() == 1);
        order.push_back(started.front());
    }
    CHECK(order == std::vector<std::uint64_t>{4, 3, 2});
}

// Guards against a healthy server that counts as hanging because a sender is slow to send the Work.
TEST_CASE("reservation in a slot queue, slot is held for long, is no overdue work until the Work begins")
{
    OneSlotHome home;
    home.queue.release(1, start);
    REQUIRE(home.queue.submit(OneSlotHome::request(2, 1, true), start).action == SlotAction::Start);
    const SteadyTime late = start + Millis(2000);
    home.queue.noteOverdueWork(late);
    CHECK_FALSE(home.queue.isOverdue(2));
    CHECK(home.queue.running() == 1);
    CHECK(home.queue.beginHeld(2, late));
    CHECK_FALSE(home.queue.beginHeld(2, late));
    CHECK_FALSE(home.queue.beginHeld(7, late));
    home.queue.noteOverdueWork(late + Millis(2000));
    CHECK(home.queue.isOverdue(2));
}

// Guards against refusals because of requests that are served elsewhere.
TEST_CASE("reservation in a slot queue, expected wait, counts as half a request")
{
    OneSlotHome requests;
    OneSlotHome reservations;
    for (std::uint64_t id = 2; id < 6; ++id) {
        requests.queue.submit(OneSlotHome::request(id, 1), start);
        reservations.queue.submit(OneSlotHome::request(id, 1, true), start);
    }
    CHECK(requests.queue.load(1, start).wait == Millis(500));
    CHECK(reservations.queue.load(1, start).wait == Millis(300));
    CHECK(reservations.queue.load(1, start).queued == 4);
}

// Guards against a home without a report that counts as one without a wait: requests then stayed in a zone that was
// full.
TEST_CASE("reservation candidates, home without a report, has the wait that the reports of the others suggest")
{
    HomeRanking ranking([] { return 0; });
    HomeLoad full;
    full.slots = 5;
    full.wait = Millis(800);
    const std::vector<RankedHome> homes{
        {"a", Distance::SameZone}, {"b", Distance::SameZone}, {"c", Distance::SameZone}};
    ranking.noteLoad("a", full, 1, start);
    HomeQuery query;
    query.priority = 1;
    std::vector<HomeStatus> status = ranking.statusOf(homes, query, start);
    CHECK(status[0].wait == Millis(800));
    CHECK(status[1].wait > Millis(50));
    CHECK_FALSE(status[1].load);
    ranking.notePathFailure("b", start);
    ranking.noteNoServer("c", start);
    ranking.noteLikelyGray(homes[0], start);
    ranking.noteSent("a");
    status = ranking.statusOf(homes, query, start);
    CHECK(status[0].likelyGray);
    CHECK(status[0].sentSince == 1);
    CHECK(status[1].pathFailed);
    CHECK_FALSE(status[2].hasServer);
}
