#pragma once

#include "include/home/Announcement.h"
#include "include/settings/NodeSettings.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace waxwing {

/** What an announcement or a farewell changed. */
enum class ServerChange {
    /** Not from the server beside this node, or older than what is known: must not be acknowledged. */
    Ignored,
    /** Known already. */
    None,
    /** A new process of the server takes work. */
    Started,
    /** The server takes no more work. */
    Stopped,
};

/**
 * Which process runs beside this node, and whether it takes work, from announcements that may be late, forged or
 * repeated. Processes are ordered by incarnation, and announcements of one by their sequence. What was acknowledged as
 * leaving stays left: a late announcement from before can't bring it back. Not thread safe.
 */
class LocalServerState
{
public:
    /** Takes an announcement. @p expected: the server that the settings name. */
    ServerChange update(const Announcement &announcement, const LocalServer &expected);
    /** The server says that it goes; @p incarnation if it named one. */
    ServerChange deregister(const std::string &server, std::optional<std::uint64_t> incarnation);
    /** Another process answers at the address, or none: nothing is known until the next newer announcement. */
    void noteReplaced();

    /** The process that takes work, or null. */
    const Announcement *serving() const;
    /** The newest process known, whatever its state. */
    const Announcement *latest() const;

private:
    bool isOlder(const Announcement &announcement) const;

    std::optional<Announcement> current_;
    /** The current one no longer takes work. */
    bool stopped_ = false;
    /** Incarnations that said farewell, by server id: their late announcements say nothing. */
    std::map<std::string, std::uint64_t> deregistered_;
};

} // namespace waxwing
