#include "src/node/MembershipService.h"

#include "include/base/Findings.h"
#include "platform/ObjectApi.h"
#include "src/fiber/FiberLoop.h"
#include "src/node/GossipService.h"
#include "src/node/NodeCore.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace waxwing {

namespace {

constexpr Millis joinInterval{1000};
const std::string nodeKind = "node";

} // namespace

MembershipService::MembershipService(NodeCore &core)
    : core_(core)
    , gossip_(core.service<GossipService>("gossip"))
{ }

void MembershipService::start()
{
    spawnFiber([this] { joinLoop(); });
    spawnFiber([this] { pingLoop(); });
}

void MembershipService::declareDown(const NodeRecord &node)
{
    const Record *held = gossip_.table().find(RecordKind::Node, node.ref.id);
    if (held == nullptr || held->version.major != node.ref.incarnation) {
        return;
    }
    NodeRecord down = node;
    down.state = NodeState::Down;
    down.services.clear();
    core_.events.write(Severity::Warning, "node_declared_down", {{"node", node.ref.text()}, {"reason", "silent"}});
    gossip_.publish(toRecord(down, held->version.minor + 1));
}

void MembershipService::joinThrough(const Endpoint &endpoint)
{
    if (endpoint == core_.settings.advertisedPeers || endpoint == core_.settings.peers) {
        return;
    }
    PeerHub &peers = core_.service<PeerHub>("peers");
    const Expected<NodeRef> ref = peers.discover(endpoint);
    if (ref && *ref != core_.self) {
        (void)peers.send(*ref, endpoint, DigestOffer{gossip_.table().bucketHashes()});
        (void)peers.send(*ref, endpoint, RecordsPush{{*gossip_.table().find(RecordKind::Node, core_.self.id)}});
    }
}

void MembershipService::joinFromStore()
{
    ObjectApi &api = core_.service<ObjectApi>("platform");
    const Expected<ObjectChanges> known = api.list(nodeKind);
    if (!known) {
        return;
    }
    std::uint64_t ownVersion = 0;
    std::vector<std::string> values;
    for (const StoredObject &object : known->objects) {
        if (object.name == core_.self.id) {
            ownVersion = object.version;
        } else {
            values.push_back(object.value);
        }
    }
    const nlohmann::json own = {{"peers", core_.settings.advertisedPeers.text()},
                                {"incarnation", core_.self.incarnation}};
    (void)api.update(nodeKind, core_.self.id, ownVersion, own.dump());
    std::shuffle(values.begin(), values.end(), core_.random);
    constexpr std::size_t maxStoredPeers = 3;
    for (std::size_t i = 0; i < values.size() && i < maxStoredPeers; ++i) {
        Findings findings;
        const nlohmann::json value = nlohmann::json::parse(values[i], nullptr, false);
        const bool readable = value.is_object() && value.contains("peers") && value["peers"].is_string();
        if (readable) {
            joinThrough(parseEndpoint(value["peers"].get<std::string>(), "", findings));
        }
    }
}

void MembershipService::joinLoop()
{
    bool registered = false;
    while (!core_.stopping) {
        const bool alone = gossip_.upIds().size() <= 1;
        if (!registered || alone) {
            joinFromStore();
            registered = true;
        }
        if (alone) {
            for (const Endpoint &seed : core_.settings.seeds) {
                joinThrough(seed);
            }
        }
        // Nodes that were declared down may only have been partitioned, so this node keeps trying to reach them.
        std::vector<Endpoint> down;
        for (const NodeRecord *one : gossip_.nodes()) {
            if (one->state == NodeState::Down) {
                down.push_back(Endpoint{one->address, one->peerPort});
            }
        }
        if (!down.empty()) {
            joinThrough(down[core_.random() % down.size()]);
        }
        sleepFor(core_.ioContext, joinInterval);
    }
}

void MembershipService::pingLoop()
{
    PeerHub &peers = core_.service<PeerHub>("peers");
    while (!core_.stopping) {
        sleepFor(core_.ioContext, core_.settings.times.ping);
        peers.closeUnidentified(core_.settings.times.pingTimeout);
        std::set<std::string> watched;
        for (const std::string &id : gossip_.partners()) {
            const NodeRecord *one = gossip_.node(id);
            if (one == nullptr) {
                continue;
            }
            watched.insert(id);
            unansweredSince_.emplace(id, core_.clock.now());
            spawnFiber([this, &peers, ref = one->ref, endpoint = Endpoint{one->address, one->peerPort}] {
                const Expected<void> pong = peers.ping(ref, endpoint, core_.settings.times.ping);
                const NodeRecord *current = gossip_.node(ref.id);
                if (pong) {
                    unansweredSince_.erase(ref.id);
                } else if (current != nullptr && current->ref == ref && current->state == NodeState::Up
                           && !core_.stopping) {
                    const auto since = unansweredSince_.find(ref.id);
                    const bool tooLong = since != unansweredSince_.end()
                                         && core_.clock.now() - since->second >= core_.settings.times.pingTimeout;
                    if (tooLong) {
                        peers.disconnect(ref);
                        declareDown(NodeRecord(*current));
                        unansweredSince_.erase(ref.id);
                    }
                }
            });
        }
        for (auto it = unansweredSince_.begin(); it != unansweredSince_.end();) {
            it = watched.count(it->first) == 0 ? unansweredSince_.erase(it) : std::next(it);
        }
    }
}

} // namespace waxwing
