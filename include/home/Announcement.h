#pragma once

#include "include/base/Clock.h"
#include "include/base/Findings.h"

#include <cstdint>
#include <string>

namespace waxwing {

enum class ServerState {
    Starting,
    Serving,
    Draining,
    Leaving,
};

const char *serverStateName(ServerState state);

/** Heartbeat that a backend server sends every second to the one node that is its home. */
struct Announcement {
    std::string service;
    std::string server;
    /** Differs after each start of the server's process. */
    std::uint64_t incarnation = 0;
    std::string address;
    std::uint16_t port = 0;
    std::uint32_t slots = 1;
    std::uint32_t connections = 100;
    ServerState state = ServerState::Serving;
    /**
     * Grows with each announcement of one incarnation, if the server counts them. Identifies announcements that arrive
     * out of order.
     */
    std::uint64_t sequence = 0;
    /** Remaining time for which the server is slow after its start, if it reports one. */
    Millis cold{0};
};

/** Parses the JSON body of an announcement. Adds a finding for each fault. Thread safe. */
Announcement parseAnnouncement(const std::string &body, Findings &findings);
/** Returns the JSON body of @p announcement. Thread safe. */
std::string announcementJson(const Announcement &announcement);

} // namespace waxwing
