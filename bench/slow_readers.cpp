/**
 * Measures slow readers of 540 KB responses beside ordinary load at one ingress: bench-slow-readers [READERS [off]].
 * With "off", flow control is off. Prints the peak memory of the nodes, and the latency of the ordinary requests
 * without and with slow readers.
 */
#include "platform/Names.h"
#include "tests/support/Mesh.h"
#include "tests/support/SlowCaller.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

namespace {

using namespace waxwing;
using namespace waxwing::testing;

constexpr int defaultReaders = 500;
constexpr Millis phaseLength{10000};
/** Time until the slow readers hold what the bound allows. */
constexpr Millis settleTime{3000};
constexpr Millis requestInterval{10};
/** For a refusal without Retry-After. */
constexpr Millis defaultRetryAfter{2000};
/** Each slow reader reads about 100 KB/s. */
constexpr std::size_t bytesPerTick = 24UL * 1024;
constexpr Millis tick{250};
const std::string downloadPath = "/dates/bytes-" + std::to_string(540 * 1024);

struct Counts {
    int complete = 0;
    int refused = 0;
    int incomplete = 0;
};

struct Latency {
    std::vector<double> milliseconds;
    int failed = 0;

    double at(double share) const
    {
        const auto last = static_cast<double>(milliseconds.size() - 1);
        return milliseconds.empty() ? 0.0 : milliseconds[static_cast<std::size_t>(share * last)];
    }
};

/** Sends a small request each requestInterval through node 0, without waiting for earlier responses. */
Latency ordinaryLoad(Mesh &mesh, const std::string &name)
{
    const auto latency = std::make_shared<Latency>();
    const auto running = std::make_shared<int>(0);
    const auto until = std::chrono::steady_clock::now() + phaseLength;
    for (int i = 0; std::chrono::steady_clock::now() < until; ++i) {
        ++*running;
        spawnFiber([&mesh, latency, running, id = name + std::to_string(i)] {
            const auto start = std::chrono::steady_clock::now();
            const auto response = mesh.send(0, id, "/open/1");
            const Duration took = std::chrono::steady_clock::now() - start;
            latency->milliseconds.push_back(secondsOf(took) * 1000.0);
            latency->failed += response && response->status == 200 ? 0 : 1;
            --*running;
        });
        pause(requestInterval);
    }
    eventually([&] { return *running == 0; });
    std::sort(latency->milliseconds.begin(), latency->milliseconds.end());
    return *latency;
}

Millis retryAfter(const SlowCaller &caller)
{
    const std::string name = "Retry-After: ";
    const std::string head = caller.head();
    const std::size_t at = head.find(name);
    return at == std::string::npos ? defaultRetryAfter : millisOf(durationOf(std::stod(head.substr(at + name.size()))));
}

void readSlowly(const Mesh &mesh, int reader, SteadyTime until, Counts &counts)
{
    for (int i = 0; std::chrono::steady_clock::now() < until; ++i) {
        const std::string id = "slow-" + std::to_string(reader) + "-" + std::to_string(i);
        SlowCaller caller(mesh.callersOf(0), Mesh::requestText(id, downloadPath));
        caller.readAll(bytesPerTick, tick, millisOf(until - std::chrono::steady_clock::now()));
        constexpr unsigned unavailable = 503;
        if (caller.status() == unavailable) {
            ++counts.refused;
            pause(retryAfter(caller));
        } else if (caller.isComplete()) {
            ++counts.complete;
        } else if (caller.ended()) {
            ++counts.incomplete;
        }
    }
}

void print(const char *name, const Latency &latency)
{
    std::printf("| %s | %zu | %d | %.2f ms | %.2f ms |\n", name, latency.milliseconds.size(), latency.failed,
                latency.at(0.5), latency.at(0.99));
}

int run(int readers, bool enabled)
{
    MeshOptions options;
    options.services = {"front", "desk", "desk"};
    if (enabled) {
        options.contracts = {platform::names::slowReading};
    }
    options.slots = 11;
    options.timeoutMs = 10000;
    Mesh mesh(options);
    std::printf("resident before: ingress %zu kB, homes %zu and %zu kB\n", mesh.node(0).memoryKilobytes("VmRSS"),
                mesh.node(1).memoryKilobytes("VmRSS"), mesh.node(2).memoryKilobytes("VmRSS"));
    ordinaryLoad(mesh, "warm-");
    const Latency without = ordinaryLoad(mesh, "without-");
    Counts counts;
    int running = readers;
    const SteadyTime until = std::chrono::steady_clock::now() + settleTime + phaseLength;
    for (int i = 0; i < readers; ++i) {
        spawnFiber([&, i] {
            readSlowly(mesh, i, until, counts);
            --running;
        });
    }
    pause(settleTime);
    const Latency with = ordinaryLoad(mesh, "with-");
    eventually([&] { return running == 0; });
    std::puts("| ordinary requests | sent | failed | p50 | p99 |");
    std::puts("| --- | --- | --- | --- | --- |");
    print("without slow readers", without);
    print("with slow readers", with);
    std::printf("ratio of p99: %.2f\n", with.at(0.99) / std::max(without.at(0.99), 0.001));
    std::printf("%d slow readers: %d responses complete, %d refused, %d incomplete\n", readers, counts.complete,
                counts.refused, counts.incomplete);
    std::printf("peak resident: ingress %.1f MB, homes %.1f and %.1f MB\n",
                static_cast<double>(mesh.node(0).memoryKilobytes("VmHWM")) / 1024.0,
                static_cast<double>(mesh.node(1).memoryKilobytes("VmHWM")) / 1024.0,
                static_cast<double>(mesh.node(2).memoryKilobytes("VmHWM")) / 1024.0);
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    setUpLoop();
    const int readers = argc > 1 ? std::atoi(argv[1]) : defaultReaders;
    endProcess(run(readers, argc < 3 || std::string(argv[2]) != "off"));
}
