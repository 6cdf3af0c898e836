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
    } else if (const std::optional<std::uint64_t> completed = completedDigestFrom(record)) {
        registry_.noteCompleted(*completed);
    }
}

void PoisonService::noteDeath(std::uint64_t digest, const std::string &server)
{
    if (!registry_.noteDeath(digest, server, CrashOrigin::Local)) {
        return;
    }
    core_.events.write(
        Severity::Warning, "server_died_with_request",
        {{"server", server}, {"digest", hexText(digest)}, {"deaths", std::to_string(registry_.deaths(digest))}});
    const Record record = toRecord(PoisonDeath{digest, server}, core_.clock.wallNow());
    // Sent at once rather than with the next batch, because the caller may resend the request to another node.
    broadcast_(record);
}

void PoisonService::noteCompleted(std::uint64_t digest)
{
    if (!registry_.noteCompleted(digest)) {
        return;
    }
    core_.events.write(Severity::Info, "suspected_request_completed", {{"digest", hexText(digest)}});
    broadcast_(completionRecord(digest, core_.clock.wallNow()));
}

bool PoisonService::admit(std::uint64_t digest)
{
    if (!registry_.mustRefuse(digest)) {
        return true;
    }
    if (!registry_.takeTrial(digest)) {
        return false;
    }
    core_.events.write(Severity::Info, "refused_request_tried",
                       {{"digest", hexText(digest)}, {"deaths", std::to_string(registry_.deaths(digest))}});
    return true;
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
