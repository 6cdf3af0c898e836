#pragma once

#include "include/limit/FleetRetryBudget.h"

#include <cstdint>

namespace waxwing {

/** Conditions of the fleet while servers fail requests. Transfers, of which some are lost, are part of each case. */
struct BudgetFleetFaults {
    /** A tenth of the nodes gets four fifths of the requests. */
    bool unevenDemand = false;
    /** A tenth of the nodes gets four fifths of the requests, and another tenth every three seconds. */
    bool movingDemand = false;
    /** The demand falls to a tenth two seconds after the servers began to fail. */
    bool fallingDemand = false;
    /** Two halves of the fleet can't reach each other; each node still counts all nodes of the registry. */
    bool partition = false;
    /** Together with @c partition: each node counts only the nodes of its half. */
    bool fewerNodesSeen = false;
    /** Half of the nodes are killed and start again, without their counts. */
    bool restart = false;
    /**
     * Requests of another service make calls whose number isn't known at first. Half of these requests fail after their
     * run.
     */
    bool nestedCalls = false;
    /** Half of the nodes count only half of the nodes, as after the fleet has doubled. */
    bool staleNodeCount = false;
};

/** A fleet of nodes that send requests to one service. */
struct BudgetFleetCase {
    std::size_t nodes = 24;
    /** Of the whole fleet. */
    double requestsPerSecond = 0.0;
    FleetRetryTuning tuning;
    BudgetFleetFaults faults;
    std::uint32_t seed = 1;
};

/**
 * Simulates the retry budgets of @p fleet before and while nearly all servers shed load. Transfers are requested in the
 * way of RetryBudgetService. Returns the largest use of the fleet's limit in any window, as a fraction of the limit.
 * The limit of a window counts the requests of that window, of the one half a window before or of the one before,
 * whichever has most.
 */
double largestBudgetUse(const BudgetFleetCase &fleet);

} // namespace waxwing
