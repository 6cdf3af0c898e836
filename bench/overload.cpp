/**
 * Measures queue limits, early refusal and the limit on the slots of one class at one home: goodput at 0.8 to 3 times
 * its capacity against a baseline without early refusal and with practically unbounded queues, and response times of a
 * fast class beside a slow class.
 */
#include "tests/support/HomeRig.h"

#include <algorithm>
#include <cstdio>

namespace {

using namespace waxwing;
using namespace waxwing::testing;

constexpr std::chrono::seconds length{120};

double p99(std::vector<double> values)
{
    if (values.empty()) {
        return -1.0;
    }
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(0.99 * static_cast<double>(values.size() - 1))];
}

RigOptions overloadOptions(double loadFactor, bool limits)
{
    RigOptions options;
    options.servers = 4;
    options.work = Millis(50);
    options.responseTime = Millis(600);
    options.deadline = Millis(600);
    options.floor = CapacityFloor{4, 0.0};
    // The capacity is 200 requests per second: 12 slots at a mean of 60 ms per request.
    options.rate = 200.0 * loadFactor;
    options.refuseEarly = limits;
    options.queuePerClass = limits ? 64 : 1000000;
    return options;
}

void measureGoodput(double loadFactor, bool limits)
{
    HomeRig rig(overloadOptions(loadFactor, limits));
    rig.runUntil(length);
    const double seconds = secondsOf(length);
    std::printf("load %.1fx  %-22s good %6.1f/s  late or timed out %6.1f/s  refused at once %6.1f/s  p99 %6.1f ms\n",
                loadFactor, limits ? "limits" : "baseline (no limits)", static_cast<double>(rig.good) / seconds,
                static_cast<double>(rig.late + rig.failed) / seconds, static_cast<double>(rig.refused) / seconds,
                p99(rig.readMs));
}

void measureBesideSlowClass(double share, double slowShare)
{
    RigOptions options;
    options.servers = 4;
    options.work = Millis(20);
    options.otherWork = Millis(1500);
    options.responseTime = Millis(300);
    options.deadline = Millis(4000);
    options.floor = CapacityFloor{4, 0.0};
    options.rate = 100.0;
    options.idempotentShare = 1.0 - slowShare;
    options.slowClassShare = share;
    HomeRig rig(options);
    rig.runUntil(length);
    std::printf("slow class %2.0f%% of requests  share of slots %3.0f%%  fast class: answered %6.1f/s  p99 %7.1f ms\n",
                slowShare * 100, share * 100, static_cast<double>(rig.readMs.size()) / 120.0, p99(rig.readMs));
}

} // namespace

int main()
{
    for (const double loadFactor : {0.8, 1.0, 2.0, 3.0}) {
        measureGoodput(loadFactor, false);
        measureGoodput(loadFactor, true);
    }
    for (const double slowShare : {0.0, 0.05, 0.1, 0.2}) {
        for (const double share : {1.0, 0.75, 0.5}) {
            measureBesideSlowClass(share, slowShare);
        }
    }
    return 0;
}
