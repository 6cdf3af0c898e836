#include "src/sidecar/home/ServerPresence.h"

#include "platform/ServerDialect.h"
#include "src/node/NodeCore.h"
#include "src/sidecar/home/SlotScheduler.h"

namespace waxwing {

namespace {
/** A server counts a call as acknowledged if the response arrives within a second. */
constexpr Millis acknowledgeTimeout{800};
} // namespace

ServerPresence::ServerPresence(NodeCore &core, SlotScheduler &scheduler)
    : core_(core)
    , scheduler_(scheduler)
    , departures_(core)
{ }

void ServerPresence::start()
{
    storesDepartures_ = true;
    state_.awaitRestore();
    departures_.read([this](const std::optional<ServerDeparture> &stored) {
        applyChange(state_.restore(stored), stored ? "stored departure of " + stored->server : "no stored departure");
    });
}

std::optional<HttpResponse> ServerPresence::handleCall(const HttpRequest &request)
{
    const std::optional<Expected<platform::ServerCall>> call = platform::decodeServerCall(request);
    if (!call) {
        return std::nullopt;
    }
    if (!*call) {
        core_.metrics.count("heartbeats_unreadable");
        core_.events.write(Severity::Warning, "heartbeat_unreadable", {{"reason", call->error().message}});
        return platform::serverCallReply(false, call->error().message);
    }
    ServerChange change = ServerChange::None;
    std::string cause;
    if (const auto &heartbeat = (*call)->heartbeat) {
        change = state_.update(*heartbeat, *core_.settings.server);
        cause = std::string("heartbeat ") + serverStateName(heartbeat->state) + " sequence "
                + std::to_string(heartbeat->sequence) + " of " + heartbeat->server;
    } else if (const auto &deregistration = (*call)->deregistration) {
        change = state_.deregister(deregistration->serverId, deregistration->incarnation);
        cause = "deregistration of " + deregistration->serverId;
    }
    if (change == ServerChange::Ignored) {
        core_.metrics.count("heartbeats_ignored");
        core_.events.write(Severity::Warning, "heartbeat_ignored", {{"cause", cause}});
        return platform::serverCallReply(false, "not the server beside this node, or older than what is known");
    }
    applyChange(change, cause);
    const bool leaves = (*call)->deregistration || (*call)->heartbeat->state == ServerState::Draining;
    if (leaves && !storeDeparture()) {
        core_.metrics.count("departures_not_acknowledged");
        return platform::serverCallNotRecorded();
    }
    return platform::serverCallReply(true, {});
}

void ServerPresence::noteReplaced(std::uint64_t incarnation, const std::string &cause)
{
    const ServerChange change = state_.noteReplaced(incarnation);
    if (change != ServerChange::None) {
        applyChange(change, cause);
    }
}

void ServerPresence::setStartHook(std::function<void(const Announcement &)> onStart)
{
    onStart_ = std::move(onStart);
}

bool ServerPresence::isLeaving(std::uint64_t incarnation) const
{
    const std::optional<ServerDeparture> &departure = state_.departure();
    return departure && departure->incarnation >= incarnation;
}

const Announcement *ServerPresence::serving() const
{
    return state_.serving();
}

const Announcement *ServerPresence::latest() const
{
    return state_.latest();
}

bool ServerPresence::storeDeparture()
{
    const std::optional<ServerDeparture> departure = state_.departure();
    return !storesDepartures_ || !departure || departures_.save(*departure, acknowledgeTimeout);
}

void ServerPresence::removeStoredDeparture()
{
    if (storesDepartures_ && core_.client.hasStoppedListening(core_.settings.server->address)) {
        departures_.remove();
    }
}

void ServerPresence::applyChange(ServerChange change, const std::string &cause)
{
    if (const Announcement *serving = state_.serving()) {
        scheduler_.setServer(serving->slots, change == ServerChange::Started);
    } else {
        scheduler_.clearServer();
    }
    if (change != ServerChange::None) {
        const Announcement *latest = state_.latest();
        core_.events.write(Severity::Info, change == ServerChange::Started ? "server_serves" : "server_leaves",
                           {{"server", latest == nullptr ? "" : latest->server}, {"cause", cause}});
    }
    if (change == ServerChange::Started && onStart_) {
        onStart_(*state_.serving());
    }
    scheduler_.poll();
}

} // namespace waxwing
