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
/**
 * What an answer may take on any path: a round trip, some 3 ms within a region and 60 ms between regions; the rest is
 * for nodes whose share of a core is used up for a tenth of a second.
 */
constexpr Millis answerNear{150};
constexpr Millis answerFar{260};
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

void PathWatch::noteRoundTrip(const std::string &node, Duration sample)
{
    trips_[node].add(sample);
}

Duration PathWatch::answerTimeout(const RosterEntry &home) const
{
    const Duration least = home.region == core_.settings.region ? answerNear : answerFar;
    const auto found = trips_.find(home.id);
    return found == trips_.end() ? least : found->second.timeout(least);
}

void PathWatch::noteFailure(const std::string &node)
{
    hooks_.onBad(node);
    if (!probing_.insert(node).second) {
        return;
    }
    core_.metrics.count("paths_failed");
    spawnFiber([this, node] {
        const RosterEntryPtr found = core_.service<RosterKeeper>("roster").roster().find(node);
        // A receipt that is late on a busy path looks like a cut. Told to the region, each such mistake made all its
        // nodes try their paths, which made them busier still.
        if (found != nullptr && answersOnLink(*found)) {
            noteGood(node, true);
        } else {
            core_.events.write(Severity::Warning, "path_failed", {{"home", node}});
            tellRegion(node);
            probeUntilGood(node);
        }
        probing_.erase(node);
    });
}

void PathWatch::noteGood(const std::string &node, bool falseAlarm)
{
    if (falseAlarm) {
        trips_[node].noteFalseAlarm();
        core_.metrics.count("paths_false_alarms");
    }
    hooks_.onGood(node);
    core_.events.write(Severity::Info, "path_good_again", {{"home", node}, {"falseAlarm", falseAlarm ? "yes" : "no"}});
}

void PathWatch::tellRegion(const std::string &node)
{
    PeerHub &peers = core_.service<PeerHub>("peers");
    std::size_t told = 0;
    for (const RosterEntryPtr &entry : core_.service<RosterKeeper>("roster").roster().all()) {
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
    const RosterEntryPtr found = core_.service<RosterKeeper>("roster").roster().find(node);
    if (found == nullptr) {
        return;
    }
    tried_[node] = now;
    spawnFiber([this, node, entry = *found] {
        const bool hasLink = core_.service<PeerHub>("peers").openLinkAt(entry.links).has_value();
        if (hasLink && !answersOnLink(entry)) {
            noteFailure(node);
        }
    });
}

bool PathWatch::answersOnLink(const RosterEntry &entry)
{
    PeerHub &peers = core_.service<PeerHub>("peers");
    const std::optional<LinkId> link = peers.openLinkAt(entry.links);
    const std::optional<NodeRef> peer = link ? peers.peerOn(*link) : std::nullopt;
    if (!peer || peer->id != entry.id) {
        return false;
    }
    const SteadyTime asked = core_.clock.now();
    const bool answers = peers.ping(*peer, entry.links, answerTimeout(entry)).has_value();
    if (answers) {
        noteRoundTrip(entry.id, core_.clock.now() - asked);
    }
    return answers;
}

bool PathWatch::answersOnFreshLink(const RosterEntry &entry)
{
    PeerHub &peers = core_.service<PeerHub>("peers");
    const Expected<LinkId> link = peers.linkAt(entry.links, probeTimeout, true);
    const std::optional<NodeRef> peer = link ? peers.peerOn(*link) : std::nullopt;
    return peer && peer->id == entry.id;
}

void PathWatch::probeUntilGood(const std::string &node)
{
    Millis pause = firstProbePause;
    while (!core_.stopping) {
        sleepFor(core_.ioContext, pause);
        const RosterEntryPtr entry = core_.service<RosterKeeper>("roster").roster().find(node);
        if (entry == nullptr) {
            // Nobody is there to be judged. A node that comes back under this name starts without the verdict, or it
            // would be last for good with no probe to say otherwise.
            hooks_.onGood(node);
            tried_.erase(node);
            trips_.erase(node);
            return;
        }
        if (answersOnFreshLink(*entry)) {
            noteGood(node, false);
            return;
        }
        pause = std::min(longestProbePause, pause * 2);
    }
}

} // namespace waxwing
