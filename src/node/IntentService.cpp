#include "src/node/IntentService.h"

#include "include/base/Cbor.h"
#include "include/base/JsonReader.h"
#include "include/member/Ring.h"
#include "platform/ObjectApi.h"
#include "src/fiber/FiberLoop.h"
#include "src/node/GossipService.h"
#include "src/node/NodeCore.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace waxwing {

const char *const serviceKind = "service";

namespace {

constexpr std::size_t watcherCount = 3;
constexpr Millis firstBackoff{250};
constexpr Millis maxBackoff{5000};
constexpr Millis watcherCheckInterval{1000};

Record recordOf(const StoredObject &object)
{
    const nlohmann::json body = {object.deleted, object.value};
    return Record{RecordKind::Service, object.name, RecordVersion{object.version, 0}, nlohmann::json::to_cbor(body)};
}

} // namespace

IntentService::IntentService(NodeCore &core)
    : core_(core)
{
    core_.service<GossipService>("gossip").onRecord(RecordKind::Service,
                                                    [this](const Record &record) { applyRecord(record); });
}

void IntentService::start()
{
    spawnFiber([this] { watchLoop(); });
}

void IntentService::onChange(ChangeHook hook)
{
    hooks_.push_back(std::move(hook));
}

void IntentService::applyRecord(const Record &record)
{
    const nlohmann::json body = parseCbor(record.payload);
    const bool readable = body.is_array() && body.size() == 2 && body[0].is_boolean() && body[1].is_string();
    if (!readable) {
        core_.metrics.count("config_bad_records");
        return;
    }
    Entry &entry = entries_[record.key];
    entry.revision = record.version.major;
    const std::string revision = std::to_string(entry.revision);
    entry.refusal.clear();
    if (body[0].get<bool>()) {
        entry.intent.reset();
        core_.events.write(Severity::Info, "config_removed", {{"service", record.key}, {"revision", revision}});
    } else {
        Findings findings;
        const std::string text = body[1].get<std::string>();
        const nlohmann::json document = parseJsonWithComments(text, record.key, findings);
        ServiceIntent parsed;
        if (findings.empty()) {
            parsed = parseServiceIntent(record.key, document, findings);
        }
        if (!findings.empty()) {
            // The object was written without validation or by a newer release: the version in force stays, and the
            // findings are reported.
            entry.refusal = findings.text();
            core_.events.write(Severity::Error, "config_refused",
                               {{"service", record.key}, {"revision", revision}, {"findings", entry.refusal}});
            return;
        }
        entry.intent = std::make_shared<const ServiceIntent>(std::move(parsed));
        core_.events.write(Severity::Info, "config_in_force", {{"service", record.key}, {"revision", revision}});
    }
    for (const ChangeHook &hook : hooks_) {
        hook(record.key);
    }
}

bool IntentService::isWatcher() const
{
    const std::vector<std::string> first =
        firstByHash("watch", core_.service<GossipService>("gossip").upIds(), watcherCount);
    return std::find(first.begin(), first.end(), core_.self.id) != first.end();
}

void IntentService::watchLoop()
{
    ObjectApi &api = core_.service<ObjectApi>("platform");
    GossipService &gossip = core_.service<GossipService>("gossip");
    std::uint64_t since = 0;
    Millis backoff = firstBackoff;
    while (!core_.stopping) {
        if (!isWatcher()) {
            since = 0;
            sleepFor(core_.ioContext, watcherCheckInterval);
            continue;
        }
        const Expected<ObjectChanges> changes = api.watch(serviceKind, WatchCall{since, core_.settings.times.watch});
        if (!changes) {
            core_.metrics.count("platform_watch_failures");
            // Jitter keeps the watchers from reconnecting all at once after an outage.
            const Millis pause = core_.randomBelow(backoff);
            sleepFor(core_.ioContext, backoff / 2 + pause);
            backoff = std::min(maxBackoff, backoff * 2);
            continue;
        }
        backoff = firstBackoff;
        std::map<std::string, bool> listed;
        for (const StoredObject &object : changes->objects) {
            listed[object.name] = true;
            gossip.publish(recordOf(object));
        }
        if (changes->complete) {
            for (const auto &[name, entry] : std::map<std::string, Entry>(entries_)) {
                const bool deleted = listed.count(name) == 0 && entry.intent && entry.revision <= changes->revision;
                if (deleted) {
                    gossip.publish(recordOf(StoredObject{serviceKind, name, changes->revision, true, {}}));
                }
            }
        }
        since = changes->revision;
    }
}

std::shared_ptr<const ServiceIntent> IntentService::find(const std::string &service) const
{
    const auto found = entries_.find(service);
    return found == entries_.end() ? nullptr : found->second.intent;
}

std::map<std::string, std::uint64_t> IntentService::revisions() const
{
    std::map<std::string, std::uint64_t> out;
    for (const auto &[name, entry] : entries_) {
        out[name] = entry.revision;
    }
    return out;
}

std::string IntentService::refusal(const std::string &service) const
{
    const auto found = entries_.find(service);
    return found == entries_.end() ? std::string() : found->second.refusal;
}

std::size_t IntentService::size() const
{
    return entries_.size();
}

bool IntentService::hasAny() const
{
    return !entries_.empty();
}

} // namespace waxwing
