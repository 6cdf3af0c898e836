#pragma once

#include "include/base/Clock.h"
#include "include/base/Error.h"
#include "include/base/HttpMessage.h"
#include "include/base/Ids.h"
#include "include/customer/QuotaLedger.h"
#include "include/fleet/NodeRegistry.h"
#include "include/home/SlotQueue.h"
#include "include/limit/NestedCallTracker.h"
#include "include/member/RecordTable.h"
#include "include/route/HomeReportTable.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace waxwing {

/** Version of the node-to-node protocol. A node rejects messages of any other version. */
constexpr int wireVersion = 5;

/** What happened to a request, as reported to its caller. */
enum class Outcome : std::uint8_t {
    Ran = 1,
    /** Has certainly not run. */
    NotRun = 2,
    /** May have run. Never reported as not run. */
    Unknown = 3,
};

const char *outcomeName(Outcome outcome);

/**
 * Messages that a build knows beyond those of the first build of this protocol version. A node sends a peer only what
 * the peer's Hello states, so that nodes of both builds work together during an upgrade.
 */
enum class WireRevision : std::uint8_t {
    First = 0,
    /** QuotaReport and QuotaReply; the sender of a Work states that it has checked the key. */
    CustomerKeys = 1,
    /** SlotReserve, SlotOffer and SlotRelease; a Work states the reservation that it belongs to. */
    SlotReservations = 2,
    /** HomeReports. */
    HomeReports = 3,
};

/** The first message that each side sends on a link; identifies the sender. */
struct Hello {
    NodeRef from;
    WireRevision revision = WireRevision::HomeReports;
};

/** What the receiver of an Exec does with its request. */
enum class ExecStage : std::uint8_t {
    /** Sent to the ticket's owner, or to its successor, which claims the ticket and then has the request run. */
    Claim = 1,
    /** Sent to a home, which runs the request at one of its servers, at most once unless it is idempotent. */
    Run = 2,
};

/** A request that one node forwards to another. */
struct Exec {
    std::uint64_t id = 0;
    ExecStage stage = ExecStage::Run;
    std::string service;
    std::string className;
    std::string customer;
    /** Ticket text; empty for a request without an idempotency key. */
    std::string ticket;
    Millis remaining{0};
    HttpRequest request;
};

/** The result of an Exec, sent exactly once by the node that accepted it. */
struct ExecReply {
    std::uint64_t id = 0;
    Outcome outcome = Outcome::Unknown;
    /** Stable code of the refusal or fault; empty if there is a response. */
    std::string reason;
    /** Time after which a retry may succeed; zero if a retry can't help. */
    Millis retryAfter{0};
    std::string server;
    /** Free slots and queued requests at the home; the sender uses them to choose the next home. */
    std::int32_t freeSlots = 0;
    std::int32_t queued = 0;
    HttpResponse response;
};

/** Cancels an Exec or a Work. */
struct Cancel {
    std::uint64_t id = 0;
    /** Cancels a Work only while it is queued; if it has started, the sender still waits for its reply. */
    bool onlyIfQueued = false;
};

/** Complete records: changed ones for gossip partners, or ones that the receiver lacks. */
struct RecordsPush {
    std::vector<Record> records;
};

/** Keys and versions of changed records. A receiver that lacks one requests it with @c want set. */
struct RecordNames {
    bool want = false;
    std::vector<RecordName> names;
};

/** Bucket hashes of the sender's record table. */
struct DigestOffer {
    RecordTable::BucketHashes hashes{};
};

/** Keys and versions of the records in differing buckets. @c answer is set in a reply, which is not replied to. */
struct BucketNames {
    bool answer = false;
    std::vector<std::pair<std::uint32_t, std::vector<RecordName>>> buckets;
};

struct Ping {
    std::uint64_t id = 0;
};

struct Pong {
    std::uint64_t id = 0;
};

/** One finished claim, transferred to the successor at a graceful shutdown. */
struct ClaimTransfer {
    std::string ticket;
    std::uint64_t requestDigest = 0;
    Outcome outcome = Outcome::Unknown;
    HttpResponse response;
};

/** An incarnation whose claims the sender holds, and the age of that incarnation at the transfer. */
struct ClaimOwner {
    NodeRef ref;
    Millis age{0};
};

/** Claims of a node that shuts down, in one or several messages; acknowledged with a Pong of the same id. */
struct ClaimHandover {
    std::uint64_t id = 0;
    std::vector<ClaimOwner> owners;
    std::vector<ClaimTransfer> claims;
};

/**
 * Versions that a node holds, attached to Work, WorkAck, WorkReply, StateUpdateRequest and StateUpdate. A receiver that
 * holds a lower version requests the newer state from the sender.
 */
struct KnownVersions {
    std::uint64_t config = 0;
    std::uint64_t registry = 0;
    /** Time since it was last confirmed that no newer configuration existed; capped at maxConfigAge. */
    Millis configAge = maxConfigAge;
    /** The store responded to this node's last call. */
    bool isStoreReachable = false;

    /** An age of this value means unknown: the last confirmation is at least this old, or there was none. */
    static constexpr Millis maxConfigAge{25500};
};

/** A request for the backend server beside the receiving node. */
struct Work {
    /** Unique within the sender's incarnation. */
    std::uint64_t id = 0;
    /** The caller's request id, for logs. */
    std::string requestId;
    std::string service;
    std::string route;
    bool idempotent = false;
    /** The sender will retry it on another server if this one fails. */
    bool retryable = false;
    /** The sender knows that the server is probably gray and has no better choice. */
    bool acceptsGray = false;
    /**
     * 0 is the highest priority, used for nested calls, because other requests wait for them. A caller's request has
     * the rank of its route plus one.
     */
    std::uint8_t priority = 0;
    /**
     * Time left at sending until the deadline and until the response-time objective. Durations, because clocks differ
     * between nodes.
     */
    Millis remaining{0};
    Millis untilObjective{0};
    Millis queueTimeout{0};
    /** Age of the link's Hello at the sender when this was sent, to compute the delay of this message. */
    Millis helloAge{0};
    KnownVersions versions;
    HttpRequest request;
    /** The ingress has checked the key, or none is needed. False from a build that knows no keys. */
    bool keyChecked = false;
    /** The sender's reservation whose offered slot this Work uses; 0: none. Not encoded if 0. */
    std::uint64_t reservation = 0;
};

/** Reserves the next free slot at a home for a request that waits at its sender. Carries no request. */
struct SlotReserve {
    /** Unique within the sender's incarnation. */
    std::uint64_t id = 0;
    std::string service;
    std::string route;
    /** Empty for a request without a customer. */
    std::string customer;
    /** As in Work. */
    std::uint8_t priority = 0;
    bool retryable = false;
    /** Time left at sending until the latest useful start and until the response-time objective. */
    Millis remaining{0};
    Millis untilObjective{0};
    /** As in Work. */
    Millis helloAge{0};
};

/** Tells the sender of a SlotReserve that a slot is held for it, or that there will be none. */
struct SlotOffer {
    std::uint64_t id = 0;
    /** Time for which the slot is held; zero: refused. */
    Millis validFor{0};
    /** Stable code of the refusal; empty if a slot is held. */
    std::string reason;
    /** As it applies to the priority of the reservation. */
    HomeLoad load;
};

/** The sender no longer needs the reservation, whether it is waiting or offered. */
struct SlotRelease {
    std::uint64_t id = 0;
};

/** New reports of homes. */
struct HomeReports {
    std::vector<HomeReport> reports;
};

/** Acknowledges a Work: the home has queued or started it. */
struct WorkAck {
    std::uint64_t id = 0;
    KnownVersions versions;
};

/** The result of a Work, sent once by the home that accepted it. */
struct WorkReply {
    std::uint64_t id = 0;
    Outcome outcome = Outcome::Unknown;
    /** The server responded with an error, or it may have received the request but gave no usable response. */
    bool serverFault = false;
    /** The request was sent to the server, whatever its outcome. */
    bool reachedServer = false;
    /** Stable code of a refusal or fault; empty if there is a response. */
    std::string reason;
    std::string server;
    /** Time that the server took for the request. */
    Millis processingTime{0};
    /** Mean number of nested calls of one execution of this route, by called service, as measured by its home. */
    CallRates calls;
    /** The home infers from the origin of this route's requests that they are nested calls. */
    bool nestedCall = false;
    HomeLoad load;
    KnownVersions versions;
    HttpResponse response;
};

/**
 * Queries the execution state of a Work, and prevents its execution if it has not started. Sent when no reply arrives,
 * over a new link to the home or through a third node that relays it.
 */
struct Fence {
    std::uint64_t id = 0;
    /** The incarnation to which the work was sent. */
    NodeRef target;
    /** The incarnation that sent the work. */
    NodeRef origin;
    std::uint64_t workId = 0;
    /** Queries the state without preventing the execution. */
    bool queryOnly = false;
    /** Requests the reply even if it is large; otherwise only a small reply is included. */
    bool includeLargeReply = false;
    /**
     * Time between sending the work and sending this fence. The target may have discarded the results of work that
     * ended since.
     */
    Millis workAge{0};
};

enum class FenceState : std::uint8_t {
    /** It has not run and never will. */
    NeverRuns = 1,
    /** It is queued or running. */
    Underway = 2,
    /** It ended. The reply is included unless it is large and was not requested. */
    Ended = 3,
    /** The target is unreachable, is another incarnation, or has no entry: discarded, or the work has not arrived. */
    NotKnown = 4,
};

/** Returns the name of @p state that logs use. Thread safe. */
const char *fenceStateName(FenceState state);

struct FenceReply {
    std::uint64_t id = 0;
    FenceState state = FenceState::NotKnown;
    std::optional<WorkReply> reply;
};

/** Requests retry budget tokens for a service from another node. */
struct BudgetTransferRequest {
    std::uint64_t id = 0;
    std::string service;
    double tokens = 0.0;
    /** The tokens are for a hedge, or the sender also needs retries of this service for requests of higher priority. */
    bool lowPriority = false;
};

/** The tokens transferred; zero if the sender has none to spare. */
struct BudgetTransferReply {
    std::uint64_t id = 0;
    double tokens = 0.0;
};

/** The sender gets no more replies from a node. The receiver should probe its own path to that node. */
struct PathSuspicion {
    std::string node;
};

/** Requests the receiver's versions, and the selected parts of its state if they are newer than the sender's. */
struct StateUpdateRequest {
    std::uint64_t id = 0;
    KnownVersions versions;
    bool wantsConfig = false;
    bool wantsRegistry = false;
    /** The sender understands StateUpdate::deflatedConfig. False from an older build. */
    bool acceptsDeflated = false;
};

/** Replies to a StateUpdateRequest, or announces a new configuration. State that is not sent is empty. */
struct StateUpdate {
    /** Id of the StateUpdateRequest; 0 if the update was not requested. */
    std::uint64_t id = 0;
    KnownVersions versions;
    std::string config;
    /** The whole registry; empty if it was not requested. */
    std::vector<RegistryEntry> registry;
    /** Time since the sender's configuration was proven to be the newest; nothing if it never was. */
    std::optional<Millis> provenAge;
    /** The configuration as of deflateDocument(), instead of @c config; only if the request accepts it. */
    Body deflatedConfig;
    /** What has changed in the registry since the revision in the request. An older build neither sends nor uses it. */
    std::optional<RegistryChanges> registryChanges;
};

/** Reports requests of customers to the node that counts them in this region, and asks for grants. */
struct QuotaReport {
    std::uint64_t id = 0;
    /** Version of the configuration that the limits are from; the counter keeps those of the highest version. */
    std::uint64_t configVersion = 0;
    std::vector<QuotaUse> uses;
};

/** The counter's answer for one customer. */
struct QuotaGrant {
    std::string customer;
    /** How many of the wanted requests may run. */
    std::uint32_t granted = 0;
    QuotaMode mode = QuotaMode::Open;
    /** When a request that was not granted may be; zero if all were. */
    Millis retryAfter{0};
};

/** Asks the counter of another region for tokens of a customer. */
struct QuotaLoanRequest {
    std::uint64_t id = 0;
    std::string customer;
    QuotaLimit limit;
    double tokens = 0.0;
};

/** The tokens lent; zero if there are none to spare. */
struct QuotaLoanReply {
    std::uint64_t id = 0;
    double tokens = 0.0;
};

/** Answers a QuotaReport, or, with id 0, tells a node that a customer has come near its limit. */
struct QuotaReply {
    std::uint64_t id = 0;
    std::vector<QuotaGrant> grants;
};

using Message =
    std::variant<Hello, Exec, ExecReply, Cancel, RecordsPush, RecordNames, DigestOffer, BucketNames, Ping, Pong,
                 ClaimHandover, Work, WorkAck, WorkReply, Fence, FenceReply, StateUpdateRequest, StateUpdate,
                 BudgetTransferRequest, BudgetTransferReply, PathSuspicion, QuotaReport, QuotaReply, QuotaLoanRequest,
                 QuotaLoanReply, SlotReserve, SlotOffer, SlotRelease, HomeReports>;

/** Returns the body of the HTTP request or response in @p message, or null if it has none. Thread safe. */
Body *bodyOf(Message &message);
/** Encodes @p message as CBOR. Thread safe. */
std::string encodeMessage(const Message &message);
/** Decodes one message. Errors: Malformed, unless @p bytes are exactly one message of this version. Thread safe. */
Expected<Message> decodeMessage(const std::string &bytes);

} // namespace waxwing
