#pragma once

#include "include/home/Announcement.h"
#include "include/settings/NodeSettings.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace waxwing {

/** Effect of an announcement or a deregistration. */
enum class ServerChange {
    /** Not from the server beside this node, or older than the known state. Must not be acknowledged. */
    Ignored,
    /** No change. */
    None,
    /** The server accepts work: a new process, or one that accepted none before. */
    Started,
    /** The server accepts no more work. */
    Stopped,
};

/**
 * Tracks which process runs beside this node and whether it accepts work. Announcements may be late, forged or
 * repeated. Processes are ordered by incarnation, and the announcements of one process by their sequence. Once a
 * deregistration is acknowledged, an older announcement that arrives late can't put the server back into service. Not
 * thread safe.
 */
class LocalServerState
{
public:
    /** Applies an announcement. @p expected: the server named in the settings. */
    ServerChange update(const Announcement &announcement, const LocalServer &expected);
    /** Deregisters the server. @p incarnation: its incarnation, if the request names one. */
    ServerChange deregister(const std::string &server, std::optional<std::uint64_t> incarnation);
    /**
     * Records that another process, or none, responds at the address of the process @p incarnation. If that is the
     * current process and it accepts work, returns ServerChange::Stopped, and no server accepts work until a newer
     * announcement arrives. Otherwise returns ServerChange::None.
     */
    ServerChange noteReplaced(std::uint64_t incarnation);

    /** Returns the process that accepts work, or null. */
    const Announcement *serving() const;
    /** Returns the newest process known, in whatever state, or null. */
    const Announcement *latest() const;

private:
    bool isOlder(const Announcement &announcement) const;

    std::optional<Announcement> current_;
    /** The current process accepts no more work. */
    bool stopped_ = false;
    /** Highest deregistered incarnation by server id. Announcements up to it are ignored. */
    std::map<std::string, std::uint64_t> deregistered_;
};

} // namespace waxwing
