#pragma once

#include "include/settings/NodeSettings.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace waxwing {

/** What every node tells the others about itself: where it is and for which service's server it is the home. */
struct RosterEntry {
    std::string id;
    /** Where other nodes open links to it; which incarnation listens there is learned from the link. */
    Endpoint links;
    std::string zone;
    std::string region;
    /** Service of the backend server beside it. */
    std::string service;
    /** The store's revision of this entry; orders the versions of one entry. */
    std::uint64_t revision = 0;
};

/** Holders keep an entry as it was while others of the node's fibers change the roster. */
using RosterEntryPtr = std::shared_ptr<const RosterEntry>;

/**
 * The nodes of the fleet as last read from the store, or from a node that read it later. Not thread safe.
 */
class Roster
{
public:
    /** Takes @p entry unless a newer version of it is known. Returns whether anything changed. */
    bool put(const RosterEntry &entry);
    /** Takes an entry that this node has written: what others changed before that has not been seen. */
    bool putWritten(const RosterEntry &entry);
    /** Removes the node unless an entry newer than @p revision is known. */
    bool remove(const std::string &id, std::uint64_t revision);
    /**
     * Replaces what was written up to @p asOf by a full list of that revision; an older list than the one held is
     * ignored.
     */
    bool replace(const std::vector<RosterEntry> &entries, std::uint64_t asOf);
    /** The store was seen at this revision. */
    void advance(std::uint64_t asOf);

    /** Null if there is none. */
    RosterEntryPtr find(const std::string &id) const;
    std::vector<RosterEntryPtr> homesOf(const std::string &service) const;
    std::vector<RosterEntryPtr> all() const;
    std::uint64_t asOf() const;
    std::size_t size() const;

private:
    std::map<std::string, RosterEntryPtr> entries_;
    std::uint64_t asOf_ = 0;
};

} // namespace waxwing
