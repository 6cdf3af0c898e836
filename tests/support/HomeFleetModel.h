#pragma once

#include "include/home/SlotQueue.h"
#include "include/route/HomeRanking.h"
#include "include/route/HomeSearch.h"
#include "tests/support/EventSchedule.h"
#include "tests/support/ServedCounts.h"

#include <boost/random/mersenne_twister.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace waxwing::testing {

/** How a request finds its home. */
enum class HomePolicy {
    /** The decisions of the production code. */
    Product,
    /** A random home, where the request waits until its deadline. */
    Random,
    /** The home with the earliest free slot, by all work times and queues. No real node knows these. */
    Oracle,
};

/** A service and the requests for it. */
struct HomeFleetLoad {
    int nodes = 0;
    int homes = 0;
    std::uint32_t slots = 3;
    Millis meanWork{250};
    double requestsPerSecond = 0.0;
    /** Factor on the request rate during the burst, which follows a warm-up time. */
    double burst = 1.0;
    Millis burstDuration{0};
};

/**
 * Simulates the homes of one service and the nodes that send them work. Ranking, search and queues are the production
 * code. Links have a fixed delay and lose nothing. Seeded; opens no socket.
 */
class HomeFleetModel
{
public:
    HomeFleetModel(const HomeFleetLoad &load, HomePolicy policy, std::uint32_t seed);
    /** Runs the load to its end. Counts the requests that arrive during the burst. */
    ServedCounts run();

private:
    struct Request {
        std::uint64_t id = 0;
        int sender = 0;
        SteadyTime objective;
        SteadyTime deadline;
        Millis work{0};
        bool counted = false;
        HomeSearch search;
        std::string home;
        Duration queueTimeout{0};
    };
    using RequestPtr = std::shared_ptr<Request>;
    struct Home {
        SlotQueue queue;
        std::map<std::uint64_t, RequestPtr> active;
        /** For HomePolicy::Oracle: when each slot becomes free, by the work assigned to it. */
        std::vector<SteadyTime> freeAt;
        bool pollScheduled = false;
    };

    void scheduleArrival();
    void arrive();
    void dispatch(const RequestPtr &request);
    int chooseHome(Request &request);
    int chooseByRanking(Request &request);
    int chooseFirstFree(const Request &request);
    void submit(int home, const RequestPtr &request);
    void begin(int home, const RequestPtr &request);
    void poll(int home);
    void schedulePoll(int home);
    void refuse(int home, const RequestPtr &request);
    void finish(const RequestPtr &request, bool served);
    bool isBurst() const;
    double uniform();

    HomeFleetLoad load_;
    HomePolicy policy_;
    boost::random::mt19937 random_;
    EventSchedule events_;
    SteadyTime burstFrom_;
    SteadyTime end_;
    std::uint64_t nextId_ = 1;
    std::vector<Home> homes_;
    std::vector<RankedHome> ranked_;
    std::vector<HomeRanking> rankings_;
    ServedCounts outcome_;
};

} // namespace waxwing::testing
