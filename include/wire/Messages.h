#pragma once

#include "include/base/Clock.h"
#include "include/base/Error.h"
#include "include/base/HttpMessage.h"
#include "include/base/Ids.h"
#include "include/fleet/NodeRegistry.h"
#include "include/home/SlotQueue.h"
#include "include/limit/NestedCallTracker.h"
#include "include/member/RecordTable.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace waxwing {

/** Version of the node-to-node protocol; a node refuses messages of another one. */
constexpr int wireVersion = 5;

/** What happened to a request, as told to its caller. */
enum class Outcome : std::uint8_t {
    Ran = 1,
    /** Provably never handed to a server. */
    NotRun = 2,
    /** May have run; never reported as not run. */
    Unknown = 3,
};

const char *outcomeName(Outcome outcome);

/** First message on a link: who speaks. */
struct Hello {
    NodeRef from;
};

/** Who is asked to do what with a request. */
enum class ExecStage : std::uint8_t {
    /** To the incarnation that owns the ticket: claim it, then run it. */
    Claim = 1,
    /** To a home: hand it to one of its servers, at most once. */
    Run = 2,
};

/** A request on its way through the fleet. */
struct Exec {
    std::uint64_t id = 0;
    ExecStage stage = ExecStage::Run;
    std::string service;
    std::string className;
    std::string customer;
    /** Ticket text; empty for unkeyed work. */
    std::string ticket;
    Millis remaining{0};
    HttpRequest request;
};

/** The end of an Exec, sent exactly once by whoever took it. */
struct ExecReply {
    std::uint64_t id = 0;
    Outcome outcome = Outcome::Unknown;
    /** Stable word for the refusal or fault; empty if the request ran. */
    std::string reason;
    /** When to ask again; zero if asking again makes no sense. */
    Millis retryAfter{0};
    std::string server;
    /** Free slots and queued requests at the home, for the sender's next choice. */
    std::int32_t freeSlots = 0;
    std::int32_t queued = 0;
    HttpResponse response;
};

/** The sender no longer wants the answer to its Exec. */
struct Cancel {
    std::uint64_t id = 0;
    /** Only if it has not begun: otherwise the sender still wants the answer. */
    bool onlyIfQueued = false;
};

/** Records that changed, passed on. */
struct RecordsPush {
    std::vector<Record> records;
};

/** Records that changed, by name only: a receiver that lacks one asks for it with @c want set. */
struct RecordNames {
    bool want = false;
    std::vector<RecordName> names;
};

/** Summary of the sender's record table. */
struct DigestOffer {
    RecordTable::BucketHashes hashes{};
};

/** Names in buckets that differ; @p answer is set on the second leg, which asks for nothing back. */
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

/** One finished claim, handed to the successor at a graceful stop. */
struct ClaimTransfer {
    std::string ticket;
    std::uint64_t requestDigest = 0;
    Outcome outcome = Outcome::Unknown;
    HttpResponse response;
};

/** An incarnation whose tickets were decided at the sender, and its age then. */
struct ClaimOwner {
    NodeRef ref;
    Millis age{0};
};

/** All claims of a leaving node; acknowledged with a Pong of the same id. */
struct ClaimHandover {
    std::uint64_t id = 0;
    std::vector<ClaimOwner> owners;
    std::vector<ClaimTransfer> claims;
};

/** Versions that a node holds, on every message about work: who sees a higher one asks its sender for it. */
struct KnownVersions {
    std::uint64_t config = 0;
    std::uint64_t registry = 0;
    /** So long ago it was known that no newer configuration existed; cut at maxConfigAge. */
    Millis configAge = maxConfigAge;
    /** The store answered when this node asked it last. */
    bool isStoreReachable = false;

    /** Beyond this age, or if it was never confirmed, the age says nothing. */
    static constexpr Millis maxConfigAge{25500};
};

/** A request for the one server beside the receiver. */
struct Work {
    /** Unique within the sender's incarnation. */
    std::uint64_t id = 0;
    /** The caller's own id, for logs. */
    std::string requestId;
    std::string service;
    std::string route;
    bool idempotent = false;
    /** If the server fails it, the sender can and will send it to another one. */
    bool retryable = false;
    /** The sender knows of the doubt about the server and has nothing better. */
    bool acceptsGray = false;
    /** 0 is the most urgent: calls that other work waits for. Callers' work has its route's rank plus one. */
    std::uint8_t priority = 0;
    /** Time left to the deadline and to the objective when it was sent; durations, since clocks differ. */
    Millis remaining{0};
    Millis untilObjective{0};
    Millis queueTimeout{0};
    /** Age of the link's Hello at the sender when this was sent: tells the receiver how long it was under way. */
    Millis helloAge{0};
    KnownVersions versions;
    HttpRequest request;
};

/** The home has the request: it waits or runs there. */
struct WorkAck {
    std::uint64_t id = 0;
    KnownVersions versions;
};

/** The end of a Work, sent once by the home that took it. */
struct WorkReply {
    std::uint64_t id = 0;
    Outcome outcome = Outcome::Unknown;
    /** The server answered, but with a fault of its own. */
    bool serverFault = false;
    /** The request was handed to the server, whatever became of it. */
    bool reachedServer = false;
    /** Stable word for a refusal or fault; empty if there is an answer. */
    std::string reason;
    std::string server;
    /** How long the server worked on it. */
    Millis processingTime{0};
    /** Calls that a run of this route makes, as its home has learned. */
    CallRates calls;
    /** By where the requests of this route come from, they are calls of servers. */
    bool nestedCall = false;
    HomeLoad load;
    KnownVersions versions;
    HttpResponse response;
};

/**
 * Asks what became of a Work, and that it is never run if it has not begun: sent when nothing comes back, on a fresh
 * link to the home or through a third node, which passes it on.
 */
struct Fence {
    std::uint64_t id = 0;
    /** The incarnation to which the work was sent. */
    NodeRef target;
    /** Who sent it. */
    NodeRef origin;
    std::uint64_t workId = 0;
    /** Only asks; does not forbid. */
    bool queryOnly = false;
    /** Asks for the answer also if it is large; without this only a small one comes along. */
    bool includeLargeReply = false;
    /** How long before this question the work was sent: the target may have forgotten works that ended since. */
    Millis workAge{0};
};

enum class FenceState : std::uint8_t {
    /** It has not run and never will. */
    NeverRuns = 1,
    /** It waits or runs. */
    Underway = 2,
    /** It ended; the reply comes along unless it is large and was not asked for. */
    Ended = 3,
    /** The target can't be reached, or is another incarnation. */
    NotKnown = 4,
};

/** Name of @p state as it stands in logs. Thread safe. */
const char *fenceStateName(FenceState state);

struct FenceReply {
    std::uint64_t id = 0;
    FenceState state = FenceState::NotKnown;
    std::optional<WorkReply> reply;
};

/** Asks another node to lend some of its second sends for a service. */
struct BudgetTransferRequest {
    std::uint64_t id = 0;
    std::string service;
    double tokens = 0.0;
    /** More urgent requests need the service's second sends as well. */
    bool lowPriority = false;
};

/** The second sends lent; none if the lender has none to spare. */
struct BudgetTransferReply {
    std::uint64_t id = 0;
    double tokens = 0.0;
};

/** The sender gets no answer from a node any more: the receiver does well to try its own path to it. */
struct PathSuspicion {
    std::string node;
};

/** Asks which versions the receiver holds, and for what it holds in a higher one. */
struct StateUpdateRequest {
    std::uint64_t id = 0;
    KnownVersions versions;
    bool wantsConfig = false;
    bool wantsRegistry = false;
};

/** The configuration's document, and the roster as a whole; each only if it is newer for the receiver. */
struct StateUpdate {
    /** Of the request that it answers; 0 if nobody asked. */
    std::uint64_t id = 0;
    KnownVersions versions;
    std::string config;
    std::vector<RegistryEntry> registry;
};

using Message = std::variant<Hello, Exec, ExecReply, Cancel, RecordsPush, RecordNames, DigestOffer, BucketNames, Ping,
                             Pong, ClaimHandover, Work, WorkAck, WorkReply, Fence, FenceReply, StateUpdateRequest,
                             StateUpdate, BudgetTransferRequest, BudgetTransferReply, PathSuspicion>;

/** The body of the request or answer that @p message carries, or null if it carries none. Thread safe. */
std::string *bodyOf(Message &message);
/** CBOR of @p message. Thread safe. */
std::string encodeMessage(const Message &message);
/** Errors: Malformed, for anything that is not exactly one message of this version. Thread safe. */
Expected<Message> decodeMessage(const std::string &bytes);

} // namespace waxwing
