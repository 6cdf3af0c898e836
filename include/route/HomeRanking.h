#pragma once

#include "include/base/Clock.h"
#include "include/home/SlotQueue.h"
#include "include/route/HomeChooser.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace waxwing {

/** A home as it stands for one choice. */
struct RankedHome {
    std::string node;
    Distance distance = Distance::SameRegion;
};

/** What a request asks of the choice. */
struct HomeNeed {
    bool idempotent = false;
    /** Time that may be spent on waiting before the objective is lost. */
    Millis patience{0};
};

/** The chosen home, and how long waiting there is better than going on to the next one. */
struct HomeChoice {
    std::string node;
    Millis patience{0};
    /** The estimated cost in milliseconds, for the log. */
    double cost = 0.0;
    /** Age of what was known of its load; negative if nothing was. */
    Millis loadAge{-1};
};

struct RankingTuning {
    /** A round trip to a home at each distance, in milliseconds; replaced by what is measured. */
    double sameZone = 0.5;
    double sameRegion = 3.0;
    double otherRegion = 60.0;
    /**
     * Added for another region: its link is slow, narrow and paid by volume, so work goes there only if waiting
     * nearby costs this much more, in milliseconds.
     */
    double regionPenalty = 150.0;
    /** Each busy slot of a home, in milliseconds: spreads work, since servers slow down when they are nearly full. */
    double busySlot = 6.0;
    /** A request that meets a gray server must be sent again, or is lost if it can't be. In milliseconds. */
    double doubtIdempotent = 250.0;
    double doubtOther = 1500.0;
    /** Load news halve in weight after this long. */
    Millis loadHalfLife{400};
    /** A refused sender stays away from a home without a server for this long. */
    Millis noServerPause{700};
    Millis firstPathPause{1000};
    Millis longestPathPause{16000};
};

/**
 * Orders the homes of a service for one request by expected cost in time: distance, waiting for a slot, doubt, broken
 * paths. Learns from replies and refusals only. Not thread safe.
 */
class HomeRanking
{
public:
    using Random = std::function<std::uint64_t()>;

    explicit HomeRanking(Random random, RankingTuning tuning = {});

    /** The cheapest of @p homes not in @p tried; its node is empty if there is none. */
    HomeChoice choose(const std::vector<RankedHome> &homes, const std::set<std::string> &tried, const HomeNeed &need,
                      SteadyTime now) const;
    void noteSent(const std::string &node);
    void noteDone(const std::string &node);
    void noteLoad(const std::string &node, const HomeLoad &load, SteadyTime now);
    /** The home has no server to offer. */
    void noteNoServer(const std::string &node, SteadyTime now);
    /** Nothing came back over the path. Pauses grow while it stays so. */
    void notePathFailure(const std::string &node, SteadyTime now);
    void notePathGood(const std::string &node);
    bool isPathBad(const std::string &node, SteadyTime now) const;
    /** Forgets nodes that are not in @p known. */
    void keepOnly(const std::set<std::string> &known);

private:
    struct Home {
        std::int32_t inFlight = 0;
        /** In flight when the load was heard: what was sent since is not in it. */
        std::int32_t inFlightThen = 0;
        HomeLoad load;
        bool heard = false;
        SteadyTime heardAt;
        SteadyTime noServerUntil;
        int pathFailures = 0;
        SteadyTime pathBadUntil;
    };

    double cost(const RankedHome &home, const HomeNeed &need, SteadyTime now) const;
    double loadCost(const Home &home, const HomeNeed &need, SteadyTime now) const;

    Random random_;
    RankingTuning tuning_;
    std::map<std::string, Home> homes_;
};

} // namespace waxwing
