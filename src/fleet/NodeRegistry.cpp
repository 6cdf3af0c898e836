#include "include/fleet/NodeRegistry.h"

#include <algorithm>
#include <iterator>

namespace waxwing {

bool NodeRegistry::putOwn(const RegistryEntry &entry)
{
    const auto found = entries_.find(entry.id);
    const bool older = found != entries_.end() && found->second->revision >= entry.revision;
    if (older) {
        return false;
    }
    entries_[entry.id] = std::make_shared<const RegistryEntry>(entry);
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

bool NodeRegistry::remove(const std::string &id, std::uint64_t revision)
{
    const auto found = entries_.find(id);
    if (found == entries_.end() || found->second->revision > revision) {
        return false;
    }
    entries_.erase(found);
    advance(revision);
    return true;
}

bool NodeRegistry::replace(const std::vector<RegistryEntry> &entries, std::uint64_t revision)
{
    if (revision < revision_) {
        return false;
    }
    for (auto entry = entries_.begin(); entry != entries_.end();) {
        entry = entry->second->revision > revision ? std::next(entry) : entries_.erase(entry);
    }
    for (const RegistryEntry &entry : entries) {
        putOwn(entry);
    }
    revision_ = revision;
    return true;
}

void NodeRegistry::advance(std::uint64_t revision)
{
    revision_ = std::max(revision_, revision);
}

RegistryEntryPtr NodeRegistry::find(const std::string &id) const
{
    const auto found = entries_.find(id);
    return found == entries_.end() ? nullptr : found->second;
}

std::vector<RegistryEntryPtr> NodeRegistry::homesOf(const std::string &service) const
{
    std::vector<RegistryEntryPtr> homes;
    for (const auto &[id, entry] : entries_) {
        if (entry->service == service) {
            homes.push_back(entry);
        }
    }
    return homes;
}

std::vector<RegistryEntryPtr> NodeRegistry::all() const
{
    std::vector<RegistryEntryPtr> out;
    for (const auto &[id, entry] : entries_) {
        out.push_back(entry);
    }
    return out;
}

std::uint64_t NodeRegistry::revision() const
{
    return revision_;
}

std::size_t NodeRegistry::size() const
{
    return entries_.size();
}

} // namespace waxwing
