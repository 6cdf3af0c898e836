#include "src/sidecar/RosterKeeper.h"

#include "platform/ConfigDecoder.h"
#include "src/fiber/FiberLoop.h"
#include "src/node/NodeCore.h"
#include "src/sidecar/StoreWatch.h"

#include <algorithm>

namespace waxwing {

namespace {

/** New nodes must be known soon, but a hundred that start together should cost the others a few calls each. */
constexpr Millis gatherNews{400};
/**
 * Reads of old state cost a tenth and are not counted, so waits can be short: a watch that has gone silent is noticed
 * within the longest one.
 */
constexpr Millis shortestRosterWait{2000};
constexpr Millis longestRosterWait{4000};
constexpr Millis publishCheck{500};
constexpr Millis longestPublishPause{4000};

RosterEntry ownEntry(const NodeSettings &settings)
{
    return RosterEntry{settings.node,   settings.advertisedPeers, settings.zone,
                       settings.region, settings.server->service, 0};
}

} // namespace

RosterKeeper::RosterKeeper(NodeCore &core)
    : core_(core)
{
    StoreWatchTuning tuning;
    tuning.mode = ReadMode::MayBeOld;
    tuning.gather = gatherNews;
    tuning.shortestWait = shortestRosterWait;
    tuning.longestWait = longestRosterWait;
    watch_ = std::make_unique<StoreWatch>(core_, platform::rosterKind, tuning,
                                          [this](const ObjectChanges &changes) { takeChanges(changes); });
}

RosterKeeper::~RosterKeeper() = default;

void RosterKeeper::start()
{
    spawnFiber([this] { watch_->run(); });
    spawnFiber([this] { publishLoop(); });
}

void RosterKeeper::onChange(std::function<void()> hook)
{
    hook_ = std::move(hook);
}

void RosterKeeper::takeChanges(const ObjectChanges &changes)
{
    bool changed = false;
    std::vector<RosterEntry> listed;
    for (const StoredObject &object : changes.objects) {
        const std::optional<RosterEntry> entry =
            object.deleted ? std::nullopt : platform::decodeRosterEntry(object.name, object.value, object.version);
        if (!entry && !object.deleted) {
            core_.events.write(Severity::Warning, "roster_entry_unreadable", {{"node", object.name}});
        }
        if (changes.complete && entry) {
            listed.push_back(*entry);
        } else if (entry) {
            changed = roster_.put(*entry) || changed;
        } else if (!changes.complete) {
            changed = roster_.remove(object.name, object.version) || changed;
        }
    }
    if (changes.complete) {
        changed = roster_.replace(listed, changes.revision);
    }
    roster_.advance(changes.revision);
    listed_ = true;
    if (changed) {
        core_.events.write(Severity::Info, "roster_changed",
                           {{"nodes", std::to_string(roster_.size())},
                            {"revision", std::to_string(roster_.asOf())},
                            {"source", "store"}});
    }
    if (changed && hook_) {
        hook_();
    }
}

void RosterKeeper::takeList(const std::vector<RosterEntry> &entries, std::uint64_t asOf)
{
    if (storeAnswers() || entries.empty() || !roster_.replace(entries, asOf)) {
        return;
    }
    core_.events.write(
        Severity::Info, "roster_changed",
        {{"nodes", std::to_string(roster_.size())}, {"revision", std::to_string(asOf)}, {"source", "node"}});
    if (hook_) {
        hook_();
    }
}

bool RosterKeeper::isOwnEntryRight() const
{
    const RosterEntry own = ownEntry(core_.settings);
    const RosterEntryPtr found = roster_.find(own.id);
    return found != nullptr && found->links == own.links && found->zone == own.zone && found->service == own.service
           && found->region == own.region;
}

void RosterKeeper::publishLoop()
{
    ObjectApi &api = core_.service<ObjectApi>("platform");
    Millis pause = publishCheck;
    std::uint64_t version = 0;
    while (!core_.stopping && !withdrawn_) {
        // The first list tells whether an entry from before this start still holds.
        if (!listed_ || isOwnEntryRight()) {
            sleepFor(core_.ioContext, publishCheck);
            pause = publishCheck;
            continue;
        }
        const RosterEntry own = ownEntry(core_.settings);
        const RosterEntryPtr standing = roster_.find(own.id);
        version = standing != nullptr ? std::max(version, standing->revision) : version;
        const UpdateResult result = api.update(platform::rosterKind, own.id, version, platform::encodeRosterEntry(own));
        switch (result.kind) {
        case UpdateResult::Kind::Stored: {
            RosterEntry written = own;
            written.revision = result.version;
            roster_.putWritten(written);
            core_.events.write(Severity::Info, "roster_entry_written", {{"revision", std::to_string(result.version)}});
            break;
        }
        case UpdateResult::Kind::Conflict:
            // Written by an earlier process of this node, or by a call of ours that took effect late.
            version = result.current ? result.current->version : 0;
            break;
        case UpdateResult::Kind::NotStored:
        case UpdateResult::Kind::Unknown:
            // Repeating is safe: the entry is the same, and the condition refuses it where it is there already.
            core_.events.write(Severity::Warning, "roster_entry_not_written", {{"reason", result.message}});
            sleepFor(core_.ioContext, pause);
            pause = std::min(longestPublishPause, pause * 2);
            break;
        }
    }
}

void RosterKeeper::withdraw()
{
    withdrawn_ = true;
    const RosterEntryPtr own = roster_.find(core_.settings.node);
    if (own == nullptr) {
        return;
    }
    const UpdateResult result =
        core_.service<ObjectApi>("platform").remove(platform::rosterKind, own->id, own->revision);
    const bool removed = result.kind == UpdateResult::Kind::Stored;
    core_.events.write(removed ? Severity::Info : Severity::Warning, "roster_entry_removed",
                       {{"done", removed ? "yes" : "no"}, {"reason", result.message}});
}

const Roster &RosterKeeper::roster() const
{
    return roster_;
}

bool RosterKeeper::storeAnswers() const
{
    return watch_->isHealthy();
}

} // namespace waxwing
