#include "include/fleet/NodeRegistry.h"

#include <algorithm>
#include <set>

namespace waxwing {

namespace {

/** A node that missed more removals reads the whole list. */
constexpr std::size_t maxRemovals = 1024;
/** Random picks for each wanted entry before the sample walks over all entries. */
constexpr std::size_t picksPerEntry = 8;

bool hasLowerId(const RegistryEntryPtr &entry, const std::string &id)
{
    return entry->id < id;
}

RegistryEntries::const_iterator positionOf(const RegistryEntries &entries, const std::string &id)
{
    return std::lower_bound(entries.begin(), entries.end(), id, hasLowerId);
}

RegistryEntryPtr findIn(const RegistryEntries &entries, const std::string &id)
{
    const auto found = positionOf(entries, id);
    return found == entries.end() || (*found)->id != id ? nullptr : *found;
}

void insertInto(RegistryEntries &entries, const RegistryEntryPtr &entry)
{
    entries.insert(positionOf(entries, entry->id), entry);
}

void eraseFrom(RegistryEntries &entries, const std::string &id)
{
    const auto found = positionOf(entries, id);
    if (found != entries.end() && (*found)->id == id) {
        entries.erase(found);
    }
}

template<typename Index>
void eraseFromGroup(Index &index, const std::string &key, const std::string &id)
{
    const auto group = index.find(key);
    if (group == index.end()) {
        return;
    }
    eraseFrom(group->second, id);
    if (group->second.empty()) {
        index.erase(group);
    }
}

template<typename Index>
const RegistryEntries &groupOf(const Index &index, const std::string &key)
{
    static const RegistryEntries none;
    const auto group = index.find(key);
    return group == index.end() ? none : group->second;
}

} // namespace

std::size_t RegistryChanges::size() const
{
    return entries.size() + removals.size();
}

void NodeRegistry::store(const RegistryEntryPtr &entry)
{
    if (const RegistryEntryPtr before = find(entry->id)) {
        erase(before);
    }
    insertInto(all_, entry);
    insertInto(byService_[entry->service], entry);
    insertInto(byZone_[entry->zone], entry);
    insertInto(byRegion_[entry->region], entry);
    ++countByZoneAndService_[{entry->zone, entry->service}];
    latestChange_ = std::max(latestChange_, entry->revision);
    ++generation_;
}

void NodeRegistry::erase(const RegistryEntryPtr &entry)
{
    eraseFrom(all_, entry->id);
    eraseFromGroup(byService_, entry->service, entry->id);
    eraseFromGroup(byZone_, entry->zone, entry->id);
    eraseFromGroup(byRegion_, entry->region, entry->id);
    const auto count = countByZoneAndService_.find({entry->zone, entry->service});
    if (count != countByZoneAndService_.end() && --count->second == 0) {
        countByZoneAndService_.erase(count);
    }
    ++generation_;
}

bool NodeRegistry::putOwn(const RegistryEntry &entry)
{
    const RegistryEntryPtr known = find(entry.id);
    if (known != nullptr && known->revision >= entry.revision) {
        return false;
    }
    store(std::make_shared<const RegistryEntry>(entry));
    return true;
}

bool NodeRegistry::put(const RegistryEntry &entry)
{
    const bool stored = putOwn(entry);
    if (stored) {
        advance(entry.revision);
    }
    return stored;
}

void NodeRegistry::noteRemoval(const std::string &id, std::uint64_t revision)
{
    removals_.push_back(RegistryRemoval{id, revision});
    latestChange_ = std::max(latestChange_, revision);
    if (removals_.size() > maxRemovals) {
        removalsKnownSince_ = std::max(removalsKnownSince_, removals_.front().revision);
        removals_.pop_front();
    }
}

bool NodeRegistry::remove(const std::string &id, std::uint64_t revision)
{
    const RegistryEntryPtr known = find(id);
    if (known != nullptr && known->revision > revision) {
        return false;
    }
    if (known != nullptr) {
        erase(known);
    }
    // Also for an entry that is not known here, since another node that asks for changes may hold it.
    noteRemoval(id, revision);
    advance(revision);
    return known != nullptr;
}

bool NodeRegistry::replace(const std::vector<RegistryEntry> &entries, std::uint64_t revision)
{
    if (revision < revision_) {
        return false;
    }
    std::set<std::string> listed;
    for (const RegistryEntry &entry : entries) {
        listed.insert(entry.id);
    }
    const RegistryEntries before = all_;
    for (const RegistryEntryPtr &entry : before) {
        if (entry->revision <= revision && listed.count(entry->id) == 0) {
            erase(entry);
            noteRemoval(entry->id, revision);
        }
    }
    for (const RegistryEntry &entry : entries) {
        putOwn(entry);
    }
    // Before the first list, removals were not seen.
    removalsKnownSince_ = revision_ == 0 ? revision : removalsKnownSince_;
    revision_ = revision;
    return true;
}

void NodeRegistry::advance(std::uint64_t revision)
{
    revision_ = std::max(revision_, revision);
}

bool NodeRegistry::apply(const RegistryChanges &changes, bool &changed)
{
    if (revision_ == 0 || changes.since > revision_) {
        return false;
    }
    const std::uint64_t before = revision_;
    for (const RegistryEntry &entry : changes.entries) {
        changed = putOwn(entry) || changed;
    }
    for (const RegistryRemoval &removal : changes.removals) {
        changed = (removal.revision > before && remove(removal.id, removal.revision)) || changed;
    }
    advance(changes.revision);
    return true;
}

bool NodeRegistry::knowsChangesSince(std::uint64_t revision) const
{
    return revision > 0 && revision >= removalsKnownSince_ && revision <= revision_;
}

RegistryChanges NodeRegistry::changesSince(std::uint64_t revision) const
{
    RegistryChanges changes;
    changes.since = revision;
    changes.revision = revision_;
    if (revision >= latestChange_) {
        return changes;
    }
    for (const RegistryEntryPtr &entry : all_) {
        if (entry->revision > revision) {
            changes.entries.push_back(*entry);
        }
    }
    for (const RegistryRemoval &removal : removals_) {
        if (removal.revision > revision) {
            changes.removals.push_back(removal);
        }
    }
    return changes;
}

RegistryEntryPtr NodeRegistry::find(const std::string &id) const
{
    return findIn(all_, id);
}

const RegistryEntries &NodeRegistry::homesOf(const std::string &service) const
{
    return groupOf(byService_, service);
}

const RegistryEntries &NodeRegistry::inZone(const std::string &zone) const
{
    return groupOf(byZone_, zone);
}

const RegistryEntries &NodeRegistry::inRegion(const std::string &region) const
{
    return groupOf(byRegion_, region);
}

const RegistryEntries &NodeRegistry::all() const
{
    return all_;
}

std::size_t NodeRegistry::countOf(const std::string &zone, const std::string &service) const
{
    const auto found = countByZoneAndService_.find({zone, service});
    return found == countByZoneAndService_.end() ? 0 : found->second;
}

std::uint64_t NodeRegistry::revision() const
{
    return revision_;
}

std::size_t NodeRegistry::size() const
{
    return all_.size();
}

std::uint64_t NodeRegistry::generation() const
{
    return generation_;
}

RegistryEntries sampleEntries(const RegistryEntries &entries, std::size_t count,
                              const std::function<std::uint64_t()> &random,
                              const std::function<bool(const RegistryEntry &)> &accepts)
{
    RegistryEntries sample;
    if (entries.empty()) {
        return sample;
    }
    std::set<std::size_t> seen;
    const auto take = [&](std::size_t index) {
        if (sample.size() < count && seen.insert(index).second && accepts(*entries[index])) {
            sample.push_back(entries[index]);
        }
    };
    for (std::size_t picks = picksPerEntry * count; picks > 0 && sample.size() < count; --picks) {
        take(random() % entries.size());
    }
    const std::size_t start = random() % entries.size();
    for (std::size_t i = 0; i < entries.size() && sample.size() < count; ++i) {
        take((start + i) % entries.size());
    }
    return sample;
}

} // namespace waxwing
