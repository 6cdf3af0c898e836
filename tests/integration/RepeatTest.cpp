#include "platform/Names.h"
#include "tests/support/Mesh.h"

#include <doctest/doctest.h>

using namespace waxwing;
using namespace waxwing::testing;

namespace {

/** One server for the look-ups, so that a repeat finds no other home. */
class OnlyHome
{
protected:
    OnlyHome()
        : mesh_(options())
    { }

    static MeshOptions options()
    {
        MeshOptions out;
        out.services = {"other", "desk", "other"};
        out.proxies = true;
        out.workMs = 300;
        return out;
    }

    int repeatsAllowed() const
    {
        return mesh_.countLogLines(0, {"event=second_send", "allowed=yes"});
    }

    Mesh mesh_;
};

} // namespace

// Guards against a failed look-up that spends the fleet's budget of second sends though no other home can take it.
TEST_CASE_FIXTURE(OnlyHome, "repeat, look-up that fails at the only home, asks for one second send at most")
{
    mesh_.setServerMode(1, {{"mode", "unsigned"}, {"workMs", 20}});
    const auto answer = mesh_.send(0, "fails", "/dates/1");
    REQUIRE(answer);
    CHECK(answer->status == 502);
    REQUIRE(eventually([&] { return mesh_.countLogLines(0, {"event=answered", "request=fails"}) == 1; }));
    CHECK(repeatsAllowed() <= 1);
}

// Guards against an answer that is ready at a home and never fetched, since the home could not be asked at first.
TEST_CASE_FIXTURE(OnlyHome, "repeat, answer held up by a cut that heals in time, reaches the caller")
{
    unsigned status = 0;
    runConcurrently({[&] {
                         const auto answer = mesh_.send(0, "held-up", "/dates/1");
                         status = answer ? answer->status : 0;
                     },
                     [&] {
                         pause(Millis(150));
                         mesh_.setLinkFault(1, {{"fromTarget", {{"hold", true}}}});
                         pause(Millis(2000));
                         mesh_.setLinkFault(1, {{"fromTarget", {{"hold", false}}}});
                     }});
    CHECK(status == 200);
    CHECK(mesh_.executions()["held-up"] == 1);
}
