#include "platform/Names.h"
#include "platform/ObjectApi.h"
#include "src/fiber/FiberLoop.h"
#include "src/node/NodeCore.h"
#include "src/sidecar/home/NestedCalls.h"
#include "src/sidecar/home/ServerPresence.h"
#include "src/sidecar/home/SlotScheduler.h"
#include "tests/support/ScriptedServer.h"

#include <boost/fiber/operations.hpp>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <optional>

using namespace waxwing;
using namespace waxwing::testing;
using nlohmann::json;

namespace {

namespace names = platform::names;
constexpr unsigned unavailable = 503;

/** The store's objects, behind its protocol. */
class SmallStore
{
public:
    std::string respond(const HttpRequest &request)
    {
        ++calls_[request.method];
        if (refuses) {
            return responseText(unavailable, {}, "{}");
        }
        const std::size_t named = request.target.find('/', std::string(names::objects).size());
        const json body = json::parse(request.body, nullptr, false);
        const std::string name = request.method == "POST" ? body.at("metadata").at("name").get<std::string>()
                                                          : request.target.substr(named + 1);
        const auto found = objects_.find(name);
        if (request.method == "GET") {
            return found == objects_.end() ? responseText(404, {}, "{}") : responseText(200, {}, found->second.dump());
        }
        const std::uint64_t stored =
            found == objects_.end() ? 0 : found->second["metadata"]["rev"].get<std::uint64_t>();
        if (body["metadata"].value("rev", std::uint64_t(0)) != stored) {
            return responseText(409, {}, found == objects_.end() ? "{}" : found->second.dump());
        }
        objects_[name] = json{{"metadata", {{"name", name}, {"rev", ++revision_}}}, {"spec", body["spec"]}};
        return responseText(200, {}, objects_[name].dump());
    }

    int writes() const
    {
        int out = 0;
        for (const char *method : {"POST", "PUT"}) {
            const auto found = calls_.find(method);
            out += found == calls_.end() ? 0 : found->second;
        }
        return out;
    }
    int reads() const
    {
        const auto found = calls_.find("GET");
        return found == calls_.end() ? 0 : found->second;
    }

    bool refuses = false;

private:
    std::map<std::string, json> objects_;
    std::map<std::string, int> calls_;
    std::uint64_t revision_ = 4;
};

/** One process of a node, as far as it deals with the server beside it. */
struct NodeProcess {
    NodeProcess(boost::asio::io_context &ioContext, const NodeSettings &settings, std::uint64_t incarnation)
        : core(ioContext, clock, settings, incarnation, incarnation)
        , store(core.client, settings.objectApi)
        , nestedCalls(core, queue)
        , scheduler(core, queue, nestedCalls)
        , presence(core, scheduler)
    {
        REQUIRE(core.kernel.provide("platform", store));
        presence.start();
    }

    SystemClock clock;
    NodeCore core;
    ObjectApi store;
    SlotQueue queue;
    NestedCalls nestedCalls;
    SlotScheduler scheduler;
    ServerPresence presence;
};

/** A node that is killed and started again, the server beside it, and the store. */
class RestartedNode
{
    /** Passes of the loop without work after which no fiber is about to start any. */
    static constexpr int minIdlePasses = 3;

protected:
    RestartedNode()
        : server_(std::make_unique<ScriptedServer>(
            ioContext_,
            [this](ScriptedServer::Connection &, const HttpRequest &request) { return store_.respond(request); }))
    {
        settings_.node = "n1";
        settings_.objectApi = Endpoint{"127.0.0.1", server_->port()};
        settings_.server = LocalServer{"desk", Endpoint{"127.0.0.1", 8080}};
    }
    ~RestartedNode()
    {
        // A fiber that still waits at the end of a test would keep its thread from ending.
        kill();
        server_.reset();
        int idlePasses = 0;
        runUntil([&] {
            idlePasses = ioContext_.stopped() ? idlePasses + 1 : 0;
            return idlePasses == minIdlePasses;
        });
    }

    void start()
    {
        processes_.push_back(std::make_unique<NodeProcess>(ioContext_, settings_, processes_.size() + 1));
    }
    void kill()
    {
        for (const auto &process : processes_) {
            process->core.stopping = true;
        }
    }
    bool runUntil(const std::function<bool()> &isDone, Millis limit = std::chrono::seconds(5))
    {
        const auto end = std::chrono::steady_clock::now() + limit;
        while (!isDone() && std::chrono::steady_clock::now() < end) {
            ioContext_.restart();
            ioContext_.run_for(Millis(1));
            boost::this_fiber::yield();
        }
        return isDone();
    }
    /** Lets the present process read what an earlier one stored. */
    void awaitRead()
    {
        const int before = store_.reads();
        REQUIRE(runUntil([&] { return store_.reads() > before; }));
        runUntil([] { return false; }, Millis(20));
    }
    unsigned call(const std::string &name, const json &body)
    {
        std::optional<HttpResponse> response;
        spawnFiber([&] {
            response = processes_.back()->presence.handleCall(
                HttpRequest{"POST", std::string(names::serverCalls) + "i1/" + name, {}, body.dump()});
        });
        REQUIRE(runUntil([&] { return response.has_value(); }));
        return response->status;
    }
    unsigned heartbeat(std::uint64_t sequence, const std::string &state = "ready")
    {
        return call(names::heartbeatCall, json{{"service", "desk"},
                                               {"address", "127.0.0.1:8080"},
                                               {"zone", "z"},
                                               {"version", "v1"},
                                               {"slots", 3},
                                               {"state", state},
                                               {"sequence", sequence},
                                               {"born", 100}});
    }
    unsigned deregister()
    {
        return call(names::leaveCall, json{{"born", 100}});
    }
    bool serves() const
    {
        return processes_.back()->presence.serving() != nullptr;
    }

    boost::asio::io_context ioContext_;
    SmallStore store_;
    std::unique_ptr<ScriptedServer> server_;
    NodeSettings settings_;
    std::vector<std::unique_ptr<NodeProcess>> processes_;
};

} // namespace

// Guards against requests to a leaving server after its node was killed: a late heartbeat put it back into service.
TEST_CASE_FIXTURE(RestartedNode, "server departure, node killed after it acknowledged it, late heartbeat is ignored")
{
    start();
    awaitRead();
    SUBCASE("deregistration")
    {
        REQUIRE(heartbeat(1) == 200);
        REQUIRE(serves());
        REQUIRE(deregister() == 200);
    }
    SUBCASE("draining")
    {
        REQUIRE(heartbeat(1) == 200);
        REQUIRE(heartbeat(3, "draining") == 200);
    }
    SUBCASE("deregistration is the first call of the server")
    {
        REQUIRE(deregister() == 200);
    }
    CHECK(store_.writes() == 1);
    kill();
    start();
    CHECK(heartbeat(2) == 200);
    awaitRead();
    CHECK_FALSE(serves());
    CHECK(heartbeat(2) == 409);
    CHECK_FALSE(serves());
}

// Guards against an acknowledgement that the next process of the node can't keep.
TEST_CASE_FIXTURE(RestartedNode, "server departure, store refuses, takes effect and is acknowledged once it is stored")
{
    start();
    awaitRead();
    REQUIRE(heartbeat(1) == 200);
    store_.refuses = true;
    CHECK(heartbeat(2, "draining") == 503);
    CHECK_FALSE(serves());
    store_.refuses = false;
    CHECK(runUntil([&] { return heartbeat(3, "draining") == 200; }));
    kill();
    start();
    awaitRead();
    CHECK(heartbeat(1) == 409);
    CHECK_FALSE(serves());
}

// Guards against a node that gives its server no work as long as the store is away.
TEST_CASE_FIXTURE(RestartedNode,
                  "server departure, store refuses when the node starts, second heartbeat puts it in service")
{
    store_.refuses = true;
    start();
    CHECK(heartbeat(1) == 200);
    CHECK_FALSE(serves());
    CHECK(heartbeat(2) == 200);
    CHECK(serves());
}
