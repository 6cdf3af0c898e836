#pragma once

#include "include/home/Announcement.h"

#include <cstdint>
#include <optional>
#include <string>

namespace waxwing {

/**
 * Notice of a server's process that it leaves. It binds the node beside the server from its acknowledgement on, also
 * after a restart of the node.
 */
struct ServerDeparture {
    std::string server;
    std::uint64_t incarnation = 0;
    /** Sequence of the announcement that gave notice. Nothing: the process deregistered and can't serve again. */
    std::optional<std::uint64_t> sequence;

    /** Returns true if @p announcement was made before the notice, however late it arrives. Thread safe. */
    bool covers(const Announcement &announcement) const;
    /** Returns true if this notice is of a later process than @p other, or a later one of the same. Thread safe. */
    bool supersedes(const ServerDeparture &other) const;
};

bool operator==(const ServerDeparture &a, const ServerDeparture &b);
bool operator!=(const ServerDeparture &a, const ServerDeparture &b);

} // namespace waxwing
