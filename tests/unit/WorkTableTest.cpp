#include "src/sidecar/WorkTable.h"
#include "tests/support/ManualClock.h"

#include <doctest/doctest.h>

using namespace waxwing;

namespace {

class Works
{
protected:
    static WorkKey keyOf(std::uint64_t id)
    {
        return WorkKey{NodeRef{"n1", 7}, id};
    }

    static WorkReply replyOf(std::size_t bodyBytes)
    {
        WorkReply reply;
        reply.outcome = Outcome::Ran;
        reply.response.body = std::string(bodyBytes, 'x');
        return reply;
    }

    waxwing::testing::ManualClock clock_;
    WorkTable works_{clock_};
    RunControlPtr control_ = std::make_shared<RunControl>();
};

} // namespace

TEST_CASE_FIXTURE(Works, "work table, work from queue to end, reports each state and keeps the reply")
{
    works_.addQueued(keyOf(1), control_);
    CHECK(works_.isInProgress(keyOf(1)));
    CHECK(works_.fence(keyOf(1), true, Duration(0)).state == FenceState::Underway);
    works_.noteRunning(keyOf(1));
    CHECK(works_.fence(keyOf(1), false, Duration(0)).state == FenceState::Underway);
    works_.finish(keyOf(1), replyOf(3));
    const FenceReply ended = works_.fence(keyOf(1), false, Duration(0));
    CHECK(ended.state == FenceState::Ended);
    REQUIRE(ended.reply);
    CHECK(ended.reply->response.body == "xxx");
    CHECK_FALSE(works_.isInProgress(keyOf(1)));
}

// Guards against a booking that runs after its sender was told that it never will.
TEST_CASE_FIXTURE(Works, "work table, fenced work, never starts whether it is queued or arrives later")
{
    works_.addQueued(keyOf(1), control_);
    CHECK(works_.fence(keyOf(1), false, Duration(0)).state == FenceState::NeverRuns);
    CHECK(control_->cancelled);
    works_.finish(keyOf(1), replyOf(3));
    CHECK(works_.fence(keyOf(1), true, Duration(0)).state == FenceState::NeverRuns);
    CHECK(works_.fence(keyOf(2), false, Duration(0)).state == FenceState::NeverRuns);
    CHECK(works_.contains(keyOf(2)));
}

TEST_CASE_FIXTURE(Works, "work table, cancel that overtakes its work, keeps the work from starting")
{
    works_.cancel(keyOf(1));
    CHECK(works_.contains(keyOf(1)));
    CHECK(works_.fence(keyOf(1), true, Duration(0)).state == FenceState::NeverRuns);
}

// Guards against a home that has forgotten a booking and reports that it never runs.
TEST_CASE_FIXTURE(Works, "work table, result evicted, is not known to a query about work sent before its end")
{
    works_.addQueued(keyOf(1), control_);
    works_.finish(keyOf(1), replyOf(3));
    clock_.advance(std::chrono::seconds(13));
    works_.evictOld();
    CHECK_FALSE(works_.contains(keyOf(1)));
    CHECK(works_.fence(keyOf(1), false, std::chrono::seconds(14)).state == FenceState::NotKnown);
    CHECK(works_.fence(keyOf(2), false, std::chrono::seconds(1)).state == FenceState::NeverRuns);
}

TEST_CASE_FIXTURE(Works, "work table, large responses beyond the limit, the oldest is dropped but stays ended")
{
    constexpr std::size_t megabyte = 1024UL * 1024;
    for (std::uint64_t id = 1; id <= 6; ++id) {
        works_.addQueued(keyOf(id), control_);
        works_.finish(keyOf(id), replyOf(megabyte));
    }
    const FenceReply oldest = works_.fence(keyOf(1), false, Duration(0));
    CHECK(oldest.state == FenceState::Ended);
    CHECK(oldest.reply->outcome == Outcome::Unknown);
    CHECK(works_.fence(keyOf(6), false, Duration(0)).reply->response.body.size() == megabyte);
}
