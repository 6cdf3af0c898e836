#include "include/limit/RouteOrigins.h"
#include "include/limit/NestedCallTracker.h"

#include <doctest/doctest.h>

using namespace waxwing;

namespace {

/** Zones of four VMs: two beside the ledger, one beside the card view, one beside the pack house. */
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

TEST_CASE_FIXTURE(MixedZones, "route origins, requests from one service's VMs only, are known as its calls")
{
    // A ledger server that is never idle keeps its own node from telling its calls from callers' requests: calls queued
    // behind downloads at the pack house, and each one refused there failed a lodging that had run.
    for (int i = 0; i < 10; ++i) {
        origins.note("pack-index", "z1", "ledger");
    }
    CHECK_FALSE(origins.isNestedCall("pack-index"));
    for (int i = 0; i < 5; ++i) {
        origins.note("pack-index", "z2", "ledger");
    }
    CHECK(origins.isNestedCall("pack-index"));
}

TEST_CASE_FIXTURE(MixedZones, "route origins, requests from VMs of all services, are callers'")
{
    for (int i = 0; i < 300; ++i) {
        origins.note("rate-lookup", "z1", i % 4 < 2 ? "ledger" : (i % 4 == 2 ? "cardview" : "packhouse"));
        CHECK_FALSE(origins.isNestedCall("rate-lookup"));
    }
}

TEST_CASE_FIXTURE(MixedZones, "route origins, zones with VMs of one service only, say nothing")
{
    for (int i = 0; i < 1000; ++i) {
        origins.note("rate-lodge", "ledger-only", "ledger");
    }
    CHECK_FALSE(origins.isNestedCall("rate-lodge"));
}

TEST_CASE_FIXTURE(MixedZones, "route origins, a route that two services call, takes more requests to be known")
{
    for (int i = 0; i < 40; ++i) {
        origins.note("trade-check", "z1", i % 2 == 0 ? "ledger" : "cardview");
    }
    CHECK(origins.isNestedCall("trade-check"));
}

TEST_CASE("inner call meter, a home's word, counts unless requests came while the server was idle")
{
    NestedCallTracker meter;
    const SteadyTime start(std::chrono::hours(1));
    meter.begin(1, "lodge", 1, start);
    meter.arrived("pack-index", "packhouse", start);
    CHECK_FALSE(meter.isNestedCall("pack-index"));
    meter.markNested("pack-index");
    CHECK(meter.isNestedCall("pack-index"));
    meter.end(1, start);
    meter.arrived("look-up", "cardview", start);
    meter.markNested("look-up");
    CHECK_FALSE(meter.isNestedCall("look-up"));
}
