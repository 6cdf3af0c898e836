#pragma once

#include "include/base/Clock.h"
#include "include/base/Ids.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace waxwing {

/** Nearness of a home, nearest first. */
enum class Distance {
    SameNode,
    SameZone,
    SameRegion,
    OtherRegion,
};

/** A node that is home to servers of the wanted service. */
struct HomeCandidate {
    NodeRef node;
    Distance distance = Distance::SameRegion;
    std::uint32_t servers = 0;
};

/**
 * Chooses the home for a request from what this node itself has learned: load that came with answers, and paths
 * that failed. Nearer homes go first and farther ones take what those have no room for, so that links between
 * regions carry only what is needed. A path that failed is only a preference of this node: the home stays a last
 * resort, so nothing is ejected by it. Not thread safe.
 */
class HomeChooser
{
public:
    using Random = std::function<std::uint64_t()>;

    explicit HomeChooser(Random random);

    /** The best home of @p candidates not in @p tried; null if there is none. */
    const HomeCandidate *choose(const std::string &service, const std::vector<HomeCandidate> &candidates,
                                const std::set<NodeRef> &tried, SteadyTime now) const;
    void noteSent(const std::string &service, const NodeRef &home);
    /** An answer or refusal came with the home's free slots and queue. */
    void noteLoad(const std::string &service, const NodeRef &home, std::int32_t freeSlots, std::int32_t queued,
                  SteadyTime now);
    /** The request to @p home ended; @p failed: its servers gave no answer or a faulty one. */
    void noteDone(const std::string &service, const NodeRef &home, bool failed, SteadyTime now);
    /** No answer came over the path to @p home. */
    void notePathFailure(const NodeRef &home, SteadyTime now);
    /** Something came over it. */
    void notePathRecovered(const NodeRef &home);
    bool isPathFailed(const NodeRef &home, SteadyTime now) const;
    /** Forgets homes that no request went to for a while. */
    void expire(SteadyTime now);

private:
    struct Load {
        std::int32_t inFlight = 0;
        std::int32_t freeSlots = 1;
        std::int32_t queued = 0;
        SteadyTime loadAt;
        /** Smoothed share of requests that failed there, and when it last changed. */
        double failedShare = 0.0;
        SteadyTime lastResultAt;
    };
    struct Path {
        int failures = 0;
        SteadyTime failedUntil;
    };

    double cost(const std::string &service, const HomeCandidate &candidate, SteadyTime now) const;

    Random random_;
    std::map<std::pair<std::string, NodeRef>, Load> loads_;
    std::map<NodeRef, Path> paths_;
};

} // namespace waxwing
