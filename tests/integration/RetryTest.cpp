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

/**
 * The bookings of the first server make two calls to the service "desk", which the test sends in the server's place.
 * One booking runs at a time, for longer than half of the time that a caller gives it.
 */
class CallingServer
{
protected:
    CallingServer()
        : mesh_(options())
    {
        mesh_.configure(2, "other");
        setDeskMode({{"workMs", 5}});
        REQUIRE(eventually([this] { return mesh_.countLogLines(0, {"event=config_in_force", "version=2"}) > 0; }));
    }

    static MeshOptions options()
    {
        MeshOptions out;
        out.services = {"other", "desk", "desk"};
        out.slots = 1;
        out.workMs = 800;
        out.objectiveMs = 700;
        out.timeoutMs = 1400;
        out.callAdmission = true;
        return out;
    }

    void setDeskMode(const nlohmann::json &mode)
    {
        mesh_.setServerMode(1, mode);
        mesh_.setServerMode(2, mode);
    }

    std::string nextId()
    {
        return "c" + std::to_string(next_++);
    }

    /** Runs a booking during which the server makes two calls. */
    void bookWithCalls()
    {
        const auto call = [this](Millis delay) {
            return [this, delay] {
                pause(delay);
                (void)mesh_.send(0, nextId(), "/dates/1");
            };
        };
        runConcurrently({[this] { (void)mesh_.send(0, nextId(), "/seats/1"); }, call(Millis(250)), call(Millis(450))});
    }

    /**
     * Sends a booking, and three more while it runs. Returns the refusals of those because their calls are expected to
     * fail.
     */
    std::vector<HttpResponse> refusalsBesideBooking()
    {
        std::vector<HttpResponse> refusals;
        const auto book = [&](Millis delay) {
            return [&, delay] {
                pause(delay);
                const auto response = mesh_.send(0, nextId(), "/seats/1");
                if (response && response->body.text().find("calls-unserved") != std::string::npos) {
                    refusals.push_back(*response);
                }
            };
        };
        runConcurrently({book(Millis(0)), book(Millis(130)), book(Millis(200)), book(Millis(270))});
        return refusals;
    }

    Mesh mesh_;
    int next_ = 0;
};

} // namespace

// Guards against requests that wait for a slot until their deadline although the service that they call sheds all load,
// and against evidence that never reaches the home.
TEST_CASE_FIXTURE(CallingServer, "nested calls, called service sheds, waiting requests are refused until it recovers")
{
    // Requests that come only while the server is busy are recognized as its calls after five idle periods.
    constexpr int trainingRuns = 7;
    for (int i = 0; i < trainingRuns; ++i) {
        bookWithCalls();
        pause(Millis(500));
    }
    CHECK(refusalsBesideBooking().empty());
    setDeskMode({{"shedPercent", 100}});
    bookWithCalls();
    const std::vector<HttpResponse> refusals = refusalsBesideBooking();
    CHECK(mesh_.countLogLines(0, {"event=call_service_degraded", "service=desk"}) == 1);
    REQUIRE(!refusals.empty());
    CHECK(refusals[0].status == 503);
    CHECK(std::stoi(std::string(headerValue(refusals[0].headers, "Retry-After"))) >= 2);
    setDeskMode({{"workMs", 5}});
    bookWithCalls();
    bookWithCalls();
    CHECK(eventually([this] { return mesh_.countLogLines(0, {"event=call_service_recovered"}) == 1; }));
    CHECK(refusalsBesideBooking().empty());
}

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
