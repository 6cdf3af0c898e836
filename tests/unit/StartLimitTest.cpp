#include "src/sidecar/ingress/StartLimit.h"

#include <doctest/doctest.h>

using namespace waxwing;

namespace {

/** A node that exits ten seconds after the start of its stop. */
class StoppingNode
{
protected:
    StoppingNode()
    {
        route_.name = "desk";
        route_.timeout = std::chrono::seconds(8);
    }

    void addRun(Millis workTime)
    {
        WorkReply reply;
        reply.outcome = Outcome::Ran;
        reply.processingTime = workTime;
        stats_.add(route_.name, reply);
    }

    /** Returns how long before the exit of the node the last request of the route starts. */
    Millis reserve()
    {
        const SteadyTime exit = SteadyTime() + std::chrono::seconds(10);
        limit_.setStopDeadline(exit);
        return millisOf(exit - limit_.latestStart(route_));
    }

    RouteStats stats_;
    StartLimit limit_{stats_};
    Route route_;
};

} // namespace

// Guards against requests that start at a stopping node although their work takes longer than it has left, and are cut.
TEST_CASE_FIXTURE(StoppingNode, "start limit, long work, starts only if twice its expected time is left")
{
    addRun(std::chrono::seconds(3));
    CHECK(reserve() == std::chrono::seconds(6));
}

TEST_CASE_FIXTURE(StoppingNode, "start limit, work beyond the time limit of the route, leaves that time")
{
    addRun(std::chrono::seconds(7));
    CHECK(reserve() == std::chrono::seconds(8));
}

TEST_CASE_FIXTURE(StoppingNode, "start limit, short work, leaves at least half a second")
{
    addRun(Millis(20));
    CHECK(reserve() == Millis(500));
    route_.timeout = Millis(100);
    CHECK(reserve() == Millis(500));
}

TEST_CASE_FIXTURE(StoppingNode, "start limit, route without a completed request, expects a part of its objective")
{
    route_.responseTime = std::chrono::seconds(10);
    CHECK(reserve() == std::chrono::seconds(6));
}

TEST_CASE_FIXTURE(StoppingNode, "start limit, node that is not stopping, starts any request")
{
    CHECK(limit_.latestStart(route_) == SteadyTime::max());
}
