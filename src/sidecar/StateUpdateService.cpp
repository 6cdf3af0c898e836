#include "src/sidecar/StateUpdateService.h"

#include "include/fleet/Freshness.h"
#include "src/fiber/FiberLoop.h"
#include "src/node/NodeCore.h"
#include "src/sidecar/ConfigSync.h"
#include "src/sidecar/RegionWatch.h"
#include "src/sidecar/RegistrySync.h"

#include <algorithm>
#include <iterator>

namespace waxwing {

namespace {

/** Time for the store to answer a node that has just started. */
constexpr Millis storeStartTimeout{1000};
/** A large configuration takes seconds over a narrow link; a copy from a second node would only delay the first. */
constexpr Millis configRequestTimeout{4000};
/** State of this age is checked with other nodes, which costs less than a call to the store. */
constexpr Millis versionRequestAge{1200};
/** A follower checks earlier, so that a reply arrives before it has to call the store itself as a stand-in. */
constexpr Millis followerVersionRequestAge{900};
constexpr Millis versionRequestInterval{400};

} // namespace

StateUpdateService::StateUpdateService(NodeCore &core)
    : core_(core)
    , distribution_(core, [this](LinkId link) { return sendRequest(link, true, isStoreUnreachable()); })
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
    const bool newerRegistry = peerVersions.registry > core_.service<RegistrySync>("registry").registry().revision();
    if (newerRegistry && isStoreUnreachable() && now - lastRequestAt_ >= versionRequestInterval) {
        sendRequest(link, false, true);
    }
}

void StateUpdateService::run()
{
    while (!core_.stopping) {
        sendRequestIfNeeded();
        const SteadyTime next = distribution_.update();
        sleepFor(core_.ioContext, next - core_.clock.now());
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
    const bool stale = config.freshness().isOlderThan(isFollower() ? followerVersionRequestAge : versionRequestAge, now)
                       || config.needsProof();
    if (config.version() == 0 || !stale || now - lastRequestAt_ < versionRequestInterval) {
        return;
    }
    if (const std::optional<LinkId> other = versionRequestLink()) {
        sendRequest(*other, false, false);
    }
}

std::optional<LinkId> StateUpdateService::versionRequestLink()
{
    const std::optional<LinkId> watcher = core_.service<RegionWatch>("region-watch").linkToWatcher();
    return watcher && pendingRequests_.count(*watcher) == 0 ? watcher : randomLink();
}

std::optional<LinkId> StateUpdateService::firstConfigRequestLink()
{
    ConfigSync &config = core_.service<ConfigSync>("config");
    if (config.version() != 0) {
        return std::nullopt;
    }
    const bool storeFailed = config.freshness().hasFailedSince(startedAt_);
    if (configHolder_) {
        return storeFailed || !config.isStoreReachable() ? configHolder_ : std::nullopt;
    }
    const bool storeIsLate = !config.isStoreReachable() && core_.clock.now() - startedAt_ >= storeStartTimeout;
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
    lastRequestAt_ = core_.clock.now();
    const std::uint64_t id = nextRequestId_++;
    pendingRequests_.emplace(link, PendingRequest{id, lastRequestAt_});
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
    if (request.wantsRegistry && update.versions.registry > request.versions.registry) {
        for (const RegistryEntryPtr &entry : core_.service<RegistrySync>("registry").registry().all()) {
            update.registry.push_back(*entry);
        }
    }
    core_.service<PeerHub>("peers").reply(link, update);
}

void StateUpdateService::handleUpdate(LinkId link, const NodeRef &from, const StateUpdate &update)
{
    ConfigSync &config = core_.service<ConfigSync>("config");
    if (configRequestedOn_ == link) {
        configRequestedOn_.reset();
    }
    distribution_.handleUpdate(link, from, update);
    core_.service<RegistrySync>("registry").applyPeerList(update.registry, update.versions.registry);
    const auto pending = pendingRequests_.find(link);
    // A reply to a later request confirms at least as much as one to the oldest request.
    if (pending != pendingRequests_.end() && update.id >= pending->second.id) {
        confirmFreshness(update.versions, pending->second.sentAt);
        if (update.provenAge && update.versions.config == config.version()) {
            config.confirmProof(pending->second.sentAt - *update.provenAge);
        }
        pendingRequests_.erase(pending);
    }
    core_.service<RegionWatch>("region-watch").noteStoreReachable(from.id, update.versions.isStoreReachable);
    noteNewerRegistry(link, update.versions);
}

} // namespace waxwing
