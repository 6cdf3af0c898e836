#include "include/poison/PoisonRegistry.h"
#include "include/poison/SuspectedCrashes.h"
#include "tests/support/ManualClock.h"

#include <doctest/doctest.h>

#include <array>

using namespace waxwing;
using namespace waxwing::testing;

namespace {

constexpr std::uint64_t digest = 7;

/** The registries of three nodes. Each crash beside one of them is reported to the others. */
class PoisonNodes
{
protected:
    void crash(std::size_t node, const std::string &server)
    {
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            nodes_[i].noteDeath(digest, server, i == node ? CrashOrigin::Local : CrashOrigin::Reported);
        }
    }

    void complete(std::size_t node)
    {
        const std::optional<Record> report = nodes_.at(node).noteCompleted(digest)
                                                 ? std::optional<Record>(completionRecord(digest, clock_.wallNow()))
                                                 : std::nullopt;
        for (PoisonRegistry &one : nodes_) {
            if (report) {
                one.noteCompleted(completedDigestFrom(*report).value_or(0));
            }
        }
    }

    /** Returns how many nodes would run the request now. */
    int runs()
    {
        int count = 0;
        for (PoisonRegistry &node : nodes_) {
            count += !node.mustRefuse(digest) || node.takeTrial(digest) ? 1 : 0;
        }
        return count;
    }

    ManualClock clock_;
    std::array<PoisonRegistry, 3> nodes_{PoisonRegistry(clock_), PoisonRegistry(clock_), PoisonRegistry(clock_)};
};

} // namespace

// Guards against a popular page that is refused for good because two servers happened to crash while they ran it.
TEST_CASE_FIXTURE(PoisonNodes, "poison registry, request completes between two crashes, is not refused")
{
    crash(0, "a@1");
    complete(1);
    crash(2, "c@1");
    CHECK(runs() == 3);
}

// Guards against a request that crashes each server and is not refused because it completed long before.
TEST_CASE_FIXTURE(PoisonNodes, "poison registry, request completes only before its crashes, is refused")
{
    complete(0);
    crash(0, "a@1");
    crash(1, "b@1");
    CHECK(runs() == 0);
}

// Guards against a page that stays refused after two servers crashed at the same moment for reasons of their own.
TEST_CASE_FIXTURE(PoisonNodes, "poison registry, refused request, is tried at one node and cleared by its completion")
{
    crash(0, "a@1");
    crash(1, "b@1");
    clock_.advance(PoisonRegistry::firstTrialDelay);
    CHECK(runs() == 1);
    CHECK(runs() == 0);
    complete(0);
    CHECK(runs() == 3);
}

// Guards against trials of a poison request that keep crashing servers.
TEST_CASE_FIXTURE(PoisonNodes, "poison registry, each trial crashes its server, at most three follow in half an hour")
{
    crash(0, "a@1");
    crash(1, "b@1");
    int trials = 0;
    for (Millis passed{0}; passed < std::chrono::minutes(30); passed += Millis(500)) {
        clock_.advance(Millis(500));
        if (runs() > 0) {
            ++trials;
            crash(0, "a@" + std::to_string(trials + 1));
        }
    }
    CHECK(trials >= 1);
    CHECK(trials <= 3);
}

// Guards against a customer's poison request that is never refused because the same path works for others.
TEST_CASE("poison digest, same path for different customers, differs")
{
    const HttpRequest request{"GET", "/dates/1", {}, {}};
    CHECK(requestDigest("desk", request, "a") != requestDigest("desk", request, "b"));
    CHECK(requestDigest("desk", request, "a") != requestDigest("desk", request));
}

// Guards against a completion that another build, or this one, takes for a crash.
TEST_CASE("poison records, death and completion, are told apart")
{
    const Record completion = completionRecord(digest, WallTime());
    const Record death = toRecord(PoisonDeath{digest, "a@1"}, WallTime());
    CHECK_FALSE(poisonDeathFrom(completion));
    CHECK(completedDigestFrom(completion) == digest);
    CHECK_FALSE(completedDigestFrom(death));
    REQUIRE(poisonDeathFrom(death));
    CHECK(poisonDeathFrom(death)->digest == digest);
    CHECK(poisonDeathFrom(death)->server == "a@1");
}

// Guards against a crash that is missed because the server is back before anyone finds its port closed.
TEST_CASE("suspected crashes, another process registers, confirms only runs of the process before it")
{
    ManualClock clock;
    SuspectedCrashes crashes;
    crashes.add(SuspectedCrash{"a", 1, digest, clock.now()});
    SUBCASE("soon after")
    {
        clock.advance(Millis(500));
        const auto confirmed = crashes.confirm(2, clock.now());
        REQUIRE(confirmed.size() == 1);
        CHECK(confirmed.front().digest == digest);
        CHECK(crashes.confirm(3, clock.now()).empty());
    }
    SUBCASE("long after")
    {
        clock.advance(SuspectedCrashes::retention);
        CHECK(crashes.confirm(2, clock.now()).empty());
    }
    SUBCASE("the same process")
    {
        CHECK(crashes.confirm(1, clock.now()).empty());
    }
}
