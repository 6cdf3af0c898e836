#include "include/poison/PoisonRegistry.h"

#include "include/base/Ids.h"

#include <charconv>
#include <string_view>

namespace waxwing {

namespace {

constexpr char separator = '/';

RecordVersion versionAt(WallTime at)
{
    return RecordVersion{static_cast<std::uint64_t>(millisOf(at.time_since_epoch()).count()), 0};
}

/** Returns the digest that @p text consists of, or nothing if there is anything else in it. */
std::optional<std::uint64_t> digestFrom(std::string_view text)
{
    std::uint64_t digest = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), digest, 16);
    const bool isWhole = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
    return isWhole ? std::optional<std::uint64_t>(digest) : std::nullopt;
}

} // namespace

std::uint64_t requestDigest(const std::string &service, const HttpRequest &request, const std::string &customer)
{
    std::string head = service;
    head.append("\n").append(request.method).append("\n").append(request.target);
    if (!customer.empty()) {
        head.append("\n").append(customer);
    }
    return stableHash(request.body, stableHash(head));
}

Record toRecord(const PoisonDeath &death, WallTime at)
{
    return Record{RecordKind::Poison, hexText(death.digest) + separator + death.server, versionAt(at), {}};
}

std::optional<PoisonDeath> poisonDeathFrom(const Record &record)
{
    const std::size_t at = record.key.find(separator);
    if (record.kind != RecordKind::Poison || at == std::string::npos) {
        return std::nullopt;
    }
    const std::optional<std::uint64_t> digest = digestFrom(std::string_view(record.key).substr(0, at));
    return digest ? std::optional<PoisonDeath>(PoisonDeath{*digest, record.key.substr(at + 1)}) : std::nullopt;
}

Record completionRecord(std::uint64_t digest, WallTime at)
{
    return Record{RecordKind::Poison, hexText(digest), versionAt(at), {}};
}

std::optional<std::uint64_t> completedDigestFrom(const Record &record)
{
    return record.kind == RecordKind::Poison ? digestFrom(record.key) : std::nullopt;
}

PoisonRegistry::PoisonRegistry(const Clock &clock, Millis retention)
    : clock_(clock)
    , retention_(retention)
{ }

bool PoisonRegistry::noteDeath(std::uint64_t digest, const std::string &server, CrashOrigin origin)
{
    Entry &entry = entries_[digest];
    entry.lastDeath = clock_.now();
    entry.lastTried = entry.lastDeath;
    if (origin == CrashOrigin::Local) {
        entry.localServers.insert(server);
    }
    return entry.servers.insert(server).second;
}

bool PoisonRegistry::noteCompleted(std::uint64_t digest)
{
    return entries_.erase(digest) > 0;
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

bool PoisonRegistry::takeTrial(std::uint64_t digest)
{
    Entry &entry = entries_.at(digest);
    // All nodes know the same crashes, so at most one of them finds that the first server was beside it.
    if (entry.localServers.count(*entry.servers.begin()) == 0) {
        return false;
    }
    Duration delay = firstTrialDelay;
    for (std::size_t death = deathsToRefuse; death < entry.servers.size() && delay < retention_; ++death) {
        delay *= trialDelayFactor;
    }
    const SteadyTime now = clock_.now();
    if (now - entry.lastTried < delay) {
        return false;
    }
    entry.lastTried = now;
    return true;
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
