#include "platform/ConfigDecoder.h"
#include "platform/Names.h"
#include "platform/ObjectApi.h"
#include "platform/ObjectParser.h"
#include "tests/support/ReferenceConfigDecoder.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <functional>
#include <random>

using namespace waxwing;
using namespace waxwing::testing;

namespace {

using nlohmann::json;
using Random = std::mt19937_64;

constexpr int hostCount = 3;
constexpr int prefixCount = 4;
constexpr int keyCount = 6;

std::string hostName(std::uint64_t number)
{
    return "host-" + std::to_string(number % hostCount);
}

std::string prefixName(std::uint64_t number)
{
    return "/p" + std::to_string(number % prefixCount) + "/";
}

std::string keyName(std::uint64_t number)
{
    return "key-" + std::to_string(number % keyCount);
}

std::string jsonTextOf(const std::string &text)
{
    return json(text).dump();
}

/** A value of any type, seldom the expected one. */
std::string anyValue(Random &random)
{
    static const std::vector<std::string> values = {"null",          "true",         "-1",       "7",  "2500.0",
                                                    "1e300",         "\"\"",         "\"text\"", "[]", "[1,[2,{}],{}]",
                                                    R"({"a":[{}]})", R"({"x":"y"})", "{}",       "0",  "\"r7\""};
    return values[random() % values.size()];
}

/** Writes an object. Members are left out, repeated, replaced and reordered at random. */
std::string objectOf(const std::vector<std::pair<std::string, std::string>> &members, Random &random)
{
    constexpr std::uint64_t faultInterval = 250;
    std::vector<std::pair<std::string, std::string>> written;
    for (const auto &[name, value] : members) {
        const std::uint64_t fault = random() % faultInterval;
        if (fault == 0) {
            continue;
        }
        if (fault == 1 || fault == 2) {
            written.emplace_back(name, anyValue(random));
        }
        if (fault != 2) {
            written.emplace_back(name, value);
        }
        if (fault == 3) {
            written.emplace_back(name, anyValue(random));
        }
    }
    if (random() % 3 == 0) {
        std::shuffle(written.begin(), written.end(), random);
    }
    std::string text = random() % 8 == 0 ? "{ // comment\n" : "{";
    for (std::size_t i = 0; i < written.size(); ++i) {
        text += (i == 0 ? "" : ",") + jsonTextOf(written[i].first) + ":" + written[i].second;
    }
    return text + "}";
}

std::string listOf(int count, Random &random, const std::function<std::string()> &element)
{
    constexpr std::uint64_t faultInterval = 150;
    std::string text = "[";
    for (int i = 0; i < count; ++i) {
        text += (i == 0 ? "" : ",") + (random() % faultInterval == 0 ? anyValue(random) : element());
    }
    return text + "]";
}

std::string ruleText(Random &random)
{
    const std::vector<std::string> kinds = {platform::names::retryableKind, platform::names::nonRetryableKind,
                                            platform::names::largeResponseKind, "other"};
    const std::string weighted = listOf(2, random, [&] {
        return objectOf({{"service", "\"s" + std::to_string(random() % 3) + "\""}, {"weight", "3"}}, random);
    });
    const std::string action = objectOf(
        {{"service", "\"desk\""}, {"timeout_ms", "1500"}, {"max_attempts", "2"}, {"weighted_services", weighted}},
        random);
    return objectOf({{"name", "\"rule\""},
                     {"kind", jsonTextOf(kinds[random() % kinds.size()])},
                     {"target_latency_ms", std::to_string(random() % 5000)},
                     {"priority", std::to_string(random() % 300)},
                     {"public", random() % 2 == 0 ? "true" : "false"},
                     {"match", objectOf({{"path_prefix", jsonTextOf(prefixName(random()))}}, random)},
                     {"action", action}},
                    random);
}

std::string customerText(Random &random)
{
    const std::string keys = listOf(2, random, [&] { return jsonTextOf(keyName(random())); });
    return objectOf({{"name", "\"c" + std::to_string(random() % 9) + "\""},
                     {"priority", "2"},
                     {"rate_per_s", "20.5"},
                     {"burst", "4"},
                     {"api_keys", keys}},
                    random);
}

std::string documentText(Random &random)
{
    const std::string listeners = listOf(2, random, [&] {
        return objectOf({{"host", jsonTextOf(hostName(random()))},
                         {"rules", listOf(3, random, [&] { return ruleText(random); })},
                         {"tls", anyValue(random)}},
                        random);
    });
    const std::string limits = objectOf({{"max_header_bytes", "9000"}, {"idle_timeout_ms", "4000"}}, random);
    return objectOf({{"version", "\"r" + std::to_string(random() % 99) + "\""},
                     {"limits", limits},
                     {"listeners", listeners},
                     {"tenants", listOf(4, random, [&] { return customerText(random); })},
                     {"clusters", anyValue(random)}},
                    random);
}

std::string describe(const Route *route)
{
    if (route == nullptr) {
        return "none";
    }
    json services = json::array();
    for (const WeightedService &service : route->services) {
        services.push_back({service.service, service.weight});
    }
    return json({route->name, route->host, route->prefix, route->idempotent, route->responseTime.count(),
                 route->timeout.count(), route->maxAttempts, route->priority, route->isPublic, services})
        .dump();
}

std::string describe(const FleetConfig &config, const Findings &findings)
{
    std::string text = findings.text() + "warnings\n" + config.warnings.text();
    if (!findings.empty()) {
        return text;
    }
    const CallerLimits &limits = config.limits;
    text += json({config.version, config.requiresKeys, config.source, config.routeCount(), config.customers.size(),
                  limits.headerBytes, limits.bodyBytes, limits.headerTimeout.count(), limits.idleTimeout.count()})
                .dump();
    for (int host = 0; host < hostCount; ++host) {
        for (int prefix = 0; prefix < prefixCount; ++prefix) {
            text += "\n" + describe(config.routeFor(hostName(host), prefixName(prefix)));
        }
    }
    for (int key = 0; key < keyCount; ++key) {
        const std::optional<Customer> customer = config.customers.findByKey(keyName(key));
        text += "\n" + (customer ? std::string(customer->name) : "none");
    }
    return text;
}

} // namespace

// Guards against a decoder that reads a document differently from the one before it: members in another order, given
// twice or of a wrong type must lead to the same routes, findings and warnings.
TEST_CASE("configuration decoder, random documents, gives the same result and findings as a tree of the whole document")
{
    constexpr int documents = 4000;
    Random random(7);
    int valid = 0;
    for (int i = 0; i < documents; ++i) {
        std::string text = documentText(random);
        if (random() % 20 == 0) {
            text.erase(random() % text.size(), 1 + random() % 3);
        }
        INFO(text);
        Findings expectedFindings;
        const FleetConfig expected = decodeConfigFromTree(text, expectedFindings);
        Findings findings;
        const FleetConfig decoded = platform::decodeConfig(text, findings);
        REQUIRE(describe(decoded, findings) == describe(expected, expectedFindings));
        valid += findings.empty() ? 1 : 0;
    }
    MESSAGE(valid << " of " << documents << " documents are valid");
    CHECK(valid > documents / 10);
    CHECK(valid < documents * 9 / 10);
}

// Guards against an exception that ends the node: the parser reports such a number by another type of exception.
TEST_CASE("configuration decoder, number beyond all doubles, is reported with its location")
{
    Findings findings;
    platform::decodeConfig("{\"version\":\"r1\",\n\"listeners\":[1e999]}", findings);
    REQUIRE(findings.all().size() == 1);
    CHECK(findings.all().front().place.rfind("config:2:", 0) == 0);
}

TEST_CASE("store response, values as sent, are the same values as those of the whole tree")
{
    constexpr int documents = 500;
    Random random(11);
    for (int i = 0; i < documents; ++i) {
        const std::string spec = random() % 2 == 0 ? documentText(random) : anyValue(random);
        if (!json::accept(spec)) {
            continue;
        }
        const std::string body = R"({"events":[{"object":{"metadata":{"name":"n","rev":3},"spec": )" + spec
                                 + R"( },"deleted":false},{"object":{"metadata":{"name":"m","rev":2}}}],"as_of":3})";
        const auto page = platform::parseObjectPage(body);
        REQUIRE(page);
        REQUIRE(page->objects.size() == 2);
        CHECK(json::parse(page->objects[0].value) == json::parse(spec));
        CHECK(page->objects[0].name == "n");
        CHECK(page->objects[0].version == 3);
        CHECK_FALSE(page->objects[0].deleted);
        CHECK(page->objects[1].name == "m");
        CHECK(page->objects[1].value == "null");
        CHECK(page->revision == 3);
        CHECK(json::parse(platform::normalizedValue(spec)) == json::parse(spec));
        CHECK_FALSE(platform::parseObjectPage(body.substr(0, body.size() - 1 - random() % 20)));
    }
}

// Guards against a node that decodes each version of a burst in turn before the newest one.
TEST_CASE("store response, several states of one object, the newest is first and deleted ones are left out")
{
    const auto stateOf = [](const std::string &name, std::uint64_t version, bool deleted) {
        StoredObject object;
        object.name = name;
        object.version = version;
        object.deleted = deleted;
        return object;
    };
    const std::vector<StoredObject> objects = {stateOf("a", 3, false), stateOf("b", 9, false), stateOf("a", 5, false),
                                               stateOf("a", 6, true), stateOf("a", 4, false)};
    std::vector<std::uint64_t> versions;
    for (const StoredObject *object : newestFirst(objects, "a")) {
        versions.push_back(object->version);
    }
    CHECK(versions == std::vector<std::uint64_t>{5, 4, 3});
}
