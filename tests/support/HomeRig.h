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

/** How one fake server does its work. */
struct FakeServer {
    double stallShare = 0.0;
    double errorShare = 0.0;
    double slowFactor = 1.0;
    /** Well and out in turn, each for this long; zero: it does not flap. */
    Millis flapPeriod{0};
    bool sheds = false;
    bool announces = true;
    ServerState state = ServerState::Serving;
    /** Differs after each restart. */
    std::uint64_t incarnation = 1;
    /** Newly started: work takes four times as long until then. */
    SteadyTime coldUntil;
};

struct RigOptions {
    int servers = 12;
    std::uint32_t slots = 3;
    /** Requests a second. */
    double rate = 300.0;
    Millis responseTime{300};
    Millis deadline{2000};
    /** Median and spread of the log-normal time that healthy work takes. */
    Millis work{50};
    double sigma = 0.6;
    double healthyErrors = 0.001;
    EjectionPolicy policy = EjectionPolicy::Balanced;
    CapacityFloor floor{8, 0.0};
    double idempotentShare = 1.0;
    /** Median time of the other class's work, where it differs; zero: as the first. */
    Millis otherWork{0};
    double slowClassShare = 0.5;
    std::size_t queuePerClass = 64;
    bool refuseEarly = true;
    std::uint64_t seed = 1;
    DetectorFactory detectors;
};

/** An ejection as the rig saw it. */
struct Ejection {
    SteadyTime at;
    std::string server;
    /** The server was in fact well. */
    bool falsePositive = false;
};

/**
 * Drives one ServiceHome, the code that nodes run, with made-up requests and servers on a clock of its own. It is the
 * small fake at the home's interface for scenarios and the detector bench; it knows nothing of other nodes.
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
    /** True while the home sends it no ordinary work. */
    bool isOut(const std::string &name) const;
    std::uint32_t inService() const;
    std::uint32_t minInService() const;
    const std::vector<Ejection> &ejections() const;
    /** First request that a server made late after @p since; the rig's start if none. */
    SteadyTime firstLate(const std::string &name) const;
    void resetFirstLate();
    SteadyTime start() const;
    SteadyTime now() const;

    std::uint64_t good = 0;
    std::uint64_t late = 0;
    std::uint64_t failed = 0;
    std::uint64_t refused = 0;
    std::uint64_t started = 0;
    /** Milliseconds that answered requests of the idempotent class took. */
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

/** Lets the rig's pledges be granted: as by a store that always answers. */
void grantPledges(HomeFloor &floor);

} // namespace waxwing::testing
