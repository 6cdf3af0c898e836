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

/** What a backend server says of itself, every second, to the one node that is its home. */
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
    /** Grows with each announcement of one incarnation, where the server counts them: tells late ones. */
    std::uint64_t sequence = 0;
    /** How much longer the server is slow after its start, where it says so. */
    Millis cold{0};
};

/** Reads the JSON body of an announcement; each fault is a finding. Thread safe. */
Announcement parseAnnouncement(const std::string &body, Findings &findings);
/** The JSON body. Thread safe. */
std::string announcementJson(const Announcement &announcement);

} // namespace waxwing
