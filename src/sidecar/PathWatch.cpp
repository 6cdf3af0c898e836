#include "src/sidecar/PathWatch.h"

#include "src/fiber/FiberLoop.h"
#include "src/node/NodeCore.h"
#include "src/sidecar/RosterKeeper.h"

#include <algorithm>

namespace waxwing {

namespace {

/** A path in doubt is probed with a fresh link: soon, since most cuts last some seconds, then less and less often. */
constexpr Millis firstProbePause{500};
constexpr Millis longestProbePause{4000};
constexpr Millis probeTimeout{500};
/** A round trip within a region takes some 3 ms; the rest is for nodes whose share of a core is used up for a while. */
constexpr Millis answerTimeout{200};
/** One node that wrongly suspects others must not make everybody try them all the time. */
constexpr Millis tryPause{2000};
/** Nodes told at once: in a region of hundreds the news goes on from those that find it true. */
constexpr std::size_t mostTold = 64;

} // namespace

PathWatch::PathWatch(NodeCore &core)
    : core_(core)
{ }

void PathWatch::setHooks(Hooks hooks)
{
    hooks_ = std::move(hooks);
}

void PathWatch::noteFailure(const std::string &node)
{
    hooks_.onBad(node);
    if (probing_.count(node) != 0) {
        return;
    }
    core_.events.write(Severity::Warning, "path_failed", {{"home", node}});
    tellRegion(node);
    probe(node);
}

void PathWatch::tellRegion(const std::string &node)
{
    PeerHub &peers = core_.service<PeerHub>("peers");
    std::size_t told = 0;
    for (const RosterEntry *entry : core_.service<RosterKeeper>("roster").roster().all()) {
        const bool near = entry->region == core_.settings.region && entry->id != core_.self.id && entry->id != node;
        const std::optional<LinkId> link = near ? peers.openLinkAt(entry->links) : std::nullopt;
        if (link && told < mostTold && peers.reply(*link, PathSuspicion{node})) {
            ++told;
        }
    }
}

void PathWatch::handle(const PathSuspicion &suspicion)
{
    const std::string node = suspicion.node;
    const SteadyTime now = core_.clock.now();
    const auto tried = tried_.find(node);
    const bool justTried = tried != tried_.end() && now - tried->second < tryPause;
    if (node == core_.self.id || probing_.count(node) != 0 || justTried) {
        return;
    }
    const RosterEntry *found = core_.service<RosterKeeper>("roster").roster().find(node);
    if (found == nullptr) {
        return;
    }
    tried_[node] = now;
    spawnFiber([this, node, entry = *found] {
        if (!answersOnLink(entry)) {
            noteFailure(node);
        }
    });
}

bool PathWatch::answersOnLink(const RosterEntry &entry)
{
    PeerHub &peers = core_.service<PeerHub>("peers");
    const std::optional<LinkId> link = peers.openLinkAt(entry.links);
    const std::optional<NodeRef> peer = link ? peers.peerOn(*link) : std::nullopt;
    return !peer || peers.ping(*peer, entry.links, answerTimeout).has_value();
}

void PathWatch::probe(const std::string &node)
{
    probing_.insert(node);
    spawnFiber([this, node] {
        Millis pause = firstProbePause;
        while (!core_.stopping) {
            sleepFor(core_.ioContext, pause);
            const RosterEntry *entry = core_.service<RosterKeeper>("roster").roster().find(node);
            if (entry == nullptr) {
                // Nobody is there to be judged. A node that comes back under this name starts without the verdict, or
                // it would be last for good with no probe to say otherwise.
                hooks_.onGood(node);
                tried_.erase(node);
                break;
            }
            const Endpoint links = entry->links;
            PeerHub &peers = core_.service<PeerHub>("peers");
            const Expected<LinkId> link = peers.linkAt(links, probeTimeout, true);
            const std::optional<NodeRef> peer = link ? peers.peerOn(*link) : std::nullopt;
            if (peer && peer->id == node) {
                hooks_.onGood(node);
                core_.events.write(Severity::Info, "path_good_again", {{"home", node}});
                break;
            }
            pause = std::min(longestProbePause, pause * 2);
        }
        probing_.erase(node);
    });
}

} // namespace waxwing
