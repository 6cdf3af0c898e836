#include "include/home/CustomerUse.h"

#include <cmath>

namespace waxwing {

CustomerUse::CustomerUse(CustomerUseTuning tuning)
    : tuning_(tuning)
{ }

CustomerUse::Use CustomerUse::decayed(const Use &use, SteadyTime now) const
{
    const double elapsed = secondsOf(now - use.at);
    return Use{use.recent * std::exp(-elapsed / secondsOf(tuning_.recentSpan)),
               use.usual * std::exp(-elapsed / secondsOf(tuning_.usualSpan)), now};
}

void CustomerUse::add(const std::string &customer, Duration slotTime, SteadyTime now)
{
    if (since_ == SteadyTime()) {
        since_ = now;
    }
    if (uses_.size() >= tuning_.maxCustomers && uses_.count(customer) == 0) {
        removeIdle(now);
        if (uses_.size() >= tuning_.maxCustomers) {
            return;
        }
    }
    Use &use = uses_.try_emplace(customer, Use{0.0, 0.0, now}).first->second;
    use = decayed(use, now);
    use.recent += secondsOf(slotTime);
    use.usual += secondsOf(slotTime);
}

bool CustomerUse::isFarAboveUsual(const std::string &customer, Duration slotTime, SteadyTime now) const
{
    const auto found = uses_.find(customer);
    if (found == uses_.end() || now - since_ < tuning_.learningTime) {
        return false;
    }
    const Use use = decayed(found->second, now);
    // A sum that has not been running for long is short of its final value by this factor.
    const double learned = 1.0 - std::exp(-secondsOf(now - since_) / secondsOf(tuning_.usualSpan));
    const double spans = secondsOf(tuning_.recentSpan) / secondsOf(tuning_.usualSpan);
    const double usual = use.usual * spans / learned;
    return use.recent > tuning_.factor * usual && use.recent > tuning_.minRequests * secondsOf(slotTime);
}

void CustomerUse::removeIdle(SteadyTime now)
{
    for (auto it = uses_.begin(); it != uses_.end();) {
        it = now - it->second.at > tuning_.usualSpan ? uses_.erase(it) : std::next(it);
    }
}

std::size_t CustomerUse::size() const
{
    return uses_.size();
}

} // namespace waxwing
