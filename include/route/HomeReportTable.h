#pragma once

#include "include/base/Clock.h"
#include "include/home/SlotQueue.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace waxwing {

/** Load and health of a home, as it has told its peers or as they pass it on. */
struct HomeReport {
    std::string node;
    /** Orders the reports of one home. */
    std::uint64_t sequence = 0;
    /** Time since the home made the report, without the time in transit. */
    Millis age{0};
    /** As it applies to a request of the highest priority. */
    HomeLoad load;
};

struct HomeReportTuning {
    /** Reports in one message. Together with the rate of messages this bounds the bytes and the work of a node. */
    std::size_t maxReports = 24;
    /**
     * How often a node passes on one report. If every node sends a report to this many random others, all but one in
     * twenty get it.
     */
    int sendsPerReport = 3;
    /** An older report says little about the load, and is neither passed on nor accepted. */
    Millis maxAge{3000};
    /** A report of the same home with a lower sequence is accepted after this time: its process has been replaced. */
    Millis forgetAfter = std::chrono::seconds(10);
};

/**
 * The latest report of each home that nodes exchange by gossip: each node passes new reports on to random peers a few
 * times. Cost and delay of a report depend on the number of peers only by its logarithm, and no node has to send work
 * to a home to learn of it. Performs no I/O and takes the time as an argument. Not thread safe.
 */
class HomeReportTable
{
public:
    /** @p firstSequence: above those of an earlier process of this node, if its clock allows. */
    HomeReportTable(std::string self, std::uint64_t firstSequence, HomeReportTuning tuning = {});
    /** Makes a new report of the home of this node. */
    void setOwn(const HomeLoad &load, SteadyTime now);
    /** Adds the report of another home. Returns false if it is not newer than what is known. */
    bool add(const HomeReport &report, SteadyTime now);
    /** Returns true if there are reports to pass on. */
    bool hasUnsent(SteadyTime now) const;
    /** Returns the reports for one peer, the latest first, and counts them as sent once. */
    std::vector<HomeReport> take(SteadyTime now);
    /** Removes the reports of nodes that are not in @p known. */
    void keepOnly(const std::set<std::string> &known);

private:
    struct Entry {
        std::uint64_t sequence = 0;
        SteadyTime madeAt;
        SteadyTime receivedAt;
        HomeLoad load;
        int sendsLeft = 0;
    };

    bool isDue(const Entry &entry, SteadyTime now) const;

    std::string self_;
    std::uint64_t nextSequence_;
    HomeReportTuning tuning_;
    std::map<std::string, Entry> entries_;
};

/** Largest number of nodes of a zone that exchange reports with each other. */
constexpr std::size_t maxReportGroup = 128;

/**
 * Returns the group of @p node among the nodes of a zone with @p zoneSize nodes. Nodes exchange reports within their
 * group, so that what a node receives doesn't grow with its zone. Most groups have between half and all of
 * maxReportGroup nodes. Thread safe.
 */
std::uint64_t reportGroup(const std::string &node, std::size_t zoneSize);

} // namespace waxwing
