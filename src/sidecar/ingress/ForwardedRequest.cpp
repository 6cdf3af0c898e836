#include "src/sidecar/ingress/ForwardedRequest.h"

#include <algorithm>

namespace waxwing {

namespace {

/** Nested calls are the most urgent, since other work waits for them; callers' requests follow by route priority. */
constexpr int nestedCallRank = 0;
constexpr int callerRankOffset = 1;

} // namespace

ForwardedRequest::ForwardedRequest(std::shared_ptr<const ForwardJob> jobIn)
    : jobPtr(std::move(jobIn))
    , job(*jobPtr)
    , objective(job.arrived + job.route->responseTime)
    , budgetRank(callerRankOffset)
{ }

int ForwardedRequest::priority() const
{
    return nestedCall ? nestedCallRank : callerRankOffset + job.priority;
}

void ForwardedRequest::useCallerBudgetRank()
{
    budgetRank = callerRankOffset + job.priority;
}

void ForwardedRequest::useNestedBudgetRank(std::optional<int> callerRank)
{
    budgetRank = callerRank.value_or(nestedCallRank);
}

std::string ForwardedRequest::keyProblem() const
{
    const AdmissionResult result = job.recheckKey ? job.recheckKey() : AdmissionResult::Admitted;
    if (result == AdmissionResult::Admitted) {
        return {};
    }
    return result == AdmissionResult::Unauthorized ? keyRevokedReason : unconfirmedReason;
}

std::string ForwardedRequest::refusalReason(const char *otherwise) const
{
    return callsUnserved > 0 ? refusalReasonName(RefusalReason::CallsUnserved) : otherwise;
}

bool ForwardedRequest::isRetryable() const
{
    return job.route->idempotent && job.route->maxAttempts > 1;
}

AttemptPtr ForwardedRequest::addAttempt()
{
    auto attempt = std::make_shared<ForwardAttempt>();
    attempt->control = std::make_shared<RunControl>();
    attempt->control->onOutcomeUnknown = [this, attempt = attempt.get()] {
        attempt->outcomeUnknown = true;
        hasLostAttempt = true;
        notifier.notify();
    };
    attempts.push_back(attempt);
    return attempt;
}

std::size_t ForwardedRequest::endedAttempts() const
{
    return static_cast<std::size_t>(
        std::count_if(attempts.begin(), attempts.end(), [](const AttemptPtr &one) { return one->ended; }));
}

bool ForwardedRequest::allEnded() const
{
    return std::all_of(attempts.begin(), attempts.end(), [](const AttemptPtr &one) { return one->ended; });
}

bool ForwardedRequest::nonePending() const
{
    return std::all_of(attempts.begin(), attempts.end(),
                       [](const AttemptPtr &one) { return one->ended || one->outcomeUnknown; });
}

bool ForwardedRequest::hasNotRun() const
{
    return allEnded() && std::all_of(attempts.begin(), attempts.end(), [](const AttemptPtr &one) {
               return one->reply.outcome == Outcome::NotRun;
           });
}

AttemptPtr ForwardedRequest::succeededAttempt() const
{
    const auto found = std::find_if(attempts.begin(), attempts.end(), [](const AttemptPtr &one) {
        return one->ended && one->reply.outcome == Outcome::Ran && !one->reply.serverFault;
    });
    return found == attempts.end() ? nullptr : *found;
}

void ForwardedRequest::evaluateReplies()
{
    evaluated = endedAttempts();
    for (const AttemptPtr &attempt : attempts) {
        const bool preferred = attempt->ended
                               && (!lastReply.has_value() || attempt->reply.outcome == Outcome::Ran
                                   || lastReply->outcome == Outcome::NotRun);
        if (preferred) {
            lastReply = attempt->reply;
        }
    }
}

void ForwardedRequest::cancelPending()
{
    for (const AttemptPtr &attempt : attempts) {
        if (!attempt->ended) {
            attempt->control->cancel();
        }
    }
}

void ForwardedRequest::cancelAll()
{
    for (const AttemptPtr &attempt : attempts) {
        attempt->control->cancel();
    }
}

void ForwardedRequest::cancelQueued()
{
    queuedCancelled = true;
    for (const AttemptPtr &attempt : attempts) {
        if (!attempt->ended) {
            attempt->control->cancelQueued();
        }
    }
}

} // namespace waxwing
