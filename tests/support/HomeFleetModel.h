#pragma once

#include "include/home/SlotQueue.h"
#include "include/route/HomeRanking.h"
#include "tests/support/EventSchedule.h"
#include "tests/support/FleetLoad.h"

#include <boost/random/mersenne_twister.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace waxwing::testing {

class HomeFleetModel;

/** A way to schedule: brings each request to a home or refuses it. */
class SlotPolicy
{
public:
    explicit SlotPolicy(HomeFleetModel &model);
    virtual ~SlotPolicy() = default;
    SlotPolicy(const SlotPolicy &) = delete;
    SlotPolicy &operator=(const SlotPolicy &) = delete;

    /** Called at the request's sender. */
    virtual void arrive(const FleetRequestPtr &request) = 0;
    /** Called at the home when the work ends. @p took: how long the server worked on it. */
    virtual void workEnded(int home, const FleetRequestPtr &request, Duration took) = 0;
    /** Called at the home when a nested call of its server ends. */
    virtual void callEnded(int home, bool succeeded);
    /** Called when the server of @p home accepts no more work. Running work goes on. */
    virtual void serverLeft(int home) = 0;

protected:
    HomeFleetModel &model_;
};

/**
 * Simulates the homes of one service and the nodes that send them work. Policies made of production classes decide.
 * Links have a fixed delay by distance and lose nothing; every message counts. Seeded; opens no socket.
 */
class HomeFleetModel
{
public:
    HomeFleetModel(HomeFleetLoad load, HomePolicy policy, std::uint32_t seed);
    /** Runs the load to its end. Counts the requests that arrive during the burst. */
    FleetCounts run();

    // For policies.

    const HomeFleetLoad &load() const;
    SteadyTime now() const;
    std::uint64_t random();
    std::uint64_t nextId();
    const std::string &homeName(int home) const;
    int homeIndex(const std::string &name) const;
    int zoneOf(int nodeOrHome) const;
    Distance distance(int node, int home) const;
    /** Returns the homes as @p node sees them. */
    const std::vector<RankedHome> &homesFrom(int node) const;
    Duration delay(Distance distance) const;
    void at(SteadyTime when, std::function<void()> action);
    void after(Duration time, std::function<void()> action);
    /** Counts a message about @p request other than a Work or its reply, and runs @p action where it arrives. */
    void sendSmall(const FleetRequest &request, Distance distance, std::function<void()> action);
    /** Counts a Work and runs @p action at its home. */
    void sendWork(const FleetRequestPtr &request, int home, std::function<void()> action);
    /** Counts a Work that did not run. */
    void noteInVain(const FleetRequest &request);
    /** Begins the work at a home. The policy has checked that a slot is free. */
    void begin(int home, const FleetRequestPtr &request);
    /** Records that a slot was free for @p idle beside a request that waited there. */
    void noteIdleSlot(Duration idle);
    /** Ends the request at its sender. */
    void finish(const FleetRequestPtr &request, bool served);

private:
    struct Spill {
        int all = 0;
        int elsewhere = 0;
    };

    void scheduleArrival();
    void arrive();
    /** Makes the nested calls of work that ran for @p took until now, one after the other, and ends it. */
    void makeCalls(int home, const FleetRequestPtr &request, Duration took, int calls);
    bool isBurst() const;
    double uniform();
    double rateOf(const FleetRoute &route) const;
    double totalRate() const;
    const FleetRoute &pickRoute();
    int pickSender();
    std::string pickCustomer();
    double hotRateFactor() const;
    template<typename Change>
    void count(const FleetRequest &request, Change change);

    HomeFleetLoad load_;
    /** Of the requests alone, so that all policies get the same ones. */
    boost::random::mt19937_64 arrivals_;
    boost::random::mt19937_64 random_;
    EventSchedule events_;
    SteadyTime burstFrom_;
    SteadyTime end_;
    std::uint64_t nextId_ = 1;
    std::vector<std::string> names_;
    /** By zone of the node. */
    std::vector<std::vector<RankedHome>> homesFrom_;
    std::vector<Spill> spills_;
    FleetCounts counts_;
    std::unique_ptr<SlotPolicy> policy_;
};

} // namespace waxwing::testing
