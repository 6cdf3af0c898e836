#pragma once

#include <map>
#include <set>
#include <string>

namespace waxwing {

struct HomeSearchTuning {
    /** Refusals cost a round trip each; after so many sends the fleet has no room. */
    int maxSends = 12;
    /** One home is asked again once, with what its refusal told. */
    int maxRefusalsPerHome = 2;
    /**
     * After so many sends the request waits where it is sent next: in a large fleet a sender knows little of each home,
     * and would go from one busy home to the next as long as another may be better.
     */
    int sendsBeforeQueuing = 6;
};

/** One request's way from home to home: which ones it still may ask, and when it stops looking. Not thread safe. */
class HomeSearch
{
public:
    explicit HomeSearch(HomeSearchTuning tuning = {});
    /** Another home may be asked. */
    bool canContinue() const;
    /** The next home that takes it keeps it: no other one is likely to be better. */
    bool mustQueue() const;
    /** It is sent to @p home, which is not asked again unless it refuses. */
    void noteSent(const std::string &home);
    /** @p home refused; it may be asked again, with what it told. */
    void noteRefused(const std::string &home);
    /** Homes that are not asked any more. */
    const std::set<std::string> &excluded() const;

private:
    HomeSearchTuning tuning_;
    std::set<std::string> excluded_;
    std::map<std::string, int> refusals_;
    int sends_ = 0;
};

} // namespace waxwing
