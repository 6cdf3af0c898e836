#include "include/route/HomeSearch.h"

namespace waxwing {

HomeSearch::HomeSearch(HomeSearchTuning tuning)
    : tuning_(tuning)
{ }

bool HomeSearch::canContinue() const
{
    return sends_ < tuning_.maxSends;
}

bool HomeSearch::mustQueue() const
{
    return sends_ >= tuning_.sendsBeforeQueuing;
}

void HomeSearch::noteSent(const std::string &home)
{
    ++sends_;
    excluded_.insert(home);
}

void HomeSearch::noteRefused(const std::string &home)
{
    if (++refusals_[home] < tuning_.maxRefusalsPerHome) {
        excluded_.erase(home);
    }
}

const std::set<std::string> &HomeSearch::excluded() const
{
    return excluded_;
}

} // namespace waxwing
