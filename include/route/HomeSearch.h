#pragma once

#include <map>
#include <set>
#include <string>

namespace waxwing {

struct HomeSearchTuning {
    /** Each refusal costs a round trip. After this many sends the whole fleet counts as busy. */
    int maxSends = 12;
    /** A home is tried once more after its first refusal, with the load that the refusal reported. */
    int maxRefusalsPerHome = 2;
    /**
     * After this many sends the request waits at the next home. In a large fleet a sender has few load reports and
     * would otherwise go from one busy home to the next as long as another one might be better.
     */
    int sendsBeforeQueuing = 6;
};

/** Tracks which homes one request has tried, and when it stops searching. Not thread safe. */
class HomeSearch
{
public:
    explicit HomeSearch(HomeSearchTuning tuning = {});
    /** Returns true if the request may be sent once more, to another home or to one that refused it. */
    bool canContinue() const;
    /**
     * Returns true if the request is to wait at the next home that admits it, since no other home is likely to be
     * better.
     */
    bool mustQueue() const;
    /** Records a send to @p home, which is not tried again unless it refuses. */
    void noteSent(const std::string &home);
    /** Records a refusal by @p home, which may be tried again with the load that it reported. */
    void noteRefused(const std::string &home);
    /** Returns the homes that are not tried again. */
    const std::set<std::string> &excluded() const;

private:
    HomeSearchTuning tuning_;
    std::set<std::string> excluded_;
    std::map<std::string, int> refusals_;
    int sends_ = 0;
};

} // namespace waxwing
