#include "src/sidecar/ingress/AttemptReservation.h"

#include "src/sidecar/ingress/ForwardedRequest.h"

#include <doctest/doctest.h>

using namespace waxwing;

namespace {

const SteadyTime start = SteadyTime(std::chrono::hours(1));

/** A request of a route with two attempts, one of which a home may have run. */
class OneHomeReached
{
protected:
    OneHomeReached()
        : request_(makeJob())
    {
        request_.reachedHomes.insert("n1");
    }

    /** Reserves an attempt. @p duringTransfer: what happens while tokens are transferred. */
    AttemptDenial reserve(bool canAfford, const std::function<void()> &duringTransfer)
    {
        AttemptAccount account;
        account.check = [this] { return denialOf(request_, latestStart_, now_); };
        account.spend = [this, canAfford, &duringTransfer] {
            duringTransfer();
            spent_ += canAfford ? 1 : 0;
            return canAfford;
        };
        account.refund = [this] { --spent_; };
        return reserveAttempt(account);
    }

    Route route_ = [] {
        Route route;
        route.idempotent = true;
        route.maxAttempts = 2;
        return route;
    }();
    RunControlPtr control_ = std::make_shared<RunControl>();
    SteadyTime now_ = start;
    SteadyTime latestStart_ = start + std::chrono::seconds(3);
    ForwardedRequest request_;
    int spent_ = 0;

private:
    std::shared_ptr<const ForwardJob> makeJob() const
    {
        const auto job = std::make_shared<ForwardJob>();
        job->route = &route_;
        job->control = control_;
        job->arrived = start;
        job->deadline = start + std::chrono::seconds(4);
        return job;
    }
};

} // namespace

// Guards against one attempt too many: a lost attempt that its home reports as refused goes on to another home while
// the retry that replaces it waits for tokens.
TEST_CASE_FIXTURE(OneHomeReached, "attempt reservation, last home reached during a token transfer, tokens are refunded")
{
    CHECK(reserve(true, [this] { request_.reachedHomes.insert("n2"); }) == AttemptDenial::NoAttemptsLeft);
    CHECK(spent_ == 0);
}

// Guards against tokens that are spent, or a denial that is counted, for a request that needs no attempt any more.
TEST_CASE_FIXTURE(OneHomeReached, "attempt reservation, caller gone during a token transfer, tokens are refunded")
{
    const auto cancel = [this] { control_->cancelled = true; };
    CHECK(reserve(true, cancel) == AttemptDenial::NoTime);
    CHECK(spent_ == 0);
    CHECK(reserve(false, cancel) == AttemptDenial::NoTime);
}

// Guards against an attempt that is made without tokens, or not made although nothing forbids it.
TEST_CASE_FIXTURE(OneHomeReached, "attempt reservation, nothing changes meanwhile, the budget decides")
{
    CHECK(reserve(true, [] {}) == AttemptDenial::None);
    CHECK(spent_ == 1);
    CHECK(reserve(false, [] {}) == AttemptDenial::NoBudget);
    CHECK(spent_ == 1);
}

// Guards against a token transfer for an attempt that may not be made anyway.
TEST_CASE_FIXTURE(OneHomeReached, "attempt reservation, no attempt possible before, takes no tokens")
{
    bool asked = false;
    const auto note = [&asked] { asked = true; };
    SUBCASE("attempts used up")
    {
        request_.reachedHomes.insert("n2");
        CHECK(reserve(true, note) == AttemptDenial::NoAttemptsLeft);
    }
    SUBCASE("stopping soon")
    {
        now_ = latestStart_ - minTimeLeft;
        CHECK(reserve(true, note) == AttemptDenial::NoTime);
    }
    SUBCASE("deadline near")
    {
        latestStart_ = SteadyTime::max();
        now_ = request_.job.deadline - minTimeLeft;
        CHECK(reserve(true, note) == AttemptDenial::NoTime);
    }
    SUBCASE("finished")
    {
        request_.finished = true;
        CHECK(reserve(true, note) == AttemptDenial::NoTime);
    }
    CHECK_FALSE(asked);
    CHECK(spent_ == 0);
}
