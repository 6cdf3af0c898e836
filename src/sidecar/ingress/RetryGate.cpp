#include "src/sidecar/ingress/RetryGate.h"

#include "include/route/RouteStats.h"
#include "src/node/NodeCore.h"
#include "src/sidecar/RetryBudgetService.h"
#include "src/sidecar/ingress/ForwardedRequest.h"
#include "src/sidecar/ingress/StartLimit.h"

#include <algorithm>

namespace waxwing {

RetryGate::RetryGate(NodeCore &core, RetryBudgetService &budgets, const RouteStats &stats, const StartLimit &startLimit)
    : core_(core)
    , budgets_(budgets)
    , stats_(stats)
    , startLimit_(startLimit)
{ }

CallRates RetryGate::costOf(const ForwardedRequest &request) const
{
    CallRates cost = stats_.calls(request.job.route->name);
    cost[request.job.service] += 1.0;
    return cost;
}

RetryReason RetryGate::reasonOf(const ForwardedRequest &request) const
{
    return budgets_.reasonFor(request.job.service, request.budgetRank);
}

bool RetryGate::canRetry(const ForwardedRequest &request) const
{
    const Route &route = *request.job.route;
    const bool hasAttemptsLeft = static_cast<int>(request.reachedHomes.size()) + 1 < route.maxAttempts;
    return route.idempotent && hasAttemptsLeft && budgets_.canAfford(costOf(request), reasonOf(request));
}

bool RetryGate::reserveRetry(const ForwardedRequest &request, const char *why)
{
    return reserve(request, reasonOf(request), why);
}

bool RetryGate::reserveHedge(const ForwardedRequest &request)
{
    return reserve(request, RetryReason::Hedge, "slow");
}

void RetryGate::refund(const ForwardedRequest &request)
{
    budgets_.refund(costOf(request));
}

bool RetryGate::canStillRun(const ForwardedRequest &request) const
{
    const SteadyTime end = std::min(request.job.deadline, startLimit_.latestStart(*request.job.route));
    const bool hasTimeLeft = core_.clock.now() + minTimeLeft < end;
    return hasTimeLeft && !request.finished && !request.job.control->cancelled;
}

bool RetryGate::reserve(const ForwardedRequest &request, RetryReason reason, const char *why)
{
    const bool hasAttemptsLeft = static_cast<int>(request.reachedHomes.size()) < request.job.route->maxAttempts;
    const CallRates cost = costOf(request);
    const bool reserved = hasAttemptsLeft && canStillRun(request) && budgets_.spend(cost, reason);
    // A token transfer takes some round trips. If the caller has disconnected by then, the request must not be sent.
    const bool allowed = reserved && canStillRun(request);
    if (reserved && !allowed) {
        budgets_.refund(cost);
    }
    if (!reserved && hasAttemptsLeft && canStillRun(request) && reason != RetryReason::Hedge) {
        budgets_.noteDenied(request.job.service, request.budgetRank);
    }
    core_.events.writeRequest(
        allowed ? Severity::Info : Severity::Warning, "retry_requested",
        {{"request", request.job.requestId},
         {"service", request.job.service},
         {"why", why},
         {"servers", std::to_string(request.reachedHomes.size())},
         {"allowed",
          allowed ? "yes"
                  : (!hasAttemptsLeft ? "no-servers-used" : (!canStillRun(request) ? "no-time" : "no-budget"))}});
    core_.metrics.count(allowed ? "retries_allowed" : "retries_denied");
    return allowed;
}

} // namespace waxwing
