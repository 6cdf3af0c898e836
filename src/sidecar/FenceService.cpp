#include "src/sidecar/FenceService.h"

#include "src/fiber/FiberLoop.h"
#include "src/fiber/WaitPoint.h"
#include "src/node/NodeCore.h"
#include "src/sidecar/RosterKeeper.h"

#include <algorithm>

namespace waxwing {

namespace {

/** Two third nodes beside the direct way: one of them may itself be cut off or gone. */
constexpr std::size_t relayCount = 2;
/** Longest that a node works for another one's question. */
constexpr Millis passOnTimeout{800};
/** Longest that a large answer may take by one way. */
constexpr Millis fetchTimeout{4000};
/** Answers up to this size come with the word that they are ready: asked in three ways, they come three times. */
constexpr std::size_t smallAnswer = 8UL * 1024;

} // namespace

FenceService::FenceService(NodeCore &core, LocalFence local)
    : core_(core)
    , local_(std::move(local))
{ }

FenceReply FenceService::exchange(LinkId link, Fence fence, Duration allowed)
{
    fence.id = nextId_++;
    const auto pending = std::make_shared<Pending>();
    pending->point = std::make_shared<WaitPoint>();
    pending_[fence.id] = pending;
    if (core_.service<PeerHub>("peers").reply(link, fence)) {
        pending->point->wait(core_.ioContext, allowed);
    }
    pending_.erase(fence.id);
    return pending->answered ? pending->reply : FenceReply{};
}

Fence FenceService::fenceFor(const SentWork &work, bool onlyAsk, bool fetch) const
{
    const auto sentAgo = std::chrono::ceil<Millis>(core_.clock.now() - work.sentAt);
    return Fence{0, work.target, core_.self, work.id, onlyAsk, fetch, sentAgo};
}

FenceReply FenceService::askOn(LinkId link, const SentWork &work, bool onlyAsk, Duration allowed)
{
    return exchange(link, fenceFor(work, onlyAsk, false), allowed);
}

std::vector<RosterEntry> FenceService::relaysFor(const RosterEntry &home)
{
    std::vector<RosterEntry> near;
    std::vector<RosterEntry> far;
    for (const RosterEntryPtr &entry : core_.service<RosterKeeper>("roster").roster().all()) {
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
    return exchange(link, fenceFor(work, true, true), std::min<Duration>(left, fetchTimeout));
}

FenceReply FenceService::ask(const SentWork &work, FenceWay &way, bool onlyAsk, Duration allowed, Duration left)
{
    FenceReply fate;
    if (way.link) {
        fate = askOn(*way.link, work, onlyAsk, allowed);
    }
    if (fate.state == FenceState::NotKnown) {
        way.link.reset();
        fate = askEveryWay(work, way, onlyAsk, allowed);
    }
    if (fate.state == FenceState::Ended && !fate.reply && way.link) {
        fate = fetch(*way.link, work, left);
    }
    return fate;
}

FenceReply FenceService::askEveryWay(const SentWork &work, FenceWay &way, bool onlyAsk, Duration allowed)
{
    struct Race {
        WaitPoint point;
        std::size_t running = 0;
        FenceReply best;
        std::optional<LinkId> link;
    };
    const auto race = std::make_shared<Race>();
    PeerHub &peers = core_.service<PeerHub>("peers");
    const SteadyTime until = core_.clock.now() + allowed;
    const auto start = [&](const RosterEntry &by, bool fresh) {
        ++race->running;
        spawnFiber([this, race, by, fresh, work, onlyAsk, allowed, until, &peers] {
            const Expected<LinkId> link = peers.linkAt(by.links, allowed, fresh);
            const Duration left = until - core_.clock.now();
            FenceReply reply;
            if (link && left > Duration(0)) {
                reply = askOn(*link, work, onlyAsk, left);
            }
            --race->running;
            if (reply.state != FenceState::NotKnown) {
                race->best = reply;
                race->link = *link;
            }
            race->point.wake();
        });
    };
    start(work.home, true);
    for (const RosterEntry &relay : relaysFor(work.home)) {
        start(relay, false);
    }
    while (race->best.state == FenceState::NotKnown && race->running > 0 && core_.clock.now() < until) {
        race->point.wait(core_.ioContext, until - core_.clock.now());
    }
    way.link = race->link;
    return race->best;
}

void FenceService::handle(LinkId link, const NodeRef &from, const Fence &fence)
{
    if (fence.target.id != core_.self.id) {
        // Only for the node that asks itself, so that a question takes one step at most.
        if (from == fence.origin) {
            spawnFiber([this, link, fence] { passOn(link, fence); });
        }
        return;
    }
    FenceReply reply;
    if (fence.target == core_.self) {
        reply = local_(fence);
    }
    if (reply.reply && !fence.fetch && reply.reply->response.body.size() > smallAnswer) {
        reply.reply.reset();
    }
    reply.id = fence.id;
    core_.events.writeRequest(Severity::Warning, "fence_answered",
                              {{"origin", fence.origin.id},
                               {"work", std::to_string(fence.workId)},
                               {"onlyAsk", fence.onlyAsk ? "yes" : "no"},
                               {"state", fenceStateName(reply.state)}});
    core_.service<PeerHub>("peers").reply(link, reply);
}

void FenceService::passOn(LinkId back, const Fence &fence)
{
    const RosterEntryPtr target = core_.service<RosterKeeper>("roster").roster().find(fence.target.id);
    FenceReply reply;
    PeerHub &peers = core_.service<PeerHub>("peers");
    if (target != nullptr) {
        const Expected<LinkId> link = peers.linkAt(target->links, passOnTimeout);
        if (link) {
            reply = exchange(*link, fence, fence.fetch ? fetchTimeout : passOnTimeout);
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
        found->second->point->wake();
    }
}

} // namespace waxwing
