#include "include/poison/PoisonRegistry.h"

#include "include/base/Ids.h"

namespace waxwing {

std::uint64_t requestDigest(const std::string &service, const HttpRequest &request)
{
    const std::uint64_t head = stableHash(service + "\n" + request.method + "\n" + request.target);
    return stableHash(request.body, head);
}

PoisonRegistry::PoisonRegistry(const Clock &clock, Millis memory)
    : clock_(clock)
    , memory_(memory)
{ }

bool PoisonRegistry::noteDeath(std::uint64_t digest, const std::string &server)
{
    Entry &entry = entries_[digest];
    entry.lastDeath = clock_.now();
    return entry.servers.insert(server).second;
}

std::size_t PoisonRegistry::deaths(std::uint64_t digest) const
{
    const auto found = entries_.find(digest);
    return found == entries_.end() ? 0 : found->second.servers.size();
}

bool PoisonRegistry::mustRefuse(std::uint64_t digest) const
{
    return deaths(digest) >= deathsToRefuse;
}

void PoisonRegistry::expire()
{
    const SteadyTime now = clock_.now();
    for (auto it = entries_.begin(); it != entries_.end();) {
        it = now - it->second.lastDeath >= memory_ ? entries_.erase(it) : std::next(it);
    }
}

std::size_t PoisonRegistry::size() const
{
    return entries_.size();
}

} // namespace waxwing
