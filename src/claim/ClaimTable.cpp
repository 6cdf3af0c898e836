#include "include/claim/ClaimTable.h"

#include <cassert>

namespace waxwing {

namespace {

std::size_t bytesOf(const HttpResponse &response)
{
    std::size_t bytes = response.body.size();
    for (const auto &[name, value] : response.headers) {
        bytes += name.size() + value.size();
    }
    return bytes;
}

} // namespace

const char *claimDecisionName(ClaimDecision decision)
{
    switch (decision) {
    case ClaimDecision::Start:
        return "start";
    case ClaimDecision::Running:
        return "running";
    case ClaimDecision::Replay:
        return "replay";
    case ClaimDecision::ResponseNotStored:
        return "answer-not-kept";
    case ClaimDecision::OutcomeUnknown:
        return "in-doubt";
    case ClaimDecision::OtherRequest:
        return "other-request";
    case ClaimDecision::Expired:
        return "ticket-expired";
    case ClaimDecision::Full:
        return "claims-full";
    case ClaimDecision::Stopping:
        return "stopping";
    case ClaimDecision::NotOwner:
        return "not-owner";
    }
    return "not-owner";
}

std::vector<ClaimHandover> splitHandover(const ClaimHandover &handover, std::size_t bytes)
{
    std::vector<ClaimHandover> parts(1);
    std::size_t filled = 0;
    for (const ClaimTransfer &claim : handover.claims) {
        constexpr std::size_t overheadPerClaim = 32;
        const std::size_t size = overheadPerClaim + claim.ticket.size() + bytesOf(claim.response);
        if (filled > 0 && filled + size > bytes) {
            parts.emplace_back();
            filled = 0;
        }
        parts.back().claims.push_back(claim);
        filled += size;
    }
    parts.back().owners = handover.owners;
    return parts;
}

ClaimTable::ClaimTable(NodeRef self, const Clock &clock, ClaimLimits limits, SuccessorCheck isSuccessor)
    : self_(std::move(self))
    , clock_(clock)
    , limits_(limits)
    , isSuccessor_(std::move(isSuccessor))
{ }

ClaimDecision ClaimTable::decisionFor(const Entry &entry, std::uint64_t digest) const
{
    if (entry.digest != digest) {
        return ClaimDecision::OtherRequest;
    }
    if (entry.running) {
        return ClaimDecision::Running;
    }
    if (entry.result.outcome == Outcome::Unknown) {
        return ClaimDecision::OutcomeUnknown;
    }
    return entry.responseStored ? ClaimDecision::Replay : ClaimDecision::ResponseNotStored;
}

std::optional<Millis> ClaimTable::ageOf(const NodeRef &owner, Millis ownAge) const
{
    if (owner == self_) {
        return ownAge;
    }
    const auto found = adopted_.find(owner);
    if (found == adopted_.end() || !isSuccessor_(owner)) {
        return std::nullopt;
    }
    return found->second.age + millisOf(clock_.now() - found->second.at);
}

ClaimDecision ClaimTable::begin(const Ticket &ticket, Millis ownAge, std::uint64_t requestDigest)
{
    const std::string key = ticket.text();
    const auto found = entries_.find(key);
    if (found != entries_.end()) {
        return decisionFor(found->second, requestDigest);
    }
    const std::optional<Millis> ownerAge = ageOf(ticket.owner, ownAge);
    if (!ownerAge || ticket.issuedAt > *ownerAge) {
        return ClaimDecision::NotOwner;
    }
    const Millis ticketAge = *ownerAge - ticket.issuedAt;
    if (ticketAge >= limits_.validity) {
        // The entry may have been removed already, so starting now could run the request a second time.
        return ClaimDecision::Expired;
    }
    if (stopping_) {
        return ClaimDecision::Stopping;
    }
    if (entries_.size() >= limits_.entries) {
        return ClaimDecision::Full;
    }
    Entry entry;
    entry.digest = requestDigest;
    entry.expiresAt = clock_.now() + (limits_.validity - ticketAge);
    expiryQueue_.emplace(entry.expiresAt, key);
    entries_.emplace(key, std::move(entry));
    ++running_;
    return ClaimDecision::Start;
}

void ClaimTable::store(Entry &entry, ClaimResult result)
{
    const std::size_t bytes = bytesOf(result.response);
    entry.running = false;
    entry.responseStored = responseBytes_ + bytes <= limits_.responseBytes;
    if (!entry.responseStored) {
        result.response = HttpResponse{};
    } else {
        responseBytes_ += bytes;
    }
    entry.result = std::move(result);
}

void ClaimTable::finish(const Ticket &ticket, ClaimResult result)
{
    const auto found = entries_.find(ticket.text());
    assert(found != entries_.end() && found->second.running);
    if (found == entries_.end() || !found->second.running) {
        return;
    }
    --running_;
    if (result.outcome == Outcome::NotRun) {
        entries_.erase(found);
        return;
    }
    store(found->second, std::move(result));
}

const ClaimResult *ClaimTable::resultOf(const Ticket &ticket) const
{
    const auto found = entries_.find(ticket.text());
    return found == entries_.end() || found->second.running ? nullptr : &found->second.result;
}

void ClaimTable::stopClaiming()
{
    stopping_ = true;
}

std::size_t ClaimTable::running() const
{
    return running_;
}

std::size_t ClaimTable::size() const
{
    return entries_.size();
}

ClaimHandover ClaimTable::handOver(Millis ownAge) const
{
    assert(stopping_ && running_ == 0);
    ClaimHandover handover;
    handover.owners.push_back(ClaimOwner{self_, ownAge});
    for (const auto &[owner, adopted] : adopted_) {
        if (const std::optional<Millis> age = ageOf(owner, ownAge)) {
            handover.owners.push_back(ClaimOwner{owner, *age});
        }
    }
    for (const auto &[key, entry] : entries_) {
        const Outcome outcome = entry.responseStored ? entry.result.outcome : Outcome::Unknown;
        handover.claims.push_back(ClaimTransfer{key, entry.digest, outcome, entry.result.response});
    }
    return handover;
}

void ClaimTable::adopt(const ClaimHandover &handover)
{
    const SteadyTime now = clock_.now();
    for (const ClaimOwner &owner : handover.owners) {
        adopted_[owner.ref] = Adopted{owner.age, now};
    }
    for (const ClaimTransfer &claim : handover.claims) {
        // Stored even above the limit of entries: a dropped claim could be started a second time.
        Entry entry;
        entry.digest = claim.requestDigest;
        entry.expiresAt = now + limits_.validity;
        const auto [place, isNew] = entries_.emplace(claim.ticket, std::move(entry));
        if (isNew) {
            store(place->second, ClaimResult{claim.outcome, claim.response});
            expiryQueue_.emplace(place->second.expiresAt, claim.ticket);
        }
    }
}

std::vector<NodeRef> ClaimTable::adoptedOwners() const
{
    std::vector<NodeRef> owners;
    for (const auto &[owner, adopted] : adopted_) {
        owners.push_back(owner);
    }
    return owners;
}

void ClaimTable::expire()
{
    const SteadyTime now = clock_.now();
    while (!expiryQueue_.empty() && expiryQueue_.begin()->first <= now) {
        const auto found = entries_.find(expiryQueue_.begin()->second);
        const bool isRunning = found != entries_.end() && found->second.running;
        if (isRunning) {
            // Still running at its expiry: checked again later, because finish() needs the entry.
            expiryQueue_.emplace(now + limits_.validity, found->first);
        } else if (found != entries_.end() && found->second.expiresAt <= now) {
            responseBytes_ -= found->second.responseStored ? bytesOf(found->second.result.response) : 0;
            entries_.erase(found);
        }
        expiryQueue_.erase(expiryQueue_.begin());
    }
    for (auto it = adopted_.begin(); it != adopted_.end();) {
        const bool over = now - it->second.at >= limits_.validity;
        it = over ? adopted_.erase(it) : std::next(it);
    }
}

} // namespace waxwing
