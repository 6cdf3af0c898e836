#pragma once

#include "include/settings/NodeSettings.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace waxwing {

/** What a node publishes about itself: its address and the service whose server it is the home of. */
struct RegistryEntry {
    std::string id;
    /** Where other nodes open links to it. Which incarnation listens there is learned from the link. */
    Endpoint links;
    std::string zone;
    std::string region;
    /** Service of the backend server beside the node. */
    std::string service;
    /** The store's revision of this entry; orders the versions of one entry. */
    std::uint64_t revision = 0;
};

/** Immutable, so that an entry stays as it was for its holder while other fibers of the node change the registry. */
using RegistryEntryPtr = std::shared_ptr<const RegistryEntry>;

/** The nodes of the fleet, as last read from the store or obtained from a node with a newer list. Not thread safe. */
class NodeRegistry
{
public:
    /** Stores @p entry unless the same or a newer version of it is known. Returns whether anything changed. */
    bool put(const RegistryEntry &entry);
    /**
     * Stores an entry that this node has written. The revision of the registry does not advance, since earlier changes
     * of other nodes have not been seen.
     */
    bool putOwn(const RegistryEntry &entry);
    /** Removes the node unless its entry is newer than @p revision. Returns whether anything changed. */
    bool remove(const std::string &id, std::uint64_t revision);
    /**
     * Replaces all entries written up to @p revision by a full list of that revision. Returns false if the list is
     * older than the registry, and ignores it.
     */
    bool replace(const std::vector<RegistryEntry> &entries, std::uint64_t revision);
    /** Records that the store was read at @p revision. */
    void advance(std::uint64_t revision);

    /** Returns null if there is no such node. */
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
