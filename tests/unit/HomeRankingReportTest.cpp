#include "include/route/HomeRanking.h"

#include <doctest/doctest.h>

#include <map>
#include <random>

using namespace waxwing;

namespace {

const SteadyTime start = SteadyTime(std::chrono::hours(1));

HomeLoad loadOf(double grayProbability, std::int32_t freeSlots = 3)
{
    HomeLoad load;
    load.slots = 3;
    load.freeSlots = freeSlots;
    load.grayProbability = grayProbability;
    return load;
}

/** A sender with ten homes in its zone, of which it knows only what other nodes report. */
class ReportedHomes
{
protected:
    static constexpr int homeCount = 10;

    ReportedHomes()
    {
        for (int i = 0; i < homeCount; ++i) {
            homes_.push_back(RankedHome{nameOf(i), Distance::SameZone});
        }
    }

    static std::string nameOf(int home)
    {
        return "home-" + std::to_string(home);
    }

    static HomeQuery booking()
    {
        HomeQuery query;
        query.priority = 1;
        return query;
    }

    HomeChoice choose(const HomeQuery &query)
    {
        return ranking_.choose(homes_, {}, query, now_);
    }

    /** Returns how often each home is chosen. */
    std::map<std::string, int> chooseOften(const HomeQuery &query, int times = 1000)
    {
        std::map<std::string, int> chosen;
        for (int i = 0; i < times; ++i) {
            ++chosen[choose(query).node];
        }
        return chosen;
    }

    SteadyTime now_ = start;
    std::mt19937_64 random_{5};
    HomeRanking ranking_{[this] { return random_(); }};
    std::vector<RankedHome> homes_;
};

} // namespace

TEST_CASE_FIXTURE(ReportedHomes, "reported homes, some have served lately, get the work that can't be retried")
{
    for (int i = 0; i < 4; ++i) {
        ranking_.noteReport(nameOf(i), loadOf(0.002), now_);
    }
    const std::map<std::string, int> chosen = chooseOften(booking());
    CHECK(chosen.size() == 4);
}

TEST_CASE_FIXTURE(ReportedHomes, "reported homes, some have served lately, still explores the others by retryable work")
{
    for (int i = 0; i < 4; ++i) {
        ranking_.noteReport(nameOf(i), loadOf(0.002), now_);
    }
    HomeQuery query = booking();
    query.retryable = true;
    CHECK(chooseOften(query).size() == homeCount);
}

// Guards against all nodes of a zone choosing the home that looks best in the reports that they share.
TEST_CASE_FIXTURE(ReportedHomes, "reported homes, nearly equal, each gets its part of the requests")
{
    for (int i = 0; i < homeCount; ++i) {
        ranking_.noteReport(nameOf(i), loadOf(0.002 + 0.001 * i), now_);
    }
    const std::map<std::string, int> chosen = chooseOften(booking());
    for (const auto &[home, count] : chosen) {
        CHECK(count <= 250);
    }
    CHECK(chosen.size() >= homeCount - 1);
}

TEST_CASE_FIXTURE(ReportedHomes, "reported homes, one is reported gray, gets no work that can't be retried")
{
    for (int i = 0; i < homeCount; ++i) {
        ranking_.noteReport(nameOf(i), loadOf(i == 3 ? 0.95 : 0.002), now_);
    }
    CHECK(chooseOften(booking()).count(nameOf(3)) == 0);
}

// Guards against a confused or malicious node whose reports empty a service.
TEST_CASE_FIXTURE(ReportedHomes, "reported homes, all are reported gray by others, are still used")
{
    for (int i = 0; i < homeCount; ++i) {
        ranking_.noteReport(nameOf(i), loadOf(1.0), now_);
    }
    CHECK_FALSE(choose(booking()).node.empty());
    CHECK(chooseOften(booking()).size() == homeCount);
}

TEST_CASE_FIXTURE(ReportedHomes, "reported homes, report is older than the last reply, is ignored")
{
    ranking_.noteLoad(nameOf(0), loadOf(0.95), 1, now_);
    ranking_.noteReport(nameOf(0), loadOf(0.002), now_ - Millis(100));
    for (int i = 1; i < homeCount; ++i) {
        ranking_.noteReport(nameOf(i), loadOf(0.002), now_);
    }
    CHECK(chooseOften(booking()).count(nameOf(0)) == 0);
    ranking_.noteReport(nameOf(0), loadOf(0.002), now_ + Millis(100));
    now_ += Millis(100);
    CHECK(chooseOften(booking()).count(nameOf(0)) == 1);
}

// Guards against a home that vouches for itself where the path to it is what has failed.
TEST_CASE_FIXTURE(ReportedHomes, "reported homes, path to one has failed, stays last in spite of its reports")
{
    ranking_.notePathFailure(nameOf(0), now_);
    for (int i = 0; i < homeCount; ++i) {
        ranking_.noteReport(nameOf(i), loadOf(0.002), now_ + Millis(10));
    }
    now_ += Millis(10);
    CHECK(ranking_.isPathFailed(nameOf(0)));
    CHECK(chooseOften(booking()).count(nameOf(0)) == 0);
}

TEST_CASE_FIXTURE(ReportedHomes, "reported homes, one has no server, gets nothing for a while")
{
    for (int i = 0; i < homeCount; ++i) {
        ranking_.noteReport(nameOf(i), loadOf(0.002), now_);
    }
    HomeLoad none;
    ranking_.noteReport(nameOf(2), none, now_ + Millis(1));
    now_ += Millis(1);
    CHECK(chooseOften(booking()).count(nameOf(2)) == 0);
}
