#include "src/sidecar/FenceService.h"

#include "src/fiber/FiberLoop.h"
#include "src/fiber/FiberNotifier.h"
#include "src/node/NodeCore.h"
#include "src/sidecar/membership/RegistrySync.h"

#include <algorithm>

namespace waxwing {

namespace {

/** Relays used in addition to the direct path: two, since one of them may be unreachable itself. */
constexpr std::size_t relayCount = 2;
/** A relay's timeout for opening a link to the target of a fence, and for its reply. */
constexpr Millis forwardTimeout{800};
/**
 * Time for the relays to reply after the home's endpoint refused a new link, so that a request whose home has ended is
 * sent elsewhere soon. A relay in the home's region needs a round trip; in another one it may have to open a link.
 */
constexpr Millis relayGraceSameRegion{100};
constexpr Millis relayGraceOtherRegion{300};
/** Timeout for fetching a large reply over one path. */
constexpr Millis fetchTimeout{4000};
/** Larger bodies are sent only on request: a query over three paths would transfer the reply three times. */
constexpr std::size_t maxInlineBodyBytes = 8UL * 1024;

} // namespace

FenceService::FenceService(NodeCore &core, FenceHandler fenceLocally)
    : core_(core)
    , fenceLocally_(std::move(fenceLocally))
{ }

FenceReply FenceService::exchange(LinkId link, Fence fence, Duration timeout)
{
    fence.id = nextId_++;
    const auto pending = std::make_shared<Pending>();
    pending->notifier = std::make_shared<FiberNotifier>();
    pending->link = link;
    pending_[fence.id] = pending;
    if (core_.service<PeerHub>("peers").reply(link, fence)) {
        pending->notifier->wait(core_.ioContext, timeout);
    }
    pending_.erase(fence.id);
    return pending->answered ? pending->reply : FenceReply{};
}

Fence FenceService::makeFence(const SentWork &work, bool queryOnly, bool includeLargeReply) const
{
    const auto workAge = std::chrono::ceil<Millis>(core_.clock.now() - work.sentAt);
    return Fence{0, work.target, core_.self, work.id, queryOnly, includeLargeReply, workAge};
}

FenceReply FenceService::queryOver(LinkId link, const SentWork &work, bool queryOnly, Duration timeout)
{
    return exchange(link, makeFence(work, queryOnly, false), timeout);
}

RegistryEntries FenceService::chooseRelays(const RegistryEntry &home)
{
    const NodeRegistry &registry = core_.service<RegistrySync>("registry").registry();
    const auto random = [this] { return core_.random(); };
    const auto isOther = [&](const RegistryEntry &entry) { return entry.id != core_.self.id && entry.id != home.id; };
    RegistryEntries chosen = sampleEntries(registry.inRegion(core_.settings.region), relayCount, random, isOther);
    if (chosen.size() < relayCount) {
        const auto isElsewhere = [&](const RegistryEntry &entry) {
            return isOther(entry) && entry.region != core_.settings.region;
        };
        const RegistryEntries elsewhere =
            sampleEntries(registry.all(), relayCount - chosen.size(), random, isElsewhere);
        chosen.insert(chosen.end(), elsewhere.begin(), elsewhere.end());
    }
    return chosen;
}

FenceReply FenceService::fetch(LinkId link, const SentWork &work, Duration left)
{
    return exchange(link, makeFence(work, true, true), std::min<Duration>(left, fetchTimeout));
}

FenceReply FenceService::query(const SentWork &work, FencePath &path, bool queryOnly, Duration timeout, Duration left)
{
    FenceReply reply;
    if (path.link) {
        reply = queryOver(*path.link, work, queryOnly, timeout);
    }
    if (reply.state == FenceState::NotKnown) {
        path.link.reset();
        reply = queryAllPaths(work, path, queryOnly, timeout);
    }
    if (reply.state == FenceState::Ended && !reply.reply && path.link) {
        reply = fetch(*path.link, work, left);
    }
    return reply;
}

FenceReply FenceService::queryAllPaths(const SentWork &work, FencePath &path, bool queryOnly, Duration timeout)
{
    struct Race {
        FiberNotifier notifier;
        std::size_t running = 0;
        bool homeRefused = false;
        FenceReply best;
        std::optional<LinkId> link;
    };
    const auto race = std::make_shared<Race>();
    PeerHub &peers = core_.service<PeerHub>("peers");
    const SteadyTime until = core_.clock.now() + timeout;
    const auto start = [&](const RegistryEntry &node, bool newLink) {
        ++race->running;
        spawnFiber([this, race, node, newLink, work, queryOnly, timeout, until, &peers] {
            const Expected<LinkId> link = peers.linkAt(node.links, timeout, newLink);
            const Duration left = until - core_.clock.now();
            FenceReply reply;
            if (link && left > Duration(0)) {
                reply = queryOver(*link, work, queryOnly, left);
            }
            --race->running;
            race->homeRefused = race->homeRefused || (newLink && !link && link.error().code == ErrorCode::Unavailable);
            if (reply.state != FenceState::NotKnown) {
                race->best = reply;
                race->link = *link;
            }
            race->notifier.notify();
        });
    };
    start(work.home, true);
    for (const RegistryEntryPtr &relay : chooseRelays(work.home)) {
        start(*relay, false);
    }
    const bool otherRegion = work.home.region != core_.settings.region;
    const Millis relayGrace = otherRegion ? relayGraceOtherRegion : relayGraceSameRegion;
    SteadyTime waitUntil = until;
    while (race->best.state == FenceState::NotKnown && race->running > 0 && core_.clock.now() < waitUntil) {
        race->notifier.wait(core_.ioContext, waitUntil - core_.clock.now());
        if (race->homeRefused) {
            race->homeRefused = false;
            waitUntil = std::min<SteadyTime>(until, core_.clock.now() + relayGrace);
        }
    }
    path.link = race->link;
    return race->best;
}

void FenceService::handle(LinkId link, const NodeRef &from, const Fence &fence)
{
    if (fence.target.id != core_.self.id) {
        // Forwarded only for the node that issued it, so that a fence is relayed at most once.
        if (from == fence.origin) {
            spawnFiber([this, link, fence] { forwardFence(link, fence); });
        }
        return;
    }
    FenceReply reply;
    if (fence.target == core_.self) {
        reply = fenceLocally_(fence);
    }
    if (reply.reply && !fence.includeLargeReply && reply.reply->response.body.size() > maxInlineBodyBytes) {
        reply.reply.reset();
    }
    reply.id = fence.id;
    core_.events.writeRequest(Severity::Warning, "fence_answered",
                              {{"origin", fence.origin.id},
                               {"work", std::to_string(fence.workId)},
                               {"onlyAsk", fence.queryOnly ? "yes" : "no"},
                               {"state", fenceStateName(reply.state)}});
    core_.service<PeerHub>("peers").reply(link, reply);
}

void FenceService::forwardFence(LinkId replyLink, const Fence &fence)
{
    const RegistryEntryPtr target = core_.service<RegistrySync>("registry").registry().find(fence.target.id);
    FenceReply reply;
    PeerHub &peers = core_.service<PeerHub>("peers");
    if (target != nullptr) {
        const Expected<LinkId> link = peers.linkAt(target->links, forwardTimeout);
        if (link) {
            reply = exchange(*link, fence, fence.includeLargeReply ? fetchTimeout : forwardTimeout);
        }
    }
    reply.id = fence.id;
    peers.reply(replyLink, reply);
}

void FenceService::linkClosed(LinkId link)
{
    for (const auto &[id, pending] : pending_) {
        if (pending->link == link) {
            pending->notifier->notify();
        }
    }
}

void FenceService::handleReply(const FenceReply &reply)
{
    const auto found = pending_.find(reply.id);
    if (found != pending_.end()) {
        found->second->answered = true;
        found->second->reply = reply;
        found->second->notifier->notify();
    }
}

} // namespace waxwing
