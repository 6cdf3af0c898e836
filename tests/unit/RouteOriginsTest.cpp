#include "include/limit/RouteOrigins.h"
#include "include/limit/NestedCallTracker.h"

#include <doctest/doctest.h>

using namespace waxwing;

namespace {

/** Zones of four VMs: two with a ledger server, one with a cardview server, one with a packhouse server. */
struct MixedZones {
    static double share(const std::string &zone, const std::set<std::string> &services)
    {
        if (zone == "ledger-only") {
            return services.count("ledger") != 0 ? 1.0 : 0.0;
        }
        return 0.5 * services.count("ledger") + 0.25 * services.count("cardview") + 0.25 * services.count("packhouse");
    }

    RouteOrigins origins{share};
};

} // namespace

TEST_CASE_FIXTURE(MixedZones, "route origins, requests from one service's VMs only, are its nested calls")
{
    // A node whose server is never idle can't distinguish its nested calls from requests of callers. Without the
    // reports of other homes, calls queued behind slow requests at the called service, and each refused call failed a
    // request that had run.
    for (int i = 0; i < 10; ++i) {
        origins.note("pack-index", "z1", "ledger");
    }
    CHECK_FALSE(origins.isNestedCall("pack-index"));
    for (int i = 0; i < 5; ++i) {
        origins.note("pack-index", "z2", "ledger");
    }
    CHECK(origins.isNestedCall("pack-index"));
}

TEST_CASE_FIXTURE(MixedZones, "route origins, requests from VMs of all services, are from callers")
{
    for (int i = 0; i < 300; ++i) {
        origins.note("rate-lookup", "z1", i % 4 < 2 ? "ledger" : (i % 4 == 2 ? "cardview" : "packhouse"));
        CHECK_FALSE(origins.isNestedCall("rate-lookup"));
    }
}

TEST_CASE_FIXTURE(MixedZones, "route origins, zones with VMs of one service only, give no evidence")
{
    for (int i = 0; i < 1000; ++i) {
        origins.note("rate-lodge", "ledger-only", "ledger");
    }
    CHECK_FALSE(origins.isNestedCall("rate-lodge"));
}

TEST_CASE_FIXTURE(MixedZones, "route origins, route called by two services, needs more requests")
{
    for (int i = 0; i < 40; ++i) {
        origins.note("trade-check", "z1", i % 2 == 0 ? "ledger" : "cardview");
    }
    CHECK(origins.isNestedCall("trade-check"));
}

TEST_CASE("nested call tracker, route reported as nested, counts unless requests came while the server was idle")
{
    NestedCallTracker tracker;
    const SteadyTime start(std::chrono::hours(1));
    tracker.begin(1, "lodge", 1, start);
    tracker.arrived("pack-index", "packhouse", start);
    CHECK_FALSE(tracker.isNestedCall("pack-index"));
    tracker.markNested("pack-index");
    CHECK(tracker.isNestedCall("pack-index"));
    tracker.end(1, start);
    tracker.arrived("look-up", "cardview", start);
    tracker.markNested("look-up");
    CHECK_FALSE(tracker.isNestedCall("look-up"));
}
