#include "src/sidecar/config/ConfigSync.h"

#include "platform/ConfigDecoder.h"
#include "platform/Names.h"
#include "src/fiber/FiberLoop.h"
#include "src/node/NodeCore.h"
#include "src/sidecar/membership/RegionWatch.h"
#include "src/sidecar/membership/RegistrySync.h"
#include "src/sidecar/membership/StoreWatch.h"

namespace waxwing {

namespace {

/**
 * Age of the configuration at which the store is polled, in case the watch's connection is dead. A node has 4 s to
 * detect a dead connection; a change usually has about 2.5 s to take effect. Other nodes usually confirm the
 * configuration before it reaches this age.
 */
constexpr Millis pollAge{2200};
/** Each end of a watcher's wait confirms the version for its whole region, which has no other confirmation. */
constexpr Millis minConfigWait{500};
constexpr Millis maxConfigWait{1000};
/** Ages of the proof, as fractions of the age up to which keys are accepted, from which on a node looks for another. */
constexpr double askForProofAt = 0.5;
constexpr double callStoreForProofAt = 0.7;
/** Up to this fraction, a proof from a peer that reaches the store suffices for the usual interval of requests. */
constexpr double usableProofUntil = 0.75;

} // namespace

ConfigSync::ConfigSync(NodeCore &core, const KeyAdmissionTuning &keyAdmission)
    : core_(core)
    , keyAdmission_(keyAdmission)
{
    StoreWatchTuning tuning;
    tuning.valueText = ValueText::AsSent;
    tuning.pollAfter = pollAge;
    tuning.minWait = minConfigWait;
    tuning.maxWait = maxConfigWait;
    tuning.role = [this] { return role(); };
    tuning.followsFromStart = true;
    watch_ = std::make_unique<StoreWatch>(core_, platform::names::configKind, tuning,
                                          [this](const ObjectChanges &changes) { handleChanges(changes); });
}

ConfigSync::~ConfigSync() = default;

void ConfigSync::start()
{
    spawnFiber([this] { watch_->run(); });
}

void ConfigSync::onChange(ChangeHook hook)
{
    hooks_.push_back(std::move(hook));
}

void ConfigSync::onStoreDocument(DocumentHook hook)
{
    storeDocumentHook_ = std::move(hook);
}

void ConfigSync::handleChanges(const ObjectChanges &changes)
{
    // Decoding a document that the same response replaces would delay the newest one. An older one still counts if the
    // newest is refused.
    bool refused = false;
    for (const StoredObject *object : newestFirst(changes.objects, platform::names::configName)) {
        if (applyStoreDocument(object->value, "store revision " + std::to_string(object->version))) {
            break;
        }
        refused = true;
    }
    hasRefusedNewer_ = hasRefusedNewer_ || refused;
}

bool ConfigSync::applyStoreDocument(const std::string &document, const std::string &source)
{
    if (!storeDocumentHook_ || !storeDocumentHook_(document, source)) {
        return applyDocument(document, source);
    }
    return !hasRefusedNewer_;
}

bool ConfigSync::applyDocument(const std::string &document, const std::string &source)
{
    // Lists contain the document in force again.
    if (current_ && document == current_->source) {
        return true;
    }
    Findings findings;
    FleetConfig decoded = platform::decodeConfig(document, findings);
    if (!findings.empty()) {
        // The version in force stays; the event shows the operator what is wrong with this one.
        core_.events.write(Severity::Error, "config_refused", {{"source", source}, {"findings", findings.text()}});
        core_.metrics.count("config_refused");
        hasRefusedNewer_ = true;
        return false;
    }
    const bool newer = decoded.version > version();
    core_.events.writeRequest(Severity::Info, "config_read",
                              {{"version", std::to_string(decoded.version)},
                               {"held", std::to_string(version())},
                               {"bytes", std::to_string(document.size())},
                               {"source", source}});
    core_.metrics.count(newer ? "config_documents_newer" : "config_documents_not_newer");
    if (!newer) {
        return true;
    }
    const std::string before = std::to_string(version());
    current_ = std::make_shared<const FleetConfig>(std::move(decoded));
    hasRefusedNewer_ = false;
    confirmPendingProof();
    core_.events.write(Severity::Info, "config_in_force",
                       {{"version", std::to_string(version())},
                        {"before", before},
                        {"routes", std::to_string(current_->routeCount())},
                        {"customers", std::to_string(current_->customers.size())},
                        {"source", source}});
    for (const Finding &warning : current_->warnings.all()) {
        core_.events.write(
            Severity::Warning, "config_warning",
            {{"version", std::to_string(version())}, {"place", warning.place}, {"warning", warning.message}});
    }
    for (const ChangeHook &hook : hooks_) {
        hook(*current_);
    }
    return true;
}

std::shared_ptr<const FleetConfig> ConfigSync::current() const
{
    return current_;
}

std::uint64_t ConfigSync::version() const
{
    return current_ ? current_->version : 0;
}

Freshness &ConfigSync::freshness()
{
    return watch_->freshness();
}

std::optional<Duration> ConfigSync::provenAge() const
{
    return hasRefusedNewer_ ? std::nullopt : watch_->proof().age(core_.clock.now());
}

void ConfigSync::confirmProof(std::uint64_t version, SteadyTime provenAt)
{
    // A version is never replaced by a lower one, so a higher one in force holds all that was known at that time.
    if (version <= this->version()) {
        watch_->proof().confirm(provenAt);
    } else {
        pendingProof_.add(version, provenAt);
    }
}

void ConfigSync::confirmPendingProof()
{
    if (const std::optional<SteadyTime> provenAt = pendingProof_.take(version())) {
        watch_->proof().confirm(*provenAt);
    }
}

bool ConfigSync::hasProofOlderThan(double fraction) const
{
    if (!keyAdmission_.maxConfigAge || !current_ || !current_->requiresKeys) {
        return false;
    }
    const Duration limit = std::chrono::duration_cast<Duration>(*keyAdmission_.maxConfigAge * fraction);
    return watch_->proof().isOlderThan(limit, core_.clock.now());
}

bool ConfigSync::needsProof() const
{
    return hasProofOlderThan(askForProofAt);
}

bool ConfigSync::hasUsableProof(bool fromReachable) const
{
    return !hasProofOlderThan(fromReachable ? usableProofUntil : askForProofAt);
}

WatchRole ConfigSync::role() const
{
    RegionWatch &region = core_.service<RegionWatch>("region-watch");
    return current_ ? region.updateRole(ageForRole()) : region.firstRole();
}

std::optional<Duration> ConfigSync::ageForRole() const
{
    return hasProofOlderThan(callStoreForProofAt) ? std::nullopt : watch_->freshness().age(core_.clock.now());
}

void ConfigSync::requestPoll()
{
    watch_->requestPoll();
}

bool ConfigSync::isStoreReachable() const
{
    // A follower that has never called for the configuration is judged by its calls for the registry.
    return watch_->hasCalled() ? watch_->isHealthy() : core_.service<RegistrySync>("registry").isStoreReachable();
}

bool ConfigSync::hasCalledStore() const
{
    return watch_->hasCalled();
}

} // namespace waxwing
