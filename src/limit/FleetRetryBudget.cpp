#include "include/limit/FleetRetryBudget.h"

#include <algorithm>

namespace waxwing {

FleetRetryBudget::FleetRetryBudget(FleetRetryTuning tuning)
    : tuning_(tuning)
{ }

std::int64_t FleetRetryBudget::numberAt(SteadyTime now) const
{
    const Duration step = std::chrono::duration_cast<Duration>(tuning_.window) / static_cast<std::int64_t>(steps);
    return now.time_since_epoch() / step;
}

FleetRetryBudget::Step &FleetRetryBudget::stepAt(SteadyTime now)
{
    const std::int64_t number = numberAt(now);
    Step &step = steps_[static_cast<std::size_t>(number) % steps_.size()];
    if (step.number != number) {
        step = Step{number, 0, 0.0, 0.0};
    }
    return step;
}

void FleetRetryBudget::noteRequest(SteadyTime now)
{
    ++stepAt(now).requests;
}

double FleetRetryBudget::remaining(std::size_t nodes, RetryReason reason, SteadyTime now) const
{
    const std::int64_t oldest = numberAt(now) - static_cast<std::int64_t>(steps);
    double requests = 0.0;
    double retries = 0.0;
    double afterFailures = 0.0;
    for (const Step &step : steps_) {
        if (step.number >= oldest) {
            requests += step.requests;
            retries += step.retries;
            afterFailures += step.afterFailures;
        }
    }
    const double slack = tuning_.slack / static_cast<double>(std::max<std::size_t>(1, nodes));
    const double limit = tuning_.usableShare * tuning_.share * requests + tuning_.usableSlack * slack;
    return limit * (1.0 - reserveOf(reason, limit > 0.0 ? afterFailures / limit : 1.0)) - retries;
}

double FleetRetryBudget::reserveOf(RetryReason reason, double failureFraction) const
{
    switch (reason) {
    case RetryReason::Failure:
        return 0.0;
    case RetryReason::LowPriorityFailure:
        return tuning_.reservedFraction;
    case RetryReason::Hedge:
        break;
    }
    return std::clamp(failureFraction, tuning_.minHedgeReserve, tuning_.reservedFraction);
}

double FleetRetryBudget::transferredTokens(SteadyTime now) const
{
    double tokens = 0.0;
    for (const Transfer &transfer : transfers_) {
        tokens += now < transfer.expiresAt ? transfer.tokens : 0.0;
    }
    return tokens;
}

bool FleetRetryBudget::has(double tokens, std::size_t nodes, RetryReason reason, SteadyTime now) const
{
    return tokens <= std::max(0.0, remaining(nodes, reason, now)) + transferredTokens(now);
}

void FleetRetryBudget::spend(double tokens, RetryReason reason, SteadyTime now)
{
    while (!transfers_.empty() && now >= transfers_.front().expiresAt) {
        transfers_.pop_front();
    }
    // Transferred tokens are used first because they expire soon.
    double rest = tokens;
    for (Transfer &transfer : transfers_) {
        const double used = std::min(rest, transfer.tokens);
        transfer.tokens -= used;
        rest -= used;
    }
    Step &step = stepAt(now);
    step.retries += rest;
    step.afterFailures += reason == RetryReason::Hedge ? 0.0 : rest;
}

void FleetRetryBudget::refund(double tokens, SteadyTime now)
{
    Step &step = stepAt(now);
    step.retries = std::max(0.0, step.retries - tokens);
}

double FleetRetryBudget::transferOut(double tokens, RetryReason reason, std::size_t nodes, SteadyTime now)
{
    constexpr double maxFraction = 0.5;
    const double transferred = std::clamp(maxFraction * remaining(nodes, reason, now), 0.0, std::max(0.0, tokens));
    Step &step = stepAt(now);
    step.retries += transferred;
    step.afterFailures += transferred;
    return transferred;
}

void FleetRetryBudget::transferIn(double tokens, SteadyTime now)
{
    transfers_.push_back(Transfer{std::max(0.0, tokens), now + tuning_.transferLifetime});
}

} // namespace waxwing
