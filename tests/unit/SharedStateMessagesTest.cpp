#include "include/wire/Messages.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace waxwing;

namespace {

using nlohmann::json;

/** Positions in a message: of its first field, and of the changes of the registry in a StateUpdate. */
constexpr std::size_t firstField = 2;
constexpr std::size_t registryChangesField = firstField + 6;

json fieldsOf(const Message &message)
{
    return json::from_cbor(encodeMessage(message));
}

Expected<Message> decodeFields(const json &fields)
{
    std::string bytes;
    json::to_cbor(fields, bytes);
    return decodeMessage(bytes);
}

HomeReports sampleReports()
{
    HomeReport report;
    report.node = "n1";
    report.sequence = 1796257895471306ULL;
    report.age = Millis(340);
    report.load.slots = 3;
    report.load.freeSlots = 1;
    report.load.wait = Millis(12);
    report.load.grayProbability = 0.25;
    return HomeReports{{report}};
}

StateUpdate sampleUpdate()
{
    StateUpdate update;
    update.id = 6;
    update.registryChanges =
        RegistryChanges{3, 9, {RegistryEntry{"n1", Endpoint{"127.0.0.1", 7}, "z", "r", "course-desk", 8}}, {{"n2", 9}}};
    return update;
}

} // namespace

TEST_CASE("home reports, encoded and decoded, keep their fields")
{
    const auto message = decodeMessage(encodeMessage(sampleReports()));
    REQUIRE(message);
    const auto &reports = std::get<HomeReports>(*message).reports;
    REQUIRE(reports.size() == 1);
    CHECK(reports[0].node == "n1");
    CHECK(reports[0].sequence == 1796257895471306ULL);
    CHECK(reports[0].age == Millis(340));
    CHECK(reports[0].load.slots == 3);
    CHECK(reports[0].load.freeSlots == 1);
    CHECK(reports[0].load.wait == Millis(12));
    CHECK(reports[0].load.grayProbability == doctest::Approx(0.25).epsilon(0.001));
}

// Guards against a malformed or oversized list of reports that ends the process instead of the link.
TEST_CASE("home reports, malformed, are refused")
{
    json noList = fieldsOf(sampleReports());
    noList[firstField] = "no list";
    CHECK_FALSE(decodeFields(noList));
    json noLoad = fieldsOf(sampleReports());
    noLoad[firstField][0].erase(3);
    CHECK_FALSE(decodeFields(noLoad));
    json tooMany = fieldsOf(sampleReports());
    const json one = tooMany[firstField][0];
    for (int i = 0; i < 1000; ++i) {
        tooMany[firstField].push_back(one);
    }
    CHECK_FALSE(decodeFields(tooMany));
}

TEST_CASE("state update, changes of the registry, keep their fields")
{
    const auto message = decodeMessage(encodeMessage(sampleUpdate()));
    REQUIRE(message);
    const std::optional<RegistryChanges> &changes = std::get<StateUpdate>(*message).registryChanges;
    REQUIRE(changes);
    CHECK(changes->since == 3);
    CHECK(changes->revision == 9);
    REQUIRE(changes->entries.size() == 1);
    CHECK(changes->entries[0].id == "n1");
    CHECK(changes->entries[0].links.port == 7);
    CHECK(changes->entries[0].service == "course-desk");
    CHECK(changes->entries[0].revision == 8);
    REQUIRE(changes->removals.size() == 1);
    CHECK(changes->removals[0].id == "n2");
    CHECK(changes->removals[0].revision == 9);
}

// Guards against an upgrade in which updates of the earlier build are refused, or their lack of changes counts as one.
TEST_CASE("state update, of an earlier build, has no changes of the registry")
{
    json fields = fieldsOf(sampleUpdate());
    fields.erase(registryChangesField);
    const auto message = decodeFields(fields);
    REQUIRE(message);
    CHECK_FALSE(std::get<StateUpdate>(*message).registryChanges);
    json malformed = fieldsOf(sampleUpdate());
    malformed[registryChangesField][2][0] = 5;
    CHECK_FALSE(decodeFields(malformed));
}
