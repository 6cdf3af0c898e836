#include "include/base/Cbor.h"
#include "include/home/Announcement.h"
#include "include/intent/ClassIntent.h"
#include "include/member/NodeRecord.h"
#include "include/settings/NodeSettings.h"
#include "include/wire/Messages.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <random>

using namespace waxwing;

namespace {

constexpr int mutationsPerInput = 4000;

/** Replaces, removes, inserts or repeats a few bytes. */
std::string mutated(std::string text, std::mt19937_64 &random)
{
    const auto edits = 1 + random() % 4;
    for (std::uint64_t i = 0; i < edits && !text.empty(); ++i) {
        const std::size_t at = random() % text.size();
        switch (random() % 5) {
        case 0:
            text[at] = static_cast<char>(random());
            break;
        case 1:
            text.erase(at, 1 + random() % 3);
            break;
        case 2:
            text.insert(at, 1, static_cast<char>(random()));
            break;
        case 3:
            text.resize(at);
            break;
        default:
            text.insert(at, text.substr(at, random() % 16));
            break;
        }
    }
    return text;
}

StateUpdate updateWithChanges()
{
    StateUpdate update;
    update.id = 6;
    update.registryChanges =
        RegistryChanges{3, 9, {RegistryEntry{"n1", Endpoint{"127.0.0.1", 7}, "z", "r", "course-desk", 8}}, {{"n2", 9}}};
    return update;
}

std::vector<Message> sampleMessages()
{
    Exec exec;
    exec.id = 7;
    exec.service = "course-desk";
    exec.className = "booking";
    exec.customer = "c\xff";
    exec.remaining = Millis(1500);
    exec.request = HttpRequest{"POST", "/bookings", {{"Host", "course-desk"}}, std::string("\0binary\xff", 8)};
    ExecReply reply;
    reply.id = 7;
    reply.outcome = Outcome::Ran;
    reply.response = HttpResponse{200, {{"A", "b"}}, "body"};
    NodeRecord node;
    node.ref = {"n1", 9};
    node.services = {{"course-desk", 4}};
    const Record record = toRecord(node, 3);
    BucketNames names;
    names.buckets.emplace_back(5, std::vector<RecordName>{{RecordKind::Node, "n1", {9, 3}}});
    ClaimHandover handover{4, {{{"n1", 9}, Millis(55)}}, {{"wx1.n1.9.1.1", 77, Outcome::Ran, {}}}};
    return {Hello{{"n1", 9}},
            exec,
            reply,
            Cancel{7},
            RecordsPush{{record}},
            RecordNames{true, {{RecordKind::Service, "s", {4, 0}}}},
            RecordNames{true, {{RecordKind::Service, "s", {4, 0}}}},
            DigestOffer{},
            names,
            Ping{1},
            Pong{1},
            handover,
            SlotReserve{3, "course-desk", "booking", "c\xff", 1, true, Millis(900), Millis(-5), Millis(40)},
            SlotOffer{3, Millis(50), "", {}},
            SlotOffer{4, Millis(0), "busy", {}},
            SlotRelease{3},
            HomeReports{{{"n1", 9, Millis(40), {}}, {"n2", 7, Millis(0), {}}}},
            updateWithChanges()};
}

const std::string settingsText = R"({ // comment
    "node": "n1", "zone": "z", "region": "r", "objectApi": "127.0.0.1:7000", "seeds": ["127.0.0.1:7101"],
    "listen": {"callers": "127.0.0.1:1", "peers": "127.0.0.1:2", "operators": "127.0.0.1:3"},
    "limits": {"bodyBytes": 4096}, "times": {"ping": "1s", "pingTimeout": "3s"}})";

const std::string intentText =
    R"({"schema": 1, "classes": {"booking": {"routes": [{"methods": ["POST"], "prefix": "/b"}],
    "idempotent": false, "responseTime": "300ms", "successRate": "99.5%", "healthyCapacityFloor": "8 servers"}}})";

Findings settingsFindings(const std::string &text)
{
    Findings findings;
    parseNodeSettings(text, "s.json", findings);
    return findings;
}

Findings intentFindings(const std::string &text)
{
    Findings findings;
    parseServiceIntent("course-desk", nlohmann::json::parse(text), findings);
    return findings;
}

} // namespace

TEST_CASE("messages, each kind encoded and decoded, are unchanged")
{
    for (const Message &message : sampleMessages()) {
        const std::string bytes = encodeMessage(message);
        const auto back = decodeMessage(bytes);
        REQUIRE(back);
        CHECK(back->index() == message.index());
        CHECK(encodeMessage(*back) == bytes);
    }
}

// Guards against a number that another node took from a server in trouble and that reaches a caller as a status.
TEST_CASE("replies, status that is none of HTTP, decode as unknown without a response")
{
    WorkReply reply;
    reply.id = 5;
    FenceReply fenced;
    ExecReply own;
    ClaimHandover handover;
    for (const unsigned status : {0U, 99U, 100U, 199U, 600U, 999U, 70000U}) {
        CAPTURE(status);
        reply.outcome = Outcome::Ran;
        reply.response = HttpResponse{status, {{"A", "b"}}, "body"};
        fenced.reply = reply;
        own.outcome = Outcome::NotRun;
        own.response = reply.response;
        handover.claims = {{"wx1.n1.9.1.1", 77, Outcome::Ran, reply.response}};
        const auto work = std::get<WorkReply>(decodeMessage(encodeMessage(reply)).value());
        CHECK(work.id == 5);
        CHECK(work.outcome == Outcome::Unknown);
        CHECK(work.serverFault);
        CHECK(work.response.headers.empty());
        const auto fence = std::get<FenceReply>(decodeMessage(encodeMessage(fenced)).value());
        REQUIRE(fence.reply);
        CHECK(fence.reply->outcome == Outcome::Unknown);
        const auto exec = std::get<ExecReply>(decodeMessage(encodeMessage(own)).value());
        CHECK(exec.outcome == Outcome::Unknown);
        CHECK(exec.response.body.empty());
        const auto claims = std::get<ClaimHandover>(decodeMessage(encodeMessage(handover)).value()).claims;
        REQUIRE(claims.size() == 1);
        CHECK(claims.front().outcome == Outcome::Unknown);
    }
}

// Guards against a node that ends because the stack of a fiber doesn't hold the nesting of a message.
TEST_CASE("messages, nested without a bound, are malformed")
{
    constexpr std::size_t levels = 1000000;
    const auto repeated = [](const std::string &text) {
        std::string out;
        for (std::size_t i = 0; i < levels; ++i) {
            out += text;
        }
        return out;
    };
    // Arrays, arrays of two, arrays that end with a break, maps, maps that end with a break, tags, strings in parts.
    for (const char *head : {"\x81", "\x82\x01", "\x9f", "\xa1\x61k", "\xbf\x61k", "\xc1", "\x5f", "\x98\x01",
                             "\x9b\xff\xff\xff\xff\xff\xff\xff\xff"}) {
        CAPTURE(head);
        const std::string bytes = repeated(head);
        CHECK_FALSE(decodeMessage(bytes));
        CHECK_FALSE(decodeMessage("\x83" + bytes));
        CHECK_FALSE(nodeFromRecord(Record{RecordKind::Node, "n1", {9, 3}, {bytes.begin(), bytes.end()}}));
    }
    const nlohmann::json wide(std::vector<int>(100000, 7));
    CHECK(parseCbor(nlohmann::json::to_cbor(wide)) == wide);
    nlohmann::json deep = 1;
    for (int i = 0; i < 60; ++i) {
        deep = i % 2 == 0 ? nlohmann::json::array({deep, "x"}) : nlohmann::json{{"k", deep}};
    }
    CHECK(parseCbor(nlohmann::json::to_cbor(deep)) == deep);
}

TEST_CASE("decoders, mutated input, accept or reject it and never fail otherwise")
{
    // Guards against a node that crashes on malformed bytes from a faulty peer, server or operator and loses the
    // requests of its callers.
    std::mt19937_64 random(20261203);
    int refused = 0;
    for (const Message &message : sampleMessages()) {
        const std::string bytes = encodeMessage(message);
        for (int i = 0; i < mutationsPerInput; ++i) {
            refused += decodeMessage(mutated(bytes, random)) ? 0 : 1;
        }
    }
    CHECK(refused > mutationsPerInput);
    const std::string announcement =
        announcementJson(Announcement{"s", "a", 1, "127.0.0.1", 80, 3, 400, ServerState::Serving});
    for (int i = 0; i < mutationsPerInput; ++i) {
        Findings findings;
        parseAnnouncement(mutated(announcement, random), findings);
        Findings ofSettings;
        parseNodeSettings(mutated(settingsText, random), "s.json", ofSettings);
        const nlohmann::json document = nlohmann::json::parse(mutated(intentText, random), nullptr, false);
        Findings ofIntent;
        parseServiceIntent("course-desk", document, ofIntent);
    }
}

TEST_CASE("settings, valid text with comments, are read completely")
{
    Findings findings;
    const NodeSettings settings = parseNodeSettings(settingsText, "s.json", findings);
    CHECK(findings.text().empty());
    CHECK(settings.limits.bodyBytes == 4096);
    CHECK(settings.advertisedPeers.port == 2);
}

// Guards against a default that enables the admission, and against a setting that has no effect.
TEST_CASE("settings, admission of requests with nested calls, is off unless set")
{
    Findings findings;
    CHECK_FALSE(parseNodeSettings(settingsText, "s.json", findings).nestedCalls.admission);
    std::string text = settingsText;
    text.insert(text.find('{') + 1, R"("nestedCalls": {"admission": true},)");
    CHECK(parseNodeSettings(text, "s.json", findings).nestedCalls.admission);
    CHECK(findings.text().empty());
}

// Guards against nodes that wait for each other at a restart because the default is that of a first start.
TEST_CASE("settings, first start of the whole fleet, is off unless set")
{
    Findings findings;
    CHECK_FALSE(parseNodeSettings(settingsText, "s.json", findings).bootstrap);
    std::string text = settingsText;
    text.insert(text.find('{') + 1, R"("bootstrap": true,)");
    CHECK(parseNodeSettings(text, "s.json", findings).bootstrap);
    CHECK(findings.text().empty());
}

// Guards against a default that changes how much of the retry limit deployments use, and against ignored settings.
TEST_CASE("settings, usable fractions of the retry limit, are 0.75 unless set, and set one by one")
{
    Findings findings;
    const RetrySettings defaults = parseNodeSettings(settingsText, "s.json", findings).retries;
    CHECK(defaults.usableShare == 0.75);
    CHECK(defaults.usableSlack == 0.75);
    std::string text = settingsText;
    text.insert(text.find('{') + 1, R"("retries": {"usableSlack": 0.5},)");
    const RetrySettings changed = parseNodeSettings(text, "s.json", findings).retries;
    CHECK(changed.usableShare == 0.75);
    CHECK(changed.usableSlack == 0.5);
    CHECK(findings.text().empty());
}

// Guards against a fraction above 1, with which the fleet exceeds its limit, and against a mistyped name.
TEST_CASE("settings, usable fractions of the retry limit out of range, are findings with their locations")
{
    const auto findingsWith = [](const std::string &retries) {
        std::string text = settingsText;
        text.insert(text.find('{') + 1, "\"retries\": " + retries + ",");
        return settingsFindings(text).text();
    };
    const std::string text = findingsWith(R"({"usableShare": 1.01, "usableSlack": -0.1, "x": 1})");
    CHECK(text.find("/retries/usableShare: must be a number from 0 to 1") != std::string::npos);
    CHECK(text.find("/retries/usableSlack:") != std::string::npos);
    CHECK(text.find("/retries/x:") != std::string::npos);
    CHECK(findingsWith(R"({"usableShare": "0.5"})").find("/retries/usableShare:") != std::string::npos);
    CHECK(findingsWith("0.5").find("/retries:") != std::string::npos);
    CHECK(findingsWith(R"({"usableShare": 0, "usableSlack": 1})").empty());
}

TEST_CASE("settings, many faults, are all reported with their locations")
{
    const std::string text =
        settingsFindings(R"({"node": "bad name", "zone": 5, "objectApi": "localhost:7000", "color": 1,
        "listen": {"callers": "127.0.0.1:1", "peers": "127.0.0.1:1", "operators": "127.0.0.1"},
        "limits": {"bodyBytes": 1}, "times": {"ping": "5s", "pingTimeout": "3s", "ramp": 10}})")
            .text();
    for (const char *place : {"/node:", "/zone:", "/region:", "/objectApi:", "/color:", "/listen/operators:",
                              "/limits/bodyBytes:", "/times/ramp:", "/times/pingTimeout:", "/listen:"}) {
        INFO(place << " in\n" << text);
        CHECK(text.find(place) != std::string::npos);
    }
    CHECK(settingsFindings("{\n\"node\": }").text().find("s.json:2:") == 0);
}

// Guards against a limit on waiting or buffering that is out of range and is used all the same.
TEST_CASE("settings, waiting and flow limits out of range, are findings with their locations")
{
    const std::string text =
        settingsFindings(R"({"node": "n", "zone": "z", "region": "r", "objectApi": "127.0.0.1:7000",
        "listen": {"callers": "127.0.0.1:1", "peers": "127.0.0.1:2", "operators": "127.0.0.1:3"},
        "waiting": {"minObjective": "-1s", "maxRequests": -1, "limitedCustomers": 1}, "contracts": ["pressure", 3],
        "flow": {"connectionBytes": 2097152, "nodeBytes": 1048576}, "nestedCalls": {"admission": "yes", "x": 1}})")
            .text();
    for (const char *place :
         {"/waiting/minObjective:", "/waiting/maxRequests:", "/waiting/limitedCustomers:", "/flow/connectionBytes:",
          "/contracts/1:", "/nestedCalls/admission:", "/nestedCalls/x:"}) {
        INFO(place << " in\n" << text);
        CHECK(text.find(place) != std::string::npos);
    }
}

TEST_CASE("intents, duplicate routes or a newer schema, are findings")
{
    CHECK(intentFindings(intentText).empty());
    const std::string twice = intentFindings(R"({"classes": {
        "a": {"routes": [{"prefix": "/x"}], "idempotent": true}, "b": {"routes": [{"prefix": "/x"}], "idempotent": true}}})")
                                  .text();
    CHECK(twice.find("/classes/b/routes/0: * /x already belongs to class a") != std::string::npos);
    CHECK(intentFindings(R"({"schema": 2, "classes": {}})").text().find("/schema: version 2 is newer")
          != std::string::npos);
    CHECK(intentFindings(R"({"classes": {"a": {"routes": [{"prefix": "/x"}], "idempotent": true, "deadline": "1ms"}}})")
              .text()
              .find("/classes/a/deadline: is shorter")
          != std::string::npos);
}

// Guards against an empty prefix, past whose end the search for a route reads.
TEST_CASE("intents, route with an empty prefix, are refused with its location")
{
    CHECK(intentFindings(R"({"classes": {"a": {"routes": [{"prefix": "", "methods": ["GET"]}], "idempotent": true}}})")
              .text()
              .find("/classes/a/routes/0/prefix: must begin with /")
          != std::string::npos);
}

TEST_CASE("intent, several matching prefixes, uses the longest and prefers one with methods")
{
    Findings findings;
    const ServiceIntent intent = parseServiceIntent("s", nlohmann::json::parse(R"({"classes": {
        "all": {"routes": [{"prefix": "/"}], "idempotent": true},
        "read": {"routes": [{"prefix": "/a"}], "idempotent": true},
        "write": {"routes": [{"prefix": "/a", "methods": ["POST"]}], "idempotent": false}}})"),
                                                    findings);
    REQUIRE(findings.empty());
    CHECK(intent.classFor("GET", "/a/1")->name == "read");
    CHECK(intent.classFor("POST", "/a?x=1")->name == "write");
    CHECK(intent.classFor("GET", "/ab")->name == "all");
}
