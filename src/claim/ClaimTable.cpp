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

const char *claimVerdictName(ClaimVerdict verdict)
{
    switch (verdict) {
    case ClaimVerdict::Start:
        return "start";
    case ClaimVerdict::Running:
        return "running";
    case ClaimVerdict::Replay:
        return "replay";
    case ClaimVerdict::AnswerNotKept:
        return "answer-not-kept";
    case ClaimVerdict::InDoubt:
        return "in-doubt";
    case ClaimVerdict::OtherRequest:
        return "other-request";
    case ClaimVerdict::Expired:
        return "ticket-expired";
    case ClaimVerdict::Full:
        return "claims-full";
    case ClaimVerdict::Stopping:
        return "stopping";
    case ClaimVerdict::NotOwner:
        return "not-owner";
    }
    return "not-owner";
}

std::vector<ClaimHandover> partsOf(const ClaimHandover &whole, std::size_t bytes)
{
    std::vector<ClaimHandover> parts(1);
    std::size_t filled = 0;
    for (const ClaimTransfer &claim : whole.claims) {
        constexpr std::size_t perClaim = 32;
        const std::size_t size = perClaim + claim.ticket.size() + bytesOf(claim.response);
        if (filled > 0 && filled + size > bytes) {
            parts.emplace_back();
            filled = 0;
        }
        parts.back().claims.push_back(claim);
        filled += size;
    }
    parts.back().owners = whole.owners;
    return parts;
}

ClaimTable::ClaimTable(NodeRef self, const Clock &clock, ClaimLimits limits)
    : self_(std::move(self))
    , clock_(clock)
    , limits_(limits)
{ }

ClaimVerdict ClaimTable::verdictOf(const Entry &entry, std::uint64_t digest) const
{
    if (entry.digest != digest) {
        return ClaimVerdict::OtherRequest;
    }
    if (entry.running) {
        return ClaimVerdict::Running;
    }
    if (entry.end.outcome == Outcome::Unknown) {
        return ClaimVerdict::InDoubt;
    }
    return entry.answerKept ? ClaimVerdict::Replay : ClaimVerdict::AnswerNotKept;
}

std::optional<Millis> ClaimTable::ageOf(const NodeRef &owner, Millis ownAge) const
{
    if (owner == self_) {
        return ownAge;
    }
    const auto found = adopted_.find(owner);
    if (found == adopted_.end()) {
        return std::nullopt;
    }
    return found->second.age + std::chrono::duration_cast<Millis>(clock_.now() - found->second.at);
}

ClaimVerdict ClaimTable::begin(const Ticket &ticket, Millis ownAge, std::uint64_t requestDigest)
{
    const std::string key = ticket.text();
    const auto found = entries_.find(key);
    if (found != entries_.end()) {
        return verdictOf(found->second, requestDigest);
    }
    const std::optional<Millis> ownerAge = ageOf(ticket.owner, ownAge);
    if (!ownerAge || ticket.mintedAt > *ownerAge) {
        return ClaimVerdict::NotOwner;
    }
    const Millis ticketAge = *ownerAge - ticket.mintedAt;
    if (ticketAge >= limits_.validity) {
        // Its entry may have been dropped already: starting it could run it a second time.
        return ClaimVerdict::Expired;
    }
    if (stopping_) {
        return ClaimVerdict::Stopping;
    }
    if (entries_.size() >= limits_.entries) {
        return ClaimVerdict::Full;
    }
    Entry entry;
    entry.digest = requestDigest;
    entry.dropAt = clock_.now() + (limits_.validity - ticketAge);
    dropOrder_.emplace(entry.dropAt, key);
    entries_.emplace(key, std::move(entry));
    ++running_;
    return ClaimVerdict::Start;
}

void ClaimTable::store(Entry &entry, ClaimEnd end)
{
    const std::size_t bytes = bytesOf(end.response);
    entry.running = false;
    entry.answerKept = answerBytes_ + bytes <= limits_.answerBytes;
    if (!entry.answerKept) {
        end.response = HttpResponse{};
    } else {
        answerBytes_ += bytes;
    }
    entry.end = std::move(end);
}

void ClaimTable::finish(const Ticket &ticket, ClaimEnd end)
{
    const auto found = entries_.find(ticket.text());
    assert(found != entries_.end() && found->second.running);
    if (found == entries_.end() || !found->second.running) {
        return;
    }
    --running_;
    if (end.outcome == Outcome::NotRun) {
        entries_.erase(found);
        return;
    }
    store(found->second, std::move(end));
}

const ClaimEnd *ClaimTable::endOf(const Ticket &ticket) const
{
    const auto found = entries_.find(ticket.text());
    return found == entries_.end() || found->second.running ? nullptr : &found->second.end;
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
        handover.owners.push_back(ClaimOwner{owner, ageOf(owner, ownAge).value_or(adopted.age)});
    }
    for (const auto &[key, entry] : entries_) {
        const Outcome outcome = entry.answerKept ? entry.end.outcome : Outcome::Unknown;
        handover.claims.push_back(ClaimTransfer{key, entry.digest, outcome, entry.end.response});
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
        // Held even above the limit of entries: a claim that were dropped here could be started again.
        Entry entry;
        entry.digest = claim.requestDigest;
        entry.dropAt = now + limits_.validity;
        const auto [place, isNew] = entries_.emplace(claim.ticket, std::move(entry));
        if (isNew) {
            store(place->second, ClaimEnd{claim.outcome, claim.response});
            dropOrder_.emplace(place->second.dropAt, claim.ticket);
        }
    }
}

bool ClaimTable::hasAdopted(const NodeRef &owner) const
{
    return adopted_.count(owner) != 0;
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
    while (!dropOrder_.empty() && dropOrder_.begin()->first <= now) {
        const auto found = entries_.find(dropOrder_.begin()->second);
        const bool isRunning = found != entries_.end() && found->second.running;
        if (isRunning) {
            // Still running at its expiry: looked at again later, since finish() needs the entry.
            dropOrder_.emplace(now + limits_.validity, found->first);
        } else if (found != entries_.end() && found->second.dropAt <= now) {
            answerBytes_ -= found->second.answerKept ? bytesOf(found->second.end.response) : 0;
            entries_.erase(found);
        }
        dropOrder_.erase(dropOrder_.begin());
    }
    for (auto it = adopted_.begin(); it != adopted_.end();) {
        const bool over = now - it->second.at >= limits_.validity;
        it = over ? adopted_.erase(it) : std::next(it);
    }
}

} // namespace waxwing
