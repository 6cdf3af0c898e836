/**
 * Compares ways to keep a customer within its quota over all nodes, without a network: bench-quota [SEEDS]. For each
 * load it prints the worst overrun, the share of owed requests that was refused, the added delay and the messages a
 * request. The loads name what they stand for.
 */
#include "tests/support/QuotaFleetModel.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

namespace {

using namespace waxwing;
using namespace waxwing::testing;

struct NamedLoad {
    std::string name;
    QuotaFleetLoad load;
};

std::vector<NamedLoad> loadsFor(int nodes, const QuotaLimit &limit)
{
    QuotaFleetLoad usual;
    usual.nodes = nodes;
    usual.limit = limit;
    usual.requestsPerSecond = limit.ratePerSecond / 1.6;
    QuotaFleetLoad hot = usual;
    hot.hotFactor = 7.5;
    hot.hotFrom = Millis(3000);
    hot.hotUntil = Millis(9500);
    QuotaFleetLoad oneNode = usual;
    oneNode.usedNodes = 1;
    QuotaFleetLoad split = hot;
    split.cutShare = 0.5;
    split.cutFrom = Millis(2000);
    split.cutUntil = Millis(7500);
    QuotaFleetLoad few = split;
    few.cutShare = 0.17;
    QuotaFleetLoad killed = hot;
    killed.counterKills = {Millis(4000), Millis(5500)};
    QuotaFleetLoad halved = hot;
    halved.laterLimit = QuotaLimit{limit.ratePerSecond / 2, limit.burst / 2};
    halved.laterLimitFrom = Millis(5000);
    QuotaFleetLoad over = usual;
    over.requestsPerSecond = 2.0 * limit.ratePerSecond;
    return {{"usual", usual},
            {"steadily twice the limit", over},
            {"hot everywhere", hot},
            {"all at one node", oneNode},
            {"hot, halves", split},
            {"hot, 17% cut off", few},
            {"hot, counter killed twice", killed},
            {"hot, limit halved", halved}};
}

void print(const char *policyName, QuotaPolicy policy, const NamedLoad &named, int seeds)
{
    double overrun = -1e9;
    double refused = 0.0;
    Millis median{0};
    Millis p99{0};
    double inRegion = 0.0;
    double between = 0.0;
    double requests = 0.0;
    for (int seed = 1; seed <= seeds; ++seed) {
        const QuotaFleetOutcome one = QuotaFleetModel(named.load, policy, static_cast<std::uint32_t>(seed)).run();
        overrun = std::max(overrun, one.worstOverrun);
        refused += one.refusedOwedShare() / seeds;
        median = std::max(median, one.medianDelay);
        p99 = std::max(p99, one.p99Delay);
        inRegion += one.messagesInRegion;
        between += one.messagesBetweenRegions;
        requests += one.requests;
    }
    std::printf("| %s | %d | %.0f | %s | %.0f | %.4f | %lld | %lld | %.2f | %.2f |\n", named.name.c_str(),
                named.load.nodes, named.load.limit.ratePerSecond, policyName, overrun, refused,
                static_cast<long long>(median.count()), static_cast<long long>(p99.count()), inRegion / requests,
                between / requests);
}

} // namespace

int main(int argc, char **argv)
{
    const int seeds = argc > 1 ? std::max(1, std::atoi(argv[1])) : 5;
    std::puts(
        "| load | nodes | rate/s | way | worst overrun | owed refused | added p50 ms | added p99 ms | messages in "
        "region | between regions |");
    std::puts("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    const std::vector<std::pair<int, QuotaLimit>> fleets = {
        {102, QuotaLimit{136.0, 136.0}}, {102, QuotaLimit{16.0, 16.0}}, {2600, QuotaLimit{136.0, 136.0}}};
    {
        for (const auto &[nodes, limit] : fleets) {
            for (const NamedLoad &named : loadsFor(nodes, limit)) {
                print("region counters", QuotaPolicy::RegionCounters, named, seeds);
                print("equal shares", QuotaPolicy::EqualShares, named, seeds);
                print("central grants", QuotaPolicy::CentralGrants, named, seeds);
            }
        }
    }
    return 0;
}
