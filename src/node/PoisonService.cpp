#include "src/node/PoisonService.h"

#include "include/base/Ids.h"
#include "src/node/GossipService.h"
#include "src/node/NodeCore.h"

#include <charconv>

namespace waxwing {

namespace {
constexpr char separator = '/';
}

PoisonService::PoisonService(NodeCore &core)
    : core_(core)
    , registry_(core.clock)
{
    core_.service<GossipService>("gossip").onRecord(RecordKind::Poison, [this](const Record &record) {
        const std::size_t at = record.key.find(separator);
        std::uint64_t digest = 0;
        const char *end = record.key.data() + std::min(at, record.key.size());
        const auto parsed = std::from_chars(record.key.data(), end, digest, 16);
        if (at != std::string::npos && parsed.ec == std::errc() && parsed.ptr == end) {
            registry_.noteDeath(digest, record.key.substr(at + 1));
        }
    });
}

void PoisonService::noteDeath(std::uint64_t digest, const std::string &server)
{
    if (!registry_.noteDeath(digest, server)) {
        return;
    }
    core_.events.write(
        Severity::Warning, "server_died_with_request",
        {{"server", server}, {"digest", hexText(digest)}, {"deaths", std::to_string(registry_.deaths(digest))}});
    const auto ms = std::chrono::duration_cast<Millis>(core_.clock.wallNow().time_since_epoch()).count();
    const Record record{
        RecordKind::Poison, hexText(digest) + separator + server, RecordVersion{static_cast<std::uint64_t>(ms), 0}, {}};
    // At once rather than with the next batch: the caller may send the same request to another node.
    core_.service<GossipService>("gossip").publishNow(record);
}

bool PoisonService::mustRefuse(std::uint64_t digest) const
{
    return registry_.mustRefuse(digest);
}

std::size_t PoisonService::deaths(std::uint64_t digest) const
{
    return registry_.deaths(digest);
}

void PoisonService::expire()
{
    registry_.expire();
}

} // namespace waxwing
