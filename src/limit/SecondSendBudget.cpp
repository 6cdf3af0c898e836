#include "include/limit/SecondSendBudget.h"

#include <algorithm>

namespace waxwing {

SecondSendBudget::SecondSendBudget(SecondSendTuning tuning)
    : tuning_(tuning)
{ }

std::int64_t SecondSendBudget::numberAt(SteadyTime now) const
{
    const Duration step = std::chrono::duration_cast<Duration>(tuning_.window) / static_cast<std::int64_t>(steps);
    return now.time_since_epoch() / step;
}

SecondSendBudget::Step &SecondSendBudget::stepAt(SteadyTime now)
{
    const std::int64_t number = numberAt(now);
    Step &step = ring_[static_cast<std::size_t>(number) % ring_.size()];
    if (step.number != number) {
        step = Step{number, 0, 0.0};
    }
    return step;
}

void SecondSendBudget::noteRequest(SteadyTime now)
{
    ++stepAt(now).requests;
}

bool SecondSendBudget::has(double sends, std::size_t nodes, SecondSend purpose, SteadyTime now) const
{
    const std::int64_t oldest = numberAt(now) - static_cast<std::int64_t>(steps);
    double requests = 0.0;
    double seconds = 0.0;
    for (const Step &step : ring_) {
        if (step.number >= oldest) {
            requests += step.requests;
            seconds += step.seconds;
        }
    }
    const double slack = tuning_.slack / static_cast<double>(std::max<std::size_t>(1, nodes));
    const double part =
        purpose == SecondSend::Hedge ? tuning_.usedPart * (1.0 - tuning_.reservedPart) : tuning_.usedPart;
    return seconds + sends <= part * (tuning_.share * requests + slack);
}

void SecondSendBudget::take(double sends, SteadyTime now)
{
    stepAt(now).seconds += sends;
}

void SecondSendBudget::giveBack(double sends, SteadyTime now)
{
    Step &step = stepAt(now);
    step.seconds = std::max(0.0, step.seconds - sends);
}

} // namespace waxwing
