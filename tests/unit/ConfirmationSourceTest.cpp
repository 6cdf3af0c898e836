#include "include/fleet/ConfirmationSource.h"

#include "tests/support/ManualClock.h"

#include <doctest/doctest.h>

#include <set>

using namespace waxwing;
using namespace waxwing::testing;

namespace {

constexpr Millis askAnotherWithin{300};
constexpr Millis checkInterval{20};
/** The minimum interval of 50 ms, at the next check. */
constexpr Millis askAfterRefusalWithin{70};

class Source
{
protected:
    Source()
    {
        candidates_.watchers = {"watcher-1", "watcher-2"};
        candidates_.region = {"watcher-1", "watcher-2", "near-1", "near-2", "near-3"};
        candidates_.elsewhereLinked = {"far-1"};
        candidates_.elsewhere = {"far-1", "far-2", "far-3", "far-4"};
    }

    std::optional<ConfirmationRequest> next()
    {
        return source_.next(candidates_, clock_.now());
    }

    /** Advances the clock in steps of the service's checks until there is a request. Returns nothing if there is none.
     */
    std::optional<ConfirmationRequest> nextWithin(Millis limit)
    {
        for (Millis waited{0}; waited <= limit; waited += checkInterval) {
            if (auto request = next()) {
                return request;
            }
            clock_.advance(checkInterval);
        }
        return std::nullopt;
    }

    bool isNear(const std::string &peer) const
    {
        return std::find(candidates_.region.begin(), candidates_.region.end(), peer) != candidates_.region.end();
    }

    ManualClock clock_;
    std::uint64_t random_ = 0;
    ConfirmationCandidates candidates_;
    ConfirmationSource source_{[this] { return random_++; }};
};

} // namespace

// Guards against requests beyond one per interval while the region's watchers confirm.
TEST_CASE_FIXTURE(Source, "confirmation source, watchers confirm, asks one of them once per interval")
{
    int requests = 0;
    for (int step = 0; step < 100; ++step) {
        if (const auto request = next()) {
            ++requests;
            CHECK(request->peer.find("watcher") == 0);
            source_.noteConfirmed(request->peer, clock_.now());
        }
        clock_.advance(checkInterval);
    }
    CHECK(requests == 5);
}

// Guards against a node that waits for a peer that has died or has no newer confirmation itself.
TEST_CASE_FIXTURE(Source, "confirmation source, peer does not reply or does not confirm, asks another within 300 ms")
{
    const auto first = next();
    REQUIRE(first);
    Millis bound = askAnotherWithin;
    SUBCASE("no reply")
    { }
    SUBCASE("no confirmation")
    {
        // Nothing is awaited any more, so the next request follows after the minimum interval.
        source_.noteFailed(first->peer, clock_.now());
        bound = askAfterRefusalWithin;
    }
    const SteadyTime asked = clock_.now();
    // Waits for longer than the bound, so that a late request is seen as late.
    const auto second = nextWithin(10 * askAnotherWithin);
    REQUIRE(second);
    CHECK(second->peer != first->peer);
    CHECK(clock_.now() - asked <= bound);
}

// Guards against a region that the store refuses as a whole and whose nodes ask only each other.
TEST_CASE_FIXTURE(Source, "confirmation source, no node of the region confirms, asks another region in the same round")
{
    std::set<std::string> asked;
    std::optional<ConfirmationRequest> request;
    do {
        request = nextWithin(askAnotherWithin);
        REQUIRE(request);
        CHECK(asked.insert(request->peer).second);
        if (!request->otherRegion) {
            source_.noteFailed(request->peer, clock_.now());
        }
    } while (!request->otherRegion);
    CHECK(request->attempt == 2);
    CHECK(request->peer == "far-1");
    source_.noteConfirmed(request->peer, clock_.now());
    // The node that confirmed is asked first until the region is tried again.
    const auto later = nextWithin(Millis(400));
    REQUIRE(later);
    CHECK(later->peer == "far-1");
    CHECK(later->attempt == 0);
    source_.noteConfirmed(later->peer, clock_.now());
    clock_.advance(std::chrono::seconds(5));
    CHECK(isNear(next()->peer));
}

// Guards against a node without a link to another region, which could ask nobody there.
TEST_CASE_FIXTURE(Source, "confirmation source, no link to another region is open, asks a node of its registry")
{
    candidates_.elsewhereLinked.clear();
    candidates_.region.clear();
    candidates_.watchers.clear();
    const auto request = next();
    REQUIRE(request);
    CHECK(request->otherRegion);
}

// Guards against many requests while no node reaches the store, and against none when a peer reaches it again.
TEST_CASE_FIXTURE(Source, "confirmation source, nobody confirms, requests are bounded and go on")
{
    bool replies = false;
    SUBCASE("peers reply")
    {
        replies = true;
    }
    SUBCASE("peers are dead")
    { }
    int requests = 0;
    int lastSecond = 0;
    constexpr int steps = 1000;
    for (int step = 0; step < steps; ++step) {
        if (const auto request = next()) {
            ++requests;
            lastSecond += step >= steps - 50 ? 1 : 0;
            if (replies) {
                source_.noteFailed(request->peer, clock_.now());
            }
        }
        clock_.advance(checkInterval);
    }
    // 20 s of four requests in 0.95 s.
    CHECK(requests <= 90);
    CHECK(requests >= 40);
    CHECK(lastSecond >= 1);
}

// Guards against an access to an empty list when a node has no peers.
TEST_CASE_FIXTURE(Source, "confirmation source, no candidates, returns no request")
{
    candidates_ = {};
    CHECK_FALSE(nextWithin(std::chrono::seconds(2)));
}
