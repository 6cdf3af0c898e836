#include "src/sidecar/ingress/AttemptReservation.h"

#include "src/sidecar/ingress/ForwardedRequest.h"

#include <algorithm>

namespace waxwing {

const char *attemptDenialName(AttemptDenial denial)
{
    switch (denial) {
    case AttemptDenial::None:
        return "yes";
    case AttemptDenial::NoAttemptsLeft:
        return "no-servers-used";
    case AttemptDenial::NoTime:
        return "no-time";
    case AttemptDenial::NoBudget:
        break;
    }
    return "no-budget";
}

AttemptDenial denialOf(const ForwardedRequest &request, SteadyTime latestStart, SteadyTime now)
{
    if (static_cast<int>(request.reachedHomes.size()) >= request.job.route->maxAttempts) {
        return AttemptDenial::NoAttemptsLeft;
    }
    const bool hasTimeLeft = now + minTimeLeft < std::min(request.job.deadline, latestStart);
    const bool isWanted = !request.finished && !request.job.control->cancelled;
    return hasTimeLeft && isWanted ? AttemptDenial::None : AttemptDenial::NoTime;
}

AttemptDenial reserveAttempt(const AttemptAccount &account)
{
    if (const AttemptDenial denial = account.check(); denial != AttemptDenial::None) {
        return denial;
    }
    const bool spent = account.spend();
    const AttemptDenial denial = account.check();
    if (!spent) {
        return denial == AttemptDenial::None ? AttemptDenial::NoBudget : denial;
    }
    if (denial != AttemptDenial::None) {
        account.refund();
    }
    return denial;
}

} // namespace waxwing
