#include "include/fleet/ConfigFetch.h"
#include "include/fleet/ConfigDelivery.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>

using namespace waxwing;

namespace {

using Kind = ConfigFetchStep::Kind;

/** A follower with version 1. Random numbers are 0, so there is no jitter. */
class Fetching
{
protected:
    Fetching()
        : fetch_([] { return std::uint64_t(0); }, tuning_)
    {
        fetch_.noteReceived(1, at(-10000));
        fetch_.setPlace({{"parent", "uncle"}, {}, tuning_.firstReaders});
    }

    static SteadyTime at(std::int64_t ms)
    {
        return SteadyTime(std::chrono::hours(1)) + Millis(ms);
    }

    ConfigFetchStep stepAt(std::int64_t ms, bool canUseStore = true, WatchRole role = WatchRole::Follower)
    {
        return fetch_.next(role, canUseStore, at(ms));
    }

    /** Carries out the steps from @p from on, while every request is refused, until the store is read. */
    std::int64_t storeReadAfter(std::int64_t from)
    {
        for (std::int64_t ms = from; ms < from + 10000; ms += 10) {
            const ConfigFetchStep step = stepAt(ms);
            if (step.kind == Kind::ReadStore) {
                return ms;
            }
            if (step.kind == Kind::AskPeer) {
                fetch_.noteSent(step.peer, at(ms));
                fetch_.noteUnavailable(step.peer, at(ms));
            }
        }
        return -1;
    }

    ConfigFetchTuning tuning_;
    ConfigFetch fetch_;
};

std::vector<std::string> nodeNames(std::size_t count)
{
    std::vector<std::string> out;
    for (std::size_t i = 0; i < count; ++i) {
        out.push_back("node-" + std::to_string(i));
    }
    return out;
}

constexpr std::size_t watchers = 2;

} // namespace

// Guards against followers that read a document from the store while their region delivers it.
TEST_CASE_FIXTURE(Fetching, "config fetch, watcher announces a newer version, asks the parent and not the store")
{
    CHECK(stepAt(0).kind == Kind::Nothing);
    fetch_.noteOffer(2, "watcher", true, at(0));
    const ConfigFetchStep step = stepAt(0);
    CHECK(step.kind == Kind::AskPeer);
    CHECK(step.peer == "parent");
    fetch_.noteSent("parent", at(0));
    CHECK(stepAt(100).kind == Kind::Wait);
    CHECK(fetch_.isDeliveryInTime(at(100)));
    fetch_.noteReceived(2, at(200));
    CHECK(stepAt(200).kind == Kind::Nothing);
    CHECK(fetch_.isDeliveryInTime(at(200)));
    CHECK_FALSE(fetch_.isDeliveryInTime(at(200) + tuning_.settleTime));
}

// Guards against a node that waits for a peer that died or is cut off.
TEST_CASE_FIXTURE(Fetching, "config fetch, peer that is asked does not reply, asks another one and then a holder")
{
    fetch_.noteOffer(2, "watcher", true, at(0));
    fetch_.noteSent("parent", at(0));
    const std::int64_t timeout = tuning_.replyTimeout.count();
    CHECK(stepAt(timeout - 1).kind == Kind::Wait);
    CHECK(stepAt(timeout).peer == "uncle");
    fetch_.noteSent("uncle", at(timeout));
    fetch_.noteLost("uncle", at(timeout + 10));
    const ConfigFetchStep step = stepAt(timeout + 10);
    CHECK(step.kind == Kind::AskPeer);
    CHECK(step.peer == "watcher");
}

// Guards against a node that keeps to its peers although they don't deliver within the bound.
TEST_CASE_FIXTURE(Fetching, "config fetch, peers never deliver, reads the store with enough of the bound left")
{
    fetch_.noteOffer(2, "watcher", true, at(0));
    const std::int64_t readAt = storeReadAfter(0);
    CHECK(readAt == tuning_.storeAfter.count());
    CHECK_FALSE(fetch_.isDeliveryInTime(at(readAt)));
    // A version that this node rejects must not cause continuous reads.
    CHECK(storeReadAfter(readAt + 1) >= readAt + tuning_.storeInterval.count());
}

// Guards against one store read per node when a node is lost that delivers to a large part of its region.
TEST_CASE_FIXTURE(Fetching, "config fetch, peers never deliver, nodes that deliver to many read the store first")
{
    fetch_.noteOffer(2, "watcher", true, at(0));
    fetch_.setPlace({{"parent"}, {}, 8 * tuning_.firstReaders});
    CHECK(storeReadAfter(0) == (tuning_.storeAfter + 3 * tuning_.storeGrowth).count());
}

// Guards against waiting out a timeout after a reply that shows that the peer is alive and will make an offer.
TEST_CASE_FIXTURE(Fetching, "config fetch, peer has not got the version yet, is asked as soon as it offers it")
{
    fetch_.noteOffer(2, "watcher", true, at(0));
    fetch_.noteSent("parent", at(0));
    fetch_.noteUnavailable("parent", at(5));
    CHECK(stepAt(10).kind == Kind::Wait);
    fetch_.noteOffer(2, "parent", true, at(300));
    const ConfigFetchStep step = stepAt(300);
    CHECK(step.kind == Kind::AskPeer);
    CHECK(step.peer == "parent");
}

// Guards against a peer that is busy decoding, and does not reply, while another one offers the document.
TEST_CASE_FIXTURE(Fetching, "config fetch, offer while a request is unanswered, asks the node that made the offer")
{
    fetch_.noteOffer(2, "watcher", true, at(0));
    fetch_.noteSent("uncle", at(0));
    fetch_.noteOffer(2, "parent", true, at(10));
    CHECK(stepAt(10).kind == Kind::Wait);
    CHECK(stepAt(tuning_.offerPreemptsAfter.count()).peer == "parent");
}

// Guards against a version that is known only elsewhere: reads by all nodes would fill the path between regions.
TEST_CASE_FIXTURE(Fetching, "config fetch, only other regions hold the version, first readers read the store earlier")
{
    fetch_.noteHolder(2, "elsewhere", false, at(0));
    CHECK(stepAt(0).kind == Kind::Wait);
    fetch_.setPlace({{}, {}, 0});
    CHECK(storeReadAfter(0) == tuning_.firstReaderStoreAfter.count());
    ConfigFetch other([] { return std::uint64_t(0); }, tuning_);
    other.setPlace({{}, {}, tuning_.firstReaders});
    other.noteHolder(2, "elsewhere", false, at(0));
    CHECK(other.next(WatchRole::Follower, true, at(tuning_.firstReaderStoreAfter.count())).kind == Kind::Wait);
    CHECK(other.next(WatchRole::Follower, true, at(tuning_.otherStoreAfter.count())).kind == Kind::ReadStore);
}

// Guards against a watcher whose watch is on a dead connection.
TEST_CASE_FIXTURE(Fetching, "config fetch, watcher hears of a version that its watch did not report, reads the store")
{
    fetch_.noteHolder(2, "elsewhere", false, at(0));
    const std::int64_t due = tuning_.watcherStoreAfter.count();
    CHECK(stepAt(due - 1, true, WatchRole::Watcher).kind == Kind::Wait);
    CHECK(stepAt(due, true, WatchRole::Watcher).kind == Kind::ReadStore);
}

// Guards against a region that is cut off from the store and waits for its own watchers.
TEST_CASE_FIXTURE(Fetching, "config fetch, store does not respond, asks a node elsewhere at once")
{
    fetch_.noteHolder(2, "elsewhere", false, at(0));
    const ConfigFetchStep step = stepAt(0, false);
    CHECK(step.kind == Kind::AskPeer);
    CHECK(step.peer == "elsewhere");
}

// Guards against a node that fetches a version again that it has rejected, or one that it holds.
TEST_CASE_FIXTURE(Fetching, "config fetch, version received before, is not fetched again")
{
    fetch_.noteReceived(2, at(0));
    fetch_.noteHolder(2, "watcher", true, at(10));
    fetch_.noteHolder(1, "parent", true, at(10));
    CHECK(stepAt(10).kind == Kind::Nothing);
    fetch_.noteHolder(3, "watcher", true, at(20));
    CHECK(stepAt(20).kind == Kind::AskPeer);
}

// Guards against requests of a whole region that arrive at one node at the same moment.
TEST_CASE("config fetch, nodes that hear of a version together, ask at different times")
{
    std::set<SteadyTime> times;
    std::uint64_t next = 0;
    const SteadyTime start = SteadyTime(std::chrono::hours(1));
    for (int node = 0; node < 20; ++node) {
        ConfigFetch fetch([&next] { return next += 7; });
        fetch.noteHolder(2, "watcher", true, start);
        times.insert(fetch.next(WatchRole::Follower, true, start).until);
    }
    CHECK(times.size() > 10);
}

// Guards against a node to which nobody delivers, one that delivers to too many, and sources that are served later.
TEST_CASE("delivery place, regions of any size, every node has a parent of lower rank that delivers to a few")
{
    for (const std::size_t count : {2UL, 3UL, 9UL, 48UL, 650UL}) {
        const std::vector<std::string> ranked = nodeNames(count);
        std::map<std::string, std::string> parents;
        for (const std::string &node : ranked) {
            const DeliveryPlace place = deliveryPlace(ranked, watchers, node);
            CHECK(place.children.size() <= deliveryFanOut);
            for (const std::string &child : place.children) {
                CHECK(parents.emplace(child, node).second);
            }
        }
        CHECK(parents.size() == count - watchers);
        for (std::size_t i = watchers; i < count; ++i) {
            const DeliveryPlace place = deliveryPlace(ranked, watchers, ranked[i]);
            REQUIRE_FALSE(place.sources.empty());
            CHECK(place.sources.front() == parents[ranked[i]]);
            const std::set<std::string> distinct(place.sources.begin(), place.sources.end());
            CHECK(distinct.size() == place.sources.size());
            CHECK(distinct.count(ranked[i]) == 0);
        }
        CHECK(deliveryPlace(ranked, watchers, ranked[0]).sources.empty());
    }
    CHECK(deliveryPlace(nodeNames(3), watchers, "unknown").sources.empty());
}

// Guards against a node whose link is shared by so many deliveries that all of them are late.
TEST_CASE("config delivery, more requests than deliveries at a time, refuses the others and offers later")
{
    const ConfigDeliveryTuning tuning;
    ConfigDelivery delivery(tuning);
    const std::size_t bytes = tuning.bytesPerSecond / 10;
    const SteadyTime start = SteadyTime(std::chrono::hours(1));
    std::size_t started = 0;
    for (int peer = 0; peer < 10; ++peer) {
        const bool serves = delivery.tryStart(bytes, start);
        started += serves ? 1 : 0;
        if (!serves) {
            delivery.addWaiting("peer-" + std::to_string(peer));
        }
    }
    CHECK(started == tuning.parallel);
    CHECK(delivery.takeOffers(start).empty());
    const SteadyTime later = start + Millis(110);
    CHECK(delivery.takeOffers(later) == std::vector<std::string>{"peer-2", "peer-3"});
    CHECK(delivery.takeOffers(later).empty());
    CHECK(delivery.tryStart(bytes, later));
}

// Guards against a node that starts to decode, and does not reply for a second, before those that it made an offer ask.
TEST_CASE("config delivery, offer made, stays active until the node has asked or its time is over")
{
    const ConfigDeliveryTuning tuning;
    ConfigDelivery delivery(tuning);
    const SteadyTime start = SteadyTime(std::chrono::hours(1));
    CHECK_FALSE(delivery.isActive(start));
    delivery.addWaiting("peer");
    CHECK(delivery.takeOffers(start).size() == 1);
    CHECK(delivery.isActive(start + Millis(1)));
    CHECK_FALSE(delivery.isActive(start + tuning.offerValidFor));
    delivery.removeWaiting("peer");
    CHECK_FALSE(delivery.isActive(start + Millis(1)));
}

// Guards against a list of waiting nodes that grows with the region.
TEST_CASE("config delivery, many waiting nodes, remembers a bounded number once each")
{
    ConfigDeliveryTuning tuning;
    tuning.maxWaiting = 3;
    tuning.parallel = 100;
    ConfigDelivery delivery(tuning);
    for (const char *peer : {"a", "b", "a", "c", "d"}) {
        delivery.addWaiting(peer);
    }
    CHECK(delivery.takeOffers(SteadyTime(std::chrono::hours(1))) == std::vector<std::string>{"a", "b", "c"});
}
