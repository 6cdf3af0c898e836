#include "src/sidecar/ingress/RetryGate.h"

#include "include/route/RouteStats.h"
#include "src/node/NodeCore.h"
#include "src/sidecar/ingress/AttemptReservation.h"
#include "src/sidecar/ingress/ForwardedRequest.h"
#include "src/sidecar/ingress/StartLimit.h"
#include "src/sidecar/limits/RetryBudgetService.h"

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

bool RetryGate::reserve(const ForwardedRequest &request, RetryReason reason, const char *why)
{
    const CallRates cost = costOf(request);
    AttemptAccount account;
    account.check = [this, &request] {
        return denialOf(request, startLimit_.latestStart(*request.job.route), core_.clock.now());
    };
    account.spend = [this, &cost, reason] { return budgets_.spend(cost, reason); };
    account.refund = [this, &cost] { budgets_.refund(cost); };
    const AttemptDenial denial = reserveAttempt(account);
    const bool allowed = denial == AttemptDenial::None;
    if (denial == AttemptDenial::NoBudget && reason != RetryReason::Hedge) {
        budgets_.noteDenied(request.job.service, request.budgetRank);
    }
    core_.events.writeRequest(allowed ? Severity::Info : Severity::Warning, "retry_requested",
                              {{"request", request.job.requestId},
                               {"service", request.job.service},
                               {"why", why},
                               {"servers", std::to_string(request.reachedHomes.size())},
                               {"allowed", attemptDenialName(denial)}});
    core_.metrics.count(allowed ? "retries_allowed" : "retries_denied");
    return allowed;
}

} // namespace waxwing
