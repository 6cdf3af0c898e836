#include "src/sidecar/SidecarNodeImpl.h"

#include <algorithm>

namespace waxwing {

namespace {

/** Timeout of opening a link. Links to the region's nodes are opened before the first request needs them. */
constexpr Millis warmTimeout{1500};
/** A killed process is back within about a second; a lost VM costs an occasional connection attempt. */
constexpr Millis initialReconnectDelay{500};
constexpr Millis maxReconnectDelay{8000};

} // namespace

void SidecarNode::Impl::warmLinks()
{
    for (const RegistryEntryPtr &entry : registry.registry().inRegion(core.settings.region)) {
        if (entry->id != core.self.id && !peers->openLinkAt(entry->links)) {
            spawnFiber([this, links = entry->links] {
                const Expected<LinkId> opened = peers->linkAt(links, warmTimeout);
                core.metrics.count(opened ? "links_warmed" : "links_not_warmed");
            });
        }
    }
}

void SidecarNode::Impl::broadcast(const Record &record)
{
    for (const RegistryEntryPtr &entry : registry.registry().all()) {
        if (entry->id == core.self.id) {
            continue;
        }
        spawnFiber([this, record, links = entry->links, id = entry->id] {
            const Expected<LinkId> link = peers->linkAt(links, warmTimeout);
            if (!link || !peers->reply(*link, RecordsPush{{record}})) {
                core.events.write(Severity::Warning, "record_not_sent", {{"node", id}, {"record", record.key}});
            }
        });
    }
}

void SidecarNode::Impl::reconnect(const std::string &peer)
{
    const RegistryEntryPtr lost = registry.registry().find(peer);
    if (lost == nullptr || lost->region != core.settings.region || !reconnecting.insert(peer).second) {
        return;
    }
    // A node that restarts while the store is down has no registry, so it can't open links itself. It obtains the
    // configuration and the registry over the first link that another node opens to it.
    spawnFiber([this, peer] {
        Millis pause = initialReconnectDelay;
        while (!core.stopping) {
            // Jitter: all nodes of a region reconnect to a VM that is back, and to many of them at once after an
            // outage.
            sleepFor(core.ioContext, pause / 2 + core.randomBelow(pause / 2));
            const RegistryEntryPtr entry = registry.registry().find(peer);
            if (entry == nullptr) {
                break;
            }
            const Endpoint links = entry->links;
            if (peers->linkAt(links, warmTimeout)) {
                break;
            }
            pause = std::min(maxReconnectDelay, pause * 2);
        }
        reconnecting.erase(peer);
    });
}

} // namespace waxwing
