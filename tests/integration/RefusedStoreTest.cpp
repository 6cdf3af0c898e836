#include "platform/Names.h"
#include "tests/support/Mesh.h"
#include "tests/support/WatchRoles.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>

using namespace waxwing;
using namespace waxwing::testing;

namespace {

using nlohmann::json;

constexpr Millis revokeBound{5000};
constexpr int nodes = 9;

json customersWith(int revokedKeys)
{
    json keys = json::array({"key-of-firm"});
    for (int i = revokedKeys; i < 20; ++i) {
        keys.push_back("extra-" + std::to_string(i));
    }
    return json::array({{{"name", "firm"}, {"api_keys", keys}}});
}

MeshOptions refusedOptions(int regions, int spareRoutes)
{
    MeshOptions options;
    options.services = std::vector<std::string>(nodes, "desk");
    for (int node = 0; node < nodes; ++node) {
        options.regions.push_back("r" + std::to_string(node % regions));
    }
    options.customers = customersWith(0);
    options.bounds = {"strict_revoke=true", "revoke_ms=" + std::to_string(revokeBound.count())};
    options.storeProxies = true;
    options.spareRoutes = spareRoutes;
    return options;
}

/** Nodes of some regions; the store can refuse single nodes. */
class RefusedNodes
{
protected:
    explicit RefusedNodes(int regions, int spareRoutes = 0)
        : mesh_(refusedOptions(regions, spareRoutes))
    {
        // Roles settle, and the nodes know their peers.
        pause(std::chrono::seconds(3));
    }

    std::vector<int> withRole(const std::string &role) const
    {
        return nodesWithRole(mesh_, nodes, role);
    }

    void refuse(const std::vector<int> &refused)
    {
        for (const int node : refused) {
            // Open watches are reset, and new connections fail.
            mesh_.setStoreLinkFault(node, {{"target", "127.0.0.1:1"}, {"reset", true}});
        }
    }

    /**
     * Sends requests with a key to @p senders for @p length while other keys are revoked, and checks that most are
     * served. Returns how many were refused because the configuration was not confirmed.
     */
    int refusedWhileKeysAreRevoked(const std::vector<int> &senders, Millis length)
    {
        const SteadyTime end = std::chrono::steady_clock::now() + length;
        int served = 0;
        int sent = 0;
        std::vector<std::function<void()>> tasks;
        tasks.reserve(maxTasks);
        for (const int node : senders) {
            tasks.emplace_back([&, node] {
                while (std::chrono::steady_clock::now() < end) {
                    const auto response =
                        mesh_.sendWithKey(node, "keyed-" + std::to_string(++sent), "/dates/1", "key-of-firm");
                    served += response && response->status == 200 ? 1 : 0;
                    pause(Millis(50));
                }
            });
        }
        tasks.emplace_back([&] {
            for (int version = 2; std::chrono::steady_clock::now() < end; ++version) {
                mesh_.configureCustomers(static_cast<std::uint64_t>(version), customersWith(version));
                pause(Millis(1100));
            }
        });
        runConcurrently(tasks);
        int logged = 0;
        for (const int node : senders) {
            logged += mesh_.countLogLines(node, {"event=refused", "reason=config-not-confirmed"});
        }
        MESSAGE("sent ", sent, ", served ", served, ", config-not-confirmed ", logged);
        CHECK(2 * served > sent);
        return logged;
    }

    Mesh mesh_;
};

class RefusedNodesOfOneRegion : public RefusedNodes
{
protected:
    RefusedNodesOfOneRegion()
        : RefusedNodes(1)
    { }
};

class RefusedNodesWithLargeConfiguration : public RefusedNodes
{
protected:
    RefusedNodesWithLargeConfiguration()
        : RefusedNodes(1, 3000)
    { }
};

class RefusedRegion : public RefusedNodes
{
protected:
    RefusedRegion()
        : RefusedNodes(3)
    { }
};

} // namespace

// Guards against refused nodes that ask each other, or a watcher that the store refuses as well, for too long.
TEST_CASE_FIXTURE(RefusedNodesOfOneRegion,
                  "store refuses some nodes, both watchers and a follower, configuration stays confirmed")
{
    std::vector<int> refused = withRole("watcher");
    refused.push_back(withRole("follower").front());
    refuse(refused);
    CHECK(refusedWhileKeysAreRevoked(refused, std::chrono::seconds(12)) == 0);
}

// Guards against a configuration whose confirmation is lost while its document is delivered and decoded.
TEST_CASE_FIXTURE(RefusedNodesWithLargeConfiguration, "store refuses some nodes, large configuration, stays confirmed")
{
    std::vector<int> refused = withRole("watcher");
    refused.push_back(withRole("follower").front());
    refuse(refused);
    CHECK(refusedWhileKeysAreRevoked(refused, std::chrono::seconds(12)) == 0);
}

// Guards against a region whose nodes ask only each other: links to other regions are open only where work goes there.
TEST_CASE_FIXTURE(RefusedRegion, "store refuses some nodes, all of one region, configuration stays confirmed")
{
    refuse({0, 3, 6});
    CHECK(refusedWhileKeysAreRevoked({0, 3, 6}, std::chrono::seconds(12)) == 0);
}
