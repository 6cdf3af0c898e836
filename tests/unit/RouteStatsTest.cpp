#include "include/route/RouteStats.h"

#include <doctest/doctest.h>

using namespace waxwing;

namespace {

const SteadyTime arrived = SteadyTime(std::chrono::hours(1));

Route lookups()
{
    Route route;
    route.name = "lookup";
    route.responseTime = Millis(800);
    return route;
}

WorkReply success(Millis work)
{
    WorkReply reply;
    reply.outcome = Outcome::Ran;
    reply.reachedServer = true;
    reply.processingTime = work;
    reply.response.body = std::string(2048, 'x');
    reply.calls = {{"records", 2.0}};
    return reply;
}

} // namespace

TEST_CASE("route stats, no sample, assume a part of the objective and no calls")
{
    const RouteStats stats;
    CHECK(stats.expectedWorkTime(lookups()) == Millis(240));
    CHECK(stats.responseKilobytes("lookup") == 0.0);
    CHECK(stats.calls("lookup").empty());
}

TEST_CASE("route stats, successes, are averaged, and failures of a server only tell its calls")
{
    RouteStats stats;
    stats.add("lookup", success(Millis(100)));
    stats.add("lookup", success(Millis(200)));
    WorkReply failure = success(Millis(5000));
    failure.serverFault = true;
    failure.calls = {{"records", 3.0}};
    stats.add("lookup", failure);
    CHECK(millisOf(stats.expectedWorkTime(lookups())) == Millis(110));
    CHECK(stats.responseKilobytes("lookup") == doctest::Approx(2.0));
    CHECK(stats.calls("lookup").at("records") == doctest::Approx(3.0));
}

// Guards against hedges of work that is merely short, and against hedges that can't be in time any more.
TEST_CASE("route stats, hedge, comes after some work times, not too soon and in time for the objective")
{
    const auto hedgeAfter = [](Millis work) {
        RouteStats stats;
        stats.add("lookup", success(work));
        return millisOf(stats.hedgeTime(lookups(), arrived) - arrived);
    };
    CHECK(hedgeAfter(Millis(10)) == Millis(120));
    CHECK(hedgeAfter(Millis(100)) == Millis(300));
    CHECK(hedgeAfter(Millis(1000)) == Millis(600));
}
