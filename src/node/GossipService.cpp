#include "src/node/GossipService.h"

#include "include/base/Cbor.h"
#include "include/member/Ring.h"
#include "src/fiber/FiberLoop.h"
#include "src/node/NodeCore.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace waxwing {

namespace {

/** Changes are batched for this long, so that a burst needs few messages. */
constexpr Millis flushInterval{30};
/**
 * Poison and successor records carry their creation time as the version and are dropped once they are older than this.
 */
constexpr Millis shortLivedRetention = std::chrono::hours(2);
/** Sequence of the record that a leaving node publishes; higher than any other sequence used for the node. */
constexpr std::uint64_t leftSequence = 1ULL << 40;
constexpr std::size_t maxRecordsPerMessage = 500;
/** Records up to this size in bytes are always sent in full, because they are hardly larger than their names. */
constexpr std::size_t largePayload = 120;
constexpr std::size_t eagerPartners = 3;
constexpr Millis fetchDelay{150};

std::uint64_t wallMs(const Clock &clock)
{
    return static_cast<std::uint64_t>(millisOf(clock.wallNow().time_since_epoch()).count());
}

/** Splits a list into messages of bounded size. */
std::vector<RecordsPush> splitIntoMessages(const std::vector<Record> &records)
{
    std::vector<RecordsPush> out;
    for (std::size_t start = 0; start < records.size(); start += maxRecordsPerMessage) {
        const std::size_t end = std::min(records.size(), start + maxRecordsPerMessage);
        out.push_back(RecordsPush{{records.begin() + static_cast<std::ptrdiff_t>(start),
                                   records.begin() + static_cast<std::ptrdiff_t>(end)}});
    }
    return out;
}

} // namespace

GossipService::GossipService(NodeCore &core)
    : core_(core)
    , table_([this](const Record &record) { onRecordMerged(record); })
{ }

void GossipService::onRecord(RecordKind kind, RecordHook hook)
{
    hooks_[kind].push_back(std::move(hook));
}

void GossipService::start()
{
    own_.ref = core_.self;
    own_.address = core_.settings.advertisedPeers.address;
    own_.peerPort = core_.settings.advertisedPeers.port;
    own_.httpPort = core_.settings.operators.port;
    own_.zone = core_.settings.zone;
    own_.region = core_.settings.region;
    publishSelf();
    spawnFiber([this] { antiEntropyLoop(); });
    spawnFiber([this] { flushLoop(); });
}

bool GossipService::isStale(const Record &record) const
{
    const bool shortLived = record.kind == RecordKind::Poison || record.kind == RecordKind::Successor;
    const std::uint64_t now = wallMs(core_.clock);
    return shortLived && record.version.major + static_cast<std::uint64_t>(shortLivedRetention.count()) < now;
}

void GossipService::dropStale()
{
    for (const RecordKind kind : {RecordKind::Poison, RecordKind::Successor}) {
        for (const Record *record : table_.all(kind)) {
            if (isStale(*record)) {
                const std::string key = record->key;
                table_.drop(kind, key);
            }
        }
    }
}

void GossipService::mergeRecord(const Record &record, const NodeRef &from)
{
    if (isStale(record)) {
        return;
    }
    if (record.kind == RecordKind::Node) {
        const Expected<NodeRecord> node = nodeFromRecord(record);
        if (!node) {
            core_.metrics.count("gossip_bad_records");
            return;
        }
        const bool aboutSelf = node->ref.id == core_.self.id && !left_;
        if (aboutSelf && node->ref != core_.self && core_.self.incarnation < node->ref.incarnation) {
            core_.events.write(Severity::Error, "node_id_in_use", {{"node", node->ref.text()}});
            return;
        }
        if (aboutSelf && node->ref == core_.self && node->state != NodeState::Up) {
            refute(*node, record.version.minor);
            return;
        }
    }
    if (table_.merge(record)) {
        outbox_[{record.kind, record.key}] = {from.id};
    } else {
        // The sender already has this record, so it is not sent back.
        const auto waiting = outbox_.find({record.kind, record.key});
        if (waiting != outbox_.end()) {
            waiting->second.insert(from.id);
        }
    }
}

void GossipService::onRecordMerged(const Record &record)
{
    if (record.kind == RecordKind::Node) {
        const Expected<NodeRecord> parsed = nodeFromRecord(record);
        if (parsed) {
            const auto known = nodes_.find(parsed->ref.id);
            const bool changed =
                known == nodes_.end() || known->second.state != parsed->state || known->second.ref != parsed->ref;
            if (known != nodes_.end()) {
                for (const auto &[service, servers] : known->second.services) {
                    homes_[service].erase(parsed->ref.id);
                }
            }
            for (const auto &[service, servers] : parsed->services) {
                homes_[service].insert(parsed->ref.id);
            }
            if (changed) {
                core_.events.write(
                    Severity::Info, "node_state",
                    {{"node", parsed->ref.text()}, {"state", nodeStateName(parsed->state)}, {"zone", parsed->zone}});
            }
            nodes_[parsed->ref.id] = *parsed;
        }
    }
    const auto hooks = hooks_.find(record.kind);
    if (hooks == hooks_.end()) {
        return;
    }
    for (const RecordHook &hook : hooks->second) {
        hook(record);
    }
}

void GossipService::publish(const Record &record)
{
    if (table_.merge(record)) {
        outbox_[{record.kind, record.key}] = {};
    }
}

void GossipService::publishNow(const Record &record)
{
    if (table_.merge(record)) {
        push({record}, {});
    }
}

void GossipService::publishSelf()
{
    publish(toRecord(own_, sequence_++));
}

void GossipService::publishServices(std::map<std::string, std::uint32_t> services)
{
    if (services == own_.services || left_) {
        return;
    }
    own_.services = std::move(services);
    publishSelf();
}

void GossipService::refute(const NodeRecord &claim, std::uint64_t sequence)
{
    core_.events.write(Severity::Warning, "down_refuted", {{"claimed", nodeStateName(claim.state)}});
    sequence_ = std::max(sequence_, sequence + 1);
    publishSelf();
}

void GossipService::leave()
{
    own_.state = NodeState::Left;
    own_.services.clear();
    left_ = true;
    sequence_ = leftSequence;
    publishSelf();
    std::vector<Record> last;
    for (const auto &[id, except] : outbox_) {
        if (const Record *record = table_.find(id.first, id.second)) {
            last.push_back(*record);
        }
    }
    outbox_.clear();
    push(last, {});
}

void GossipService::push(const std::vector<Record> &records, const std::set<std::string> &except)
{
    if (records.empty()) {
        return;
    }
    PeerHub &peers = core_.service<PeerHub>("peers");
    const std::vector<std::string> all = partners();
    std::map<std::string, std::vector<Record>> fullRecords;
    std::map<std::string, RecordNames> namesOnly;
    for (const Record &record : records) {
        // Large records are sent in full to a few partners only; the others get the name and request the record if they
        // still lack it. If every partner got the full record, each node would receive it about log2(n) times.
        const bool large = record.payload.size() > largePayload;
        const std::string topic = record.key + "/" + hexText(record.version.major);
        const std::vector<std::string> eager = large ? firstByHash(topic + core_.self.id, all, eagerPartners) : all;
        for (const std::string &id : all) {
            if (except.count(id) != 0) {
                continue;
            }
            if (std::find(eager.begin(), eager.end(), id) != eager.end()) {
                fullRecords[id].push_back(record);
            } else {
                namesOnly[id].names.push_back(RecordName{record.kind, record.key, record.version});
            }
        }
    }
    const auto sendTo = [&](const std::string &id, const Message &message) {
        if (const NodeRecord *to = node(id)) {
            // Opening a link may take a while, so each send has its own fiber: a slow partner must not delay the
            // others.
            spawnFiber([&peers, ref = to->ref, endpoint = Endpoint{to->address, to->peerPort}, message] {
                (void)peers.send(ref, endpoint, message);
            });
        }
    };
    for (const auto &[id, list] : fullRecords) {
        for (const RecordsPush &part : splitIntoMessages(list)) {
            sendTo(id, part);
        }
    }
    for (const auto &[id, names] : namesOnly) {
        sendTo(id, names);
    }
}

bool GossipService::handleNames(LinkId link, const RecordNames &names)
{
    PeerHub &peers = core_.service<PeerHub>("peers");
    if (names.want) {
        std::vector<Record> wanted;
        for (const RecordName &name : names.names) {
            if (const Record *record = table_.find(name.kind, name.key)) {
                wanted.push_back(*record);
            }
        }
        for (const RecordsPush &part : splitIntoMessages(wanted)) {
            peers.reply(link, part);
        }
        return true;
    }
    // The full record is probably on its way from another partner, so it is requested only if it has not arrived after
    // fetchDelay.
    spawnFiber([this, &peers, link, names] {
        sleepFor(core_.ioContext, fetchDelay);
        RecordNames want;
        want.want = true;
        for (const RecordName &name : names.names) {
            const Record *held = table_.find(name.kind, name.key);
            if (held == nullptr || held->version < name.version) {
                want.names.push_back(name);
            }
        }
        if (!want.names.empty()) {
            peers.reply(link, want);
        }
    });
    return true;
}

void GossipService::flushLoop()
{
    while (!core_.stopping) {
        sleepFor(core_.ioContext, flushInterval);
        std::map<std::set<std::string>, std::vector<Record>> groups;
        for (const auto &[id, except] : outbox_) {
            if (const Record *record = table_.find(id.first, id.second)) {
                groups[except].push_back(*record);
            }
        }
        outbox_.clear();
        for (const auto &[except, records] : groups) {
            push(records, except);
        }
    }
}

std::vector<std::string> GossipService::partners() const
{
    return gossipPartners(core_.self.id, upIds());
}

bool GossipService::handle(LinkId link, const NodeRef &from, const Message &message)
{
    PeerHub &peers = core_.service<PeerHub>("peers");
    if (const auto *records = std::get_if<RecordsPush>(&message)) {
        for (const Record &record : records->records) {
            mergeRecord(record, from);
        }
        return true;
    }
    if (const auto *names = std::get_if<RecordNames>(&message)) {
        return handleNames(link, *names);
    }
    if (const auto *digest = std::get_if<DigestOffer>(&message)) {
        BucketNames names;
        for (const std::uint32_t bucket : table_.differingBuckets(digest->hashes)) {
            names.buckets.emplace_back(bucket, table_.namesIn(bucket));
        }
        if (!names.buckets.empty()) {
            peers.reply(link, names);
        }
        return true;
    }
    if (const auto *names = std::get_if<BucketNames>(&message)) {
        BucketNames back;
        back.answer = true;
        std::vector<Record> newer;
        for (const auto &[bucket, theirs] : names->buckets) {
            for (Record &record : table_.newerThan(bucket, theirs)) {
                newer.push_back(std::move(record));
            }
            if (table_.lacksAny(theirs)) {
                back.buckets.emplace_back(bucket, table_.namesIn(bucket));
            }
        }
        for (const RecordsPush &part : splitIntoMessages(newer)) {
            peers.reply(link, part);
        }
        if (!names->answer && !back.buckets.empty()) {
            peers.reply(link, back);
        }
        return true;
    }
    return false;
}

void GossipService::offerDigest(const NodeRef &to)
{
    const std::optional<Endpoint> endpoint = peerEndpoint(to);
    if (endpoint) {
        (void)core_.service<PeerHub>("peers").send(to, *endpoint, DigestOffer{table_.bucketHashes()});
    }
}

void GossipService::antiEntropyLoop()
{
    while (!core_.stopping) {
        sleepFor(core_.ioContext, core_.settings.times.antiEntropy);
        dropStale();
        const std::vector<std::string> candidates = partners();
        if (candidates.empty() || core_.stopping) {
            continue;
        }
        const NodeRecord *chosen = node(candidates[core_.random() % candidates.size()]);
        if (chosen != nullptr) {
            offerDigest(NodeRef(chosen->ref));
        }
    }
}

const RecordTable &GossipService::table() const
{
    return table_;
}

const NodeRecord *GossipService::node(const std::string &id) const
{
    const auto found = nodes_.find(id);
    return found == nodes_.end() ? nullptr : &found->second;
}

std::vector<const NodeRecord *> GossipService::nodes() const
{
    std::vector<const NodeRecord *> all;
    for (const auto &[id, one] : nodes_) {
        all.push_back(&one);
    }
    return all;
}

std::vector<std::string> GossipService::upIds() const
{
    std::vector<std::string> ids;
    for (const auto &[id, one] : nodes_) {
        if (one.state == NodeState::Up) {
            ids.push_back(id);
        }
    }
    return ids;
}

std::vector<const NodeRecord *> GossipService::homesOf(const std::string &service) const
{
    std::vector<const NodeRecord *> found;
    const auto homes = homes_.find(service);
    if (homes == homes_.end()) {
        return found;
    }
    for (const std::string &id : homes->second) {
        const NodeRecord *one = node(id);
        if (one != nullptr && one->state == NodeState::Up) {
            found.push_back(one);
        }
    }
    return found;
}

bool GossipService::isUp(const NodeRef &ref) const
{
    const NodeRecord *one = node(ref.id);
    return one != nullptr && one->ref == ref && one->state == NodeState::Up;
}

std::optional<Endpoint> GossipService::peerEndpoint(const NodeRef &ref) const
{
    const NodeRecord *one = node(ref.id);
    if (one == nullptr || one->ref != ref) {
        return std::nullopt;
    }
    return Endpoint{one->address, one->peerPort};
}

NodeRef GossipService::claimHolder(const NodeRef &owner) const
{
    NodeRef holder = owner;
    std::set<NodeRef> seen;
    while (seen.insert(holder).second) {
        const Record *next = table_.find(RecordKind::Successor, holder.text());
        const nlohmann::json body = next == nullptr ? nlohmann::json() : parseCbor(next->payload);
        const bool readable =
            body.is_array() && body.size() == 2 && body[0].is_string() && body[1].is_number_unsigned();
        if (!readable) {
            break;
        }
        holder = NodeRef{body[0].get<std::string>(), body[1].get<std::uint64_t>()};
    }
    return holder;
}

bool GossipService::hasLeft() const
{
    return left_;
}

} // namespace waxwing
