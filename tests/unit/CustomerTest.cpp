#include "include/customer/KeyAdmission.h"
#include "platform/CallerDialect.h"
#include "platform/ConfigDecoder.h"
#include "platform/Names.h"

#include <boost/beast/core/string.hpp>
#include <doctest/doctest.h>

#include <algorithm>
#include <random>

using namespace waxwing;

namespace {

namespace names = platform::names;

CustomerTable tableOf(int customers)
{
    CustomerTable table;
    for (int i = 0; i < customers; ++i) {
        const std::string number = std::to_string(i);
        const std::string name = "name" + number;
        Customer customer;
        customer.name = name;
        customer.quota = QuotaLimit{static_cast<double>(i), 2.0};
        table.add(customer, {"first-key-of-" + number, "second-key-of-" + number});
    }
    REQUIRE(table.finish().empty());
    return table;
}

platform::CallerRequest decodeWith(const HeaderList &headers)
{
    HttpRequest request{"GET", "/dates/1", {{"Host", "desk.example"}, {names::requestId, "a1"}}, {}};
    request.headers.insert(request.headers.end(), headers.begin(), headers.end());
    const auto decoded = platform::decodeCallerRequest(request, "desk");
    REQUIRE(decoded);
    return *decoded;
}

/** Returns how many headers have @p name, in any case. */
std::ptrdiff_t countOf(const HttpRequest &request, std::string_view name)
{
    return std::count_if(request.headers.begin(), request.headers.end(),
                         [name](const auto &header) { return boost::beast::iequals(header.first, name); });
}

Credential::Kind kindOf(const std::string &value)
{
    return decodeWith({{names::credential, value}}).credential.kind;
}

FleetConfig configOf(const std::string &customers)
{
    Findings findings;
    FleetConfig config = platform::decodeConfig(R"({"version":"r1","listeners":[{"host":"h","rules":[)"
                                                R"({"name":"closed","kind":"safe","match":{"path_prefix":"/dates/"},)"
                                                R"("action":{"service":"desk"}},)"
                                                R"({"name":"open","kind":"safe","public":true,)"
                                                R"("match":{"path_prefix":"/open/"},"action":{"service":"desk"}}]}])"
                                                    + customers + "}",
                                                findings);
    REQUIRE(findings.empty());
    return config;
}

class KeyCheck
{
protected:
    Admission admit(const std::string &path, const Credential &credential, std::optional<Millis> age = Millis(100))
    {
        const std::optional<Duration> configAge = age ? std::optional<Duration>(*age) : std::nullopt;
        return admitCaller(config_, AdmissionQuery{*config_.routeFor("h", path), credential, configAge},
                           KeyAdmissionTuning{Millis(4700)});
    }

    FleetConfig config_ = configOf(R"(,"tenants":[{"name":"firm","api_keys":["good"],"priority":3}])");
    Credential none_;
    Credential good_{Credential::Kind::Key, "good"};
    Credential unknown_{Credential::Kind::Key, "other"};
};

} // namespace

TEST_CASE("customer table, any number of customers, finds each by each of its keys and no other")
{
    const CustomerTable table = tableOf(20000);
    for (int i = 0; i < 20000; i += 7) {
        const std::string number = std::to_string(i);
        for (const char *key : {"first-key-of-", "second-key-of-"}) {
            const auto found = table.findByKey(key + number);
            REQUIRE(found);
            CHECK(found->name == "name" + number);
            CHECK(found->quota.ratePerSecond == i);
        }
        CHECK_FALSE(table.findByKey("third-key-of-" + number));
    }
    CHECK_FALSE(table.findByKey(""));
    CHECK_FALSE(CustomerTable().findByKey("any"));
}

// The planned size is 510,000 customers of two keys in 40 MB.
TEST_CASE("customer table, two keys a customer, stays within its memory")
{
    constexpr double bytesPerCustomer = 40.0e6 / 510000.0;
    CHECK(static_cast<double>(tableOf(20000).memoryBytes()) / 20000.0 < bytesPerCustomer);
}

// Guards against a key that gives access to the wrong customer because two customers hold it.
TEST_CASE("customer table, key of two customers, belongs to neither and is reported")
{
    CustomerTable table;
    Customer customer;
    customer.name = "a";
    table.add(customer, {"own", "shared"});
    customer.name = "b";
    table.add(customer, {"shared"});
    const auto conflicts = table.finish();
    REQUIRE(conflicts.size() == 1);
    CHECK(conflicts[0].customer == 1);
    CHECK(conflicts[0].key == 0);
    CHECK_FALSE(table.findByKey("shared"));
    CHECK(table.findByKey("own"));
}

TEST_CASE_FIXTURE(KeyCheck, "key check, keys and routes of each kind, admits the right requests only")
{
    CHECK(admit("/dates/1", good_).customer->name == "firm");
    CHECK(admit("/dates/1", good_).customer->priority == 3);
    CHECK(admit("/dates/1", none_).result == AdmissionResult::Unauthorized);
    CHECK(admit("/dates/1", unknown_).result == AdmissionResult::Unauthorized);
    CHECK(admit("/dates/1", {Credential::Kind::Malformed, ""}).result == AdmissionResult::Unauthorized);
    CHECK(admit("/open/1", none_).result == AdmissionResult::Admitted);
    CHECK(admit("/open/1", unknown_).result == AdmissionResult::Admitted);
    CHECK_FALSE(admit("/open/1", unknown_).customer);
}

// Guards against a key that was taken away and still works at a node that has not heard of it.
TEST_CASE_FIXTURE(KeyCheck,
                  "key check, configuration not proven within the bound, refuses every key but not public routes")
{
    CHECK(admit("/dates/1", good_, Millis(4700)).result == AdmissionResult::Admitted);
    CHECK(admit("/dates/1", good_, Millis(4701)).result == AdmissionResult::Unconfirmed);
    CHECK(admit("/dates/1", good_, std::nullopt).result == AdmissionResult::Unconfirmed);
    CHECK(admit("/dates/1", unknown_, Millis(4701)).result == AdmissionResult::Unconfirmed);
    CHECK(admit("/open/1", none_, std::nullopt).result == AdmissionResult::Admitted);
    CHECK_FALSE(admit("/open/1", good_, Millis(4701)).customer);
}

TEST_CASE("key check, configuration without customers, needs no key and forwards credentials unchanged")
{
    const FleetConfig config = configOf("");
    CHECK_FALSE(config.requiresKeys);
    const Admission admission = admitCaller(config, AdmissionQuery{*config.routeFor("h", "/dates/1"), {}, std::nullopt},
                                            KeyAdmissionTuning{Millis(4700)});
    CHECK(admission.result == AdmissionResult::Admitted);
}

TEST_CASE("credential, scheme in any case and spacing, is read")
{
    for (const char *value : {"Bearer abc", "bearer abc", "BEARER   abc", "Bearer \t abc", "bEaReR abc  "}) {
        const Credential credential = decodeWith({{"AUTHORIZATION", value}}).credential;
        CHECK(credential.kind == Credential::Kind::Key);
        CHECK(credential.key == "abc");
    }
    CHECK(decodeWith({}).credential.kind == Credential::Kind::None);
}

TEST_CASE("credential, a hundred malformed ones, none is taken for a key")
{
    for (const char *value : {"", "Bearer", "Bearer ", "Bearer\t", "Basic abc", "Bearerabc", "Bearer a b", "abc"}) {
        CHECK(kindOf(value) == Credential::Kind::Malformed);
    }
    std::mt19937 random(17);
    const std::string characters = "Bearer \tabc=,;:\"\\\x01\x7f\xff";
    for (int i = 0; i < 100; ++i) {
        std::string value;
        for (int length = static_cast<int>(random() % 24); length > 0; --length) {
            value += characters[random() % characters.size()];
        }
        // A blank between two other characters makes a second word in any case.
        CHECK(kindOf("Bearer a" + value + " b") == Credential::Kind::Malformed);
        CHECK(kindOf("x" + value) == Credential::Kind::Malformed);
    }
}

// Guards against a second credential that another hop reads instead of the one that was checked.
TEST_CASE("credential, sent twice, is malformed even if both are the same")
{
    const auto decoded = decodeWith({{names::credential, "Bearer abc"}, {"authorization", "Bearer abc"}});
    CHECK(decoded.credential.kind == Credential::Kind::Malformed);
    CHECK(decoded.credential.key.empty());
}

// Guards against a customer that a caller names itself, and a key that reaches the server.
TEST_CASE("caller request, forged customer and several credentials, the server sees neither")
{
    auto decoded = decodeWith({{names::customer, "forged"},
                               {"waxwingcove-TENANT", "forged"},
                               {names::credential, "Bearer abc"},
                               {"AUTHORIZATION", "Bearer def"}});
    CHECK(countOf(decoded.forward, names::customer) == 0);
    platform::removeCredential(decoded.forward);
    CHECK(countOf(decoded.forward, names::credential) == 0);
    platform::addCustomer(decoded.forward, "firm");
    CHECK(headerValue(decoded.forward.headers, names::customer) == "firm");
    CHECK(countOf(decoded.forward, names::customer) == 1);
}

TEST_CASE("error response, key is missing or unknown, names the scheme")
{
    const HttpResponse response = platform::errorResponse(401, "a1", "unknown-key", Millis(0));
    CHECK(headerValue(response.headers, "WWW-Authenticate") == names::credentialScheme);
}

// Guards against one faulty customer that keeps a whole version, and with it a key that is taken away, out of force.
TEST_CASE("customers of a configuration, some of them faulty, the others are in force and each fault has its place")
{
    const FleetConfig config = configOf(R"(,"tenants":[
        {"name":"good","api_keys":["k1"],"rate_per_s":5,"burst":7,"priority":0},
        {"name":"","api_keys":["k2"]},
        {"name":"good","api_keys":["k3"]},
        {"name":"limits","api_keys":["","k4"],"rate_per_s":-1,"burst":1e30},
        {"name":"thief","api_keys":["k4"]}])");
    CHECK(config.requiresKeys);
    REQUIRE(config.customers.findByKey("k1"));
    CHECK(config.customers.findByKey("k1")->quota == QuotaLimit{5.0, 7.0});
    CHECK(config.customers.findByKey("k1")->priority == 0);
    for (const char *key : {"k2", "k3", "k4"}) {
        CHECK_FALSE(config.customers.findByKey(key));
    }
    const std::string warnings = config.warnings.text();
    for (const char *place : {"/tenants/1/name", "/tenants/2/name", "/tenants/3/api_keys/0", "/tenants/3/rate_per_s",
                              "/tenants/3/burst", "/tenants/4"}) {
        CHECK(warnings.find(place) != std::string::npos);
    }
    for (const char *key : {"k1", "k2", "k3", "k4"}) {
        CHECK(warnings.find(key) == std::string::npos);
    }
}

TEST_CASE("bounds, revocation and quotas, are read in both forms")
{
    Findings findings;
    const auto texts = platform::decodeBounds(
        R"(["strict_revoke=true","revoke_ms=5000","quota_window_s=5","quota_over=0.1","quota_slack=20"])", findings);
    CHECK(texts.revokeWithin == Millis(5000));
    CHECK(texts.quota.window == Millis(5000));
    CHECK(texts.quota.over == doctest::Approx(0.1));
    CHECK(texts.quota.slack == doctest::Approx(20.0));
    CHECK(platform::decodeBounds(R"({"strict_revoke":true,"revoke_ms":4000})", findings).revokeWithin == Millis(4000));
    CHECK_FALSE(platform::decodeBounds(R"({"strict_revoke":false,"revoke_ms":4000})", findings).revokeWithin);
    CHECK(findings.empty());
}

// Guards against a bound that can't be read and lets keys that were taken away work for ever.
TEST_CASE("bounds, revocation and quotas out of range, defaults hold and each has its place")
{
    Findings findings;
    const auto bounds = platform::decodeBounds(
        R"(["strict_revoke=true","revoke_ms=soon","quota_window_s=0","quota_over=-1","quota_slack=-5"])", findings);
    CHECK(bounds.revokeWithin == Millis(5000));
    CHECK(bounds.quota.window == Millis(5000));
    CHECK(bounds.quota.over == doctest::Approx(0.1));
    CHECK(bounds.quota.slack == doctest::Approx(20.0));
    const std::string text = findings.text();
    for (const char *name : {"revoke_ms", "quota_window_s", "quota_over", "quota_slack"}) {
        CHECK(text.find(std::string("/bounds/") + name) != std::string::npos);
    }
    Findings missing;
    CHECK(platform::decodeBounds(R"(["strict_revoke=true"])", missing).revokeWithin == Millis(5000));
}
