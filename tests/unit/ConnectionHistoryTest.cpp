#include "src/http/ConnectionHistory.h"

#include <doctest/doctest.h>

#include <string>

using namespace waxwing;

// Guards against the response to an earlier send of a request that passes for the response to its next send.
TEST_CASE("connection history, connection that has carried a request, does not carry it again")
{
    ConnectionHistory history;
    CHECK(history.allows("a"));
    history.add("a");
    CHECK_FALSE(history.allows("a"));
    CHECK(history.allows("b"));
    for (int i = 0; i < 100; ++i) {
        history.add("other-" + std::to_string(i));
    }
    CHECK_FALSE(history.allows("a"));
}

// Guards against connections to peers without request IDs that are never reused.
TEST_CASE("connection history, requests without an ID, share a connection")
{
    ConnectionHistory history;
    for (int i = 0; i < 5000; ++i) {
        history.add("");
    }
    CHECK(history.allows(""));
}

// Guards against a connection whose memory grows with each request that it carries.
TEST_CASE("connection history, connection with many requests, carries no more")
{
    ConnectionHistory history;
    int carried = 0;
    while (carried < 100000 && history.allows(std::to_string(carried))) {
        history.add(std::to_string(carried++));
    }
    CHECK(carried == 1000);
}

// Guards against a late response without an ID that is taken for the response to a later request.
TEST_CASE("connection history, response without an ID, is identified only on a connection with one request")
{
    ConnectionHistory history;
    history.add("a");
    CHECK(history.identifies(ResponseMatch::Unidentified));
    CHECK(history.identifies(ResponseMatch::Matches));
    CHECK_FALSE(history.identifies(ResponseMatch::OtherRequest));
    history.add("b");
    CHECK_FALSE(history.identifies(ResponseMatch::Unidentified));
    CHECK(history.identifies(ResponseMatch::Matches));
    CHECK_FALSE(history.identifies(ResponseMatch::OtherRequest));
}
