#pragma once

#include "include/settings/NodeSettings.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
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

/** Entries in the order of their ids. */
using RegistryEntries = std::vector<RegistryEntryPtr>;

/** An entry that was removed from the registry. */
struct RegistryRemoval {
    std::string id;
    std::uint64_t revision = 0;
};

/** What has changed in the registry between two revisions of the store. */
struct RegistryChanges {
    std::uint64_t since = 0;
    std::uint64_t revision = 0;
    std::vector<RegistryEntry> entries;
    std::vector<RegistryRemoval> removals;

    /** Returns the number of entries and removals. */
    std::size_t size() const;
};

/**
 * The nodes of the fleet, as last read from the store or obtained from a node with a newer list. Keeps the nodes of
 * each service, zone and region, so that a request costs no walk over the fleet. The groups that functions return are
 * valid until the registry changes: copy the entries before the calling fiber is suspended. Not thread safe.
 */
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
    /**
     * Applies the changes that another node knows. Returns false, and ignores them, if changes before them are missing
     * here. @p changed: set to true if an entry changed.
     */
    bool apply(const RegistryChanges &changes, bool &changed);
    /** Returns true if all changes after @p revision are still known. */
    bool knowsChangesSince(std::uint64_t revision) const;
    /** Returns the changes after @p revision. @pre knowsChangesSince(@p revision) */
    RegistryChanges changesSince(std::uint64_t revision) const;

    /** Returns null if there is no such node. */
    RegistryEntryPtr find(const std::string &id) const;
    /** The groups of the nodes with one value of a field; empty for a value that no node has. */
    const RegistryEntries &homesOf(const std::string &service) const;
    const RegistryEntries &inZone(const std::string &zone) const;
    const RegistryEntries &inRegion(const std::string &region) const;
    const RegistryEntries &all() const;
    /** Returns the number of nodes of @p zone whose server belongs to @p service. */
    std::size_t countOf(const std::string &zone, const std::string &service) const;
    std::uint64_t revision() const;
    std::size_t size() const;
    /** Returns a number that grows with each change of an entry, for callers that keep what they derive. */
    std::uint64_t generation() const;

private:
    /** Entries with the same value of a field. */
    using Index = std::map<std::string, RegistryEntries>;

    void store(const RegistryEntryPtr &entry);
    void erase(const RegistryEntryPtr &entry);
    void noteRemoval(const std::string &id, std::uint64_t revision);

    RegistryEntries all_;
    Index byService_;
    Index byZone_;
    Index byRegion_;
    std::map<std::pair<std::string, std::string>, std::size_t> countByZoneAndService_;
    /** The latest removals, in the order in which they were seen. */
    std::deque<RegistryRemoval> removals_;
    /** All removals after this revision are in removals_. */
    std::uint64_t removalsKnownSince_ = 0;
    /** The highest revision of an entry or a removal. */
    std::uint64_t latestChange_ = 0;
    std::uint64_t revision_ = 0;
    std::uint64_t generation_ = 0;
};

/**
 * Returns up to @p count different entries that @p accepts returns true for, chosen at random. Fewer only if fewer are
 * accepted. Walks over @p entries only if few of them are accepted. Thread safe.
 */
RegistryEntries sampleEntries(const RegistryEntries &entries, std::size_t count,
                              const std::function<std::uint64_t()> &random,
                              const std::function<bool(const RegistryEntry &)> &accepts);

} // namespace waxwing
