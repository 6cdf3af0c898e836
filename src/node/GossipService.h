#pragma once

#include "include/member/NodeRecord.h"
#include "include/member/RecordTable.h"
#include "src/link/PeerHub.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace waxwing {

struct NodeCore;

/**
 * Spreads records over the fleet and keeps what they say of its nodes. Changes are pushed along the ring's partners at
 * once; every few seconds one partner's summary is compared, which repairs what a lost link or an outage left out. A
 * node that finds itself declared down refutes it. Not thread safe.
 */
class GossipService
{
public:
    using RecordHook = std::function<void(const Record &)>;

    explicit GossipService(NodeCore &core);

    /** Called for each record of @p kind that was taken; register before start(). */
    void onRecord(RecordKind kind, RecordHook hook);
    /** Starts the loops. @pre the core's kernel holds "peers". */
    void start();
    /** Tells the fleet that this node leaves. @pre called from a fiber. */
    void leave();

    /** Takes a record of this node's own making and spreads it. */
    void publish(const Record &record);
    /** As publish(), but sent at once instead of with the next batch. */
    void publishNow(const Record &record);
    /** Services homed here and their servers in service; spread when they change. */
    void publishServices(std::map<std::string, std::uint32_t> services);
    /** Handles a gossip message. Returns false if it is of another kind. */
    bool handle(LinkId link, const NodeRef &from, const Message &message);

    const RecordTable &table() const;
    /** The record of a node's current incarnation; null if unknown. */
    const NodeRecord *node(const std::string &id) const;
    /** Every node known, also the ones that are down. */
    std::vector<const NodeRecord *> nodes() const;
    /** Ids of the nodes that are up, with this one. */
    std::vector<std::string> upIds() const;
    /** Homes with servers of @p service, this node included. */
    std::vector<const NodeRecord *> homesOf(const std::string &service) const;
    /** Nodes that this one keeps links to. */
    std::vector<std::string> partners() const;
    bool isUp(const NodeRef &ref) const;
    std::optional<Endpoint> peerEndpoint(const NodeRef &ref) const;
    /** The incarnation that holds the claims of @p owner, following the chain of successors. */
    NodeRef claimHolder(const NodeRef &owner) const;
    bool hasLeft() const;

private:
    void mergeRecord(const Record &record, const NodeRef &from);
    void onRecordMerged(const Record &record);
    void push(const std::vector<Record> &records, const std::set<std::string> &except);
    bool handleNames(LinkId link, const RecordNames &names);
    void publishSelf();
    void refute(const NodeRecord &claim, std::uint64_t sequence);
    void antiEntropyLoop();
    void flushLoop();
    void offerDigest(const NodeRef &to);
    bool isStale(const Record &record) const;
    void dropStale();

    NodeCore &core_;
    RecordTable table_;
    std::map<RecordKind, std::vector<RecordHook>> hooks_;
    std::map<std::string, NodeRecord> nodes_;
    /** Homes by service, kept with nodes_. */
    std::map<std::string, std::set<std::string>> homes_;
    NodeRecord own_;
    std::uint64_t sequence_ = 1;
    /** Records waiting to be pushed, with the nodes that already have them. */
    std::map<RecordTable::Id, std::set<std::string>> outbox_;
    bool left_ = false;
};

} // namespace waxwing
