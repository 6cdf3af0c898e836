#include "tests/support/ReportingZoneModel.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace waxwing;
using namespace waxwing::testing;

namespace {

/** Failed bookings and load of several plays of one load. */
struct Plays {
    int bookings = 0;
    int failed = 0;
    double busiestOverMean = 0.0;
    int unused = 0;

    double failedShare() const
    {
        return static_cast<double>(failed) / bookings;
    }
};

Plays play(ZoneLoad load, bool sharesReports)
{
    load.sharesReports = sharesReports;
    Plays plays;
    for (const std::uint32_t seed : {1U, 2U, 3U, 4U}) {
        const ZoneCounts counts = ReportingZoneModel(load, seed).run();
        plays.bookings += counts.bookings;
        plays.failed += counts.bookingsFailed;
        plays.busiestOverMean = std::max(plays.busiestOverMean, counts.busiest / counts.mean);
        plays.unused += counts.unused;
    }
    return plays;
}

/** Returns a zone of @p nodes, of which just over half are homes of the service. */
ZoneLoad zoneOf(int nodes)
{
    ZoneLoad load;
    load.nodes = nodes;
    load.homes = nodes * 5 / 9;
    load.duration = Millis(30000);
    return load;
}

} // namespace

// Guards against senders that each find the gray servers of a large zone by themselves: at one request a second a node
// has heard nothing of most homes when it sends work that can't be repeated.
TEST_CASE("zone with shared reports, a tenth of the servers gray from the start, loses at most half as many bookings")
{
    for (const int nodes : {109, 300}) {
        ZoneLoad load = zoneOf(nodes);
        load.gray = load.homes / 10;
        load.countedFrom = Millis(0);
        const Plays alone = play(load, false);
        const Plays shared = play(load, true);
        MESSAGE(nodes << " nodes: failed " << alone.failedShare() << " alone, " << shared.failedShare()
                      << " with reports");
        CHECK(2 * shared.failed <= alone.failed);
    }
}

TEST_CASE("zone with shared reports, servers turn gray one after the other, loses fewer bookings")
{
    for (const int nodes : {30, 109, 300}) {
        ZoneLoad load = zoneOf(nodes);
        load.turnGray = load.homes * 3 / 4;
        const Plays alone = play(load, false);
        const Plays shared = play(load, true);
        MESSAGE(nodes << " nodes: failed " << alone.failedShare() << " alone, " << shared.failedShare()
                      << " with reports");
        CHECK(shared.failed < alone.failed);
    }
}

// Guards against senders with the same reports that all choose the same home, and against homes that get nothing.
TEST_CASE("zone with shared reports, all servers healthy, spreads requests over all homes")
{
    constexpr double maxBusiestOverMean = 2.0;
    for (const int nodes : {30, 109, 300}) {
        const Plays shared = play(zoneOf(nodes), true);
        MESSAGE(nodes << " nodes: busiest over mean " << shared.busiestOverMean);
        CHECK(shared.busiestOverMean <= maxBusiestOverMean);
        CHECK(shared.unused == 0);
    }
}
