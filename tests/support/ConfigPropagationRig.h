#pragma once

#include "tests/support/Mesh.h"

#include <algorithm>
#include <string>
#include <vector>

namespace waxwing::testing {

/** Time within which an acknowledged change is in force at every undisturbed node. */
constexpr Millis applyBound{2500};
/** A disturbed node counts as undisturbed again after this time. */
constexpr Millis undisturbedAfter{4000};
/** A change is due at the later of the two times; the disturbances of these tests come just before the change. */
constexpr Millis dueAfterDisturbance = std::max(applyBound, undisturbedAfter);

/**
 * A mesh for tests of how a configuration reaches its nodes. The server beside node 2 belongs to "archive", to which
 * tests move the bookings.
 */
class ConfigPropagationRig
{
protected:
    struct Options {
        int spareRoutes = 0;
        int nodes = 3;
        bool proxies = false;
        bool storeProxies = false;
        bool upgrade = false;
    };

    explicit ConfigPropagationRig(const Options &options)
        : nodes_(options.nodes)
        , mesh_(meshOptions(options))
    { }

    bool isInForceAt(int node, std::uint64_t version) const
    {
        const std::string field = "version=" + std::to_string(version);
        return mesh_.countLogLines(node, {"event=config_in_force", field}) > 0;
    }

    bool isInForce(std::uint64_t version) const
    {
        for (int node = 0; node < nodes_; ++node) {
            if (!isInForceAt(node, version)) {
                return false;
            }
        }
        return true;
    }

    int nodes_;
    Mesh mesh_;

private:
    static MeshOptions meshOptions(const Options &options)
    {
        MeshOptions out;
        out.services = std::vector<std::string>(static_cast<std::size_t>(options.nodes), "desk");
        out.services.at(2) = "archive";
        out.spareRoutes = options.spareRoutes;
        out.proxies = options.proxies;
        out.storeProxies = options.storeProxies;
        out.upgrade = options.upgrade;
        return out;
    }
};

} // namespace waxwing::testing
