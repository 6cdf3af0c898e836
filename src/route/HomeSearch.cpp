#include "include/route/HomeSearch.h"

namespace waxwing {

HomeSearch::HomeSearch(HomeSearchTuning tuning)
    : tuning_(tuning)
{ }

bool HomeSearch::mayGoOn() const
{
    return sends_ < tuning_.mostSends;
}

bool HomeSearch::settles() const
{
    return sends_ >= tuning_.sendsBeforeSettling;
}

void HomeSearch::noteSent(const std::string &home)
{
    ++sends_;
    excluded_.insert(home);
}

void HomeSearch::noteRefused(const std::string &home)
{
    if (++refusals_[home] < tuning_.mostRefusals) {
        excluded_.erase(home);
    }
}

const std::set<std::string> &HomeSearch::excluded() const
{
    return excluded_;
}

} // namespace waxwing
