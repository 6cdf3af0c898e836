#pragma once

#include "include/home/SlotQueue.h"
#include "tests/support/EventSchedule.h"
#include "tests/support/ServedCounts.h"

#include <boost/random/mersenne_twister.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace waxwing::testing {

/** Customers of unlike size at one home. */
struct HotCustomerLoad {
    int customers = 84;
    std::uint32_t slots = 15;
    /** Usual load as a share of the slots. */
    double usualLoad = 0.75;
    /** Factor on the requests of the hot customer, for 6.5 s. */
    double hotFactor = 1.0;
    /** Nodes admit no more of each customer than a quota of 1.6 times its usual rate, with a burst of one second. */
    bool limited = false;
};

struct HotCustomerOutcome {
    ServedCounts hot;
    ServedCounts others;
    /** Refused after they had waited. */
    int waitedInVain = 0;
};

/**
 * Simulates one home whose customers send look-ups and bookings with Zipf-distributed rates, while one of the larger
 * ones becomes hot. The queue is the production code. Seeded; opens no socket.
 */
class HotCustomerModel
{
public:
    HotCustomerModel(const HotCustomerLoad &load, SlotTuning tuning, std::uint32_t seed);
    /** Runs the load to its end. Counts the requests that arrive while the customer is hot. */
    HotCustomerOutcome run();

private:
    struct Request {
        int customer = 0;
        bool booking = false;
        SteadyTime arrived;
        SteadyTime objective;
    };
    struct Customer {
        double usualRate = 0.0;
        double tokens = 0.0;
        SteadyTime refilled;
    };

    void scheduleArrival(int customer);
    void arrive(int customer);
    bool isWithinQuota(Customer &customer) const;
    bool isHotPhase() const;
    void start(std::uint64_t id);
    void finish(std::uint64_t id, Duration work);
    void refuse(std::uint64_t id);
    void schedulePoll();
    void poll();
    ServedCounts &countsOf(const Request &request);

    HotCustomerLoad load_;
    boost::random::mt19937_64 random_;
    EventSchedule events_;
    SteadyTime hotFrom_;
    SteadyTime end_;
    SlotQueue queue_;
    std::vector<Customer> customers_;
    std::map<std::uint64_t, Request> active_;
    std::uint64_t nextId_ = 1;
    bool pollScheduled_ = false;
    HotCustomerOutcome outcome_;
};

} // namespace waxwing::testing
