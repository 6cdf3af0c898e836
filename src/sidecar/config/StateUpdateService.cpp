#include "src/sidecar/config/StateUpdateService.h"

#include "include/fleet/Freshness.h"
#include "src/fiber/FiberLoop.h"
#include "src/node/NodeCore.h"
#include "src/sidecar/config/ConfigSync.h"
#include "src/sidecar/membership/LinkOpenTimeout.h"
#include "src/sidecar/membership/RegionWatch.h"
#include "src/sidecar/membership/RegistrySync.h"

#include <algorithm>
#include <iterator>

namespace waxwing {

namespace {

/**
 * Time for the store to answer a node that has just started. A list of a small configuration takes it one or two round
 * trips between regions; a large one comes sooner from a peer, which sends it compressed.
 */
constexpr Millis storeStartTimeout{150};
/** A large configuration takes seconds over a narrow link; a copy from a second node would only delay the first. */
constexpr Millis configRequestTimeout{4000};
/** State of this age is checked with other nodes, which costs less than a call to the store. */
constexpr Millis versionRequestAge{1200};
/** A follower checks earlier, so that a reply arrives before it has to call the store itself as a stand-in. */
constexpr Millis followerVersionRequestAge{900};
/** Minimum interval between two requests for the registry. */
constexpr Millis registryRequestInterval{400};
/** A watcher's own confirmation is at most about 1.1 s old. A peer with an older one probably has no better source. */
constexpr Millis usableConfigAge{2000};
/** Requests remembered on one link whose replies have not arrived. */
constexpr std::size_t maxPendingRequests = 8;
/**
 * Changes of the registry in one reply. A node that lacks more reads the store, whose stale reads are cheaper than the
 * time that a small node needs to encode them for each of its peers.
 */
constexpr std::size_t maxRegistryChanges = 64;
/** Shortest pause between two checks whether a request is due. */
constexpr Millis minSleep{10};
/** With so many linked nodes of other regions, no others are looked for; nor more than these, if there are fewer. */
constexpr std::size_t enoughElsewhere = 8;

} // namespace

StateUpdateService::StateUpdateService(NodeCore &core)
    : core_(core)
    , distribution_(core, [this](LinkId link) { return sendRequest(link, true, isStoreUnreachable()); })
    , source_([&core] { return core.random(); })
{ }

void StateUpdateService::start()
{
    startedAt_ = core_.clock.now();
    distribution_.start();
    spawnFiber([this] { run(); });
}

KnownVersions StateUpdateService::versions()
{
    ConfigSync &config = core_.service<ConfigSync>("config");
    KnownVersions own{config.version(), core_.service<RegistrySync>("registry").registry().revision()};
    const std::optional<Duration> age = config.freshness().age(core_.clock.now());
    // While a newer document waits to be decoded, the version in force is known not to be the newest.
    if (age && !distribution_.holdsNewer()) {
        own.configAge = std::min(KnownVersions::maxConfigAge, std::chrono::ceil<Millis>(*age));
    }
    own.isStoreReachable = config.isStoreReachable();
    return own;
}

bool StateUpdateService::isStoreUnreachable() const
{
    return !core_.service<RegistrySync>("registry").isStoreReachable();
}

void StateUpdateService::linkOpened(LinkId link)
{
    links_.insert(link);
}

void StateUpdateService::linkClosed(LinkId link)
{
    links_.erase(link);
    pendingRequests_.erase(link);
    if (configRequestedOn_ == link) {
        configRequestedOn_.reset();
    }
    if (configHolder_ == link) {
        configHolder_.reset();
    }
    distribution_.linkClosed(link);
}

void StateUpdateService::noteVersions(LinkId link, const KnownVersions &peerVersions)
{
    // The transit time of this message is unknown. It must not confirm the state of a follower, nor let a starting node
    // accept callers.
    ConfigSync &config = core_.service<ConfigSync>("config");
    const SteadyTime now = core_.clock.now();
    if (!isFollower() && config.freshness().mayServeCallers(now, true)) {
        confirmFreshness(peerVersions, now);
    }
    if (const std::optional<NodeRef> peer = core_.service<PeerHub>("peers").peerOn(link)) {
        core_.service<RegionWatch>("region-watch").noteStoreReachable(peer->id, peerVersions.isStoreReachable);
        distribution_.noteHolder(link, *peer, peerVersions.config, false);
    }
    if (config.version() == 0 && peerVersions.config > 0) {
        configHolder_ = link;
    }
    noteNewerRegistry(link, peerVersions);
}

bool StateUpdateService::isFollower() const
{
    return core_.service<RegionWatch>("region-watch").role() == WatchRole::Follower;
}

void StateUpdateService::configChanged()
{
    distribution_.configChanged();
}

void StateUpdateService::confirmFreshness(const KnownVersions &peerVersions, SteadyTime sentAt)
{
    ConfigSync &config = core_.service<ConfigSync>("config");
    if (peerVersions.config == config.version() && peerVersions.configAge < KnownVersions::maxConfigAge) {
        config.freshness().confirm(sentAt - peerVersions.configAge);
    }
}

void StateUpdateService::noteNewerRegistry(LinkId link, const KnownVersions &peerVersions)
{
    const SteadyTime now = core_.clock.now();
    RegistrySync &registry = core_.service<RegistrySync>("registry");
    const bool newerRegistry = peerVersions.registry > registry.registry().revision();
    registry.noteRevision(peerVersions.registry);
    if (newerRegistry && isStoreUnreachable() && now - registryRequestedAt_ >= registryRequestInterval) {
        registryRequestedAt_ = now;
        sendRequest(link, false, true);
    }
}

void StateUpdateService::run()
{
    while (!core_.stopping) {
        sendRequestIfNeeded();
        const SteadyTime next = distribution_.update();
        const SteadyTime now = core_.clock.now();
        const bool waitsForPeer = source_.nextAt() > now && isStale();
        const SteadyTime until = waitsForPeer ? std::min(next, std::max(source_.nextAt(), now + minSleep)) : next;
        sleepFor(core_.ioContext, until - now);
    }
}

void StateUpdateService::sendRequestIfNeeded()
{
    ConfigSync &config = core_.service<ConfigSync>("config");
    const SteadyTime now = core_.clock.now();
    const std::optional<LinkId> source = firstConfigRequestLink();
    if (source && (!configRequestedOn_ || now >= configRequestDeadline_)) {
        configRequestedOn_ = source;
        configRequestDeadline_ = now + configRequestTimeout;
        sendRequest(*source, true, isStoreUnreachable());
        return;
    }
    if (config.version() == 0 || !isStale() || now < source_.nextAt()) {
        return;
    }
    if (const std::optional<ConfirmationRequest> request = source_.next(confirmationCandidates(), now)) {
        requestConfirmation(*request);
    }
}

bool StateUpdateService::isStale()
{
    ConfigSync &config = core_.service<ConfigSync>("config");
    const Millis limit = isFollower() ? followerVersionRequestAge : versionRequestAge;
    return config.freshness().isOlderThan(limit, core_.clock.now()) || config.needsProof();
}

ConfirmationCandidates StateUpdateService::confirmationCandidates() const
{
    PeerHub &peers = core_.service<PeerHub>("peers");
    RegionWatch &region = core_.service<RegionWatch>("region-watch");
    ConfirmationCandidates out;
    std::set<std::string> linked;
    for (const LinkId link : links_) {
        const std::optional<NodeRef> peer = peers.peerOn(link);
        if (peer && linked.insert(peer->id).second) {
            (region.isInRegion(peer->id) ? out.region : out.elsewhereLinked).push_back(peer->id);
        }
    }
    for (const std::string &watcher : region.otherWatchers()) {
        if (linked.count(watcher) > 0) {
            out.watchers.push_back(watcher);
        }
    }
    if (out.elsewhereLinked.size() >= enoughElsewhere) {
        return out;
    }
    const RegistryEntries elsewhere = sampleEntries(
        core_.service<RegistrySync>("registry").registry().all(), enoughElsewhere, [this] { return core_.random(); },
        [this](const RegistryEntry &entry) { return entry.region != core_.settings.region; });
    for (const RegistryEntryPtr &entry : elsewhere) {
        out.elsewhere.push_back(entry->id);
    }
    return out;
}

std::optional<LinkId> StateUpdateService::openLinkTo(const std::string &peer) const
{
    PeerHub &peers = core_.service<PeerHub>("peers");
    const RegistryEntryPtr entry = core_.service<RegistrySync>("registry").registry().find(peer);
    if (const std::optional<LinkId> own = entry ? peers.openLinkAt(entry->links) : std::nullopt) {
        return own;
    }
    const auto found = std::find_if(links_.begin(), links_.end(), [&](LinkId link) {
        const std::optional<NodeRef> node = peers.peerOn(link);
        return node && node->id == peer;
    });
    return found == links_.end() ? std::nullopt : std::optional<LinkId>(*found);
}

void StateUpdateService::requestConfirmation(const ConfirmationRequest &request)
{
    core_.metrics.count(request.otherRegion ? "confirmations_requested_elsewhere" : "confirmations_requested_region");
    if (request.attempt > 0) {
        const std::optional<Duration> age = core_.service<ConfigSync>("config").provenAge();
        core_.events.writeRequest(Severity::Info, "confirmation_requested",
                                  {{"from", request.peer},
                                   {"otherRegion", request.otherRegion ? "yes" : "no"},
                                   {"attempt", std::to_string(request.attempt)},
                                   {"provenAgeMs", age ? std::to_string(millisOf(*age).count()) : ""}});
    }
    if (const std::optional<LinkId> link = openLinkTo(request.peer)) {
        sendRequest(*link, false, false);
        return;
    }
    const RegistryEntryPtr entry = core_.service<RegistrySync>("registry").registry().find(request.peer);
    if (!entry) {
        noteNotConfirmed(request.peer);
        return;
    }
    spawnFiber([this, peer = request.peer, links = entry->links, otherRegion = request.otherRegion] {
        const Expected<LinkId> link = core_.service<PeerHub>("peers").linkAt(links, linkOpenTimeout(otherRegion));
        if (link) {
            sendRequest(*link, false, false);
        } else {
            noteNotConfirmed(peer);
        }
    });
}

void StateUpdateService::noteNotConfirmed(const std::string &peer)
{
    core_.metrics.count("confirmations_failed");
    source_.noteFailed(peer, core_.clock.now());
}

void StateUpdateService::noteReply(const std::string &peer, const StateUpdate &update)
{
    ConfigSync &config = core_.service<ConfigSync>("config");
    const SteadyTime now = core_.clock.now();
    // A newer version is obtained first. Until it is in force, no peer can confirm the one held.
    const bool isNewer = update.versions.config > config.version();
    const bool isConfirmed = config.hasUsableProof(update.versions.isStoreReachable)
                             && !config.freshness().isOlderThan(usableConfigAge, now);
    if (isNewer || isConfirmed) {
        source_.noteConfirmed(peer, now);
    } else {
        noteNotConfirmed(peer);
    }
}

std::optional<LinkId> StateUpdateService::firstConfigRequestLink()
{
    ConfigSync &config = core_.service<ConfigSync>("config");
    if (config.version() != 0) {
        return std::nullopt;
    }
    const bool storeFailed = config.freshness().hasFailedSince(startedAt_);
    const bool mayStoreDeliver = config.hasCalledStore() && config.isStoreReachable();
    if (configHolder_) {
        return storeFailed || !mayStoreDeliver ? configHolder_ : std::nullopt;
    }
    const bool storeIsLate = !mayStoreDeliver && core_.clock.now() - startedAt_ >= storeStartTimeout;
    return storeIsLate || storeFailed ? randomLink() : std::nullopt;
}

std::optional<LinkId> StateUpdateService::randomLink()
{
    if (links_.empty()) {
        return std::nullopt;
    }
    return *std::next(links_.begin(), static_cast<std::ptrdiff_t>(core_.random() % links_.size()));
}

std::uint64_t StateUpdateService::sendRequest(LinkId link, bool wantsConfig, bool wantsRegistry)
{
    const std::uint64_t id = nextRequestId_++;
    std::deque<PendingRequest> &pending = pendingRequests_[link];
    if (pending.size() >= maxPendingRequests) {
        pending.pop_front();
    }
    pending.push_back(PendingRequest{id, core_.clock.now()});
    core_.service<PeerHub>("peers").reply(link,
                                          StateUpdateRequest{id, versions(), wantsConfig, wantsRegistry, wantsConfig});
    return id;
}

void StateUpdateService::handleRequest(LinkId link, const StateUpdateRequest &request)
{
    noteVersions(link, request.versions);
    StateUpdate update;
    update.id = request.id;
    update.versions = versions();
    if (const std::optional<Duration> age = core_.service<ConfigSync>("config").provenAge()) {
        update.provenAge = std::chrono::ceil<Millis>(*age);
    }
    const std::optional<NodeRef> peer = core_.service<PeerHub>("peers").peerOn(link);
    if (request.wantsConfig && peer) {
        distribution_.addDocument(*peer, request, update);
    }
    addRegistry(request, update);
    core_.service<PeerHub>("peers").reply(link, update);
}

void StateUpdateService::addRegistry(const StateUpdateRequest &request, StateUpdate &reply) const
{
    const NodeRegistry &registry = core_.service<RegistrySync>("registry").registry();
    if (registry.revision() <= request.versions.registry) {
        return;
    }
    if (request.wantsRegistry) {
        for (const RegistryEntryPtr &entry : registry.all()) {
            reply.registry.push_back(*entry);
        }
    } else if (registry.knowsChangesSince(request.versions.registry)) {
        RegistryChanges changes = registry.changesSince(request.versions.registry);
        if (changes.size() <= maxRegistryChanges) {
            reply.registryChanges = std::move(changes);
        }
    }
}

void StateUpdateService::handleUpdate(LinkId link, const NodeRef &from, const StateUpdate &update)
{
    ConfigSync &config = core_.service<ConfigSync>("config");
    if (configRequestedOn_ == link) {
        configRequestedOn_.reset();
    }
    distribution_.handleUpdate(link, from, update);
    RegistrySync &registry = core_.service<RegistrySync>("registry");
    registry.applyPeerList(update.registry, update.versions.registry);
    if (update.registryChanges) {
        registry.applyPeerChanges(*update.registryChanges);
    }
    if (const std::optional<SteadyTime> sentAt = takePendingRequest(link, update.id)) {
        confirmFreshness(update.versions, *sentAt);
        if (update.provenAge) {
            config.confirmProof(update.versions.config, *sentAt - *update.provenAge);
        }
        noteReply(from.id, update);
    }
    core_.service<RegionWatch>("region-watch").noteStoreReachable(from.id, update.versions.isStoreReachable);
    noteNewerRegistry(link, update.versions);
}

std::optional<SteadyTime> StateUpdateService::takePendingRequest(LinkId link, std::uint64_t id)
{
    const auto found = pendingRequests_.find(link);
    if (found == pendingRequests_.end()) {
        return std::nullopt;
    }
    std::deque<PendingRequest> &pending = found->second;
    while (!pending.empty() && pending.front().id < id) {
        pending.pop_front();
    }
    if (pending.empty() || pending.front().id != id) {
        return std::nullopt;
    }
    const SteadyTime sentAt = pending.front().sentAt;
    pending.pop_front();
    return sentAt;
}

} // namespace waxwing
