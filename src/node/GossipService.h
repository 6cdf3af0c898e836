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
 * Distributes records over the fleet and tracks the state of its nodes from them. Changes are pushed to the ring's
 * partners in short batches. Every few seconds the table's digest is compared with one partner's, which recovers the
 * updates that were lost with a link or in an outage. A node that is declared down while it is up refutes it. Not
 * thread safe.
 */
class GossipService
{
public:
    using RecordHook = std::function<void(const Record &)>;

    explicit GossipService(NodeCore &core);

    /** Registers a hook that is called for each record of @p kind that was merged. Call before start(). */
    void onRecord(RecordKind kind, RecordHook hook);
    /** Starts the push and anti-entropy loops. @pre the core's kernel holds "peers". */
    void start();
    /** Announces to the fleet that this node leaves. @pre called from a fiber. */
    void leave();

    /** Stores a record that this node created and queues it for the next push. */
    void publish(const Record &record);
    /** Like publish(), but pushes the record at once instead of with the next batch. */
    void publishNow(const Record &record);
    /** Sets the number of servers in service here for each service, and publishes the numbers if they changed. */
    void publishServices(std::map<std::string, std::uint32_t> services);
    /** Handles a gossip message. Returns false for messages of another kind. */
    bool handle(LinkId link, const NodeRef &from, const Message &message);

    const RecordTable &table() const;
    /** Returns the record of a node's current incarnation, or null if unknown. */
    const NodeRecord *node(const std::string &id) const;
    /** Returns every known node, including those that are down. */
    std::vector<const NodeRecord *> nodes() const;
    /** Returns the ids of the nodes that are up, including this one. */
    std::vector<std::string> upIds() const;
    /** Returns the nodes that are up and home to servers of @p service, including this node. */
    std::vector<const NodeRecord *> homesOf(const std::string &service) const;
    /** Returns the ids of this node's partners on the ring, to which it keeps links. */
    std::vector<std::string> partners() const;
    bool isUp(const NodeRef &ref) const;
    std::optional<Endpoint> peerEndpoint(const NodeRef &ref) const;
    /** Returns the incarnation that holds the claims of @p owner, following the chain of successors. */
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
    /** Ids of the homes by service; updated together with nodes_. */
    std::map<std::string, std::set<std::string>> homes_;
    NodeRecord own_;
    std::uint64_t sequence_ = 1;
    /** Records waiting to be pushed, with the nodes that already have them. */
    std::map<RecordTable::Id, std::set<std::string>> outbox_;
    bool left_ = false;
};

} // namespace waxwing
