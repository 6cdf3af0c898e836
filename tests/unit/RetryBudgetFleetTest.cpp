#include "tests/support/RetryBudgetFleetModel.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

using namespace waxwing;

namespace {

struct Load {
    double requestsPerSecond = 0.0;
    std::vector<std::uint32_t> seeds;
};

/** With the first the slack is most of the limit, with the last the share of requests; many requests vary little. */
const std::vector<Load> loads = {{8.0, {1, 2}}, {60.0, {1, 2}}, {1500.0, {1}}};

/** Returns the largest use over all loads and both values of the slack. */
double largestUse(std::size_t nodes, const BudgetFleetFaults &faults, double usableFraction)
{
    double largest = 0.0;
    for (const Load &load : loads) {
        for (const double slack : {50.0, 200.0}) {
            for (const std::uint32_t seed : load.seeds) {
                BudgetFleetCase fleet{nodes, load.requestsPerSecond, {}, faults, seed};
                fleet.tuning.slack = slack;
                fleet.tuning.usableFraction = usableFraction;
                largest = std::max(largest, largestBudgetUse(fleet));
            }
        }
    }
    return largest;
}

void checkDefaults(const BudgetFleetFaults &faults)
{
    for (const std::size_t nodes : {24, 102, 300}) {
        const double use = largestUse(nodes, faults, FleetRetryTuning().usableFraction);
        MESSAGE(nodes << " nodes: " << use << " of the limit, " << largestUse(nodes, faults, 1.0) << " at 1.0");
        CHECK(use <= 1.0);
    }
}

} // namespace

// Each case guards against more retries than the rule allows the whole fleet in a window of 10 s.
TEST_CASE("retry budget fleet, all servers shed load, use stays within the limit")
{
    checkDefaults({});
}

TEST_CASE("retry budget fleet, uneven demand, use stays within the limit")
{
    BudgetFleetFaults faults;
    faults.unevenDemand = true;
    checkDefaults(faults);
}

TEST_CASE("retry budget fleet, demand moves between nodes, use stays within the limit")
{
    BudgetFleetFaults faults;
    faults.movingDemand = true;
    checkDefaults(faults);
}

TEST_CASE("retry budget fleet, demand falls, use stays within the limit")
{
    BudgetFleetFaults faults;
    faults.fallingDemand = true;
    checkDefaults(faults);
}

TEST_CASE("retry budget fleet, partition with the registry's node count, use stays within the limit")
{
    BudgetFleetFaults faults;
    faults.partition = true;
    checkDefaults(faults);
}

TEST_CASE("retry budget fleet, partition in which each node counts its half, use stays within the limit")
{
    BudgetFleetFaults faults;
    faults.partition = faults.fewerNodesSeen = true;
    checkDefaults(faults);
}

TEST_CASE("retry budget fleet, half of the nodes killed and restarted, use stays within the limit")
{
    BudgetFleetFaults faults;
    faults.restart = true;
    checkDefaults(faults);
}

TEST_CASE("retry budget fleet, nested calls of unknown number, use stays within the limit")
{
    BudgetFleetFaults faults;
    faults.nestedCalls = true;
    checkDefaults(faults);
}

TEST_CASE("retry budget fleet, node counts out of date, use stays within the limit")
{
    BudgetFleetFaults faults;
    faults.staleNodeCount = true;
    checkDefaults(faults);
}

TEST_CASE("retry budget fleet, all conditions of the specification together, use stays within the limit")
{
    BudgetFleetFaults faults;
    faults.unevenDemand = faults.partition = faults.fewerNodesSeen = true;
    faults.restart = faults.nestedCalls = faults.staleNodeCount = true;
    checkDefaults(faults);
}
