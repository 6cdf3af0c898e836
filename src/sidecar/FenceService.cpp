#include "src/sidecar/FenceService.h"

#include "src/fiber/FiberLoop.h"
#include "src/fiber/FiberNotifier.h"
#include "src/node/NodeCore.h"
#include "src/sidecar/RegistrySync.h"

#include <algorithm>

namespace waxwing {

namespace {

/** Two third nodes beside the direct way: one of them may itself be cut off or gone. */
constexpr std::size_t relayCount = 2;
/** Longest that a node works for another one's question. */
constexpr Millis forwardTimeout{800};
/** Longest that a large answer may take by one way. */
constexpr Millis fetchTimeout{4000};
/** Answers up to this size come with the word that they are ready: asked in three ways, they come three times. */
constexpr std::size_t maxInlineBodyBytes = 8UL * 1024;

} // namespace

FenceService::FenceService(NodeCore &core, FenceHandler fenceLocally)
    : core_(core)
    , fenceLocally_(std::move(fenceLocally))
{ }

FenceReply FenceService::exchange(LinkId link, Fence fence, Duration allowed)
{
    fence.id = nextId_++;
    const auto pending = std::make_shared<Pending>();
    pending->notifier = std::make_shared<FiberNotifier>();
    pending_[fence.id] = pending;
    if (core_.service<PeerHub>("peers").reply(link, fence)) {
        pending->notifier->wait(core_.ioContext, allowed);
    }
    pending_.erase(fence.id);
    return pending->answered ? pending->reply : FenceReply{};
}

Fence FenceService::makeFence(const SentWork &work, bool queryOnly, bool fetch) const
{
    const auto workAge = std::chrono::ceil<Millis>(core_.clock.now() - work.sentAt);
    return Fence{0, work.target, core_.self, work.id, queryOnly, fetch, workAge};
}

FenceReply FenceService::queryOver(LinkId link, const SentWork &work, bool queryOnly, Duration allowed)
{
    return exchange(link, makeFence(work, queryOnly, false), allowed);
}

std::vector<RegistryEntry> FenceService::chooseRelays(const RegistryEntry &home)
{
    std::vector<RegistryEntry> near;
    std::vector<RegistryEntry> far;
    for (const RegistryEntryPtr &entry : core_.service<RegistrySync>("registry").registry().all()) {
        if (entry->id != core_.self.id && entry->id != home.id) {
            (entry->region == core_.settings.region ? near : far).push_back(*entry);
        }
    }
    std::shuffle(near.begin(), near.end(), core_.random);
    std::shuffle(far.begin(), far.end(), core_.random);
    near.insert(near.end(), far.begin(), far.end());
    near.resize(std::min(near.size(), relayCount));
    return near;
}

FenceReply FenceService::fetch(LinkId link, const SentWork &work, Duration left)
{
    return exchange(link, makeFence(work, true, true), std::min<Duration>(left, fetchTimeout));
}

FenceReply FenceService::query(const SentWork &work, FencePath &path, bool queryOnly, Duration allowed, Duration left)
{
    FenceReply fate;
    if (path.link) {
        fate = queryOver(*path.link, work, queryOnly, allowed);
    }
    if (fate.state == FenceState::NotKnown) {
        path.link.reset();
        fate = queryAllPaths(work, path, queryOnly, allowed);
    }
    if (fate.state == FenceState::Ended && !fate.reply && path.link) {
        fate = fetch(*path.link, work, left);
    }
    return fate;
}

FenceReply FenceService::queryAllPaths(const SentWork &work, FencePath &path, bool queryOnly, Duration allowed)
{
    struct Race {
        FiberNotifier notifier;
        std::size_t running = 0;
        FenceReply best;
        std::optional<LinkId> link;
    };
    const auto race = std::make_shared<Race>();
    PeerHub &peers = core_.service<PeerHub>("peers");
    const SteadyTime until = core_.clock.now() + allowed;
    const auto start = [&](const RegistryEntry &by, bool fresh) {
        ++race->running;
        spawnFiber([this, race, by, fresh, work, queryOnly, allowed, until, &peers] {
            const Expected<LinkId> link = peers.linkAt(by.links, allowed, fresh);
            const Duration left = until - core_.clock.now();
            FenceReply reply;
            if (link && left > Duration(0)) {
                reply = queryOver(*link, work, queryOnly, left);
            }
            --race->running;
            if (reply.state != FenceState::NotKnown) {
                race->best = reply;
                race->link = *link;
            }
            race->notifier.notify();
        });
    };
    start(work.home, true);
    for (const RegistryEntry &relay : chooseRelays(work.home)) {
        start(relay, false);
    }
    while (race->best.state == FenceState::NotKnown && race->running > 0 && core_.clock.now() < until) {
        race->notifier.wait(core_.ioContext, until - core_.clock.now());
    }
    path.link = race->link;
    return race->best;
}

void FenceService::handle(LinkId link, const NodeRef &from, const Fence &fence)
{
    if (fence.target.id != core_.self.id) {
        // Only for the node that asks itself, so that a question takes one step at most.
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

void FenceService::forwardFence(LinkId back, const Fence &fence)
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
    peers.reply(back, reply);
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
