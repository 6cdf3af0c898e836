#pragma once

#include "include/base/Clock.h"
#include "include/home/SlotQueue.h"
#include "include/route/HomeChooser.h"

#include <functional>
#include <map>
#include <optional>
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
struct HomeQuery {
    /** If the server fails it, it can and will be sent to another one. */
    bool retryable = false;
    int priority = 0;
    /** Time left; negative if the objective is lost already. */
    Millis untilObjective{1000};
    Millis untilDeadline{4000};
    /** What its work usually takes. */
    Millis workTime{200};
    /** Size of the answer that its route usually has. */
    double responseKilobytes = 0.0;
    /** It looked long enough: it waits at the home that is chosen now unless it would be late there. */
    bool mustQueue = false;
};

/** The chosen home, and how long waiting there is better than going on to the next one. */
struct HomeChoice {
    std::string node;
    Distance distance = Distance::SameRegion;
    Millis queueTimeout{0};
    /** Expected loss, in thousandths of the request's value. */
    double loss = 0.0;
    /** By what is known the answer would come after the deadline, because of the wait there. */
    bool missesDeadline = false;
    /** What is known of the wait there, for a refused caller. */
    Millis wait{0};
    /** The server is known to be doubtful, and still the best there is. */
    bool acceptsGray = false;
    /** Age of what was known of its load; negative if nothing was. */
    Millis loadAge{-1};
};

/**
 * What speaks against a home, each as the part of a request's value that it is expected to cost, in thousandths.
 * Waiting costs nothing as long as the objective is safe; bytes between zones and regions are paid in any case.
 */
struct RankingTuning {
    double otherZoneLoss = 60.0;
    double otherRegionLoss = 220.0;
    /** Added for each kilobyte of answer above the first few: a large answer is mostly paid by its bytes. */
    double otherZoneLossPerKilobyte = 4.0;
    double otherRegionLossPerKilobyte = 32.0;
    double freeKilobytes = 4.0;
    /** A home far away is better than none, however large the answer. */
    double maxBytesLoss = 600.0;
    /** Round trips in milliseconds, for the time that is left at the home. */
    double zoneRoundTripMs = 3.0;
    double regionRoundTripMs = 62.0;
    /** All slots busy; a part of them costs its part. Spreads work over equal homes, since full servers are slower. */
    double fullServerLoss = 40.0;
    /** A home that was not heard of for so long is asked by work that can be repeated as if it were known to be good.
     */
    Millis staleAfter{1000};
    /** A repeatable request that meets a gray server takes a second send; another one is lost. */
    double grayLossRetryable = 250.0;
    double grayLossNotRetryable = 800.0;
    /** Doubt about a server where nothing was heard of any: about one in eight is gray at any time. */
    double priorGrayProbability = 0.12;
    /** Weight of priorGrayProbability, and of no wait, against what was heard of each other home just now. */
    double priorWeight = 1.0;
    /**
     * Part of the mean wait that a home is thought to have of which nothing was heard: those that were asked are the
     * ones that many ask. With the whole mean, requests were refused while homes that nobody had asked were free.
     */
    double unknownWaitFraction = 0.3;
    /** Requests that a server turns away, though it has room, take a second send. */
    double shedRate = 300.0;
    /** An answer after the objective: it counts a third in the credit, and in full as a request that was served. */
    double late = 500.0;
    /** An answer after the deadline. */
    double lost = 1000.0;
    /** Waiting and work that take up to this part of the time to the objective are in no danger. */
    double safeFraction = 0.45;
    /** Those that take this part of it are late for certain. */
    double lateFraction = 1.25;
    /** The same for the deadline. */
    double safeDeadlineFraction = 0.6;
    double missedFraction = 1.0;
    /** Asking another home costs a send: a home is left only for one that is better by so much. */
    double moveLoss = 30.0;
    /** Doubt that was heard and is above this is accepted knowingly; as homes refuse it. */
    double acceptGrayThreshold = 0.4;
    /** From this doubt on work that can't be repeated is not sent at all; homes refuse it. */
    double certainGrayThreshold = 0.8;
    /** News of load halve in weight after this long; doubt as fast as gray phases end, by GrayTuning. */
    Millis loadHalfLife{400};
    Millis grayHalfLife{3700};
    /** The mean wait over a service's homes changes more slowly than the wait at one. */
    Millis meanWaitHalfLife{1500};
    /**
     * A home that refused for doubt is not asked again for so long. From the own zone it is asked as often as it makes
     * trials; from farther away a refusal costs more bytes and time, and the zone's own senders see it recover first.
     */
    Millis grayBackoffZone{1000};
    Millis grayBackoffRegion{2500};
    Millis grayBackoffFar{6000};
    /** A refused sender stays away from a home without a server for this long. */
    Millis noServerBackoff{700};
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
    HomeChoice choose(const std::vector<RankedHome> &homes, const std::set<std::string> &tried, const HomeQuery &query,
                      SteadyTime now) const;
    void noteSent(const std::string &node);
    void noteDone(const std::string &node);
    /** @p load: as the home stands for a request of @p priority. */
    void noteLoad(const std::string &node, const HomeLoad &load, int priority, SteadyTime now);
    /** The home has no server to offer. */
    void noteNoServer(const std::string &node, SteadyTime now);
    /** The home refused because it doubts its server. */
    void noteLikelyGray(const RankedHome &home, SteadyTime now);
    /**
     * Nothing came back over the path, and whoever says so probes it. It counts as bad until notePathRecovered(): with
     * a pause that ran out, each sender found out again, at the cost of one more request, that a VM was gone.
     */
    void notePathFailure(const std::string &node);
    void notePathRecovered(const std::string &node);
    bool isPathFailed(const std::string &node) const;
    /** Forgets nodes that are not in @p known. */
    void keepOnly(const std::set<std::string> &known);

private:
    struct ReportedWait {
        double millis = 0.0;
        SteadyTime at;
    };
    struct Home {
        std::int32_t inFlight = 0;
        /** In flight when the load was heard: what was sent since is not in it. */
        std::int32_t inFlightAtLoad = 0;
        HomeLoad load;
        /** Expected waits by priority. */
        std::map<int, ReportedWait> waits;
        bool hasLoad = false;
        SteadyTime loadAt;
        SteadyTime noServerUntil;
        SteadyTime grayBackoffUntil;
        bool pathFailed = false;
    };

    /** What holds for a home of which nothing was heard lately: the means over the service's other homes. */
    struct Defaults {
        double wait = 0.0;
        double grayProbability = 0.0;
    };

    Defaults defaultsFor(const std::vector<RankedHome> &homes, const HomeQuery &query, SteadyTime now) const;
    /** May be asked at all for this request. */
    bool isCandidate(const RankedHome &home, const HomeQuery &query, const Defaults &defaults, SteadyTime now) const;
    /** Nothing was heard of it lately, and nothing bad that still counts. */
    bool isStale(const RankedHome &home, const Defaults &defaults, SteadyTime now) const;
    double distanceLoss(Distance distance, const HomeQuery &query) const;
    /** Everything but waiting. */
    double lossWithoutWait(const RankedHome &home, const HomeQuery &query, const Defaults &defaults,
                           SteadyTime now) const;
    double delayLoss(double waitMs, double tripMs, double slowdown, const HomeQuery &query) const;
    /** What was heard of the wait at a home that still says most by now; nothing if nothing was heard. */
    std::optional<ReportedWait> reportedWait(const RankedHome &home, const HomeQuery &query, SteadyTime now) const;
    double expectedWait(const RankedHome &home, const HomeQuery &query, const Defaults &defaults, SteadyTime now) const;
    double currentGrayProbability(const RankedHome &home, const Defaults &defaults, SteadyTime now) const;
    double roundTripMs(Distance distance) const;
    double slowdownOf(const RankedHome &home, SteadyTime now) const;
    /** The longest wait at @p home that loses no more than @p loss. */
    Millis queueTimeoutFor(const RankedHome &home, const HomeQuery &query, const Defaults &defaults, double loss,
                           SteadyTime now) const;

    Random random_;
    RankingTuning tuning_;
    std::map<std::string, Home> homes_;
};

} // namespace waxwing
