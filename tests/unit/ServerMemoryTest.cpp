#include "include/flow/ServerMemory.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

using namespace waxwing;

namespace {

constexpr std::uint64_t kilobyte = 1024;
constexpr std::uint64_t uploadBytes = 90 * kilobyte;
constexpr std::uint64_t lookupBytes = kilobyte;
const SteadyTime start = SteadyTime(std::chrono::hours(1));

/** A server that has crashed with four uploads in progress. */
struct Crashed {
    Crashed()
    {
        for (std::uint64_t id = 1; id <= 4; ++id) {
            REQUIRE(memory.submit(id, uploadBytes, start) == MemoryDecision::Start);
        }
        memory.noteReset(start);
        for (std::uint64_t id = 1; id <= 4; ++id) {
            memory.release(id, start);
        }
        learned = memory.noteCrash("s@1", start);
    }

    ServerMemory memory;
    std::optional<std::uint64_t> learned;
};

} // namespace

TEST_CASE("server memory, nothing known, starts every request")
{
    ServerMemory memory;
    for (std::uint64_t id = 1; id <= 100; ++id) {
        CHECK(memory.submit(id, uploadBytes, start) == MemoryDecision::Start);
    }
    CHECK(!memory.bound(start));
}

TEST_CASE_FIXTURE(Crashed, "server memory, crash with four uploads in progress, afterwards fewer run at once")
{
    CHECK(learned == 2 * uploadBytes);
    CHECK(memory.submit(11, uploadBytes, start) == MemoryDecision::Start);
    CHECK(memory.submit(12, uploadBytes, start) == MemoryDecision::Start);
    CHECK(memory.submit(13, uploadBytes, start) == MemoryDecision::Wait);
    CHECK(memory.release(11, start).start == std::vector<std::uint64_t>{13});
    CHECK(memory.bytesInProgress() == 2 * uploadBytes);
}

TEST_CASE_FIXTURE(Crashed, "server memory, request larger than the learned bound, is refused at once")
{
    CHECK(memory.submit(11, 3 * uploadBytes, start) == MemoryDecision::Refuse);
    CHECK(memory.waitingCount() == 0);
}

TEST_CASE_FIXTURE(Crashed, "server memory, several requests that failed in one crash, lower the bound once")
{
    // Each of the four requests detects the crash; a bound halved four times would refuse every upload.
    memory.noteReset(start + Millis(300));
    CHECK(!memory.noteCrash("s@1", start + Millis(400)));
    CHECK(memory.bound(start) == learned);
}

TEST_CASE("server memory, crash with few bytes in progress, teaches no bound")
{
    // A request that crashes its server whatever its size must not bound the others.
    ServerMemory memory;
    memory.submit(1, lookupBytes, start);
    memory.noteReset(start);
    CHECK(!memory.noteCrash("s@1", start));
    CHECK(!memory.bound(start));
}

TEST_CASE("server memory, crash at a level that was survived before, teaches no bound")
{
    ServerMemory memory;
    for (std::uint64_t id = 1; id <= 4; ++id) {
        memory.submit(id, uploadBytes, start);
    }
    memory.noteCompleted(start);
    memory.release(4, start);
    memory.noteReset(start);
    CHECK(!memory.noteCrash("s@1", start));
}

TEST_CASE("server memory, level below the crash was survived, is the bound")
{
    ServerMemory memory;
    for (std::uint64_t id = 1; id <= 3; ++id) {
        memory.submit(id, uploadBytes, start);
    }
    memory.noteCompleted(start);
    memory.submit(4, uploadBytes, start);
    memory.noteReset(start);
    CHECK(memory.noteCrash("s@1", start) == 3 * uploadBytes);
}

TEST_CASE_FIXTURE(Crashed, "server memory, time without a crash, forgets the bound step by step")
{
    CHECK(memory.bound(start + std::chrono::minutes(5)).value() > 2 * *learned - kilobyte);
    CHECK(!memory.bound(start + std::chrono::minutes(21)));
    CHECK(memory.submit(11, 9 * uploadBytes, start + std::chrono::minutes(21)) == MemoryDecision::Start);
}

TEST_CASE_FIXTURE(Crashed, "server memory, endless small requests, don't starve a large one")
{
    // Small requests arrive every 2 ms and take 20 ms, so some are always in progress.
    std::uint64_t nextId = 100;
    std::set<std::uint64_t> running;
    std::vector<std::pair<SteadyTime, std::uint64_t>> ends;
    constexpr std::uint64_t largeId = 99;
    std::optional<SteadyTime> largeStarted;
    const auto take = [&](const ServerMemory::Ready &ready, SteadyTime now) {
        for (const auto id : ready.start) {
            ends.emplace_back(now + Millis(20), id);
            largeStarted = id == largeId ? std::optional<SteadyTime>(now) : largeStarted;
        }
    };
    for (int ms = 0; ms < 1000 && !largeStarted; ms += 2) {
        const SteadyTime now = start + Millis(ms);
        for (std::size_t i = 0; i < ends.size();) {
            if (ends[i].first <= now) {
                const auto id = ends[i].second;
                ends.erase(ends.begin() + static_cast<std::ptrdiff_t>(i));
                take(memory.release(id, now), now);
            } else {
                ++i;
            }
        }
        if (ms == 100) {
            CHECK(memory.submit(largeId, 2 * uploadBytes, now) == MemoryDecision::Wait);
        }
        if (memory.submit(nextId, lookupBytes, now) == MemoryDecision::Start) {
            ends.emplace_back(now + Millis(20), nextId);
        }
        ++nextId;
    }
    REQUIRE(largeStarted);
    CHECK(*largeStarted - start < Millis(400));
}

TEST_CASE_FIXTURE(Crashed, "server memory, endless large requests, don't starve a small one")
{
    CHECK(memory.submit(11, 2 * uploadBytes, start) == MemoryDecision::Start);
    CHECK(memory.submit(12, 2 * uploadBytes, start) == MemoryDecision::Wait);
    CHECK(memory.submit(13, lookupBytes, start + Millis(300)) == MemoryDecision::Wait);
    CHECK(memory.submit(14, 2 * uploadBytes, start + Millis(300)) == MemoryDecision::Wait);
    CHECK(memory.release(11, start + Millis(400)).start == std::vector<std::uint64_t>{12});
    CHECK(memory.release(12, start + Millis(800)).start == std::vector<std::uint64_t>{13});
    CHECK(memory.release(13, start + Millis(900)).start == std::vector<std::uint64_t>{14});
}

TEST_CASE_FIXTURE(Crashed, "server memory, request that gives up waiting, lets the next one start")
{
    memory.submit(11, uploadBytes, start);
    CHECK(memory.submit(12, 2 * uploadBytes, start) == MemoryDecision::Wait);
    CHECK(memory.submit(13, uploadBytes, start + Millis(300)) == MemoryDecision::Wait);
    CHECK(memory.release(12, start + Millis(350)).start == std::vector<std::uint64_t>{13});
}

TEST_CASE_FIXTURE(Crashed,
                  "server memory, next crash at the learned level, lowers the bound and refuses what is too large")
{
    memory.submit(11, 2 * uploadBytes, start + Millis(5000));
    CHECK(memory.submit(12, 2 * uploadBytes, start + Millis(5000)) == MemoryDecision::Wait);
    memory.noteReset(start + Millis(6000));
    CHECK(memory.noteCrash("s@2", start + Millis(6000)) == uploadBytes);
    const ServerMemory::Ready ready = memory.release(11, start + Millis(6000));
    CHECK(ready.start.empty());
    CHECK(ready.refuse == std::vector<std::uint64_t>{12});
}
