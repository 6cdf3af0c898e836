#include "platform/ObjectParser.h"
#include "include/base/JsonReader.h"
#include "platform/ConfigDecoder.h"
#include "platform/DepartureRecord.h"
#include "platform/JsonScanner.h"
#include "platform/Names.h"
#include "platform/ServerDialect.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace waxwing;
using namespace waxwing::platform;

namespace {

/** Deep enough to overflow any stack of a function that calls itself for each level. */
constexpr std::size_t deepLevels = 1000000;

const std::string deepList = std::string(deepLevels, '[') + std::string(deepLevels, ']');
const std::vector<std::string> oddValues = {
    deepList, "1e400",   "-1e400", "{\"links\":" + deepList + "}", "{\"links\":1e400}", "[1e400]", "{\"a\"}", "01",
    "tru",    "\"\\x\"", "{]"};

std::string objectText(const std::string &name, int revision, const std::string &spec)
{
    return R"({"metadata":{"name":")" + name + R"(","rev":)" + std::to_string(revision) + R"(},"spec":)" + spec + "}";
}

std::string listText(const std::string &first, const std::string &second)
{
    return R"({"items":[)" + first + ", " + second + R"(],"more":false,"as_of":9})";
}

/** Returns the response to a watch in which @p first was changed and @p second deleted. */
std::string changesText(const std::string &first, const std::string &second)
{
    return R"({"as_of":9,"events":[{"object":)" + first + R"(,"deleted":false},{"object":)" + second
           + R"(,"deleted":true}]})";
}

} // namespace

// Guards against nodes that end, or stop following a list, because another writer left one odd value in it.
TEST_CASE("store response, one value that can't be read, leaves the other objects readable")
{
    for (const std::string &odd : oddValues) {
        CAPTURE(odd.substr(0, 40));
        const std::string good = objectText("good", 3, R"({"b":1, "a":[{}]})");
        const std::string bad = objectText("odd", 4, odd);
        const auto page = parseObjectPage(listText(bad, good));
        REQUIRE(page);
        REQUIRE(page->objects.size() == 2);
        CHECK(page->objects[0].value == odd);
        CHECK_FALSE(normalizedValue(odd).empty());
        CHECK(normalizedValue(page->objects[1].value) == R"({"a":[{}],"b":1})");
        CHECK(page->unreadable == 0);
        const auto events = parseObjectPage(changesText(bad, good));
        REQUIRE(events);
        REQUIRE(events->objects.size() == 2);
        CHECK_FALSE(events->objects[0].deleted);
        CHECK(events->objects[1].deleted);
        const auto alone = parseObject(bad);
        REQUIRE(alone);
        CHECK(alone->version == 4);
    }
}

// Guards against an object without a name that hides the others of its list.
TEST_CASE("store response, object without a readable name or revision, is left out and counted")
{
    const std::string good = objectText("good", 3, "{}");
    for (const std::string &odd :
         {std::string("1e400"), deepList, std::string("{}"), std::string("null"), std::string(R"({"metadata":1e400})"),
          R"({"metadata":)" + deepList + "}", std::string(R"({"metadata":{"name":7,"rev":1}})"),
          std::string(R"({"metadata":{"name":"x","rev":-1}})"),
          std::string(R"({"metadata":{"name":"x","rev":1e400}})")}) {
        CAPTURE(odd.substr(0, 40));
        const auto page = parseObjectPage(listText(odd, good));
        REQUIRE(page);
        REQUIRE(page->objects.size() == 1);
        CHECK(page->objects[0].name == "good");
        CHECK(page->unreadable == 1);
    }
}

// Guards against a part of a list that passes for the whole one.
TEST_CASE("store response, any part of it, is malformed")
{
    const std::string body = listText(objectText("a", 1, R"({"x":"]}\"\\"})"), objectText("b", 2, "[]"));
    REQUIRE(parseObjectPage(body));
    for (std::size_t length = 0; length < body.size(); ++length) {
        CAPTURE(length);
        CHECK_FALSE(parseObjectPage(body.substr(0, length)));
    }
    CHECK_FALSE(parseObjectPage(body + "x"));
    CHECK_FALSE(parseObjectPage(R"({"as_of":3})"));
    CHECK_FALSE(parseObjectPage(R"({"items":[],"as_of":1e400})"));
    CHECK_FALSE(parseObjectPage(R"({"items":{},"as_of":3})"));
}

// Guards against a process that ends while it decodes what others wrote.
TEST_CASE("decoders of texts, odd values, refuse them and return")
{
    for (const std::string &odd : oddValues) {
        CAPTURE(odd.substr(0, 40));
        CHECK_FALSE(decodeRegistryEntry("n", odd, 1));
        CHECK_FALSE(decodeDeparture(odd));
        Findings ofConfig;
        decodeConfig(odd, ofConfig);
        CHECK_FALSE(ofConfig.empty());
        Findings ofRoutes;
        decodeConfig(R"({"version":"r1","listeners":)" + odd + "}", ofRoutes);
        CHECK_FALSE(ofRoutes.empty());
        Findings ofSettings;
        parseJsonWithComments(odd == deepList ? "{" + odd : "[1e400]", "settings", ofSettings);
        CHECK_FALSE(ofSettings.empty());
        const HttpRequest heartbeat{"POST", std::string(names::serverCalls) + "i-1/" + names::heartbeatCall, {}, odd};
        const auto call = decodeServerCall(heartbeat);
        REQUIRE(call);
        CHECK_FALSE(*call);
        const HttpRequest leave{"POST", std::string(names::serverCalls) + "i-1/" + names::leaveCall, {}, odd};
        CHECK(decodeServerCall(leave));
    }
}

TEST_CASE("JSON scanner, texts, splits them at their own commas")
{
    const auto members = splitObject(R"( { "a" : [1,{"b":"},]"}] , "c\"" : "x,\\" , "d":{} } )");
    REQUIRE(members);
    REQUIRE(members->size() == 3);
    CHECK((*members)[0].name == "a");
    CHECK((*members)[0].value == R"([1,{"b":"},]"}] )");
    CHECK((*members)[1].name == "c\\\"");
    CHECK((*members)[2].value == "{} ");
    REQUIRE(splitObject("{}"));
    CHECK(splitObject(" { } ")->empty());
    REQUIRE(splitArray("[ ]"));
    CHECK(splitArray("[1, [2,3]]")->size() == 2);
    for (const char *malformed : {"", "[", "{", "[1,]", "[,1]", "{\"a\"}", "{\"a\":}", "{a:1}", "[\"x]", "[\"x\\\"]",
                                  "[1]]", "[1] 2", "{\"a\":1}}", "7"}) {
        CAPTURE(malformed);
        CHECK_FALSE(splitArray(malformed));
        CHECK_FALSE(splitObject(malformed));
    }
    CHECK(nestingDepth("7") == 0);
    CHECK(nestingDepth("[\"[[[\"]") == 1);
    CHECK(nestingDepth("{\"a\":[{}],\"b\":[]}") == 3);
    CHECK(nestingDepth(deepList) == deepLevels);
}
