#include "platform/Names.h"
#include "tests/support/Mesh.h"

#include <csignal>
#include <doctest/doctest.h>

#include <algorithm>

using namespace waxwing;
using namespace waxwing::testing;

namespace {

constexpr int nodes = 24;
constexpr Millis callerInterval{50};
constexpr Millis loadBeforeKill{1500};
constexpr Millis loadAfterKill{2000};
constexpr Millis restartBound{1000};

/** A request of the load and its result. */
struct Sample {
    std::string id;
    int node = 0;
    bool idempotent = false;
    SteadyTime sentAt;
    SteadyTime endedAt;
    unsigned status = 0;
};

/** Numbers of the requests that a kill of half of the nodes affects, by kind; see docs/design/mass-failure.md. */
struct Losses {
    int ingressKilled = 0;
    int noConnection = 0;
    int atSurvivors = 0;
    int idempotentLost = 0;
    /** Not idempotent, not served, and no server has run it. */
    int notIdempotentNotRun = 0;
    /** Not idempotent, not served, and a server has run it: the response died with the home. */
    int notIdempotentRun = 0;
    /** Answered 429 or 503, not run: there was no room. */
    int noRoom = 0;
    Millis longestIdempotent{0};
};

MeshOptions massOptions(int slots)
{
    MeshOptions options;
    options.services.clear();
    // Nodes without a server for the load send all of it to others.
    for (int node = 0; node < nodes; ++node) {
        options.services.emplace_back(node % 4 < 2 ? "desk" : "other");
    }
    options.slots = slots;
    options.workMs = 200;
    // As in the deployments; requests with a shorter objective wait in the queue of a home and die with it.
    options.objectiveMs = 2500;
    options.budgetSlack = 156;
    return options;
}

class MassFailure
{
protected:
    explicit MassFailure(int slots = 12)
        : mesh_(massOptions(slots))
    { }

    static bool isKilled(int node)
    {
        return node % 2 == 0;
    }

    /** Returns the number of callers of each kind of request at @p node. Most are where all work goes to other nodes.
     */
    static int callersAt(int node)
    {
        return node % 4 == 3 ? 4 : 1;
    }

    void callUntil(int node, bool idempotent, SteadyTime end)
    {
        // Callers that start together would all pause at the moment of the kill.
        pause(Millis((++started_ * 37) % 250));
        while (std::chrono::steady_clock::now() < end) {
            Sample sample;
            sample.id = "load-" + std::to_string(++sent_);
            sample.node = node;
            sample.idempotent = idempotent;
            sample.sentAt = std::chrono::steady_clock::now();
            const auto response = mesh_.send(node, sample.id, idempotent ? "/dates/1" : "/seats/1");
            sample.endedAt = std::chrono::steady_clock::now();
            sample.status = response ? response->status : 0;
            samples_.push_back(sample);
            pause(callerInterval);
        }
    }

    /** Kills the nodes before it waits for any of them: a retry must not meet a home that is killed just after it. */
    void killHalf()
    {
        for (int node = 0; node < nodes; ++node) {
            if (isKilled(node)) {
                mesh_.node(node).signal(SIGKILL);
            }
        }
        killedAt_ = std::chrono::steady_clock::now();
        for (int node = 0; node < nodes; ++node) {
            if (isKilled(node)) {
                mesh_.node(node).kill();
            }
        }
    }

    void runLoad()
    {
        const SteadyTime end = std::chrono::steady_clock::now() + loadBeforeKill + loadAfterKill;
        std::vector<std::function<void()>> tasks;
        tasks.reserve(maxTasks);
        for (int node = 0; node < nodes; ++node) {
            for (int caller = 0; caller < 2 * callersAt(node); ++caller) {
                tasks.emplace_back([this, node, caller, end] { callUntil(node, caller % 2 == 0, end); });
            }
        }
        tasks.emplace_back([this] {
            pause(loadBeforeKill);
            killHalf();
        });
        runConcurrently(tasks);
    }

    Losses classify() const
    {
        const std::map<std::string, int> executions = mesh_.executions();
        Losses out;
        for (const Sample &sample : samples_) {
            if (sample.endedAt < killedAt_) {
                continue;
            }
            if (isKilled(sample.node)) {
                (sample.sentAt < killedAt_ ? out.ingressKilled : out.noConnection) += sample.status == 0 ? 1 : 0;
                continue;
            }
            ++out.atSurvivors;
            if (sample.idempotent) {
                const auto took = std::chrono::duration_cast<Millis>(sample.endedAt - sample.sentAt);
                out.longestIdempotent = std::max(out.longestIdempotent, took);
            }
            if (sample.status == 200) {
                continue;
            }
            if (sample.status == 503 || sample.status == 429) {
                ++out.noRoom;
                continue;
            }
            if (sample.idempotent) {
                ++out.idempotentLost;
            } else {
                ++(executions.count(sample.id) > 0 ? out.notIdempotentRun : out.notIdempotentNotRun);
            }
        }
        return out;
    }

    void report(const Losses &losses) const
    {
        MESSAGE("at survivors ", losses.atSurvivors, ", (a) ingress killed ", losses.ingressKilled,
                ", (b, e) idempotent not served ", losses.idempotentLost, ", longest idempotent ",
                losses.longestIdempotent.count(), " ms, (c) not served and not run ", losses.notIdempotentNotRun,
                ", (c) not served but run ", losses.notIdempotentRun, ", (d) no connection ", losses.noConnection,
                ", no room ", losses.noRoom);
    }

    void checkRunAtMostOnce() const
    {
        const std::map<std::string, int> executions = mesh_.executions();
        for (const Sample &sample : samples_) {
            if (!sample.idempotent && executions.count(sample.id) > 0) {
                CHECK(executions.at(sample.id) == 1);
            }
        }
    }

    Mesh mesh_;
    std::vector<Sample> samples_;
    int sent_ = 0;
    int started_ = 0;
    SteadyTime killedAt_;
};

class MassFailureAtScarceSlots : public MassFailure
{
protected:
    MassFailureAtScarceSlots()
        : MassFailure(3)
    { }
};

/** Two homes, of which one dies, and a relay between them that does not respond. */
class HomeLossBesideSilentRelay
{
protected:
    static constexpr Millis workTime{300};

    HomeLossBesideSilentRelay()
        : mesh_([] {
            MeshOptions options;
            options.services = {"other", "desk", "other", "desk"};
            options.proxies = true;
            options.slots = 8;
            options.workMs = static_cast<int>(workTime.count());
            // Hedges start late, so that only the loss of the home causes retries.
            options.objectiveMs = 4000;
            options.timeoutMs = 6000;
            return options;
        }())
    { }

    Mesh mesh_;
};

} // namespace

// Guards against lookups that are retried only after the 500 ms timeout of a query through a silent relay.
TEST_CASE_FIXTURE(HomeLossBesideSilentRelay, "mass failure, home killed and a relay silent, lookups are retried soon")
{
    constexpr Millis killAfter{150};
    mesh_.setLinkFault(2, {{"toTarget", {{"hold", true}}}, {"fromTarget", {{"hold", true}}}});
    std::vector<Millis> took(6, Millis(0));
    std::vector<std::function<void()>> tasks;
    tasks.reserve(maxTasks);
    for (std::size_t i = 0; i < took.size(); ++i) {
        tasks.emplace_back([&, i] {
            const SteadyTime sentAt = std::chrono::steady_clock::now();
            const auto response = mesh_.send(0, "lookup-" + std::to_string(i), "/dates/1", std::chrono::seconds(6));
            CHECK((response && response->status == 200));
            took[i] = std::chrono::duration_cast<Millis>(std::chrono::steady_clock::now() - sentAt);
        });
    }
    tasks.emplace_back([&] {
        pause(killAfter);
        mesh_.node(1).kill();
    });
    runConcurrently(tasks);
    REQUIRE(mesh_.countLogLines(0, {"event=retry_requested", "why=outcome-unknown"}) > 0);
    const Millis longest = *std::max_element(took.begin(), took.end());
    MESSAGE("longest ", longest.count(), " ms");
    // Killed after 150 ms, then 100 ms for the relays and another run. 500 ms for the relays would exceed the bound.
    CHECK(longest.count() <= (killAfter + workTime).count() + 400);
}

// Guards against requests that are lost with their homes although another home could have served them, against
// bookings that run twice in the attempt to save them, and against nodes that need seconds to serve after a restart.
TEST_CASE_FIXTURE(MassFailure, "mass failure, 12 of 24 nodes killed at once, over 0.95 of the recoverable are served")
{
    runLoad();
    const Losses losses = classify();
    report(losses);
    const int recoverable = losses.atSurvivors - losses.notIdempotentRun;
    const int lost = losses.idempotentLost + losses.notIdempotentNotRun;
    CHECK((lost + losses.noRoom) * 20 < recoverable);
    // A retry starts when the home's link closes: one more run and some round trips, not a timeout.
    CHECK(losses.longestIdempotent.count() <= 1000);
    checkRunAtMostOnce();
    // All at once, as after a failed rolling restart.
    const SteadyTime restartedAt = std::chrono::steady_clock::now();
    for (int node = 0; node < nodes; node += 2) {
        mesh_.startNode(node);
    }
    std::vector<Millis> servedAfter(nodes, Millis(0));
    std::vector<std::function<void()>> tasks;
    tasks.reserve(maxTasks);
    for (int node = 0; node < nodes; node += 2) {
        tasks.emplace_back([&, node] {
            int number = 0;
            const bool serves = eventually([&] {
                const std::string id = "restart-" + std::to_string(node) + "-" + std::to_string(++number);
                const auto response = mesh_.send(node, id, "/dates/1", Millis(1000));
                return response && response->status == 200;
            });
            CHECK(serves);
            servedAfter[static_cast<std::size_t>(node)] =
                std::chrono::duration_cast<Millis>(std::chrono::steady_clock::now() - restartedAt);
        });
    }
    runConcurrently(tasks);
    const Millis slowest = *std::max_element(servedAfter.begin(), servedAfter.end());
    MESSAGE("started again, the last node serves after ", slowest.count(), " ms");
    CHECK(slowest.count() <= restartBound.count());
}

// Guards against bookings that are reported as possibly run although they only waited for a slot at a killed home, and
// against bookings that run twice.
TEST_CASE_FIXTURE(MassFailureAtScarceSlots,
                  "mass failure, nodes killed while requests wait for slots, fewer than 1 in 20 are lost")
{
    runLoad();
    const Losses losses = classify();
    report(losses);
    checkRunAtMostOnce();
    const int lost = losses.idempotentLost + losses.notIdempotentNotRun;
    CHECK((lost + losses.noRoom) * 20 < losses.atSurvivors - losses.notIdempotentRun);
}

/** Some nodes; those that start are slow to read the configuration from the store. */
class RestartsBesideSlowStore
{
protected:
    RestartsBesideSlowStore()
        : mesh_([] {
            MeshOptions options;
            options.services = std::vector<std::string>(6, "desk");
            return options;
        }())
    { }

    Mesh mesh_;
};

// Guards against nodes that wait for the store after a restart although their peers hold the configuration.
TEST_CASE_FIXTURE(RestartsBesideSlowStore, "mass failure, nodes started again beside a slow store, serve within 1 s")
{
    mesh_.setStoreFault({{"slowListMs", 3000}, {"slowListKind", platform::names::configKind}});
    for (const int node : {0, 1, 2}) {
        mesh_.node(node).kill();
    }
    pause(std::chrono::seconds(2));
    std::vector<Millis> servedAfter(3, Millis(0));
    std::vector<std::function<void()>> tasks;
    tasks.reserve(maxTasks);
    for (std::size_t node = 0; node < servedAfter.size(); ++node) {
        tasks.emplace_back([&, node] {
            const SteadyTime startedAt = std::chrono::steady_clock::now();
            mesh_.startNode(static_cast<int>(node));
            int number = 0;
            CHECK(eventually([&] {
                const std::string id = "slow-store-" + std::to_string(node) + "-" + std::to_string(++number);
                const auto response = mesh_.send(static_cast<int>(node), id, "/dates/1", Millis(1000));
                return response && response->status == 200;
            }));
            servedAfter[node] = std::chrono::duration_cast<Millis>(std::chrono::steady_clock::now() - startedAt);
        });
    }
    runConcurrently(tasks);
    const Millis slowest = *std::max_element(servedAfter.begin(), servedAfter.end());
    MESSAGE("started again, the last node serves after ", slowest.count(), " ms");
    CHECK(slowest.count() <= restartBound.count());
}
