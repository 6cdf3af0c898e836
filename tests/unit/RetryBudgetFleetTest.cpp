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

/** The settings of all nodes. */
struct UsableFractions {
    double share = FleetRetryTuning().usableShare;
    double slack = FleetRetryTuning().usableSlack;
};

constexpr UsableFractions wholeLimit{1.0, 1.0};

/** With the first the slack is most of the limit, with the last the share of requests; many requests vary little. */
const std::vector<Load> loads = {{8.0, {1, 2}}, {60.0, {1, 2}}, {1500.0, {1}}};

/** Returns the largest use over all loads and both values of the slack. */
double largestUse(std::size_t nodes, const BudgetFleetFaults &faults, const UsableFractions &usable)
{
    double largest = 0.0;
    for (const Load &load : loads) {
        for (const double slack : {50.0, 200.0}) {
            for (const std::uint32_t seed : load.seeds) {
                BudgetFleetCase fleet{nodes, load.requestsPerSecond, {}, faults, seed};
                fleet.tuning.slack = slack;
                fleet.tuning.usableShare = usable.share;
                fleet.tuning.usableSlack = usable.slack;
                largest = std::max(largest, largestBudgetUse(fleet));
            }
        }
    }
    return largest;
}

BudgetFleetFaults faultsOf(const std::vector<bool BudgetFleetFaults::*> &conditions)
{
    BudgetFleetFaults faults;
    for (const auto condition : conditions) {
        faults.*condition = true;
    }
    return faults;
}

void checkDefaults(const BudgetFleetFaults &faults)
{
    for (const std::size_t nodes : {24, 102, 300}) {
        const double use = largestUse(nodes, faults, UsableFractions());
        MESSAGE(nodes << " nodes: " << use << " of the limit, " << largestUse(nodes, faults, wholeLimit) << " at 1.0");
        CHECK(use <= 1.0);
    }
}

/** The conditions, one after another, under which docs/design/overload.md calls @p usable safe. */
void checkSafe(const UsableFractions &usable, const std::vector<bool BudgetFleetFaults::*> &conditions)
{
    constexpr double safeUse = 0.95;
    for (const std::size_t nodes : {24, 102, 300}) {
        CHECK(largestUse(nodes, {}, usable) <= safeUse);
        for (std::size_t i = 0; i < conditions.size(); ++i) {
            BudgetFleetFaults faults;
            faults.*conditions[i] = true;
            faults.partition = faults.partition || faults.fewerNodesSeen;
            INFO(nodes << " nodes, condition " << i);
            CHECK(largestUse(nodes, faults, usable) <= safeUse);
        }
    }
}

} // namespace

// The following cases guard against more retries than the rule allows the whole fleet in a window of 10 s; this one
// against nodes whose own parts add up to more than the limit.
TEST_CASE("retry budget fleet, all servers shed load, use stays within the limit")
{
    checkDefaults({});
}

// Guards against transfers between idle and busy nodes that create tokens.
TEST_CASE("retry budget fleet, uneven demand, use stays within the limit")
{
    checkDefaults(faultsOf({&BudgetFleetFaults::unevenDemand}));
}

// Guards against tokens that other nodes earn anew for the requests of nodes that have spent theirs.
TEST_CASE("retry budget fleet, demand moves between nodes, use stays within the limit")
{
    checkDefaults(faultsOf({&BudgetFleetFaults::movingDemand}));
}

// Guards against tokens of many requests that are spent when few requests come.
TEST_CASE("retry budget fleet, demand falls, use stays within the limit")
{
    checkDefaults(faultsOf({&BudgetFleetFaults::fallingDemand}));
}

// Guards against halves of the fleet that together exceed the limit, although each node counts all nodes.
TEST_CASE("retry budget fleet, partition with the registry's node count, use stays within the limit")
{
    checkDefaults(faultsOf({&BudgetFleetFaults::partition}));
}

// Guards against halves that each use the whole slack.
TEST_CASE("retry budget fleet, partition in which each node counts its half, use stays within the limit")
{
    checkDefaults(faultsOf({&BudgetFleetFaults::partition, &BudgetFleetFaults::fewerNodesSeen}));
}

// Guards against restarted nodes that spend again what they have spent before.
TEST_CASE("retry budget fleet, half of the nodes killed and restarted, use stays within the limit")
{
    checkDefaults(faultsOf({&BudgetFleetFaults::restart}));
}

// Guards against retried runs whose nested calls cost more than was spent for them.
TEST_CASE("retry budget fleet, nested calls of unknown number, use stays within the limit")
{
    checkDefaults(faultsOf({&BudgetFleetFaults::nestedCalls}));
}

// Guards against nodes that divide the slack by too small a number of nodes.
TEST_CASE("retry budget fleet, node counts out of date, use stays within the limit")
{
    checkDefaults(faultsOf({&BudgetFleetFaults::staleNodeCount}));
}

// Guards against conditions that exceed the limit only together.
TEST_CASE("retry budget fleet, all conditions of the specification together, use stays within the limit")
{
    checkDefaults(
        faultsOf({&BudgetFleetFaults::unevenDemand, &BudgetFleetFaults::partition, &BudgetFleetFaults::fewerNodesSeen,
                  &BudgetFleetFaults::restart, &BudgetFleetFaults::nestedCalls, &BudgetFleetFaults::staleNodeCount}));
}

// The following cases guard against fractions that the documents call safe and with which the fleet exceeds its limit.
TEST_CASE("retry budget fleet, fractions for steady fleets, are safe in partitions and with uneven or falling demand")
{
    checkSafe({0.85, 0.85},
              {&BudgetFleetFaults::unevenDemand, &BudgetFleetFaults::fallingDemand, &BudgetFleetFaults::partition});
}

// Guards against fractions that are safe only as long as no node restarts and all node counts are current.
TEST_CASE("retry budget fleet, fractions for restarts, are safe with stale node counts too")
{
    checkSafe({0.65, 0.65}, {&BudgetFleetFaults::unevenDemand, &BudgetFleetFaults::partition,
                             &BudgetFleetFaults::restart, &BudgetFleetFaults::staleNodeCount});
}

// Guards against fractions that are not safe with nested calls or moving demand.
TEST_CASE("retry budget fleet, fractions for nested calls, are safe in each condition")
{
    checkSafe({0.5, 0.3},
              {&BudgetFleetFaults::unevenDemand, &BudgetFleetFaults::movingDemand, &BudgetFleetFaults::fallingDemand,
               &BudgetFleetFaults::partition, &BudgetFleetFaults::fewerNodesSeen, &BudgetFleetFaults::restart,
               &BudgetFleetFaults::nestedCalls, &BudgetFleetFaults::staleNodeCount});
}
