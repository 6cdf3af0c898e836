#include "src/sidecar/membership/PathMonitor.h"

#include "src/fiber/FiberLoop.h"
#include "src/node/NodeCore.h"
#include "src/sidecar/membership/LinkOpenTimeout.h"
#include "src/sidecar/membership/RegistrySync.h"

#include <algorithm>

namespace waxwing {

namespace {

/** A failed path is probed with a new link: soon, since most cuts last a few seconds, then less and less often. */
constexpr Millis initialProbeInterval{500};
constexpr Millis maxProbeInterval{4000};
constexpr Millis probeTimeout{500};
/**
 * Time allowed for a response on any path: a round trip, about 3 ms within a region and 60 ms between regions, and the
 * delay at a node whose share of a core is used up for a tenth of a second.
 */
constexpr Millis minTimeoutSameRegion{150};
constexpr Millis minTimeoutOtherRegion{260};
/**
 * Minimum interval between two checks of one node that handle() or check() begins, so that a node that wrongly suspects
 * others does not make all nodes check them continuously.
 */
constexpr Millis suspicionCheckInterval{2000};
/**
 * Nodes of the region that each node notifies that has confirmed a failure. They are chosen at random, so the news
 * reaches a region of any size in a number of steps that grows with its logarithm, at a fixed number of messages a
 * node.
 */
constexpr std::size_t notifiedNodes = 8;

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

Duration PathMonitor::replyTimeout(const RegistryEntry &home) const
{
    const Duration minTimeout = home.region == core_.settings.region ? minTimeoutSameRegion : minTimeoutOtherRegion;
    const auto found = estimators_.find(home.id);
    return found == estimators_.end() ? minTimeout : found->second.timeout(minTimeout);
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
        // A late ack on a busy path looks like a cut. Notifying the region of each such false alarm would make all its
        // nodes check their paths, which loads them further.
        if (found != nullptr && repliesOnLink(*found)) {
            notePathRecovered(node, true);
        } else {
            core_.events.write(Severity::Warning, "path_failed", {{"home", node}});
            failed_.insert(node);
            notifyRegion(node);
            probeUntilRecovered(node);
            failed_.erase(node);
        }
        probing_.erase(node);
    });
}

std::size_t PathMonitor::failedCount(const std::string &region) const
{
    const RegistrySync &registry = core_.service<RegistrySync>("registry");
    return static_cast<std::size_t>(std::count_if(failed_.begin(), failed_.end(), [&](const std::string &node) {
        const RegistryEntryPtr entry = registry.registry().find(node);
        return entry != nullptr && entry->region == region;
    }));
}

void PathMonitor::notePathRecovered(const std::string &node, bool falseAlarm)
{
    if (falseAlarm) {
        estimators_[node].noteSpuriousTimeout();
        core_.metrics.count("paths_false_alarms");
    }
    hooks_.onPathRecovered(node);
    core_.events.write(Severity::Info, "path_recovered", {{"home", node}, {"falseAlarm", falseAlarm ? "yes" : "no"}});
}

void PathMonitor::notifyRegion(const std::string &node)
{
    PeerHub &peers = core_.service<PeerHub>("peers");
    const NodeRegistry &registry = core_.service<RegistrySync>("registry").registry();
    const RegistryEntries notified = sampleEntries(
        registry.inRegion(core_.settings.region), notifiedNodes, [this] { return core_.random(); },
        [&](const RegistryEntry &entry) {
            return entry.id != core_.self.id && entry.id != node && peers.openLinkAt(entry.links);
        });
    for (const RegistryEntryPtr &entry : notified) {
        if (const std::optional<LinkId> link = peers.openLinkAt(entry->links)) {
            peers.reply(*link, PathSuspicion{node});
        }
    }
}

RegistryEntryPtr PathMonitor::beginCheck(const std::string &node)
{
    const SteadyTime now = core_.clock.now();
    const auto lastCheck = lastCheckedAt_.find(node);
    const bool recentlyChecked = lastCheck != lastCheckedAt_.end() && now - lastCheck->second < suspicionCheckInterval;
    if (node == core_.self.id || probing_.count(node) != 0 || recentlyChecked) {
        return nullptr;
    }
    RegistryEntryPtr found = core_.service<RegistrySync>("registry").registry().find(node);
    if (found != nullptr) {
        lastCheckedAt_[node] = now;
    }
    return found;
}

void PathMonitor::handle(const PathSuspicion &suspicion)
{
    const RegistryEntryPtr found = beginCheck(suspicion.node);
    if (found == nullptr) {
        return;
    }
    spawnFiber([this, entry = *found] {
        const bool hasLink = core_.service<PeerHub>("peers").openLinkAt(entry.links).has_value();
        if (hasLink && !repliesOnLink(entry)) {
            noteFailure(entry.id);
        }
    });
}

void PathMonitor::check(const std::string &node)
{
    const RegistryEntryPtr found = beginCheck(node);
    if (found == nullptr) {
        return;
    }
    core_.metrics.count("paths_checked");
    spawnFiber([this, entry = *found] {
        const Millis timeout = linkOpenTimeout(entry.region != core_.settings.region);
        const bool hasLink = core_.service<PeerHub>("peers").linkAt(entry.links, timeout).has_value();
        if (!hasLink || !repliesOnLink(entry)) {
            noteFailure(entry.id);
        }
    });
}

bool PathMonitor::repliesOnLink(const RegistryEntry &entry)
{
    PeerHub &peers = core_.service<PeerHub>("peers");
    const std::optional<LinkId> link = peers.openLinkAt(entry.links);
    const std::optional<NodeRef> peer = link ? peers.peerOn(*link) : std::nullopt;
    if (!peer || peer->id != entry.id) {
        return false;
    }
    const SteadyTime sentAt = core_.clock.now();
    const bool replied = peers.ping(*peer, entry.links, replyTimeout(entry)).has_value();
    if (replied) {
        noteRoundTrip(entry.id, core_.clock.now() - sentAt);
    }
    return replied;
}

bool PathMonitor::repliesOnNewLink(const RegistryEntry &entry)
{
    PeerHub &peers = core_.service<PeerHub>("peers");
    const Expected<LinkId> link = peers.linkAt(entry.links, probeTimeout, true);
    const std::optional<NodeRef> peer = link ? peers.peerOn(*link) : std::nullopt;
    return peer && peer->id == entry.id;
}

void PathMonitor::probeUntilRecovered(const std::string &node)
{
    Millis pause = initialProbeInterval;
    while (!core_.stopping) {
        sleepFor(core_.ioContext, pause);
        const RegistryEntryPtr entry = core_.service<RegistrySync>("registry").registry().find(node);
        if (entry == nullptr) {
            // The node has left and probing ends, so the failed state is cleared here. Otherwise a node that returns
            // under this name would stay ranked last, with no probe to clear that state.
            hooks_.onPathRecovered(node);
            lastCheckedAt_.erase(node);
            estimators_.erase(node);
            return;
        }
        if (repliesOnNewLink(*entry)) {
            notePathRecovered(node, false);
            return;
        }
        hooks_.onProbeFailed(node);
        pause = std::min(maxProbeInterval, pause * 2);
    }
}

} // namespace waxwing
