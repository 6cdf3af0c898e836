#pragma once

#include "include/floor/HomeFloor.h"
#include "include/health/ServerHealth.h"
#include "include/home/Announcement.h"
#include "include/intent/ClassIntent.h"
#include "include/limit/FairQueue.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace waxwing {

/** A request as its home decides about it. */
struct HomeRequest {
    std::uint64_t id = 0;
    std::string className;
    std::string customer;
    SteadyTime deadline;
    /** Servers that it already failed at. */
    std::set<std::string> exclude;
};

/** What submit() decided. */
struct Admission {
    enum class Kind {
        /** Goes to @c server now. */
        Assigned,
        /** Waits; poll() will name its server or say that it expired. */
        Queued,
        Refused,
    };
    Kind kind = Kind::Refused;
    std::string server;
    /** Stable word for a refusal. */
    std::string reason;
    Millis retryAfter{0};
};

/** A decision of the home that explains itself: an event name and its fields. */
struct HomeDecision {
    std::string event;
    std::string server;
    std::vector<std::pair<std::string, std::string>> fields;
};

/** Bounds and times of one service at its home. */
struct HomeTuning {
    HealthTuning health;
    /** A server that has not announced itself for this long gets no new work. */
    Millis announceTimeout = std::chrono::seconds(2);
    /** A silent server is forgotten after this long. */
    Millis removeAfter = std::chrono::seconds(30);
    std::size_t queuePerClass = 64;
    /** Refuse at once what would miss its deadline. Off only where a bench compares with a baseline. */
    bool refuseEarly = true;
    /**
     * Largest share of the usable slots that a slow class may hold while a much faster one had work lately. The idea of
     * a lane with a fairness ceiling, smallest for the slowest, is from "Handling Slow Webhook Consumers Without
     * Starving the Dispatcher", step 2; figures with and without it are in bench/RESULTS.md.
     */
    double slowClassShare = 0.5;
    /** A class is slow beside another one if its work takes this many times as long. */
    int slowClassFactor = 4;
    Millis activeClassWindow = std::chrono::seconds(10);
    /** Nobody is ejected while the median of the other servers has a larger share of bad results: the service is slow.
     */
    double slowServiceShare = 0.05;
};

/** One server for reports. */
struct ServerView {
    Announcement announced;
    ServerPhase phase = ServerPhase::Ramp;
    bool present = false;
    std::uint32_t inFlight = 0;
    double suspicion = 0.0;
    /** Sick, but kept because the floor allows no ejection. */
    bool keptForFloor = false;
};

/**
 * Every decision about one service's servers at the node that is their home: who may take work, which request goes
 * to which server, what waits, what is refused, who leaves and who returns. Slots are counted exactly, because no
 * other node hands work to these servers. Opens no socket, starts no thread and is given the time. Not thread safe.
 */
class ServiceHome
{
public:
    ServiceHome(std::string service, NodeRef self, HomeTuning tuning, DetectorFactory detectors,
                HomeFloor::InServiceOf inServiceOf);

    /** Takes over new intents. @p intent is copied. */
    void setIntent(const ServiceIntent &intent);
    /** Takes an announcement. Returns true if it is of a new process of the server. */
    bool announce(const Announcement &announcement, SteadyTime now);

    /** Decides about a new request. @pre its class is one of the intent's. */
    Admission submit(const HomeRequest &request, SteadyTime now);
    /** Frees the slot that @p id held at @p server. @p took: how long the server worked on it. */
    void release(std::uint64_t id, const std::string &server, Duration took);
    /** Takes a waiting request out; false if it is not waiting. */
    bool cancel(std::uint64_t id);
    /** Adds what a request showed about its server. */
    void addEvidence(const std::string &server, Evidence evidence, SteadyTime now);
    /** The server's process ended; it is not sick, only gone until it announces itself again. */
    void noteDeath(const std::string &server);
    /** Evidence about other homes' servers of this service, which tells a slow service from a sick server. */
    void addPeerEvidence(bool bad, SteadyTime now);

    struct Assignment {
        std::uint64_t id = 0;
        std::string server;
    };
    struct PollResult {
        std::vector<Assignment> assigned;
        std::vector<std::uint64_t> expired;
    };
    /** Assigns waiting requests to free slots and takes out the ones whose deadline has passed. */
    PollResult poll(SteadyTime now);
    /** Moves phases, expires announcements, ejects what the floor allows. Call every 50 ms or so. */
    std::vector<HomeDecision> tick(SteadyTime now);

    HomeFloor &floor();
    std::uint32_t inService() const;
    std::uint32_t freeSlots(SteadyTime now) const;
    /** True if a server not in @p exclude has a free slot. */
    bool hasFreeSlotExcluding(const std::set<std::string> &exclude, SteadyTime now) const;
    std::size_t queued() const;
    std::size_t inFlight() const;
    /** Servers known, also the silent and the ejected. */
    std::vector<ServerView> servers() const;
    const Announcement *find(const std::string &server) const;
    /** Share of bad results lately, over all servers but @p except. */
    double badShareExcluding(const std::string &except) const;
    bool hasNoServers() const;

private:
    struct Server {
        Server(const Announcement &announcement, ServerHealth healthIn, SteadyTime now)
            : announced(announcement)
            , health(std::move(healthIn))
            , lastAnnounced(now)
            , countedAt(now)
        { }

        Announcement announced;
        ServerHealth health;
        SteadyTime lastAnnounced;
        std::uint32_t inFlight = 0;
        /** Order of the last hand-over, so that equally loaded servers take turns. */
        std::uint64_t lastAssignment = 0;
        bool dead = false;
        bool keptForFloor = false;
        /** Decaying counts of results. */
        double good = 0.0;
        double bad = 0.0;
        SteadyTime countedAt;
    };
    struct ClassLoad {
        std::uint32_t inFlight = 0;
        SteadyTime lastSeen;
        /** Smoothed time that a server works on one request. */
        Duration workTime{0};
    };

    bool isPresent(const Server &server, SteadyTime now) const;
    bool isHealthy(const Server &server, SteadyTime now) const;
    std::uint32_t usableSlots(const Server &server, SteadyTime now) const;
    std::uint32_t totalUsableSlots(SteadyTime now) const;
    Server *pick(const ClassIntent &intent, const std::set<std::string> &exclude, SteadyTime now);
    Server *pickRamping(const std::set<std::string> &exclude, SteadyTime now);
    bool isServiceSlow(const std::string &except, SteadyTime now) const;
    bool classMayStart(const std::string &className, SteadyTime now) const;
    void assign(Server &server, std::uint64_t id, const std::string &className);
    Duration expectedWait(const std::string &className, SteadyTime now) const;
    Admission refusal(std::string reason, Duration retryAfter) const;
    EjectionPolicy mostCarefulPolicy() const;
    void updateFloor(SteadyTime now);
    void ejectUnhealthyServers(std::vector<HomeDecision> &decisions, SteadyTime now);
    static void recordResult(Server &server, bool bad, SteadyTime now);

    std::string service_;
    HomeTuning tuning_;
    DetectorFactory detectors_;
    ServiceIntent intent_;
    HomeFloor floor_;
    FairQueue queue_;
    std::map<std::string, Server> servers_;
    std::map<std::string, ClassLoad> classes_;
    std::map<std::uint64_t, std::string> classOf_;
    std::map<std::uint64_t, std::set<std::string>> excluded_;
    std::uint64_t assignments_ = 0;
    double peerGood_ = 0.0;
    double peerBad_ = 0.0;
    SteadyTime peerCountedAt_;
    SteadyTime now_;
    std::string lastReportedSlow_;
};

} // namespace waxwing
