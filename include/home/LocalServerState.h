#pragma once

#include "include/home/Announcement.h"
#include "include/home/ServerDeparture.h"
#include "include/settings/NodeSettings.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace waxwing {

/** Effect of an announcement or a deregistration. */
enum class ServerChange {
    /**
     * Not from the server beside this node, older than the known state, or of a process that can't be told. Must not be
     * acknowledged.
     */
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
 * deregistration is acknowledged, an older announcement that arrives late can't put the server back into service.
 *
 * An earlier process of the node may have acknowledged that the server leaves. Until restore() tells what it stored,
 * one announcement alone may be such a late one and is not believed. A later one of the same process is, because a
 * server that has given notice sends no more announcements that it serves. Not thread safe.
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
    /** Believes no announcement alone until restore() is called. @pre called before the first announcement. */
    void awaitRestore();
    /** Applies what an earlier process of this node stored: departure(), or nothing. */
    ServerChange restore(const std::optional<ServerDeparture> &stored);
    /** Returns the last notice of a server that it leaves, which must outlast this process; nothing if none was given.
     */
    const std::optional<ServerDeparture> &departure() const;

    /** Returns the process that accepts work, or null. */
    const Announcement *serving() const;
    /** Returns the newest process known, in whatever state, or null. */
    const Announcement *latest() const;

private:
    bool isOlder(const Announcement &announcement) const;
    /** Returns true if an announcement that the server serves may be applied before restore() was called. */
    bool isConfirmed(const Announcement &announcement) const;
    ServerChange apply(const Announcement &announcement);
    void noteDeparture(const ServerDeparture &notice);
    /** Returns the process of @p server that deregisters without naming its incarnation; null if it is not known. */
    const Announcement *processOf(const std::string &server) const;

    std::optional<Announcement> current_;
    /** The current process accepts no more work. */
    bool stopped_ = false;
    /** Highest deregistered incarnation by server id. Announcements up to it are ignored. */
    std::map<std::string, std::uint64_t> deregistered_;
    std::optional<ServerDeparture> departure_;
    bool awaitsRestore_ = false;
    /** The newest announcement that was not believed alone. */
    std::optional<Announcement> unconfirmed_;
};

} // namespace waxwing
