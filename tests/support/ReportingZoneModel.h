#pragma once

#include "include/home/SlotQueue.h"
#include "include/route/HomeRanking.h"
#include "include/route/HomeReportTable.h"
#include "tests/support/EventSchedule.h"

#include <cstdint>
#include <deque>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace waxwing::testing {

/** The load on a zone in which every node sends few requests. */
struct ZoneLoad {
    /** Nodes of the zone; the first ones are homes of the service, the others those of another service. */
    int nodes = 109;
    int homes = 60;
    double requestsPerNode = 1.0;
    /** Share of the requests that can't be retried. */
    double bookingShare = 0.75;
    Millis duration{10000};
    /** Requests count from here on. */
    Millis countedFrom{2000};
    /** Homes whose servers are gray from the start. */
    int gray = 0;
    /** Homes whose servers turn gray, one after the other, and recover after @c grayFor. */
    int turnGray = 0;
    Millis grayFor{5000};
    bool sharesReports = true;
    RankingTuning ranking;
};

struct ZoneCounts {
    int bookings = 0;
    int bookingsFailed = 0;
    /** Sends of the home that got the most, and of a home on average. */
    int busiest = 0;
    double mean = 0.0;
    /** Homes that got nothing. */
    int unused = 0;

    double failedShare() const;
};

/**
 * Simulates the nodes of one zone with production classes: homes that judge their servers (SlotQueue), senders that
 * choose among them (HomeRanking) and reports between them (HomeReportTable). Links have a fixed delay and lose
 * nothing. Seeded; opens no socket.
 */
class ReportingZoneModel
{
public:
    ReportingZoneModel(const ZoneLoad &load, std::uint32_t seed);
    ZoneCounts run();

private:
    struct Request {
        std::uint64_t id = 0;
        int sender = 0;
        bool booking = false;
        bool counted = false;
        std::set<std::string> tried;
    };
    struct Node {
        Node(const std::string &name, std::mt19937_64 &random, const RankingTuning &tuning);

        std::string name;
        HomeRanking ranking;
        HomeReportTable table;
        SlotQueue queue;
        bool reportIsDue = false;
        int sends = 0;
    };

    double uniform();
    bool isGray(int home) const;
    void scheduleArrival();
    void send(Request request);
    void serve(int home, const Request &request);
    void finish(int home, const Request &request, bool failed, Duration took);
    void exchangeReports(int node);

    ZoneLoad load_;
    std::mt19937_64 random_;
    EventSchedule events_;
    SteadyTime start_;
    /** A deque, because the nodes refer to their names. */
    std::deque<Node> nodes_;
    std::vector<RankedHome> homes_;
    ZoneCounts counts_;
    std::uint64_t nextId_ = 1;
};

} // namespace waxwing::testing
