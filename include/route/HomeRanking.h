#pragma once

#include "include/base/Clock.h"
#include "include/home/SlotQueue.h"
#include "include/route/HomeChooser.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace waxwing {

/** A home to choose from. */
struct RankedHome {
    std::string node;
    Distance distance = Distance::SameRegion;
};

/** Properties of a request that the choice of its home depends on. */
struct HomeQuery {
    /** If the server fails the request, it can and will be sent to another one. */
    bool retryable = false;
    int priority = 0;
    /** Time left; negative once the objective has passed. */
    Millis untilObjective{1000};
    Millis untilDeadline{4000};
    /** Expected work time. */
    Millis workTime{200};
    /** Usual response size of the route. */
    double responseKilobytes = 0.0;
    /** The request has been sent often enough: it waits at the home chosen now unless it would be late there. */
    bool mustQueue = false;
    /** The server beside this node has had no request for long and would admit this one (SlotQueue::needsRequest()). */
    bool ownHomeIdle = false;
};

/** The chosen home, and how long waiting there is better than trying the next one. */
struct HomeChoice {
    std::string node;
    Distance distance = Distance::SameRegion;
    Millis queueTimeout{0};
    /** Expected loss, in thousandths of the request's value. */
    double loss = 0.0;
    /** Because of the expected wait there, the response would come after the deadline. */
    bool missesDeadline = false;
    /** Expected wait there, for the reply to a refused caller. */
    Millis wait{0};
    /**
     * There is no better home: the server is likely gray and the others are worse, or most homes are avoided and this
     * node has not heard from another usable one.
     */
    bool acceptsGray = false;
    /** Age of the load report that was used; negative if there was none. */
    Millis loadAge{-1};
};

/** What a node knows about a home, for a choice other than HomeRanking's own. */
struct HomeStatus {
    /** Last load report; nothing without one. */
    std::optional<HomeLoad> load;
    SteadyTime loadAt;
    /** Expected wait for the query; without a recent report by the reports of the service's other homes. */
    Millis wait{0};
    /** Requests that this node has sent there since the report and that have not ended. */
    std::int32_t sentSince = 0;
    bool hasServer = true;
    bool likelyGray = false;
    bool pathFailed = false;
};

/**
 * Expected loss for each drawback of a home, in thousandths of a request's value. Waiting costs nothing while the
 * objective is safe. Traffic between zones and regions always has a cost.
 */
struct RankingTuning {
    double otherZoneLoss = 60.0;
    double otherRegionLoss = 220.0;
    /**
     * Added for each kilobyte of the response above @c freeKilobytes: for a large response the bytes are most of the
     * cost.
     */
    double otherZoneLossPerKilobyte = 4.0;
    double otherRegionLossPerKilobyte = 32.0;
    double freeKilobytes = 4.0;
    /** Upper bound of the loss for bytes: a distant home is better than none, however large the response. */
    double maxBytesLoss = 600.0;
    /** Round trips in milliseconds, added to the expected wait and work time. */
    double zoneRoundTripMs = 3.0;
    double regionRoundTripMs = 62.0;
    /**
     * Loss if the home has as many requests as slots; proportional to the number of requests, without an upper bound.
     * Spreads work over equal homes, since full servers are slower.
     */
    double fullServerLoss = 40.0;
    /** A home without a load report for this long gets retryable work as if its server were known to be healthy. */
    Millis staleAfter{1000};
    /** A retryable request that fails at a gray server costs a retry. Any other request is lost. */
    double grayLossRetryable = 250.0;
    double grayLossNotRetryable = 800.0;
    /** Probability that a server without any report is gray: about one in eight is at any time. */
    double priorGrayProbability = 0.12;
    /**
     * Weight of @c priorGrayProbability, and of a wait of zero, in the means over a service's homes. A report that has
     * just arrived has a weight of one.
     */
    double priorWeight = 1.0;
    /**
     * Fraction of the mean reported wait that is assumed for a home without a report. Homes with reports are those that
     * many senders use. With the whole mean, requests were refused while homes that no node had tried were free.
     */
    double unknownWaitFraction = 0.3;
    /** A request that a server sheds although it has free slots costs a retry. */
    double shedLoss = 300.0;
    /** Response after the objective: it earns a third of the credit and counts in full as a served request. */
    double lateLoss = 500.0;
    /** Response after the deadline. */
    double missedLoss = 1000.0;
    /** Up to this fraction of the time to the objective, wait and work time carry no risk of being late. */
    double safeFraction = 0.45;
    /** From this fraction on, the response is certain to be late. */
    double lateFraction = 1.25;
    /** The same for the deadline. */
    double safeDeadlineFraction = 0.6;
    double missedFraction = 1.0;
    /** Cost of one more send. A request leaves a home only if another one is better by more than this. */
    double moveLoss = 30.0;
    /**
     * Homes whose loss exceeds the least one by at most @c equalLoss count as equal: a request goes to the best of
     * @c choices of them, chosen at random. Nodes of a zone share their reports, so all of them would otherwise choose
     * the same home until the next reports. Of these homes none gets more than @c choices times their mean.
     */
    std::size_t choices = 2;
    double equalLoss = 15.0;
    /**
     * Upper bound on the gray probability that is taken from reports of other nodes. It stays below
     * @c certainGrayThreshold, so that wrong reports change the order of homes but exclude none.
     */
    double maxReportedGrayProbability = 0.7;
    /** From this probability on, a request is sent with @c acceptsGray. Without it, homes refuse most requests. */
    double acceptGrayThreshold = 0.4;
    /** From this probability on, work that can't be retried is not sent at all, because homes refuse it. */
    double certainGrayThreshold = 0.8;
    /**
     * Half-life of a load report, and of a gray probability, which decays as fast as gray phases end (see GrayTuning).
     */
    Millis loadHalfLife{400};
    Millis grayHalfLife{3700};
    /** The mean wait over a service's homes changes more slowly than the wait at one of them. */
    Millis meanWaitHalfLife{1500};
    /**
     * A home that refused because its server is likely gray is not tried again for this long. From its own zone it is
     * tried as often as it admits probes. From farther away a refusal costs more bytes and time, and senders in its
     * zone notice first that it has recovered.
     */
    Millis grayBackoffZone{1000};
    Millis grayBackoffRegion{2500};
    Millis grayBackoffFar{6000};
    /** A home that refused for lack of a server is avoided for this long. */
    Millis noServerBackoff{700};
    /**
     * A service is short of homes while at least this share of the homes that replied within @c heardWithin or whose
     * path failed within @c pathFailureValidFor, and at least this many, are avoided. Requests then explore homes that
     * count as gray, and paths are checked before requests use them. Gray servers alone are about one in eight at any
     * time.
     */
    double exploreAvoidedShare = 0.35;
    int exploreMinAvoided = 2;
    Millis heardWithin{5000};
    /**
     * A failed path counts as avoided for this long after the last request or probe that failed on it. PathMonitor
     * probes it at least every 4.5 s, so that one probe may be missing.
     */
    Millis pathFailureValidFor{10000};
    /** Minimum time from the last reply of a home, or the last chance to explore it, to the next chance. */
    Millis exploreAfter{500};
    /**
     * Rate at which the whole fleet would explore one home if all nodes reached it and always had idempotent requests.
     * Few do: with 50 instead of 200, servers that had recovered were left out a third more often in a fleet of 70
     * nodes.
     */
    double exploresPerSecond = 200.0;
    /**
     * While a service is short of homes, the paths to homes from which no reply came within @c pathKnownFor are
     * checked. Otherwise a sender loses one request on each path that has failed.
     */
    Millis pathKnownFor{2000};
    /** Paths checked at once, all within the region. */
    std::size_t maxPathChecks = 16;
    /** Minimum interval between two checks of one path. */
    Millis pathCheckInterval{4000};
};

/**
 * Returns the loss for the distance of a home and the bytes of a response that come from there, in thousandths of the
 * request's value. Thread safe.
 */
double distanceLoss(const RankingTuning &tuning, Distance distance, double responseKilobytes);

/**
 * Orders the homes of a service for one request by expected loss: distance, risk of being late, probability that the
 * server is gray, failed paths. Uses only what replies and refusals reported. Not thread safe.
 */
class HomeRanking
{
public:
    using Random = std::function<std::uint64_t()>;

    explicit HomeRanking(Random random, RankingTuning tuning = {});

    /**
     * Returns the home of least expected loss in @p homes, without those in @p tried and those avoided because their
     * server is likely gray. Its node is empty if there is none. While the service is short of homes, a request goes to
     * the own home if that is idle, and a retryable request may explore a home that counts as gray here: a server that
     * has recovered would otherwise get nothing until the reports about it have lost their weight. Beside a known
     * usable home only its first send does, and the gray home may refuse it.
     */
    HomeChoice choose(const std::vector<RankedHome> &homes, const std::set<std::string> &tried, const HomeQuery &query,
                      SteadyTime now);
    /**
     * Returns the homes whose paths are to be checked now, the nearest first, and records that they are. Empty unless
     * the service is short of homes.
     */
    std::vector<std::string> takePathsToCheck(const std::vector<RankedHome> &homes, SteadyTime now);
    /** Returns what is known about each of @p homes, in their order. */
    std::vector<HomeStatus> statusOf(const std::vector<RankedHome> &homes, const HomeQuery &query,
                                     SteadyTime now) const;
    void noteSent(const std::string &node);
    void noteDone(const std::string &node);
    /** Records a load report. @p load: as it applies to a request of @p priority. */
    void noteLoad(const std::string &node, const HomeLoad &load, int priority, SteadyTime now);
    /**
     * Records the load of a home at @p madeAt, as other nodes reported it. Ignored if a later load is known. It says
     * nothing about the path to the home.
     */
    void noteReport(const std::string &node, const HomeLoad &load, SteadyTime madeAt);
    /** Returns the expected loss at a home of which nothing is known, without the wait for a slot. */
    double unknownHomeLoss(Distance distance, const HomeQuery &query) const;
    /** Records that the home has no server. */
    void noteNoServer(const std::string &node, SteadyTime now);
    /** Records that the home refused because its server is likely gray. */
    void noteLikelyGray(const RankedHome &home, SteadyTime now);
    /**
     * Records that no response came over the path. The home is ranked last until notePathRecovered(), and the caller of
     * this function probes the path. When the home was ranked last only for a fixed time, every sender lost one more
     * request each time to find out that a VM was still down.
     */
    void notePathFailure(const std::string &node, SteadyTime now);
    /** Records that a probe of a failed path has failed. Does nothing if the path does not count as failed. */
    void notePathStillFailed(const std::string &node, SteadyTime now);
    void notePathRecovered(const std::string &node);
    bool isPathFailed(const std::string &node) const;
    /**
     * Removes what is known about nodes that are not in @p known, except their requests in flight. @p known: all nodes
     * of the fleet, which share the exploration of homes. Before the first call no home is explored.
     */
    void keepOnly(const std::set<std::string> &known);

private:
    struct ReportedWait {
        double millis = 0.0;
        SteadyTime at;
    };
    struct Home {
        std::int32_t inFlight = 0;
        /** Requests in flight when the load was reported. Those sent since are not included in the load. */
        std::int32_t inFlightAtLoad = 0;
        HomeLoad load;
        /** Reported waits by the priority that they apply to. */
        std::map<int, ReportedWait> waits;
        bool hasLoad = false;
        SteadyTime loadAt;
        SteadyTime noServerUntil;
        SteadyTime grayBackoffUntil;
        /** The last reply, and whether it was a refusal for lack of a healthy server. */
        std::optional<SteadyTime> heardAt;
        bool lacksServer = false;
        /** The last reply, or the last time at which the home could have been explored. */
        SteadyTime consideredAt;
        /** When a request or a probe last failed on the path; nothing if the path has not failed or has recovered. */
        std::optional<SteadyTime> pathFailedAt;
        SteadyTime pathCheckedAt;
    };

    /** Values for a home without a recent report, from the reports of all homes of the service. */
    struct Defaults {
        double wait = 0.0;
        double grayProbability = 0.0;
    };

    HomeStatus statusOf(const RankedHome &home, const HomeQuery &query, const Defaults &defaults, SteadyTime now) const;
    Defaults defaultsFor(const std::vector<RankedHome> &homes, const HomeQuery &query, SteadyTime now) const;
    /** Returns true if the home may be tried for this request. */
    bool isCandidate(const RankedHome &home, const HomeQuery &query, const Defaults &defaults, SteadyTime now) const;
    /** Returns the best of a few random homes among those of nearly least loss; null if no home can be tried. */
    const RankedHome *pickHome(const std::vector<RankedHome> &homes, const std::vector<double> &losses) const;
    /** Returns the expected loss, delays included. */
    double totalLoss(const RankedHome &home, const HomeQuery &query, const Defaults &defaults, SteadyTime now) const;
    /** @p isShort: the result of isShortOfHomes(). */
    HomeChoice leastLoss(const std::vector<RankedHome> &homes, const std::set<std::string> &tried,
                         const HomeQuery &query, const Defaults &defaults, bool isShort, SteadyTime now) const;
    /** Returns true if the server is likely gray by what this node knows. */
    bool countsAsGray(const RankedHome &home, const Defaults &defaults, SteadyTime now) const;
    /**
     * Returns true if so many homes are avoided, for whatever reason, that the others may not suffice. Always false
     * before the first call of keepOnly().
     */
    bool isShortOfHomes(const std::vector<RankedHome> &homes, const Defaults &defaults, SteadyTime now) const;
    /** Returns true if this node has heard recently from a usable home that is neither @p except nor in @p tried. */
    bool knowsOtherHome(const std::vector<RankedHome> &homes, const std::set<std::string> &tried,
                        const std::string &except, const Defaults &defaults, SteadyTime now) const;
    /** Returns the home that a request explores, the one least likely to be gray; null if none. */
    const RankedHome *homeToExplore(const std::vector<RankedHome> &homes, const std::set<std::string> &tried,
                                    const Defaults &defaults, SteadyTime now);
    /** Returns true with @p probability. */
    bool happens(double probability) const;
    /** Returns true if there is no recent report, and no older one by which the server is still likely gray. */
    bool isStale(const RankedHome &home, const Defaults &defaults, SteadyTime now) const;
    /** Returns the expected loss without delayLoss(). */
    double lossWithoutWait(const RankedHome &home, const HomeQuery &query, const Defaults &defaults,
                           SteadyTime now) const;
    double delayLoss(double waitMs, double roundTrip, double slowdown, const HomeQuery &query) const;
    /**
     * Returns the longest reported wait, after decay with its age, among the reports for requests of the same or a more
     * urgent priority. Nothing without such a report.
     */
    std::optional<ReportedWait> reportedWait(const RankedHome &home, const HomeQuery &query, SteadyTime now) const;
    double expectedWait(const RankedHome &home, const HomeQuery &query, const Defaults &defaults, SteadyTime now) const;
    double currentGrayProbability(const RankedHome &home, const Defaults &defaults, SteadyTime now) const;
    double roundTripMs(Distance distance) const;
    double slowdownOf(const RankedHome &home, SteadyTime now) const;
    /** Returns the longest wait at @p home for which the expected loss is at most @p loss. */
    Millis queueTimeoutFor(const RankedHome &home, const HomeQuery &query, const Defaults &defaults, double loss,
                           SteadyTime now) const;

    Random random_;
    RankingTuning tuning_;
    std::map<std::string, Home> homes_;
    /** Nodes of the fleet; 0 until the registry is known. */
    std::size_t knownNodes_ = 0;
};

} // namespace waxwing
