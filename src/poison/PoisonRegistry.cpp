#include "include/poison/PoisonRegistry.h"

#include "include/base/Ids.h"

#include <algorithm>
#include <charconv>

namespace waxwing {

namespace {
constexpr char separator = '/';
}

std::uint64_t requestDigest(const std::string &service, const HttpRequest &request)
{
    const std::uint64_t head = stableHash(service + "\n" + request.method + "\n" + request.target);
    return stableHash(request.body, head);
}

Record toRecord(const PoisonDeath &death, WallTime at)
{
    const auto ms = millisOf(at.time_since_epoch()).count();
    return Record{RecordKind::Poison,
                  hexText(death.digest) + separator + death.server,
                  RecordVersion{static_cast<std::uint64_t>(ms), 0},
                  {}};
}

std::optional<PoisonDeath> poisonDeathFrom(const Record &record)
{
    const std::size_t at = record.key.find(separator);
    PoisonDeath death;
    const char *end = record.key.data() + std::min(at, record.key.size());
    const auto parsed = std::from_chars(record.key.data(), end, death.digest, 16);
    if (record.kind != RecordKind::Poison || at == std::string::npos || parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    death.server = record.key.substr(at + 1);
    return death;
}

PoisonRegistry::PoisonRegistry(const Clock &clock, Millis retention)
    : clock_(clock)
    , retention_(retention)
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
        it = now - it->second.lastDeath >= retention_ ? entries_.erase(it) : std::next(it);
    }
}

std::size_t PoisonRegistry::size() const
{
    return entries_.size();
}

} // namespace waxwing
