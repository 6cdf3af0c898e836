#pragma once

#include "include/home/ServiceHome.h"
#include "include/limit/RetryBudget.h"
#include "tests/support/ManualClock.h"

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace waxwing::testing {

/** Behavior of one fake server. */
struct FakeServer {
    double stallShare = 0.0;
    double errorShare = 0.0;
    double slowFactor = 1.0;
    /** The server alternates between healthy and stalled, each for this long. Zero: it does not flap. */
    Millis flapPeriod{0};
    bool sheds = false;
    bool announces = true;
    ServerState state = ServerState::Serving;
    /** Differs after each restart. */
    std::uint64_t incarnation = 1;
    /** After a start, work takes four times as long until then. */
    SteadyTime coldUntil;
};

struct RigOptions {
    int servers = 12;
    std::uint32_t slots = 3;
    /** Requests per second. */
    double rate = 300.0;
    Millis responseTime{300};
    Millis deadline{2000};
    /** Median and sigma of the log-normal work time of a healthy server. */
    Millis work{50};
    double sigma = 0.6;
    double healthyErrors = 0.001;
    EjectionPolicy policy = EjectionPolicy::Balanced;
    CapacityFloor floor{8, 0.0};
    double idempotentShare = 1.0;
    /** Median work time of the non-idempotent class; zero: the same as @c work. */
    Millis otherWork{0};
    double slowClassShare = 0.5;
    std::size_t queuePerClass = 64;
    bool refuseEarly = true;
    std::uint64_t seed = 1;
    DetectorFactory detectors;
};

/** An ejection by the home. */
struct Ejection {
    SteadyTime at;
    std::string server;
    /** The server was healthy. */
    bool falsePositive = false;
};

/**
 * Drives one ServiceHome, as nodes run it, with simulated requests and servers on its own clock, for scenarios,
 * tests and benchmarks. It has no other nodes.
 */
class HomeRig
{
public:
    explicit HomeRig(RigOptions options);
    /** Runs until @p length after the start of the rig. */
    void runUntil(Duration length);
    /** Calls @p action at @p after the start. */
    void at(Duration after, std::function<void()> action);
    FakeServer &server(const std::string &name);
    std::vector<std::string> serverNames() const;
    /** Returns true while the home sends the server no ordinary work. */
    bool isOut(const std::string &name) const;
    std::uint32_t inService() const;
    std::uint32_t minInService() const;
    const std::vector<Ejection> &ejections() const;
    /**
     * Returns when the server had its first late request since the start or the last resetFirstLate(); the rig's start
     * if there was none.
     */
    SteadyTime firstLate(const std::string &name) const;
    void resetFirstLate();
    SteadyTime start() const;
    SteadyTime now() const;

    std::uint64_t good = 0;
    std::uint64_t late = 0;
    std::uint64_t failed = 0;
    std::uint64_t refused = 0;
    std::uint64_t started = 0;
    /** Response times of the idempotent class, in milliseconds. */
    std::vector<double> readMs;
    std::map<std::string, std::uint64_t> startedAt;

private:
    struct Request {
        HomeRequest homeRequest;
        SteadyTime arrived;
        bool idempotent = true;
        std::string server;
        std::uint64_t attempt = 0;
        int lateSteps = 0;
        SteadyTime attemptStarted;
    };

    void schedule(SteadyTime when, std::function<void()> action);
    void arrive();
    void submit(std::uint64_t id);
    void begin(std::uint64_t id, const std::string &server);
    void checkLate(std::uint64_t id, std::uint64_t attempt);
    void finish(std::uint64_t id, std::uint64_t attempt, bool error);
    void retryElsewhere(std::uint64_t id);
    void end(std::uint64_t id);
    void poll();
    void tick();
    bool isBad(const FakeServer &server) const;
    Announcement announcementOf(const std::string &name) const;

    RigOptions options_;
    ManualClock clock_;
    std::mt19937_64 random_;
    ServiceHome home_;
    RetryBudget budget_;
    std::map<std::string, FakeServer> servers_;
    std::multimap<SteadyTime, std::function<void()>> events_;
    std::map<std::uint64_t, Request> requests_;
    std::map<std::string, SteadyTime> firstLate_;
    std::vector<Ejection> ejections_;
    SteadyTime start_;
    std::uint64_t nextId_ = 1;
    std::uint32_t minInService_ = 0;
};

/** Accepts the floor's proposals, like a store that is always reachable. */
void grantPledges(HomeFloor &floor);

} // namespace waxwing::testing
