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

double SecondSendBudget::left(std::size_t nodes, SecondSend purpose, SteadyTime now) const
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
        purpose == SecondSend::AfterFailure ? tuning_.usedPart : tuning_.usedPart * (1.0 - tuning_.reservedPart);
    return part * (tuning_.share * requests + slack) - seconds;
}

double SecondSendBudget::credit(SteadyTime now) const
{
    double sends = 0.0;
    for (const Loan &loan : loans_) {
        sends += now < loan.until ? loan.sends : 0.0;
    }
    return sends;
}

bool SecondSendBudget::has(double sends, std::size_t nodes, SecondSend purpose, SteadyTime now) const
{
    return sends <= std::max(0.0, left(nodes, purpose, now)) + credit(now);
}

void SecondSendBudget::take(double sends, SteadyTime now)
{
    while (!loans_.empty() && now >= loans_.front().until) {
        loans_.pop_front();
    }
    // What is borrowed goes first: it is void in a moment.
    double own = sends;
    for (Loan &loan : loans_) {
        const double used = std::min(own, loan.sends);
        loan.sends -= used;
        own -= used;
    }
    stepAt(now).seconds += own;
}

void SecondSendBudget::giveBack(double sends, SteadyTime now)
{
    Step &step = stepAt(now);
    step.seconds = std::max(0.0, step.seconds - sends);
}

double SecondSendBudget::lend(double sends, SecondSend purpose, std::size_t nodes, SteadyTime now)
{
    constexpr double lentPart = 0.5;
    const double lent = std::clamp(lentPart * left(nodes, purpose, now), 0.0, std::max(0.0, sends));
    stepAt(now).seconds += lent;
    return lent;
}

void SecondSendBudget::borrow(double sends, SteadyTime now)
{
    loans_.push_back(Loan{std::max(0.0, sends), now + tuning_.creditLife});
}

} // namespace waxwing
