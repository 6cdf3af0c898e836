/**
 * What one node spends on control as the fleet grows: real processes on loopback, no callers. For each size it prints
 * processor time, memory, link bytes and object API calls, and how long changes take to be in force everywhere.
 * Run: bench-fleet [SIZE...]
 */
#include "tests/support/Fleet.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

namespace {

using namespace waxwing;
using namespace waxwing::testing;
using nlohmann::json;

constexpr Millis observed{10000};
constexpr int changes = 20;

struct Totals {
    double processor = 0;
    double sent = 0;
    double received = 0;
    double memory = 0;
    double calls = 0;
};

Totals totals(Fleet &fleet)
{
    Totals sum;
    for (int i = 0; i < fleet.plan().nodes; ++i) {
        const json status = fleet.view(i, "/v1/status");
        sum.processor += status.value("processorSeconds", 0.0);
        sum.sent += status.value("linkBytesSent", 0.0);
        sum.received += status.value("linkBytesReceived", 0.0);
        sum.memory += status.value("residentBytes", 0.0);
    }
    for (const json &count : fleet.apiStats()["calls"]) {
        sum.calls += count.get<double>();
    }
    return sum;
}

void measure(int nodes)
{
    Plan plan;
    plan.nodes = nodes;
    plan.serversPerNode = 2;
    plan.floor = "1 servers";
    Fleet fleet(plan);
    pause(Millis(3000));
    const Totals before = totals(fleet);
    pause(observed);
    const Totals after = totals(fleet);
    const double seconds = std::chrono::duration<double>(observed).count();
    const double each = 1.0 / nodes;
    std::printf("idle %3d nodes  processor %.4f%% of a core  memory %.1f MB  links out %.0f in %.0f B/s a node  "
                "object API %.2f calls/s in all\n",
                nodes, 100.0 * (after.processor - before.processor) / seconds * each, after.memory * each / 1e6,
                (after.sent - before.sent) / seconds * each, (after.received - before.received) / seconds * each,
                (after.calls - before.calls) / seconds);
    std::vector<double> times;
    const Totals beforeChanges = totals(fleet);
    for (int i = 0; i < changes; ++i) {
        std::string output;
        const int code =
            fleet.ctl({"apply", fleet.intentsFile(std::to_string(301 + i) + "ms"), "--wait", "--json"}, &output);
        const json result = json::parse(output, nullptr, false);
        if (code == 0 && result.is_object()) {
            times.push_back(result.value("inForceAfterMs", 0.0));
        }
    }
    const Totals afterChanges = totals(fleet);
    std::sort(times.begin(), times.end());
    if (!times.empty()) {
        std::printf(
            "     %3d nodes  %zu of %d changes in force everywhere: median %.0f ms  worst %.0f ms  bytes a change and "
            "node: out %.0f\n",
            nodes, times.size(), changes, times[times.size() / 2], times.back(),
            (afterChanges.sent - beforeChanges.sent) * each / changes);
    }
    std::fflush(stdout);
}

} // namespace

int main(int argc, char **argv)
{
    setUpLoop();
    std::vector<int> sizes;
    for (int i = 1; i < argc; ++i) {
        sizes.push_back(std::atoi(argv[i]));
    }
    if (sizes.empty()) {
        sizes = {3, 6, 12, 24, 36};
    }
    for (const int size : sizes) {
        measure(size);
    }
    std::_Exit(0);
}
