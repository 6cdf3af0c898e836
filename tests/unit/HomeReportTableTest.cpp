#include "include/route/HomeReportTable.h"

#include <doctest/doctest.h>

#include <map>
#include <random>
#include <string>
#include <vector>

using namespace waxwing;

namespace {

const SteadyTime start = SteadyTime(std::chrono::hours(1));

HomeLoad grayLoad(double probability)
{
    HomeLoad load;
    load.slots = 3;
    load.freeSlots = 3;
    load.grayProbability = probability;
    return load;
}

HomeReport reportOf(const std::string &node, std::uint64_t sequence, Millis age, double probability)
{
    return HomeReport{node, sequence, age, grayLoad(probability)};
}

struct OneTable {
    SteadyTime now = start;
    HomeReportTuning tuning;
    HomeReportTable table{"self", 100, tuning};
};

/** Nodes of one group that exchange reports in rounds, each with two random others. */
class ReportGroup
{
protected:
    static constexpr std::size_t peersPerRound = 2;

    void makeNodes(std::size_t count)
    {
        tables_.clear();
        for (std::size_t i = 0; i < count; ++i) {
            tables_.emplace_back("node-" + std::to_string(i), 1);
        }
    }

    /** Returns the number of nodes that learn of the latest report of @p node in one round. */
    std::size_t exchange(const std::string &node)
    {
        now_ += Millis(200);
        std::size_t learned = 0;
        for (std::size_t i = 0; i < tables_.size(); ++i) {
            for (std::size_t peer = 0; peer < peersPerRound; ++peer) {
                const std::vector<HomeReport> reports = tables_[i].take(now_);
                CHECK(reports.size() <= HomeReportTuning{}.maxReports);
                HomeReportTable &receiver = tables_[random_() % tables_.size()];
                for (const HomeReport &report : reports) {
                    const bool isNew = receiver.add(report, now_);
                    learned += isNew && report.node == node ? 1 : 0;
                }
            }
        }
        return learned;
    }

    std::vector<HomeReportTable> tables_;
    SteadyTime now_ = start;
    std::mt19937_64 random_{3};
};

} // namespace

TEST_CASE_FIXTURE(OneTable, "home report, older one of the same home, is refused")
{
    CHECK(table.add(reportOf("a", 5, Millis(10), 0.9), now));
    CHECK_FALSE(table.add(reportOf("a", 4, Millis(0), 0.1), now));
    CHECK_FALSE(table.add(reportOf("a", 5, Millis(0), 0.1), now));
    CHECK(table.add(reportOf("a", 6, Millis(900), 0.1), now));
    CHECK(table.take(now).front().load.grayProbability == doctest::Approx(0.1));
}

// Guards against a restarted node whose reports nobody accepts because its clock was set back.
TEST_CASE_FIXTURE(OneTable, "home report, home starts again with lower numbers, counts after a while")
{
    REQUIRE(table.add(reportOf("a", 500, Millis(0), 0.9), now));
    now += Millis(2000);
    CHECK_FALSE(table.add(reportOf("a", 3, Millis(0), 0.1), now));
    now += tuning.forgetAfter;
    CHECK(table.add(reportOf("a", 4, Millis(0), 0.1), now));
}

TEST_CASE_FIXTURE(OneTable, "home report, too old or about this node, is refused")
{
    CHECK_FALSE(table.add(reportOf("a", 1, tuning.maxAge + Millis(1), 0.1), now));
    CHECK_FALSE(table.add(reportOf("a", 1, Millis(-1), 0.1), now));
    CHECK_FALSE(table.add(reportOf("self", 900, Millis(0), 0.1), now));
    CHECK_FALSE(table.hasUnsent(now));
}

TEST_CASE_FIXTURE(OneTable, "home report, passed on, keeps the time at which it was made")
{
    REQUIRE(table.add(reportOf("a", 1, Millis(300), 0.1), now));
    now += Millis(200);
    CHECK(table.take(now).front().age == Millis(500));
}

TEST_CASE_FIXTURE(OneTable, "home report, sent often enough, is no longer passed on")
{
    table.setOwn(grayLoad(0.1), now);
    for (int i = 0; i < tuning.sendsPerReport; ++i) {
        CHECK(table.take(now).size() == 1);
    }
    CHECK_FALSE(table.hasUnsent(now));
    CHECK(table.take(now).empty());
}

TEST_CASE_FIXTURE(OneTable, "home report, more unsent ones than a message holds, sends the latest first")
{
    for (std::size_t i = 0; i < 2 * tuning.maxReports; ++i) {
        const auto age = Millis(static_cast<std::int64_t>(i));
        REQUIRE(table.add(reportOf("n" + std::to_string(i), 1, age, 0.1), now));
    }
    const std::vector<HomeReport> reports = table.take(now);
    CHECK(reports.size() == tuning.maxReports);
    CHECK(reports.front().node == "n0");
    CHECK(reports.back().age < Millis(static_cast<std::int64_t>(tuning.maxReports)));
}

// Guards against a gray server that each node of a zone finds by itself, at the cost of one request each.
TEST_CASE_FIXTURE(ReportGroup, "home report, group of any size, reaches nine of ten nodes within a second and a half")
{
    for (const std::size_t count : {32UL, 109UL, maxReportGroup}) {
        makeNodes(count);
        std::size_t informed = 0;
        tables_.front().setOwn(grayLoad(0.9), now_);
        for (int round = 0; round < 7; ++round) {
            informed += exchange("node-0");
        }
        CHECK(static_cast<double>(informed) >= 0.9 * static_cast<double>(count - 1));
    }
}

TEST_CASE("report groups, zone of any size, hold no more than a few hundred nodes and all together the zone")
{
    for (const std::size_t zone : {4UL, 109UL, 300UL, 1863UL}) {
        std::map<std::uint64_t, std::size_t> sizes;
        for (std::size_t i = 0; i < zone; ++i) {
            ++sizes[reportGroup("node-" + std::to_string(i), zone)];
        }
        CHECK(sizes.size() == 1 + (zone > maxReportGroup ? sizes.rbegin()->first : 0));
        for (const auto &[group, size] : sizes) {
            CHECK(size <= maxReportGroup + maxReportGroup / 3);
        }
    }
}
