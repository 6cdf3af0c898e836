#include "src/sidecar/membership/RegistrySync.h"

#include "platform/ConfigDecoder.h"
#include "src/fiber/FiberLoop.h"
#include "src/node/NodeCore.h"
#include "src/sidecar/membership/RegionWatch.h"
#include "src/sidecar/membership/StoreWatch.h"

#include <algorithm>

namespace waxwing {

namespace {

/** New nodes must be known soon, but a hundred that start together should cost each other node only a few calls. */
constexpr Millis changeBatchDelay{400};
/**
 * Stale reads cost a tenth and are not counted, so waits can be short: a watch on a dead connection is detected within
 * the maximum wait.
 */
constexpr Millis minRegistryWait{2000};
constexpr Millis maxRegistryWait{4000};
/** Time without a change in the store after which a started node follows: in a starting fleet many nodes join. */
constexpr Millis settleTime{1500};
constexpr Millis followerCheckInterval{500};
/**
 * A node that lacks changes for this time plus a random part of the jitter reads them from the store. A watcher learns
 * of a revision without changes at the end of its wait, and its peers with their next confirmation, a second later.
 */
constexpr Millis catchUpAfter = maxRegistryWait + Millis(2000);
constexpr Millis catchUpJitter{2000};
constexpr Millis publishInterval{500};
constexpr Millis maxPublishBackoff{4000};

RegistryEntry ownEntry(const NodeSettings &settings)
{
    return RegistryEntry{settings.node,   settings.advertisedPeers, settings.zone,
                         settings.region, settings.server->service, 0};
}

} // namespace

RegistrySync::RegistrySync(NodeCore &core)
    : core_(core)
    , catchUpDelay_(catchUpAfter + core.randomBelow(catchUpJitter))
{
    StoreWatchTuning tuning;
    tuning.mode = ReadMode::AllowStale;
    tuning.batchDelay = changeBatchDelay;
    tuning.minWait = minRegistryWait;
    tuning.maxWait = maxRegistryWait;
    tuning.role = [this] { return role(); };
    tuning.roleCheckInterval = followerCheckInterval;
    watch_ = std::make_unique<StoreWatch>(core_, platform::registryKind, tuning,
                                          [this](const ObjectChanges &changes) { handleChanges(changes); });
}

RegistrySync::~RegistrySync() = default;

void RegistrySync::start()
{
    spawnFiber([this] { watch_->run(); });
    spawnFiber([this] { publishLoop(); });
}

void RegistrySync::onChange(std::function<void()> hook)
{
    onChange_ = std::move(hook);
}

void RegistrySync::handleChanges(const ObjectChanges &changes)
{
    bool changed = false;
    std::vector<RegistryEntry> listed;
    for (const StoredObject &object : changes.objects) {
        const std::optional<RegistryEntry> entry =
            object.deleted ? std::nullopt : platform::decodeRegistryEntry(object.name, object.value, object.version);
        if (!entry && !object.deleted) {
            core_.events.write(Severity::Warning, "registry_entry_unreadable", {{"node", object.name}});
        }
        if (changes.complete && entry) {
            listed.push_back(*entry);
        } else if (entry) {
            changed = registry_.put(*entry) || changed;
        } else if (!changes.complete) {
            changed = registry_.remove(object.name, object.version) || changed;
        }
    }
    if (changes.complete) {
        changed = registry_.replace(listed, changes.revision);
    }
    registry_.advance(changes.revision);
    hasList_ = true;
    noteRevision(changes.revision);
    if (changed) {
        lastStoreChange_ = core_.clock.now();
        reportChange("store");
    }
}

void RegistrySync::reportChange(const char *source)
{
    core_.events.write(Severity::Info, "registry_changed",
                       {{"nodes", std::to_string(registry_.size())},
                        {"revision", std::to_string(registry_.revision())},
                        {"source", source}});
    if (onChange_) {
        onChange_();
    }
}

WatchRole RegistrySync::role() const
{
    const SteadyTime now = core_.clock.now();
    const bool isSettled = now - lastStoreChange_ >= settleTime;
    const bool lacksChanges = lack_ && now - lack_->since >= catchUpDelay_;
    return isSettled && !lacksChanges ? core_.service<RegionWatch>("region-watch").role() : WatchRole::Watcher;
}

void RegistrySync::noteRevision(std::uint64_t revision)
{
    highestKnown_ = std::max(highestKnown_, revision);
    // Revisions of the store also grow by changes of other objects, so a node that makes progress lacks nothing for
    // long.
    if (lack_ && registry_.revision() >= lack_->revision) {
        lack_.reset();
    }
    if (!lack_ && registry_.revision() < highestKnown_) {
        lack_ = Lack{highestKnown_, core_.clock.now()};
    }
}

void RegistrySync::applyPeerChanges(const RegistryChanges &changes)
{
    bool changed = false;
    if (!registry_.apply(changes, changed)) {
        return;
    }
    noteRevision(changes.revision);
    if (changed) {
        reportChange("node");
    }
}

Duration RegistrySync::sinceStoreChange() const
{
    return core_.clock.now() - lastStoreChange_;
}

void RegistrySync::applyPeerList(const std::vector<RegistryEntry> &entries, std::uint64_t revision)
{
    if (isStoreReachable() || entries.empty() || !registry_.replace(entries, revision)) {
        return;
    }
    noteRevision(revision);
    reportChange("node");
}

bool RegistrySync::isOwnEntryCurrent() const
{
    const RegistryEntry own = ownEntry(core_.settings);
    const RegistryEntryPtr found = registry_.find(own.id);
    return found != nullptr && found->links == own.links && found->zone == own.zone && found->service == own.service
           && found->region == own.region;
}

void RegistrySync::publishLoop()
{
    ObjectApi &api = core_.service<ObjectApi>("platform");
    Millis pause = publishInterval;
    std::uint64_t version = 0;
    while (!core_.stopping && !ownEntryRemoved_) {
        // The first list shows whether an entry from before this start is still valid.
        if (!hasList_ || isOwnEntryCurrent()) {
            sleepFor(core_.ioContext, publishInterval);
            pause = publishInterval;
            continue;
        }
        const RegistryEntry own = ownEntry(core_.settings);
        const RegistryEntryPtr stored = registry_.find(own.id);
        version = stored != nullptr ? std::max(version, stored->revision) : version;
        const UpdateResult result =
            api.update(platform::registryKind, own.id, version, platform::encodeRegistryEntry(own));
        switch (result.kind) {
        case UpdateResult::Kind::Stored: {
            RegistryEntry written = own;
            written.revision = result.version;
            registry_.putOwn(written);
            core_.events.write(Severity::Info, "registry_entry_written",
                               {{"revision", std::to_string(result.version)}});
            break;
        }
        case UpdateResult::Kind::Conflict:
            // Written by an earlier process of this node, or by a call of this process that took effect late.
            version = result.current ? result.current->version : 0;
            break;
        case UpdateResult::Kind::NotStored:
        case UpdateResult::Kind::Unknown:
            // Retrying is safe: the entry is the same, and the conditional update fails if it is stored already.
            core_.events.write(Severity::Warning, "registry_entry_not_written", {{"reason", result.message}});
            sleepFor(core_.ioContext, pause);
            pause = std::min(maxPublishBackoff, pause * 2);
            break;
        }
    }
}

void RegistrySync::removeOwnEntry()
{
    ownEntryRemoved_ = true;
    const RegistryEntryPtr own = registry_.find(core_.settings.node);
    if (own == nullptr) {
        return;
    }
    const UpdateResult result =
        core_.service<ObjectApi>("platform").remove(platform::registryKind, own->id, own->revision);
    const bool removed = result.kind == UpdateResult::Kind::Stored;
    core_.events.write(removed ? Severity::Info : Severity::Warning, "registry_entry_removed",
                       {{"done", removed ? "yes" : "no"}, {"reason", result.message}});
}

const NodeRegistry &RegistrySync::registry() const
{
    return registry_;
}

bool RegistrySync::isStoreReachable() const
{
    return watch_->isHealthy();
}

} // namespace waxwing
