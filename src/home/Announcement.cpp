#include "include/home/Announcement.h"

#include "include/base/Ids.h"
#include "include/base/JsonReader.h"

#include <array>
#include <limits>

namespace waxwing {

namespace {

constexpr std::array<ServerState, 4> states = {ServerState::Starting, ServerState::Serving, ServerState::Draining,
                                               ServerState::Leaving};
constexpr std::int64_t maxSlots = 10000;
constexpr std::int64_t maxConnections = 1000000;

} // namespace

const char *serverStateName(ServerState state)
{
    switch (state) {
    case ServerState::Starting:
        return "starting";
    case ServerState::Serving:
        return "serving";
    case ServerState::Draining:
        return "draining";
    case ServerState::Leaving:
        return "leaving";
    }
    return "leaving";
}

Announcement parseAnnouncement(const std::string &body, Findings &findings)
{
    Announcement out;
    const nlohmann::json document = parseJsonWithComments(body, "announcement", findings);
    if (!findings.empty()) {
        return out;
    }
    JsonReader reader(document, "", findings);
    out.service = reader.requiredText("service");
    out.server = reader.requiredText("server");
    for (const char *field : {"service", "server"}) {
        const std::string &value = std::string(field) == "service" ? out.service : out.server;
        if (!value.empty() && !isValidName(value)) {
            findings.add(reader.placeOf(field), "is 1 to 63 letters, digits, '-', '_' or '.'");
        }
    }
    out.address = reader.requiredText("address");
    out.incarnation =
        static_cast<std::uint64_t>(reader.integer("incarnation", 0, 0, std::numeric_limits<std::int64_t>::max()));
    out.port = static_cast<std::uint16_t>(reader.integer("port", 0, 1, 65535));
    out.slots = static_cast<std::uint32_t>(reader.integer("slots", 1, 1, maxSlots));
    out.connections = static_cast<std::uint32_t>(reader.integer("connections", out.slots, 1, maxConnections));
    if (!reader.has("port")) {
        findings.add(reader.placeOf("port"), "is missing");
    }
    const std::string state = reader.text("state", "serving");
    bool known = false;
    for (const ServerState one : states) {
        if (state == serverStateName(one)) {
            out.state = one;
            known = true;
        }
    }
    if (!known) {
        findings.add(reader.placeOf("state"), "must be starting, serving, draining or leaving");
    }
    reader.rejectUnknown();
    return out;
}

std::string announcementJson(const Announcement &announcement)
{
    const nlohmann::json body = {{"service", announcement.service},
                                 {"server", announcement.server},
                                 {"incarnation", announcement.incarnation},
                                 {"address", announcement.address},
                                 {"port", announcement.port},
                                 {"slots", announcement.slots},
                                 {"connections", announcement.connections},
                                 {"state", serverStateName(announcement.state)}};
    return body.dump();
}

} // namespace waxwing
