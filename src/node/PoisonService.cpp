#include "src/node/PoisonService.h"

#include "include/base/Ids.h"
#include "src/node/NodeCore.h"

namespace waxwing {

PoisonService::PoisonService(NodeCore &core, BroadcastHook broadcast)
    : core_(core)
    , broadcast_(std::move(broadcast))
    , registry_(core.clock)
{ }

void PoisonService::applyRecord(const Record &record)
{
    if (const std::optional<PoisonDeath> death = poisonDeathFrom(record)) {
        registry_.noteDeath(death->digest, death->server);
    }
}

void PoisonService::noteDeath(std::uint64_t digest, const std::string &server)
{
    if (!registry_.noteDeath(digest, server)) {
        return;
    }
    core_.events.write(
        Severity::Warning, "server_died_with_request",
        {{"server", server}, {"digest", hexText(digest)}, {"deaths", std::to_string(registry_.deaths(digest))}});
    const Record record = toRecord(PoisonDeath{digest, server}, core_.clock.wallNow());
    // Sent at once rather than with the next batch, because the caller may resend the request to another node.
    broadcast_(record);
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
