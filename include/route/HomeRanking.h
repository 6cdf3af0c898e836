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
    int priority = 0;
    /** Time left to its objective, or to its deadline where the objective is lost already. */
    Millis timeLeft{1000};
    /** What its work usually takes. */
    Millis work{200};
};

/** The chosen home, and how long waiting there is better than going on to the next one. */
struct HomeChoice {
    std::string node;
    Millis patience{0};
    /** Expected loss, in thousandths of the request's value. */
    double loss = 0.0;
    /** By what is known the answer would come after the objective for certain, because of the wait there. */
    bool hopeless = false;
    /** What is known of the wait there, for a refused caller. */
    Millis wait{0};
    /** The server is known to be doubtful, and still the best there is. */
    bool acceptsDoubt = false;
    /** Age of what was known of its load; negative if nothing was. */
    Millis loadAge{-1};
};

/**
 * What speaks against a home, each as the part of a request's value that it is expected to cost, in thousandths.
 * Waiting costs nothing as long as the objective is safe; bytes between zones and regions are paid in any case.
 */
struct RankingTuning {
    double otherZone = 60.0;
    double otherRegion = 220.0;
    /** Round trips in milliseconds, for the time that is left at the home. */
    double zoneTrip = 3.0;
    double regionTrip = 62.0;
    /** Each busy slot: spreads work over homes that are otherwise equal, since full servers are slower. */
    double busySlot = 4.0;
    /** An idempotent request that meets a gray server takes a second send; another one is lost. */
    double doubtIdempotent = 450.0;
    double doubtOther = 800.0;
    /** Doubt about a server of which nothing was heard lately: about one in eight is gray at any time. */
    double usualDoubt = 0.12;
    /** An answer after the objective is worth about a third of one in time. */
    double late = 700.0;
    /** Waiting and work that take up to this part of the time left are in no danger. */
    double safePart = 0.45;
    /** Those that take this part of it are late for certain. */
    double latePart = 1.25;
    /** Doubt that was heard and is above this is accepted knowingly; as homes refuse it. */
    double knownDoubt = 0.4;
    /** News of load halve in weight after this long; doubt as fast as gray phases end, by GrayTuning. */
    Millis loadHalfLife{400};
    Millis doubtHalfLife{3700};
    /** A refused sender stays away from a home without a server for this long. */
    Millis noServerPause{700};
    Millis firstPathPause{1000};
    Millis longestPathPause{16000};
};

/**
 * Orders the homes of a service for one request by expected loss: distance, danger of being late, doubt about the
 * server, broken paths. Learns from replies and refusals only. Not thread safe.
 */
class HomeRanking
{
public:
    using Random = std::function<std::uint64_t()>;

    explicit HomeRanking(Random random, RankingTuning tuning = {});

    /** The best of @p homes not in @p tried; its node is empty if there is none. */
    HomeChoice choose(const std::vector<RankedHome> &homes, const std::set<std::string> &tried, const HomeNeed &need,
                      SteadyTime now) const;
    void noteSent(const std::string &node);
    void noteDone(const std::string &node);
    /** @p load: as the home stands for a request of @p priority. */
    void noteLoad(const std::string &node, const HomeLoad &load, int priority, SteadyTime now);
    /** The home has no server to offer. */
    void noteNoServer(const std::string &node, SteadyTime now);
    /** Nothing came back over the path. Pauses grow while it stays so. */
    void notePathFailure(const std::string &node, SteadyTime now);
    void notePathGood(const std::string &node);
    bool isPathBad(const std::string &node, SteadyTime now) const;
    /** Forgets nodes that are not in @p known. */
    void keepOnly(const std::set<std::string> &known);

private:
    struct HeardWait {
        double millis = 0.0;
        SteadyTime at;
    };
    struct Home {
        std::int32_t inFlight = 0;
        /** In flight when the load was heard: what was sent since is not in it. */
        std::int32_t inFlightThen = 0;
        HomeLoad load;
        /** Expected waits by priority. */
        std::map<int, HeardWait> waits;
        bool heard = false;
        SteadyTime heardAt;
        SteadyTime noServerUntil;
        int pathFailures = 0;
        SteadyTime pathBadUntil;
    };

    /** Everything but waiting. */
    double fixedLoss(const RankedHome &home, const HomeNeed &need, SteadyTime now) const;
    double lateLoss(double waitMs, double tripMs, double slowdown, const HomeNeed &need) const;
    double expectedWait(const RankedHome &home, const HomeNeed &need, SteadyTime now) const;
    double currentDoubt(const RankedHome &home, SteadyTime now) const;
    double tripOf(Distance distance) const;
    double slowdownOf(const RankedHome &home, SteadyTime now) const;
    /** The longest wait at @p home that loses no more than @p loss. */
    Millis patienceFor(const RankedHome &home, const HomeNeed &need, double loss, SteadyTime now) const;

    Random random_;
    RankingTuning tuning_;
    std::map<std::string, Home> homes_;
};

} // namespace waxwing
