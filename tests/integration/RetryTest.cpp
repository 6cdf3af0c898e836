#include "platform/Names.h"
#include "tests/support/Mesh.h"

#include <doctest/doctest.h>

using namespace waxwing;
using namespace waxwing::testing;

namespace {

/** A mesh with one server for the lookups, so that a retry finds no other home. */
class SingleHome
{
protected:
    SingleHome()
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

    int allowedRetries() const
    {
        return mesh_.countLogLines(0, {"event=retry_requested", "allowed=yes"});
    }

    Mesh mesh_;
};

} // namespace

// Guards against a failed lookup that uses up the fleet's retry budget although no other home can accept it.
TEST_CASE_FIXTURE(SingleHome, "retry, lookup fails at the only home, is allowed once at most")
{
    mesh_.setServerMode(1, {{"mode", "unsigned"}, {"workMs", 20}});
    const auto response = mesh_.send(0, "fails", "/dates/1");
    REQUIRE(response);
    CHECK(response->status == 502);
    REQUIRE(eventually([&] { return mesh_.countLogLines(0, {"event=answered", "request=fails"}) == 1; }));
    CHECK(allowedRetries() <= 1);
}

// Guards against a reply that is ready at a home but never fetched, because the first queries did not reach the home.
TEST_CASE_FIXTURE(SingleHome,
                  "retry, reply held back by a path failure that heals before the timeout, reaches the caller")
{
    unsigned status = 0;
    runConcurrently({[&] {
                         const auto response = mesh_.send(0, "held-up", "/dates/1");
                         status = response ? response->status : 0;
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
