#pragma once

#include "include/settings/NodeSettings.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace waxwing {

/** What every node tells the others about itself: where it is and for which service's server it is the home. */
struct RegistryEntry {
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
using RegistryEntryPtr = std::shared_ptr<const RegistryEntry>;

/**
 * The nodes of the fleet as last read from the store, or from a node that read it later. Not thread safe.
 */
class NodeRegistry
{
public:
    /** Takes @p entry unless a newer version of it is known. Returns whether anything changed. */
    bool put(const RegistryEntry &entry);
    /** Takes an entry that this node has written: what others changed before that has not been seen. */
    bool putOwn(const RegistryEntry &entry);
    /** Removes the node unless an entry newer than @p revision is known. */
    bool remove(const std::string &id, std::uint64_t revision);
    /**
     * Replaces what was written up to @p revision by a full list of that revision; an older list than the one held is
     * ignored.
     */
    bool replace(const std::vector<RegistryEntry> &entries, std::uint64_t revision);
    /** The store was seen at this revision. */
    void advance(std::uint64_t revision);

    /** Null if there is none. */
    RegistryEntryPtr find(const std::string &id) const;
    std::vector<RegistryEntryPtr> homesOf(const std::string &service) const;
    std::vector<RegistryEntryPtr> all() const;
    std::uint64_t revision() const;
    std::size_t size() const;

private:
    std::map<std::string, RegistryEntryPtr> entries_;
    std::uint64_t revision_ = 0;
};

} // namespace waxwing
