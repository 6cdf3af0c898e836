#include "platform/Names.h"
#include "src/http/HttpServer.h"
#include "src/http/ResponseFlow.h"
#include "tests/support/Mesh.h"
#include "tests/support/SlowCaller.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdlib>
#include <string>

using namespace waxwing;
using namespace waxwing::testing;

namespace {

constexpr std::size_t downloadBytes = 540UL * 1024;
constexpr std::size_t megabyte = 1024UL * 1024;
const std::string downloadPath = "/dates/bytes-" + std::to_string(downloadBytes);

/** Node 0 is the ingress of all callers, and reaches the server of node 1 over one link. */
MeshOptions twoNodes(bool enabled = true)
{
    MeshOptions options;
    options.services = {"front", "desk"};
    options.slots = 8;
    options.timeoutMs = 30000;
    options.flow = {{"nodeBytes", 8 * megabyte}, {"connectionBytes", megabyte}, {"stall", "4s"}};
    if (enabled) {
        options.contracts = {platform::names::slowReading};
    }
    return options;
}

/**
 * Limits the freed memory that AddressSanitizer keeps in each process started during the lifetime of this object to
 * 1 MB. By default it keeps up to 256 MB, which count in the peak memory. No effect without the sanitizer. Changes the
 * environment of this process, so no other thread may use it meanwhile.
 */
class SmallAsanQuarantine
{
public:
    SmallAsanQuarantine()
        : before_(std::getenv(variable) != nullptr ? std::getenv(variable) : "")
    {
        set(before_ + ":quarantine_size_mb=1");
    }
    ~SmallAsanQuarantine()
    {
        set(before_);
    }
    SmallAsanQuarantine(const SmallAsanQuarantine &) = delete;
    SmallAsanQuarantine &operator=(const SmallAsanQuarantine &) = delete;

private:
    static constexpr const char *variable = "ASAN_OPTIONS";

    static void set(const std::string &options)
    {
        setenv(variable, options.c_str(), 1);
    }

    std::string before_;
};

/** Sends @p count requests of a route with small responses through node 0 one after the other. Returns their durations,
 * shortest first. */
std::vector<Millis> timeSmallRequests(Mesh &mesh, const std::string &name, int count)
{
    std::vector<Millis> durations;
    for (int i = 0; i < count; ++i) {
        const auto start = std::chrono::steady_clock::now();
        const auto response = mesh.send(0, name + "-" + std::to_string(i), "/open/1", std::chrono::seconds(10));
        durations.push_back(millisOf(std::chrono::steady_clock::now() - start));
        CHECK(response);
        // The body of a refusal names its reason.
        INFO("response " << (response ? response->body.text() : "none"));
        CHECK((response ? response->status : 0) == 200);
    }
    std::sort(durations.begin(), durations.end());
    return durations;
}

/** Has the node learn how large the responses of the route are. */
void downloadOnce(Mesh &mesh)
{
    const auto response = mesh.send(0, "learn", downloadPath, std::chrono::seconds(20));
    REQUIRE(response);
    REQUIRE(response->body.size() == downloadBytes);
}

} // namespace

TEST_CASE("slow readers, 40 downloads beside others on one link, delay no other response and memory is bounded")
{
    // Guards against a node that is killed at its memory limit because each slow reader's response is held in memory,
    // and against small responses that wait for large ones.
    const SmallAsanQuarantine options;
    Mesh mesh(twoNodes());
    downloadOnce(mesh);
    const std::size_t before = mesh.node(0).memoryKilobytes("VmHWM");
    REQUIRE(before > 0);
    const std::vector<Millis> alone = timeSmallRequests(mesh, "alone", 30);
    constexpr int readers = 40;
    std::vector<std::unique_ptr<SlowCaller>> callers;
    for (int i = 0; i < readers; ++i) {
        const std::string id = "slow-" + std::to_string(i);
        callers.push_back(std::make_unique<SlowCaller>(mesh.callersOf(0), Mesh::requestText(id, downloadPath)));
    }
    std::vector<Millis> beside;
    std::vector<std::function<void()>> tasks;
    tasks.emplace_back([&] { beside = timeSmallRequests(mesh, "beside", 30); });
    for (const auto &caller : callers) {
        tasks.emplace_back([&caller] { caller->readAll(24UL * 1024, Millis(100), std::chrono::seconds(30)); });
    }
    runConcurrently(tasks);
    int complete = 0;
    int refused = 0;
    const std::map<std::string, int> executions = mesh.executions();
    for (int i = 0; i < readers; ++i) {
        const SlowCaller &caller = *callers[static_cast<std::size_t>(i)];
        if (caller.status() == 503) {
            ++refused;
            CHECK(executions.count("slow-" + std::to_string(i)) == 0);
            CHECK(caller.head().find("Retry-After") != std::string::npos);
        } else {
            CHECK(caller.status() == 200);
            CHECK(caller.isComplete());
            ++complete;
        }
    }
    MESSAGE("complete ", complete, ", refused ", refused, ", median alone ", alone[15].count(), " ms, beside ",
            beside[15].count(), " ms, slowest ", beside.back().count(), " ms");
    CHECK(complete >= 8);
    CHECK(refused >= 8);
    CHECK(beside[15] <= 2 * alone[15] + Millis(30));
    const std::size_t after = mesh.node(0).memoryKilobytes("VmHWM");
    MESSAGE("peak memory of the ingress before ", before, " kB, after ", after, " kB; of the home ",
            mesh.node(1).memoryKilobytes("VmHWM"), " kB");
    CHECK(after - before < 2 * 8 * 1024);
    CHECK(mesh.countLogLines(0, {"event=slow_reader "}) > 0);
}

TEST_CASE("slow readers, a caller that reads nothing, is closed with an incomplete response and its bytes are freed")
{
    MeshOptions options = twoNodes();
    options.flow = {{"nodeBytes", megabyte}, {"connectionBytes", 64 * 1024}, {"stall", "1s"}};
    Mesh mesh(options);
    downloadOnce(mesh);
    SlowCaller stalled(mesh.callersOf(0), Mesh::requestText("stalled", downloadPath));
    CHECK(eventually([&] { return mesh.countLogLines(0, {"event=slow_reader_closed", "reason=stall"}) == 1; }));
    stalled.readAll(downloadBytes, Millis(100), std::chrono::seconds(3));
    CHECK(stalled.ended());
    CHECK(!stalled.isComplete());
    // With the stalled response still counted, the next one would exceed the bound of 1 MB.
    const auto next = mesh.send(0, "next", downloadPath, std::chrono::seconds(5));
    REQUIRE(next);
    CHECK(next->status == 200);
    CHECK(next->body.size() == downloadBytes);
}

TEST_CASE("slow readers, a caller that reads a little at a time, is not closed")
{
    MeshOptions options = twoNodes();
    options.flow["stall"] = "3s";
    Mesh mesh(options);
    SlowCaller slow(mesh.callersOf(0), Mesh::requestText("slow", downloadPath));
    // Pauses shorter than the stall time, but together longer than it.
    for (int i = 0; i < 5; ++i) {
        sleepFor(loopContext(), Millis(900));
        REQUIRE(slow.read(100UL * 1024, Millis(900)));
    }
    slow.readAll(100UL * 1024, Millis(50), std::chrono::seconds(10));
    CHECK(slow.isComplete());
}

TEST_CASE("slow readers, not in the platform's contract, are served as before")
{
    Mesh mesh(twoNodes(false));
    downloadOnce(mesh);
    std::vector<std::unique_ptr<SlowCaller>> callers;
    for (int i = 0; i < 24; ++i) {
        const std::string id = "slow-" + std::to_string(i);
        callers.push_back(std::make_unique<SlowCaller>(mesh.callersOf(0), Mesh::requestText(id, downloadPath)));
    }
    sleepFor(loopContext(), Millis(4000));
    std::vector<std::function<void()>> tasks;
    tasks.reserve(maxTasks);
    for (const auto &caller : callers) {
        tasks.emplace_back([&caller] { caller->readAll(downloadBytes, Millis(50), std::chrono::seconds(20)); });
    }
    runConcurrently(tasks);
    for (const auto &caller : callers) {
        CHECK(caller->status() == 200);
        CHECK(caller->isComplete());
    }
    CHECK(mesh.countLogLines(0, {"event=slow_reader"}) == 0);
}

TEST_CASE("slow readers, pipelined requests with large responses, run together only within the connection's bound")
{
    // Guards against one connection that makes a node hold 16 large responses at once.
    const auto maxRunningWith = [](std::uint64_t connectionBytes) {
        constexpr std::size_t responseBytes = 40UL * 1024;
        constexpr int pipelined = 6;
        int running = 0;
        int maxRunning = 0;
        FlowSettings settings;
        settings.connectionBytes = connectionBytes;
        const SystemClock clock;
        const auto flow = std::make_shared<ResponseFlow>(
            settings, clock, ResponseFlow::Hooks{[](auto &&...) {}, [](auto &&...) {}, [](auto &&...) {}});
        const auto server = *HttpServer::MakeListening(loopContext(), "127.0.0.1", 0,
                                                       [&](const HttpRequest &, const CallerWatchPtr &watch) {
                                                           watch->reservation = flow->reserve("route", 0);
                                                           maxRunning = std::max(maxRunning, ++running);
                                                           pause(Millis(20));
                                                           --running;
                                                           HttpReply reply;
                                                           reply.response.body = std::string(responseBytes, 'x');
                                                           return reply;
                                                       });
        server->setFlow(flow);
        const std::string one = Mesh::requestText("1", "/");
        SlowCaller caller(Endpoint{"127.0.0.1", server->port()}, one);
        CHECK(caller.read(responseBytes, Millis(3000)));
        std::string many;
        for (int i = 0; i < pipelined; ++i) {
            many += one;
        }
        caller.write(many);
        CHECK(caller.read(pipelined * responseBytes, Millis(5000)));
        CHECK(eventually([&] { return flow->budget().reservedBytes() == 0; }));
        return maxRunning;
    };
    CHECK(maxRunningWith(64UL * 1024) == 1);
    CHECK(maxRunningWith(megabyte) == 6);
}

TEST_CASE("slow server, large request read slowly, delays no other request")
{
    MeshOptions options = twoNodes();
    options.serverProxies = true;
    Mesh mesh(options);
    timeSmallRequests(mesh, "warm", 10);
    mesh.setServerLinkFault(1, {{"toTarget", {{"bytesPerSecond", 30000}}}});
    const std::vector<Millis> alone = timeSmallRequests(mesh, "alone", 20);
    SlowCaller large(mesh.callersOf(0), Mesh::requestText("large", "/seats/1", std::string(95000, 'x')));
    sleepFor(loopContext(), Millis(200));
    const std::vector<Millis> beside = timeSmallRequests(mesh, "beside", 20);
    CHECK(large.received() == 0);
    MESSAGE("median alone ", alone[10].count(), " ms, beside ", beside[10].count(), " ms");
    CHECK(beside[10] <= 2 * alone[10] + Millis(30));
    large.readAll(4096, Millis(50), std::chrono::seconds(15));
    CHECK(large.status() == 200);
}

TEST_CASE("server memory, server that ends when its requests exceed its memory, does not end again under the same load")
{
    Mesh mesh(twoNodes());
    constexpr int uploads = 6;
    int round = 0;
    const auto uploadAll = [&] {
        ++round;
        std::vector<unsigned> statuses(uploads);
        std::vector<std::function<void()>> tasks;
        tasks.reserve(maxTasks);
        for (int i = 0; i < uploads; ++i) {
            tasks.emplace_back([&, i] {
                const std::string id = "upload-" + std::to_string(round) + "-" + std::to_string(i);
                const std::string body = id + std::string(90000, 'x');
                SlowCaller caller(mesh.callersOf(0), Mesh::requestText(id, "/seats/1", body));
                caller.readAll(4096, Millis(20), std::chrono::seconds(15));
                statuses[static_cast<std::size_t>(i)] = caller.status();
            });
        }
        runConcurrently(tasks);
        return statuses;
    };
    const nlohmann::json mode = {{"memoryBytes", 300000}, {"workMs", 300}};
    mesh.setServerMode(1, mode);
    uploadAll();
    REQUIRE(!mesh.server(1).running());
    CHECK(eventually([&] { return mesh.countLogLines(1, {"event=server_memory_learned"}) == 1; }));
    mesh.startServer(1);
    REQUIRE(eventually([&] {
        static int number = 0;
        const auto response = mesh.send(0, "back-" + std::to_string(++number), "/dates/1");
        return response && response->status == 200;
    }));
    mesh.setServerMode(1, mode);
    for (int i = 0; i < 3; ++i) {
        const std::vector<unsigned> statuses = uploadAll();
        CHECK(mesh.server(1).running());
        CHECK(std::count(statuses.begin(), statuses.end(), 200U) >= 2);
        // What did not run was refused, and no outcome is unknown.
        CHECK(std::count(statuses.begin(), statuses.end(), 200U) + std::count(statuses.begin(), statuses.end(), 503U)
              == uploads);
    }
}
