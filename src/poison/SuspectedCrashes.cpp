#include "include/poison/SuspectedCrashes.h"

#include <utility>

namespace waxwing {

namespace {

/** More runs than one server loses in a crash. */
constexpr std::size_t maxCrashes = 256;

} // namespace

void SuspectedCrashes::add(SuspectedCrash crash)
{
    if (crashes_.size() >= maxCrashes) {
        crashes_.pop_front();
    }
    crashes_.push_back(std::move(crash));
}

std::vector<SuspectedCrash> SuspectedCrashes::confirm(std::uint64_t incarnation, SteadyTime now)
{
    std::vector<SuspectedCrash> confirmed;
    for (SuspectedCrash &crash : crashes_) {
        if (crash.incarnation != incarnation && now - crash.at < retention) {
            confirmed.push_back(std::move(crash));
        }
    }
    crashes_.clear();
    return confirmed;
}

} // namespace waxwing
