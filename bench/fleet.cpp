/**
 * Measures the control overhead of one node as the fleet grows: real processes on loopback, no callers. For each size
 * it prints processor time, memory, link bytes and object API calls, and the time until changed intents are in force at
 * all nodes.
 *
 * Run: bench-fleet [NODES or NODESxSERVERS ...]
 *      bench-fleet load NODES RATE...    open-loop load of RATE requests/s, directly and then through the fleet
 *      bench-fleet ticket NODES RATE...  the same with a ticket for each write
 *      bench-fleet kill                  share of new work that is not served after one node of three is killed
 */
#include "tests/support/Fleet.h"
#include "src/fiber/FiberLoop.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

namespace {

using namespace waxwing;
using namespace waxwing::testing;
using nlohmann::json;

constexpr Millis observationTime{10000};
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
    for (int i = 0; i < fleet.options().nodes; ++i) {
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

std::string joined(const std::vector<std::string> &parts)
{
    std::string out;
    for (const std::string &part : parts) {
        out += (out.empty() ? "" : ",") + part;
    }
    return out;
}

/** Runs open-loop load on twelve servers, directly and through the fleet. @pre @p nodes divides 12. */
void measureLoad(int nodes, const std::vector<std::string> &rates, bool ticket)
{
    FleetOptions options;
    options.nodes = nodes;
    options.serversPerNode = 12 / nodes;
    options.slots = 64;
    options.workMs = 2;
    Fleet fleet(options);
    pause(Millis(1000));
    std::vector<std::string> callers;
    std::vector<std::string> operators;
    std::vector<std::string> servers;
    for (int i = 0; i < options.nodes; ++i) {
        callers.push_back(fleet.callers(i).text());
        operators.push_back(fleet.operators(i).text());
    }
    for (const std::string &name : fleet.serverNames()) {
        servers.push_back("127.0.0.1:" + std::to_string(fleet.server(name).waitForPrintedNumber("port")));
    }
    for (const std::string &rate : rates) {
        std::vector<std::string> arguments = {
            "--fleet",     joined(callers), "--direct", joined(servers), "--operators", joined(operators), "--service",
            "course-desk", "--rate",        rate,       "--seconds",     "6",           "--write-share",   "0.1"};
        if (ticket) {
            arguments.emplace_back("--ticket");
        }
        Process load("waxwing-load", arguments, fleet.directory() + "/load.log");
        load.waitForExit(std::chrono::seconds(60));
        std::printf("== %s requests/s over %d nodes%s\n%s", rate.c_str(), nodes, ticket ? ", tickets" : "",
                    load.output().c_str());
        std::fflush(stdout);
    }
}

/**
 * Measures how many new bookings are not served after a node is killed. Each booking has a ticket of the node that it
 * is sent to; a caller that gets no ticket from its node uses another node.
 */
void measureKill()
{
    constexpr int clients = 60;
    constexpr Millis gap{20};
    constexpr Millis bucket{250};
    constexpr Millis killAfter{2000};
    constexpr Millis length{8000};
    Fleet fleet;
    std::map<long, std::pair<int, int>> buckets;
    std::map<std::string, int> reasons;
    const auto start = std::chrono::steady_clock::now();
    const auto elapsed = [&] { return millisOf(std::chrono::steady_clock::now() - start); };
    std::vector<std::function<void()>> tasks;
    tasks.reserve(clients + 1);
    for (int client = 0; client < clients; ++client) {
        tasks.emplace_back([&, client] {
            for (int i = 0; elapsed() < length; ++i) {
                const Millis began = elapsed();
                int node = client % 3;
                std::string ticket = fleet.ticket(node);
                for (int tried = 0; ticket.empty() && tried < 2; ++tried) {
                    node = (node + 1) % 3;
                    ticket = fleet.ticket(node);
                }
                const std::string id = std::to_string(client) + "-" + std::to_string(i);
                const CallResult result = fleet.book(node, id, ticket);
                auto &counts = buckets[began / bucket];
                ++counts.first;
                counts.second += result.outcome == "ran" ? 0 : 1;
                if (result.outcome != "ran") {
                    ++reasons[result.outcome + "/" + result.reason];
                }
                pause(gap);
            }
        });
    }
    tasks.emplace_back([&] {
        pause(killAfter);
        fleet.node(1).kill();
    });
    runConcurrently(tasks);
    for (const auto &[slice, counts] : buckets) {
        if (counts.second > 0) {
            std::printf("at %+5ld ms: %d of %d not served\n", slice * bucket.count() - killAfter.count(), counts.second,
                        counts.first);
        }
    }
    for (const auto &[reason, count] : reasons) {
        std::printf("%s %d\n", reason.c_str(), count);
    }
}

void measure(int nodes, int serversPerNode)
{
    FleetOptions options;
    options.nodes = nodes;
    options.serversPerNode = serversPerNode;
    options.floor = "1 servers";
    Fleet fleet(options);
    pause(Millis(3000));
    const Totals before = totals(fleet);
    pause(observationTime);
    const Totals after = totals(fleet);
    const double seconds = secondsOf(observationTime);
    const double perNode = 1.0 / nodes;
    std::printf(
        "idle %3d nodes x %d servers  processor %.4f%% of a core  memory %.1f MB  links out %.0f in %.0f B/s a node  "
        "object API %.2f calls/s in all\n",
        nodes, serversPerNode, 100.0 * (after.processor - before.processor) / seconds * perNode,
        after.memory * perNode / 1e6, (after.sent - before.sent) / seconds * perNode,
        (after.received - before.received) / seconds * perNode, (after.calls - before.calls) / seconds);
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
            (afterChanges.sent - beforeChanges.sent) * perNode / changes);
    }
    std::fflush(stdout);
}

} // namespace

int main(int argc, char **argv)
{
    setUpLoop();
    std::vector<std::string> arguments(argv + 1, argv + argc);
    const bool load = arguments.size() > 2 && (arguments.front() == "load" || arguments.front() == "ticket");
    if (load) {
        measureLoad(std::atoi(arguments[1].c_str()), {arguments.begin() + 2, arguments.end()},
                    arguments.front() == "ticket");
        endProcess(0);
    }
    if (!arguments.empty() && arguments.front() == "kill") {
        measureKill();
        endProcess(0);
    }
    if (arguments.empty()) {
        arguments = {"3", "6", "12", "24", "36"};
    }
    for (const std::string &argument : arguments) {
        const std::size_t cross = argument.find('x');
        measure(std::atoi(argument.c_str()), cross == std::string::npos ? 2 : std::atoi(argument.c_str() + cross + 1));
    }
    endProcess(0);
}
