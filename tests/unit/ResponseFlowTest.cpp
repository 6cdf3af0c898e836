#include "src/http/ResponseFlow.h"

#include "tests/support/ManualClock.h"

#include <doctest/doctest.h>

#include <map>
#include <vector>

using namespace waxwing;
using namespace waxwing::testing;

namespace {

constexpr std::uint64_t kilobyte = 1024;

/** A node with a bound of 2 MB. */
struct SmallNode {
    SmallNode()
        : flow(settings(), clock,
               ResponseFlow::Hooks{[this](const SlowReader &reader) { slow.push_back(reader.requestId); },
                                   [this](const SlowReader &reader, const std::string &reason) {
                                       closed.push_back(reader.requestId + " " + reason);
                                   },
                                   [this](std::uint64_t bytes) { held = bytes; }})
    { }

    static FlowSettings settings()
    {
        FlowSettings out;
        out.nodeBytes = 2048 * kilobyte;
        return out;
    }

    ByteBudget::Id add(const std::string &requestId, std::uint64_t bytes = 540 * kilobyte)
    {
        const auto id = flow.reserve(requestId, 0);
        REQUIRE(id);
        flow.addResponse(*id, requestId, bytes, [this, requestId] { resets.push_back(requestId); });
        return *id;
    }

    ManualClock clock;
    std::vector<std::string> slow;
    std::vector<std::string> closed;
    std::vector<std::string> resets;
    std::uint64_t held = 0;
    ResponseFlow flow;
};

} // namespace

TEST_CASE_FIXTURE(SmallNode, "response flow, response that takes longer than a second, is reported once as slow")
{
    const auto id = add("a");
    flow.noteProgress(id, 1000);
    CHECK(slow.empty());
    clock.advance(Millis(1200));
    flow.noteProgress(id, 1000);
    flow.noteProgress(id, 1000);
    CHECK(slow == std::vector<std::string>{"a"});
    flow.release(id);
    CHECK(held == 0);
}

TEST_CASE_FIXTURE(SmallNode, "response flow, caller that reads nothing, is reported as slow and as closed")
{
    const auto id = add("a");
    clock.advance(std::chrono::seconds(10));
    flow.noteStalled(id);
    CHECK(slow == std::vector<std::string>{"a"});
    CHECK(closed == std::vector<std::string>{"a stall"});
    flow.release(id);
    CHECK(held == 0);
}

TEST_CASE_FIXTURE(SmallNode,
                  "response flow, responses beyond twice the bound, reset the slowest reader and free its bytes")
{
    // Guards against a node that exceeds its memory because responses are larger than their routes' earlier ones.
    std::map<std::string, ByteBudget::Id> reserved;
    for (const char *name : {"a", "b", "c"}) {
        reserved[name] = flow.reserve(name, 0).value();
    }
    const auto respond = [&](const std::string &name) {
        flow.addResponse(reserved[name], name, 1500 * kilobyte, [this, name] { resets.push_back(name); });
    };
    respond("a");
    respond("b");
    flow.noteProgress(reserved["a"], 100 * kilobyte);
    flow.noteProgress(reserved["b"], 90 * kilobyte);
    clock.advance(Millis(1500));
    CHECK(resets.empty());
    respond("c");
    CHECK(resets == std::vector<std::string>{"b"});
    CHECK(closed == std::vector<std::string>{"b node-bytes"});
    CHECK(held == 3000 * kilobyte);
    flow.release(reserved["b"]);
    CHECK(held == 3000 * kilobyte);
}
