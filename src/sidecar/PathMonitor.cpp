#include "src/sidecar/PathMonitor.h"

#include "src/fiber/FiberLoop.h"
#include "src/node/NodeCore.h"
#include "src/sidecar/RegistrySync.h"

#include <algorithm>

namespace waxwing {

namespace {

/** A path in doubt is probed with a fresh link: soon, since most cuts last some seconds, then less and less often. */
constexpr Millis initialProbeInterval{500};
constexpr Millis maxProbeInterval{4000};
constexpr Millis probeTimeout{500};
/**
 * What an answer may take on any path: a round trip, some 3 ms within a region and 60 ms between regions; the rest is
 * for nodes whose share of a core is used up for a tenth of a second.
 */
constexpr Millis minTimeoutSameRegion{150};
constexpr Millis minTimeoutOtherRegion{260};
/** One node that wrongly suspects others must not make everybody try them all the time. */
constexpr Millis suspicionCheckInterval{2000};
/** Nodes told at once: in a region of hundreds the news goes on from those that find it true. */
constexpr std::size_t maxNotifiedNodes = 64;

} // namespace

PathMonitor::PathMonitor(NodeCore &core)
    : core_(core)
{ }

void PathMonitor::setHooks(Hooks hooks)
{
    hooks_ = std::move(hooks);
}

void PathMonitor::noteRoundTrip(const std::string &node, Duration sample)
{
    estimators_[node].add(sample);
}

Duration PathMonitor::answerTimeout(const RegistryEntry &home) const
{
    const Duration least = home.region == core_.settings.region ? minTimeoutSameRegion : minTimeoutOtherRegion;
    const auto found = estimators_.find(home.id);
    return found == estimators_.end() ? least : found->second.timeout(least);
}

void PathMonitor::noteFailure(const std::string &node)
{
    hooks_.onPathFailed(node);
    if (!probing_.insert(node).second) {
        return;
    }
    core_.metrics.count("paths_failed");
    spawnFiber([this, node] {
        const RegistryEntryPtr found = core_.service<RegistrySync>("registry").registry().find(node);
        // A receipt that is late on a busy path looks like a cut. Told to the region, each such mistake made all its
        // nodes try their paths, which made them busier still.
        if (found != nullptr && answersOnLink(*found)) {
            notePathRecovered(node, true);
        } else {
            core_.events.write(Severity::Warning, "path_failed", {{"home", node}});
            notifyRegion(node);
            probeUntilGood(node);
        }
        probing_.erase(node);
    });
}

void PathMonitor::notePathRecovered(const std::string &node, bool falseAlarm)
{
    if (falseAlarm) {
        estimators_[node].noteSpuriousTimeout();
        core_.metrics.count("paths_false_alarms");
    }
    hooks_.onPathRecovered(node);
    core_.events.write(Severity::Info, "path_good_again", {{"home", node}, {"falseAlarm", falseAlarm ? "yes" : "no"}});
}

void PathMonitor::notifyRegion(const std::string &node)
{
    PeerHub &peers = core_.service<PeerHub>("peers");
    std::size_t told = 0;
    for (const RegistryEntryPtr &entry : core_.service<RegistrySync>("registry").registry().all()) {
        const bool near = entry->region == core_.settings.region && entry->id != core_.self.id && entry->id != node;
        const std::optional<LinkId> link = near ? peers.openLinkAt(entry->links) : std::nullopt;
        if (link && told < maxNotifiedNodes && peers.reply(*link, PathSuspicion{node})) {
            ++told;
        }
    }
}

void PathMonitor::handle(const PathSuspicion &suspicion)
{
    const std::string node = suspicion.node;
    const SteadyTime now = core_.clock.now();
    const auto tried = lastCheckedAt_.find(node);
    const bool justTried = tried != lastCheckedAt_.end() && now - tried->second < suspicionCheckInterval;
    if (node == core_.self.id || probing_.count(node) != 0 || justTried) {
        return;
    }
    const RegistryEntryPtr found = core_.service<RegistrySync>("registry").registry().find(node);
    if (found == nullptr) {
        return;
    }
    lastCheckedAt_[node] = now;
    spawnFiber([this, node, entry = *found] {
        const bool hasLink = core_.service<PeerHub>("peers").openLinkAt(entry.links).has_value();
        if (hasLink && !answersOnLink(entry)) {
            noteFailure(node);
        }
    });
}

bool PathMonitor::answersOnLink(const RegistryEntry &entry)
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

bool PathMonitor::answersOnNewLink(const RegistryEntry &entry)
{
    PeerHub &peers = core_.service<PeerHub>("peers");
    const Expected<LinkId> link = peers.linkAt(entry.links, probeTimeout, true);
    const std::optional<NodeRef> peer = link ? peers.peerOn(*link) : std::nullopt;
    return peer && peer->id == entry.id;
}

void PathMonitor::probeUntilGood(const std::string &node)
{
    Millis pause = initialProbeInterval;
    while (!core_.stopping) {
        sleepFor(core_.ioContext, pause);
        const RegistryEntryPtr entry = core_.service<RegistrySync>("registry").registry().find(node);
        if (entry == nullptr) {
            // Nobody is there to be judged. A node that comes back under this name starts without the verdict, or it
            // would be last for good with no probe to say otherwise.
            hooks_.onPathRecovered(node);
            lastCheckedAt_.erase(node);
            estimators_.erase(node);
            return;
        }
        if (answersOnNewLink(*entry)) {
            notePathRecovered(node, false);
            return;
        }
        pause = std::min(maxProbeInterval, pause * 2);
    }
}

} // namespace waxwing
