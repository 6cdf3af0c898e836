#pragma once

#include "include/home/SlotQueue.h"
#include "include/route/HomeRanking.h"
#include "include/route/HomeSearch.h"
#include "tests/support/EventSchedule.h"

#include <boost/random/mersenne_twister.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace waxwing::testing {

/** A service that has lost most of its servers, and the requests for it. */
struct FewHomesLoad {
    int senders = 70;
    int homes = 33;
    int healthy = 6;
    std::uint32_t slots = 5;
    Millis meanWork{350};
    double requestsPerSecond = 72.0;
    /** Share of the requests that may be sent to another server after a failure. */
    double retryableShare = 0.35;
    /** Share of the healthy homes that a sender can reach. It can always reach the one on its own node. */
    double reachableShare = 0.6;
    /** All healthy homes lie in the last of three regions; otherwise anywhere. */
    bool healthyInOneRegion = false;
    /** Of the healthy servers, this many were gray until the others were lost. */
    int recovering = 3;
    /** Senders know the number of nodes, without which HomeRanking neither explores nor finds a service short of homes.
     */
    bool explores = true;
    /** Time before the loss, and how long the loss lasts. */
    Millis before{4000};
    Millis lost{16000};
};

struct FewHomesResult {
    int requests = 0;
    int notServed = 0;
    /** The longest time without a request, for each healthy server that some sender can reach. */
    std::vector<Millis> longestGaps;
    /** Intervals of the floor's length in which some servers, but fewer than its share, got requests. */
    int intervalsBelowFloor = 0;

    Millis longestGap() const;
};

/**
 * Simulates the senders of a service of which only a few servers are left; the other homes have no server, a gray one
 * or no working path, which each
 * sender finds out by a request. Ranking, search and queues are the production code. Links to the other homes have a
 * fixed delay and lose nothing. Seeded; opens no socket.
 */
class FewHomesModel
{
public:
    FewHomesModel(const FewHomesLoad &load, std::uint32_t seed);
    FewHomesResult run();

private:
    enum class HomeState {
        Healthy,
        NoServer,
        Gray,
        Unreachable,
    };
    struct Request {
        std::uint64_t id = 0;
        std::size_t sender = 0;
        bool retryable = false;
        /** Servers to which the request may still be sent. */
        int attemptsLeft = 2;
        SteadyTime objective;
        SteadyTime deadline;
        HomeSearch search;
        HomeChoice choice;
        bool counted = false;
    };
    using RequestPtr = std::shared_ptr<Request>;
    struct Home {
        SlotQueue queue;
        HomeState state = HomeState::Healthy;
        std::map<std::uint64_t, RequestPtr> active;
        std::vector<SteadyTime> starts;
        bool pollScheduled = false;
    };
    struct Sender {
        HomeRanking ranking;
        std::vector<RankedHome> known;
        std::set<std::size_t> unreachable;
        /** Homes whose paths have failed and are probed. */
        std::set<std::size_t> probed;
    };

    /** Draws the homes that stay healthy, which come first. */
    void drawOrder();
    void loseHomes();
    void scheduleArrival();
    void arrive();
    void dispatch(const RequestPtr &request);
    /** Checks the paths that the sender's ranking names. Only a check that fails has an effect. */
    void checkPaths(std::size_t sender);
    /** Tells the sender that the path has failed. From then on it is probed, as by PathMonitor. */
    void failPath(std::size_t sender, std::size_t home);
    /** Probes a path, which fails, as no path recovers in the model, and schedules the next probe. */
    void scheduleProbe(std::size_t sender, std::size_t home);
    void submit(std::size_t home, const RequestPtr &request);
    void begin(std::size_t home, const RequestPtr &request);
    void poll(std::size_t home);
    void schedulePoll(std::size_t home);
    void reply(std::size_t home, const RequestPtr &request, RefusalReason reason);
    void complete(std::size_t home, const RequestPtr &request, bool failed);
    void losePath(std::size_t home, const RequestPtr &request);
    void finish(const Request &request, bool served);
    Duration linkDelay(const Request &request) const;
    bool isLost() const;
    double uniform();
    FewHomesResult result() const;

    FewHomesLoad load_;
    boost::random::mt19937 random_;
    EventSchedule events_;
    SteadyTime lossAt_;
    SteadyTime end_;
    std::uint64_t nextId_ = 1;
    std::vector<Home> homes_;
    std::vector<std::size_t> order_;
    std::vector<Sender> senders_;
    int requests_ = 0;
    int notServed_ = 0;
};

} // namespace waxwing::testing
