#include "include/wire/Messages.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace waxwing;

namespace {

using nlohmann::json;

/** Position of the first field of a message's contents, and the positions that tests read or change. */
constexpr std::size_t firstField = 2;
constexpr std::size_t helloRevision = firstField + 2;
constexpr std::size_t workReservation = firstField + 15;

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

SlotReserve sampleReserve()
{
    SlotReserve reserve;
    reserve.id = 41;
    reserve.service = "desk";
    reserve.route = "book";
    reserve.customer = "c\xff";
    reserve.priority = 2;
    reserve.retryable = true;
    reserve.remaining = Millis(1800);
    reserve.untilObjective = Millis(-20);
    reserve.helloAge = Millis(77);
    return reserve;
}

} // namespace

// Guards against a field of a reservation that is lost or exchanged on the way: its home would order it wrongly.
TEST_CASE("slot messages, encoded and decoded, keep every field")
{
    const auto message = decodeMessage(encodeMessage(sampleReserve()));
    REQUIRE(message);
    const auto &reserve = std::get<SlotReserve>(*message);
    CHECK(reserve.id == 41);
    CHECK(reserve.service == "desk");
    CHECK(reserve.route == "book");
    CHECK(reserve.customer == "c\xff");
    CHECK(reserve.priority == 2);
    CHECK(reserve.retryable);
    CHECK(reserve.remaining == Millis(1800));
    CHECK(reserve.untilObjective == Millis(-20));
    CHECK(reserve.helloAge == Millis(77));

    HomeLoad load;
    load.slots = 5;
    load.queued = 3;
    load.wait = Millis(120);
    const auto decodedOffer = decodeMessage(encodeMessage(SlotOffer{41, Millis(50), "", load}));
    REQUIRE(decodedOffer);
    const auto &offer = std::get<SlotOffer>(*decodedOffer);
    CHECK(offer.id == 41);
    CHECK(offer.validFor == Millis(50));
    CHECK(offer.reason.empty());
    CHECK(offer.load.slots == 5);
    CHECK(offer.load.queued == 3);
    CHECK(offer.load.wait == Millis(120));

    const auto decodedRelease = decodeMessage(encodeMessage(SlotRelease{41}));
    REQUIRE(decodedRelease);
    CHECK(std::get<SlotRelease>(*decodedRelease).id == 41);
}

// Guards against an upgrade in which nodes send reservations to peers that close the link on an unknown message.
TEST_CASE("Hello, of earlier and later builds, states what both sides understand")
{
    json hello = fieldsOf(Hello{{"n1", 9}});
    const auto revisionOf = [](const json &fields) {
        const auto message = decodeFields(fields);
        REQUIRE(message);
        return std::get<Hello>(*message).revision;
    };
    CHECK(revisionOf(hello) == WireRevision::HomeReports);
    hello[helloRevision] = 2;
    CHECK(revisionOf(hello) == WireRevision::SlotReservations);
    hello[helloRevision] = 1;
    CHECK(revisionOf(hello) == WireRevision::CustomerKeys);
    hello[helloRevision] = 0;
    CHECK(revisionOf(hello) == WireRevision::First);
    hello[helloRevision] = 9;
    CHECK(revisionOf(hello) == WireRevision::HomeReports);
    hello.erase(helloRevision);
    CHECK(revisionOf(hello) == WireRevision::First);
}

// Guards against a Work of the earlier build that is refused or taken for one with a reservation, and against a Work to
// the earlier build that differs from what it knows.
TEST_CASE("Work, without a reservation, has the bytes of the earlier build")
{
    Work work;
    work.id = 5;
    work.service = "desk";
    work.keyChecked = true;
    CHECK(fieldsOf(work).size() == workReservation);
    const auto earlier = decodeMessage(encodeMessage(work));
    REQUIRE(earlier);
    CHECK(std::get<Work>(*earlier).reservation == 0);
    CHECK(std::get<Work>(*earlier).keyChecked);

    work.reservation = 41;
    json fields = fieldsOf(work);
    CHECK(fields.size() == workReservation + 1);
    const auto bound = decodeFields(fields);
    REQUIRE(bound);
    CHECK(std::get<Work>(*bound).reservation == 41);
    fields[workReservation] = "no number";
    const auto foreign = decodeFields(fields);
    REQUIRE(foreign);
    CHECK(std::get<Work>(*foreign).reservation == 0);
}

// Guards against a malformed reservation that ends the process instead of the link.
TEST_CASE("slot messages, malformed, are refused")
{
    json reserve = fieldsOf(sampleReserve());
    reserve[firstField].erase(3);
    CHECK_FALSE(decodeFields(reserve));
    json offer = fieldsOf(SlotOffer{1, Millis(50), "", {}});
    offer[firstField][3] = "no load";
    CHECK_FALSE(decodeFields(offer));
    json release = fieldsOf(SlotRelease{1});
    release.erase(firstField);
    CHECK_FALSE(decodeFields(release));
}
