#include "include/fleet/Roster.h"

#include <algorithm>
#include <iterator>

namespace waxwing {

bool Roster::putWritten(const RosterEntry &entry)
{
    const auto found = entries_.find(entry.id);
    const bool older = found != entries_.end() && found->second->revision >= entry.revision;
    if (older) {
        return false;
    }
    entries_[entry.id] = std::make_shared<const RosterEntry>(entry);
    return true;
}

bool Roster::put(const RosterEntry &entry)
{
    const bool taken = putWritten(entry);
    if (taken) {
        advance(entry.revision);
    }
    return taken;
}

bool Roster::remove(const std::string &id, std::uint64_t revision)
{
    const auto found = entries_.find(id);
    if (found == entries_.end() || found->second->revision > revision) {
        return false;
    }
    entries_.erase(found);
    advance(revision);
    return true;
}

bool Roster::replace(const std::vector<RosterEntry> &entries, std::uint64_t asOf)
{
    if (asOf < asOf_) {
        return false;
    }
    for (auto entry = entries_.begin(); entry != entries_.end();) {
        entry = entry->second->revision > asOf ? std::next(entry) : entries_.erase(entry);
    }
    for (const RosterEntry &entry : entries) {
        putWritten(entry);
    }
    asOf_ = asOf;
    return true;
}

void Roster::advance(std::uint64_t asOf)
{
    asOf_ = std::max(asOf_, asOf);
}

RosterEntryPtr Roster::find(const std::string &id) const
{
    const auto found = entries_.find(id);
    return found == entries_.end() ? nullptr : found->second;
}

std::vector<RosterEntryPtr> Roster::homesOf(const std::string &service) const
{
    std::vector<RosterEntryPtr> homes;
    for (const auto &[id, entry] : entries_) {
        if (entry->service == service) {
            homes.push_back(entry);
        }
    }
    return homes;
}

std::vector<RosterEntryPtr> Roster::all() const
{
    std::vector<RosterEntryPtr> out;
    for (const auto &[id, entry] : entries_) {
        out.push_back(entry);
    }
    return out;
}

std::uint64_t Roster::asOf() const
{
    return asOf_;
}

std::size_t Roster::size() const
{
    return entries_.size();
}

} // namespace waxwing
