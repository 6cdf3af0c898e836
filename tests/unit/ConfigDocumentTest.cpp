#include "include/wire/Messages.h"
#include "platform/ConfigVersion.h"
#include "src/link/DocumentDeflate.h"
#include "src/link/LinkFramer.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <deque>

using namespace waxwing;

namespace {

constexpr std::size_t maxBytes = 1024UL * 1024;

std::string documentOfRoutes(int routes)
{
    std::string out = "{\"version\":\"r7\",\"rules\":[";
    for (int i = 0; i < routes; ++i) {
        out += "{\"name\":\"route" + std::to_string(i * 7919) + "\",\"version\":\"r9\"},";
    }
    return out + "{}]}";
}

/** Returns @p message as a build encodes it that does not know its last field. */
std::string withoutLastField(const Message &message)
{
    nlohmann::json fields = nlohmann::json::from_cbor(encodeMessage(message));
    fields.erase(fields.size() - 1);
    const std::vector<std::uint8_t> bytes = nlohmann::json::to_cbor(fields);
    return std::string(bytes.begin(), bytes.end());
}

} // namespace

// Guards against a document that differs after it was compressed, or is not made smaller.
TEST_CASE("document deflate, document of routes, shrinks to a fifth and comes back unchanged")
{
    const std::string document = documentOfRoutes(5000);
    const std::string bytes = deflateDocument(document);
    CHECK(bytes.size() * 5 < document.size());
    CHECK(inflateDocument(bytes, maxBytes).value_or("") == document);
    CHECK(inflateDocument(deflateDocument(""), maxBytes).value_or("x").empty());
}

// Guards against a peer outside the fleet that sends a few bytes which expand beyond the memory of a node.
TEST_CASE("document deflate, bytes that expand beyond the limit or are no whole stream, are rejected")
{
    const std::string bytes = deflateDocument(std::string(2 * maxBytes, 'x'));
    REQUIRE(bytes.size() < maxBytes / 10);
    CHECK_FALSE(inflateDocument(bytes, maxBytes).has_value());
    const std::string whole = deflateDocument(documentOfRoutes(100));
    CHECK_FALSE(inflateDocument(whole.substr(0, whole.size() / 2), maxBytes).has_value());
    CHECK_FALSE(inflateDocument(whole + "x", maxBytes).has_value());
    CHECK_FALSE(inflateDocument("not compressed", maxBytes).has_value());
    CHECK_FALSE(inflateDocument("", maxBytes).has_value());
}

// Guards against a nested field taken for the version, which would be announced to the region.
TEST_CASE("config version, document with nested versions, is the one at the top")
{
    CHECK(platform::readConfigVersion(documentOfRoutes(3)) == 7);
    CHECK(platform::readConfigVersion(R"({"a":{"version":"r3"},"b":[{"version":"r4"}],"version":"r5"})") == 5);
    for (const char *none : {"", "[]", "{", R"({"version":5})", R"({"version":"5"})", R"({"version":"r"})",
                             R"({"version":"r5x"})", R"({"a":{"version":"r3"}})"}) {
        CHECK_FALSE(platform::readConfigVersion(none).has_value());
    }
}

// Guards against nodes of an older build, whose messages lack the fields, and which must get a plain document.
TEST_CASE("state update, messages of a build without deflated documents, are read with defaults")
{
    const StateUpdateRequest request{5, {}, true, false, true};
    const auto current = decodeMessage(encodeMessage(request));
    REQUIRE(current);
    CHECK(std::get<StateUpdateRequest>(*current).acceptsDeflated);
    const auto older = decodeMessage(withoutLastField(request));
    REQUIRE(older);
    CHECK(std::get<StateUpdateRequest>(*older).wantsConfig);
    CHECK_FALSE(std::get<StateUpdateRequest>(*older).acceptsDeflated);
    StateUpdate update;
    update.config = "plain";
    const auto olderUpdate = decodeMessage(withoutLastField(update));
    REQUIRE(olderUpdate);
    CHECK(std::get<StateUpdate>(*olderUpdate).config == "plain");
    CHECK(std::get<StateUpdate>(*olderUpdate).deflatedConfig.empty());
}

// Guards against a document that delays all messages behind it on a narrow link, and against its loss in the framing.
TEST_CASE("state update, deflated document on a link, is sent in chunks and arrives unchanged")
{
    LinkFramer sender;
    LinkFramer receiver;
    std::deque<std::string> toReceiver;
    std::deque<std::string> toSender;
    const auto writeTo = [](std::deque<std::string> &frames) {
        return [&frames](const std::string &frame) {
            frames.push_back(frame);
            return true;
        };
    };
    StateUpdate update;
    update.id = 3;
    update.deflatedConfig = std::string(100'000, 'z');
    REQUIRE(sender.send(update, writeTo(toReceiver)));
    REQUIRE(sender.send(Message(Ping{9}), writeTo(toReceiver)));
    std::optional<StateUpdate> received;
    bool pingFirst = false;
    while (!toReceiver.empty()) {
        const auto message = receiver.receive(toReceiver.front(), writeTo(toSender));
        toReceiver.pop_front();
        REQUIRE(message);
        if (*message && std::holds_alternative<Ping>(**message)) {
            pingFirst = !received;
        } else if (*message) {
            received = std::get<StateUpdate>(**message);
        }
        for (; !toSender.empty(); toSender.pop_front()) {
            REQUIRE(sender.receive(toSender.front(), writeTo(toReceiver)));
        }
    }
    REQUIRE(received);
    CHECK(received->id == 3);
    CHECK(received->deflatedConfig == update.deflatedConfig);
    CHECK(pingFirst);
}
