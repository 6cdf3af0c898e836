#include "tests/support/Mesh.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace waxwing;
using namespace waxwing::testing;

namespace {

constexpr int rounds = 12;

class Suspension
{
protected:
    Suspension()
        : mesh_(options())
    { }

    static MeshOptions options()
    {
        MeshOptions out;
        out.services = {"other", "desk", "other"};
        out.proxies = true;
        return out;
    }

    Mesh mesh_;
};

} // namespace

// Guards against a process that crashes when a home leaves the registry while the path to it is checked.
TEST_CASE_FIXTURE(Suspension,
                  "suspension, home that leaves the registry while its path is checked, does not crash the node")
{
    for (int round = 0; round < rounds; ++round) {
        mesh_.setLinkFault(1, {{"fromTarget", {{"hold", true}}}});
        runConcurrently({[&] { mesh_.send(0, "round-" + std::to_string(round), "/dates/1", Millis(900)); },
                         [&] {
                             // The first ack is missed after 150 ms; the ping that checks the path next has the same
                             // timeout.
                             pause(Millis(180 + round * 10));
                             mesh_.removeRegistryEntry("n1");
                             pause(Millis(20));
                             mesh_.setLinkFault(1, {{"fromTarget", {{"hold", false}}}});
                         }});
        const std::string log = mesh_.log(0);
        const std::string end = log.substr(log.size() - std::min<std::size_t>(log.size(), 1500));
        CAPTURE(end);
        REQUIRE(mesh_.node(0).running());
        REQUIRE(eventually([&] { return mesh_.allServing(); }));
    }
}
