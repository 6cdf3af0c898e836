#include "src/node/ClaimService.h"

#include "include/intent/ClassIntent.h"
#include "include/poison/PoisonRegistry.h"
#include "platform/ObjectApi.h"
#include "src/fiber/FiberLoop.h"
#include "src/node/DispatchService.h"
#include "src/node/GossipService.h"
#include "src/node/NodeCore.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace waxwing {

namespace {

constexpr Millis forwardGrace{200};
constexpr Millis stopPollInterval{20};
constexpr Millis ackTimeout{2000};
/** Well below the largest message that a link accepts. */
constexpr std::size_t handoverBytes = 1024UL * 1024;
constexpr Millis boundKeyRetention = std::chrono::minutes(10);
constexpr double minKeyBurst = 4.0;
constexpr std::size_t maxBoundKeys = 10000;
const std::string keyKind = "key";

/** Returns the object name for a key: a hash, because object names must be short and consist of safe characters. */
std::string keyObjectName(const std::string &service, const std::string &key)
{
    const std::string text = service + "\n" + key;
    constexpr std::uint64_t secondSeed = 0x9e3779b97f4a7c15ULL;
    return hexText(stableHash(text)) + hexText(stableHash(text, secondSeed));
}

ClaimLimits limitsOf(const NodeSettings &settings)
{
    ClaimLimits limits;
    limits.entries = settings.limits.claims;
    limits.responseBytes = settings.limits.claimAnswerBytes;
    limits.validity = settings.times.ticketValidity;
    return limits;
}

std::optional<Ticket> ticketIn(const StoredObject &object)
{
    const nlohmann::json value = nlohmann::json::parse(object.value, nullptr, false);
    if (!value.is_object() || !value.contains("ticket") || !value["ticket"].is_string()) {
        return std::nullopt;
    }
    const Expected<Ticket> ticket = Ticket::parse(value["ticket"].get<std::string>());
    return ticket ? std::optional<Ticket>(*ticket) : std::nullopt;
}

} // namespace

ClaimService::ClaimService(NodeCore &core)
    : core_(core)
    , issuer_(core.self, core.clock)
    , table_(core.self, core.clock, limitsOf(core.settings),
             [&core](const NodeRef &owner) {
                 return core.service<GossipService>("gossip").claimHolder(owner) == core.self;
             })
    , keyWrites_(1.0, minKeyBurst, core.clock.now())
{ }

ExecReply ClaimService::makeReply(Outcome outcome, const std::string &reason, Millis retryAfter)
{
    ExecReply reply;
    reply.outcome = outcome;
    reply.reason = reason;
    reply.retryAfter = retryAfter;
    return reply;
}

std::string ClaimService::issueTicket()
{
    return issuer_.issue().text();
}

tl::expected<Ticket, ExecReply> ClaimService::bindKey(const std::string &key, const Exec &exec)
{
    const auto refuse = [](Outcome outcome, const char *reason) {
        return tl::unexpected<ExecReply>(makeReply(outcome, reason, Millis(1000)));
    };
    const std::string name = keyObjectName(exec.service, key);
    const auto known = boundKeys_.find(name);
    if (known != boundKeys_.end()) {
        return *Ticket::parse(known->second.first);
    }
    // Until the object API has responded, an earlier attempt with this key through another node can't be ruled out, so
    // these refusals report "unknown". The key makes a resend safe.
    if (!keyWrites_.tryTake(1.0, core_.clock.now())) {
        return refuse(Outcome::Unknown, "key-writes-spent");
    }
    ObjectApi &api = core_.service<ObjectApi>("platform");
    const Ticket ticket = issuer_.issue();
    const auto wallMs = millisOf(core_.clock.wallNow().time_since_epoch()).count();
    const nlohmann::json value = {{"ticket", ticket.text()}, {"at", wallMs}};
    const UpdateResult created = api.update(keyKind, name, 0, value.dump());
    std::optional<Ticket> bound;
    switch (created.kind) {
    case UpdateResult::Kind::Stored:
        bound = ticket;
        break;
    case UpdateResult::Kind::Conflict:
        bound = created.current ? ticketIn(*created.current) : std::nullopt;
        break;
    case UpdateResult::Kind::NotStored:
        break;
    case UpdateResult::Kind::Unknown: {
        // The write may have taken effect although its response was lost: the ticket that is stored now is the one
        // bound to the key.
        const auto stored = api.read(keyKind, name);
        bound = stored && *stored ? ticketIn(**stored) : std::nullopt;
        break;
    }
    }
    if (!bound) {
        core_.metrics.count("key_bind_failures");
        return refuse(Outcome::Unknown, "key-store-away");
    }
    if (boundKeys_.size() < maxBoundKeys) {
        boundKeys_[name] = {bound->text(), core_.clock.now()};
    }
    return *bound;
}

ExecReply ClaimService::run(const std::string &key, Exec exec, const ClassIntent &cls)
{
    Ticket ticket;
    if (Ticket::looksLikeTicket(key)) {
        const Expected<Ticket> parsed = Ticket::parse(key);
        if (!parsed) {
            return makeReply(Outcome::NotRun, "malformed-ticket", Millis(0));
        }
        ticket = *parsed;
    } else {
        const auto bound = bindKey(key, exec);
        if (!bound) {
            return bound.error();
        }
        ticket = *bound;
    }
    exec.ticket = ticket.text();
    exec.stage = ExecStage::Claim;
    const NodeRef holder = core_.service<GossipService>("gossip").claimHolder(ticket.owner);
    if (holder == core_.self) {
        return claimLocally(exec, cls);
    }
    return forwardToOwner(holder, exec);
}

ExecReply ClaimService::forwardToOwner(const NodeRef &holder, const Exec &exec)
{
    GossipService &gossip = core_.service<GossipService>("gossip");
    const std::optional<Endpoint> endpoint = gossip.peerEndpoint(holder);
    const NodeRecord *node = gossip.node(holder.id);
    const bool ownerExited =
        node != nullptr && (holder.incarnation < node->ref.incarnation || node->state == NodeState::Left);
    if (!endpoint || ownerExited) {
        // The owner's claims were lost with its process. An earlier attempt may have run, and its outcome can't be
        // determined any more.
        core_.metrics.count("claims_owner_gone");
        return makeReply(Outcome::Unknown,
                         ownerExited || node == nullptr ? "ticket-owner-gone" : "ticket-owner-unknown", Millis(0));
    }
    const auto reply = core_.service<PeerHub>("peers").call(holder, *endpoint, exec, exec.remaining + forwardGrace);
    if (reply) {
        return *reply;
    }
    return makeReply(Outcome::Unknown, "ticket-owner-unreachable", Millis(1000));
}

void ClaimService::start(const Ticket &ticket, const Exec &exec, const ClassIntent &cls)
{
    // Runs in a fiber of its own: the claim completes even if the attempt that started it stops waiting.
    spawnFiber([this, ticket, exec, cls] {
        Exec work = exec;
        work.stage = ExecStage::Run;
        const ExecReply reply =
            core_.service<DispatchService>("dispatch").run(work, cls, std::make_shared<RunControl>());
        table_.finish(ticket, ClaimResult{reply.outcome, reply.response});
        const auto found = waiters_.find(ticket.text());
        if (found == waiters_.end()) {
            return;
        }
        const std::vector<WaiterPtr> waiters = std::move(found->second);
        waiters_.erase(found);
        for (const WaiterPtr &waiter : waiters) {
            waiter->reply = reply;
            waiter->latch.release();
        }
    });
}

ExecReply ClaimService::waitForResult(const Ticket &ticket, Duration allowed)
{
    const auto waiter = std::make_shared<Waiter>();
    waiters_[ticket.text()].push_back(waiter);
    boost::asio::steady_timer timer(core_.ioContext, allowed);
    timer.async_wait([waiter](boost::system::error_code) { waiter->latch.release(); });
    waiter->latch.wait();
    timer.cancel();
    return waiter->reply ? *waiter->reply : makeReply(Outcome::Unknown, "still-running", Millis(1000));
}

ExecReply ClaimService::replay(const Ticket &ticket) const
{
    const ClaimResult *result = table_.resultOf(ticket);
    ExecReply reply = makeReply(Outcome::Ran, {}, Millis(0));
    if (result != nullptr) {
        reply.response = result->response;
        reply.response.headers.emplace_back("Waxwing-Replayed", "true");
    }
    return reply;
}

ExecReply ClaimService::refusalReply(ClaimDecision decision) const
{
    const std::string reason = claimDecisionName(decision);
    switch (decision) {
    case ClaimDecision::Start:
    case ClaimDecision::Running:
    case ClaimDecision::Replay:
    case ClaimDecision::NotOwner:
    case ClaimDecision::OutcomeUnknown:
    case ClaimDecision::Expired:
        return makeReply(Outcome::Unknown, reason, Millis(0));
    case ClaimDecision::ResponseNotStored:
        return makeReply(Outcome::Ran, reason, Millis(0));
    case ClaimDecision::OtherRequest:
        return makeReply(Outcome::NotRun, reason, Millis(0));
    case ClaimDecision::Full:
    case ClaimDecision::Stopping:
        return makeReply(Outcome::NotRun, reason, Millis(1000));
    }
    return makeReply(Outcome::Unknown, reason, Millis(0));
}

ExecReply ClaimService::claimLocally(const Exec &exec, const ClassIntent &cls)
{
    const Expected<Ticket> ticket = Ticket::parse(exec.ticket);
    if (!ticket) {
        return makeReply(Outcome::NotRun, "malformed-ticket", Millis(0));
    }
    const ClaimDecision decision = table_.begin(*ticket, issuer_.age(), requestDigest(exec.service, exec.request));
    core_.metrics.count(std::string("claim_") + claimDecisionName(decision));
    switch (decision) {
    case ClaimDecision::Start:
        start(*ticket, exec, cls);
        return waitForResult(*ticket, exec.remaining + forwardGrace);
    case ClaimDecision::Running:
        return waitForResult(*ticket, exec.remaining);
    case ClaimDecision::Replay:
        return replay(*ticket);
    case ClaimDecision::ResponseNotStored:
    case ClaimDecision::OutcomeUnknown:
    case ClaimDecision::OtherRequest:
    case ClaimDecision::Expired:
    case ClaimDecision::Full:
    case ClaimDecision::Stopping:
    case ClaimDecision::NotOwner:
        break;
    }
    return refusalReply(decision);
}

void ClaimService::adopt(const ClaimHandover &handover)
{
    table_.adopt(handover);
    for (const ClaimOwner &owner : handover.owners) {
        core_.events.write(Severity::Info, "claims_adopted",
                           {{"owner", owner.ref.text()}, {"claims", std::to_string(handover.claims.size())}});
    }
}

void ClaimService::handOver(Duration within)
{
    const SteadyTime until = core_.clock.now() + within;
    table_.stopClaiming();
    while (table_.running() > 0 && core_.clock.now() < until) {
        sleepFor(core_.ioContext, stopPollInterval);
    }
    if (table_.running() > 0) {
        core_.events.write(Severity::Error, "claims_not_handed_over", {{"running", std::to_string(table_.running())}});
        return;
    }
    const ClaimHandover handover = table_.handOver(issuer_.age());
    const std::vector<ClaimHandover> parts = splitHandover(handover, handoverBytes);
    GossipService &gossip = core_.service<GossipService>("gossip");
    PeerHub &peers = core_.service<PeerHub>("peers");
    const auto wallMs = millisOf(core_.clock.wallNow().time_since_epoch()).count();
    for (const std::string &id : gossip.upIds()) {
        const NodeRecord *node = gossip.node(id);
        if (id == core_.self.id || node == nullptr) {
            continue;
        }
        const NodeRef successor = node->ref;
        const Endpoint endpoint{node->address, node->peerPort};
        const bool accepted = std::all_of(parts.begin(), parts.end(), [&](const ClaimHandover &part) {
            return peers.sendAcknowledged(successor, endpoint, part, ackTimeout).has_value();
        });
        if (!accepted) {
            // The node may still have adopted the claims. It starts none of their tickets unless the published record
            // names it.
            continue;
        }
        const nlohmann::json body = {successor.id, successor.incarnation};
        for (const ClaimOwner &owner : handover.owners) {
            gossip.publishNow(Record{RecordKind::Successor, owner.ref.text(),
                                     RecordVersion{static_cast<std::uint64_t>(wallMs), 0},
                                     nlohmann::json::to_cbor(body)});
        }
        core_.events.write(Severity::Info, "claims_handed_over",
                           {{"to", successor.text()}, {"claims", std::to_string(handover.claims.size())}});
        return;
    }
    core_.events.write(Severity::Warning, "claims_not_handed_over", {{"reason", "no other node"}});
}

void ClaimService::expire()
{
    table_.expire();
    const SteadyTime now = core_.clock.now();
    for (auto it = boundKeys_.begin(); it != boundKeys_.end();) {
        it = now - it->second.second >= boundKeyRetention ? boundKeys_.erase(it) : std::next(it);
    }
    // The write capacity of the object API doesn't grow with the fleet, so each node gets an equal share of a fixed
    // rate.
    const auto nodes =
        static_cast<double>(std::max<std::size_t>(1, core_.service<GossipService>("gossip").upIds().size()));
    const double rate = core_.settings.limits.fleetKeyWritesPerSecond / nodes;
    keyWrites_.setRate(rate, std::max(minKeyBurst, rate * 2.0));
}

std::size_t ClaimService::size() const
{
    return table_.size();
}

std::size_t ClaimService::running() const
{
    return table_.running();
}

} // namespace waxwing
