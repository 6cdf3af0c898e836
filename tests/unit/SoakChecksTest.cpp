#include "tests/soak/Checks.h"

#include <doctest/doctest.h>

#include <set>

using namespace waxwing;
using namespace waxwing::soak;

namespace {

constexpr Millis start{1000000};

Observation served(const std::string &id, bool idempotent)
{
    Observation one;
    one.id = id;
    one.idempotent = idempotent;
    one.customer = "firm";
    one.key = "key-of-firm";
    one.sent = start;
    one.ended = start + Millis(30);
    one.status = 200;
    one.body = "whole answer to " + id;
    one.expectedBody = one.body;
    one.respondedId = id;
    return one;
}

/** A run without a violation: a request of each kind that was served, and one that was refused. */
RunRecord soundRecord()
{
    RunRecord record;
    record.observations = {served("look", true), served("book", false), served("refused", false)};
    record.observations[2].status = 503;
    record.observations[2].body.clear();
    record.executions = {{"look", start, "firm"}, {"look", start + Millis(5), "firm"}, {"book", start, "firm"}};
    record.quota = QuotaBound{"small", 1, 1, Millis(1000), 0, 0};
    record.keys = {"key-of-firm"};
    record.lastFaultEnded = start;
    record.servedAgain = {start + Millis(100)};
    return record;
}

std::set<std::string> failedChecks(const RunRecord &record)
{
    std::set<std::string> names;
    for (const auto &check : allChecks()) {
        for (const soak::Finding &finding : check->judge(record)) {
            names.insert(finding.check);
        }
    }
    return names;
}

using Names = std::set<std::string>;

} // namespace

TEST_CASE("soak checks, run without a violation, have no finding")
{
    CHECK(failedChecks(soundRecord()).empty());
}

// Guards against a check that is blind: each violation must be found by its own check and by no other.
TEST_CASE("soak checks, one violation of each promise, is found by its check")
{
    RunRecord record = soundRecord();
    SUBCASE("booking runs twice")
    {
        record.executions.push_back({"book", start + Millis(9), "firm"});
        CHECK(failedChecks(record) == Names{"at-most-once"});
    }
    SUBCASE("refused booking has run")
    {
        record.executions.push_back({"refused", start, "firm"});
        CHECK(failedChecks(record) == Names{"not-run-is-true"});
    }
    SUBCASE("response is cut")
    {
        record.observations[0].body.pop_back();
        CHECK(failedChecks(record) == Names{"own-whole-response"});
    }
    SUBCASE("pipelined responses change places")
    {
        record.observations[0].pipeline = 1;
        record.observations[1].pipeline = 1;
        std::swap(record.observations[0].respondedId, record.observations[1].respondedId);
        CHECK(failedChecks(record) == Names{"own-whole-response", "pipeline-order"});
    }
    SUBCASE("server sees a key")
    {
        record.executions[0].customer = "!";
        CHECK(failedChecks(record) == Names{"keys-and-customers"});
    }
    SUBCASE("key that was taken away works")
    {
        record.takenKeys = {{"key-of-firm", start - Millis(1), start + Millis(1000)}};
        CHECK(failedChecks(record) == Names{"keys-and-customers"});
    }
    SUBCASE("key in a log")
    {
        record.output = "event=refused key=key-of-firm";
        CHECK(failedChecks(record) == Names{"keys-and-customers"});
    }
    SUBCASE("quota is exceeded")
    {
        record.executions.insert(
            record.executions.end(),
            {{"s1", start, "small"}, {"s2", start + Millis(400), "small"}, {"s3", start + Millis(999), "small"}});
        CHECK(failedChecks(record) == Names{"quota"});
    }
    SUBCASE("node does not serve again in time")
    {
        record.servedAgain = {start + recoveryBound + Millis(1)};
        CHECK(failedChecks(record) == Names{"served-again"});
    }
    SUBCASE("process ends")
    {
        record.ends = {{"n0", start, 1, ""}};
        CHECK(failedChecks(record) == Names{"no-process-ends"});
    }
    SUBCASE("stop breaks a request off")
    {
        record.observations[0].status = 0;
        record.observations[0].respondedId.clear();
        record.observations[0].brokenOff = true;
        record.observations[0].ended = start + Millis(500);
        record.outages = {{0, start + Millis(400), start + Millis(600)}};
        record.stops = {{0, start + Millis(400), start + Millis(600), 0}};
        CHECK(failedChecks(record) == Names{"graceful-stop"});
    }
    SUBCASE("stop gives a request up")
    {
        record.observations[0].status = 504;
        record.observations[0].ended = start + Millis(500);
        record.stops = {{0, start + Millis(400), start + Millis(600), 0}};
        CHECK(failedChecks(record) == Names{"graceful-stop"});
    }
    SUBCASE("request at a node that runs gets no response")
    {
        record.observations[0].status = 0;
        record.observations[0].respondedId.clear();
        CHECK(failedChecks(record) == Names{"each-is-answered"});
    }
}
