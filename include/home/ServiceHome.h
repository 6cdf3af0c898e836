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

/** A request as submitted to the home of its service. */
struct HomeRequest {
    std::uint64_t id = 0;
    std::string className;
    std::string customer;
    SteadyTime deadline;
    /** Servers that already failed the request. */
    std::set<std::string> exclude;
};

/** Result of submit(). */
struct Admission {
    enum class Kind {
        /** Goes to @c server now. */
        Assigned,
        /** Waits. poll() returns its server or reports that it expired. */
        Queued,
        Refused,
    };
    Kind kind = Kind::Refused;
    std::string server;
    /** Identifier of the reason for a refusal. It does not change between releases. */
    std::string reason;
    Millis retryAfter{0};
};

/** A decision of the home as an event: its name, the server and the fields that explain it. */
struct HomeDecision {
    std::string event;
    std::string server;
    std::vector<std::pair<std::string, std::string>> fields;
};

/** Limits and durations for one service at its home. */
struct HomeTuning {
    HealthTuning health;
    /** A server that has not announced itself for this long gets no new work. */
    Millis announceTimeout = std::chrono::seconds(2);
    /** A server that has not announced itself for this long, and runs no request, is removed. */
    Millis removeAfter = std::chrono::seconds(30);
    std::size_t queuePerClass = 64;
    /** Refuses requests at once that would miss their deadline. Off only where a benchmark measures a baseline. */
    bool refuseEarly = true;
    /**
     * Largest share of the usable slots that a slow class may hold while a much faster class is active. The design, a
     * lane with a fairness ceiling that is smallest for the slowest class, is from "Handling Slow Webhook Consumers
     * Without Starving the Dispatcher", step 2. bench/RESULTS.md has figures with and without it.
     */
    double slowClassShare = 0.5;
    /** A class is slow compared with another one if its requests take this many times as long. */
    int slowClassFactor = 4;
    Millis activeClassWindow = std::chrono::seconds(10);
    /**
     * No server is ejected while the median share of bad results among the other healthy servers here is above this:
     * then the whole service is slow. If none of them has results, the share at other homes counts.
     */
    double slowServiceShare = 0.05;
};

/** State of one server for reports. */
struct ServerView {
    Announcement announced;
    ServerPhase phase = ServerPhase::Ramp;
    bool present = false;
    std::uint32_t inFlight = 0;
    double suspicion = 0.0;
    /** Unhealthy, but kept in service because the floor allows no ejection. */
    bool keptForFloor = false;
};

/**
 * Makes every decision about the servers of one service at the node that is their home: which servers get work, which
 * request goes to which server, which requests wait or are refused, and which servers are ejected and returned. Slots
 * are counted exactly because no other node sends work to these servers. Opens no socket, starts no thread, and takes
 * the time as a parameter. Not thread safe.
 */
class ServiceHome
{
public:
    ServiceHome(std::string service, NodeRef self, HomeTuning tuning, DetectorFactory detectors,
                HomeFloor::InServiceOf inServiceOf);

    /**
     * Replaces the intents. @p intent is copied. The floor changes at once, the ejection policy only for servers that
     * are announced for the first time afterwards.
     */
    void setIntent(const ServiceIntent &intent);
    /** Applies an announcement. Returns true if it is from a new process of the server. */
    bool announce(const Announcement &announcement, SteadyTime now);

    /** Assigns, queues or refuses a new request. Refuses one of a class that the intent does not list. */
    Admission submit(const HomeRequest &request, SteadyTime now);
    /** Frees the slot that @p id held at @p server. @p took: how long the server worked on it. */
    void release(std::uint64_t id, const std::string &server, Duration took);
    /** Removes a waiting request. Returns false if it is not waiting. */
    bool cancel(std::uint64_t id);
    /** Adds the result of a request as evidence about its server. */
    void addEvidence(const std::string &server, Evidence evidence, SteadyTime now);
    /**
     * Records that the server's process ended. The server counts as absent, not as unhealthy, until a new process
     * announces itself.
     */
    void noteDeath(const std::string &server);
    /**
     * Adds the result of a request at another home of this service. Such results distinguish a slow service from an
     * unhealthy server.
     */
    void addPeerEvidence(bool bad, SteadyTime now);

    struct Assignment {
        std::uint64_t id = 0;
        std::string server;
    };
    struct PollResult {
        std::vector<Assignment> assigned;
        std::vector<std::uint64_t> expired;
    };
    /** Assigns waiting requests to free slots and removes the requests whose deadline has passed. */
    PollResult poll(SteadyTime now);
    /**
     * Advances phases, removes servers after HomeTuning::removeAfter and ejects unhealthy ones as far as the floor
     * allows. To be called about every 50 ms.
     */
    std::vector<HomeDecision> tick(SteadyTime now);

    HomeFloor &floor();
    std::uint32_t inService() const;
    std::uint32_t freeSlots(SteadyTime now) const;
    /** Returns true if a server that is not in @p exclude has a free slot. */
    bool hasFreeSlotExcluding(const std::set<std::string> &exclude, SteadyTime now) const;
    std::size_t queued() const;
    std::size_t inFlight() const;
    /** Returns all known servers, including absent and ejected ones. */
    std::vector<ServerView> servers() const;
    const Announcement *find(const std::string &server) const;
    /**
     * Returns the recent share of bad results of all servers except @p except, including those at other homes. A few
     * good results are added, so that few results do not make a high share.
     */
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
        /**
         * Sequence number of the last assignment. Of equally loaded servers, the one with the lowest number is chosen.
         */
        std::uint64_t lastAssignment = 0;
        bool dead = false;
        bool keptForFloor = false;
        /** Counts of results with exponential decay. */
        double good = 0.0;
        double bad = 0.0;
        SteadyTime countedAt;
    };
    struct ClassLoad {
        std::uint32_t inFlight = 0;
        SteadyTime lastSeen;
        /** Moving average of the time that a server works on one request. */
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
