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

/** Distance from this node to a home, nearest first. */
enum class Distance {
    SameNode,
    SameZone,
    SameRegion,
    OtherRegion,
};

/** Returns the name of @p distance that logs use. Thread safe. */
const char *distanceName(Distance distance);

/** A node that is home to servers of the requested service. */
struct HomeCandidate {
    NodeRef node;
    Distance distance = Distance::SameRegion;
    std::uint32_t servers = 0;
};

/**
 * Chooses the home for a request from what this node has observed: load reported with responses, and failed paths.
 * Nearer homes are preferred, and farther ones get only what exceeds the capacity of nearer ones, which limits the
 * traffic between regions. A failed path only lowers this node's preference: the home remains a last resort, so a
 * failed path ejects nothing. Not thread safe.
 */
class HomeChooser
{
public:
    using Random = std::function<std::uint64_t()>;

    explicit HomeChooser(Random random);

    /** Returns the home of least cost in @p candidates that has servers and is not in @p tried, or null. */
    const HomeCandidate *choose(const std::string &service, const std::vector<HomeCandidate> &candidates,
                                const std::set<NodeRef> &tried, SteadyTime now) const;
    void noteSent(const std::string &service, const NodeRef &home);
    /** Records the free slots and queue length that the home reported with a response or a refusal. */
    void noteLoad(const std::string &service, const NodeRef &home, std::int32_t freeSlots, std::int32_t queued,
                  SteadyTime now);
    /** Records the end of a request to @p home. @p failed: its servers gave no response or a faulty one. */
    void noteDone(const std::string &service, const NodeRef &home, bool failed, SteadyTime now);
    /**
     * Records that no response came over the path to @p home. The path counts as failed for a time that doubles with
     * each failure, up to a limit.
     */
    void notePathFailure(const NodeRef &home, SteadyTime now);
    /** Records that a message came over the path to @p home. */
    void notePathRecovered(const NodeRef &home);
    bool isPathFailed(const NodeRef &home, SteadyTime now) const;
    /** Removes homes that have been idle, and paths that have not counted as failed, for a while. */
    void expire(SteadyTime now);

private:
    struct Load {
        std::int32_t inFlight = 0;
        std::int32_t freeSlots = 1;
        std::int32_t queued = 0;
        SteadyTime loadAt;
        /** Moving average of the share of failed requests, and when it last changed. */
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
