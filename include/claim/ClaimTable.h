#pragma once

#include "include/base/Clock.h"
#include "include/claim/Ticket.h"
#include "include/wire/Messages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace waxwing {

/** Bounds of a claim table. */
struct ClaimLimits {
    std::size_t entries = 60000;
    std::size_t responseBytes = 32UL * 1024 * 1024;
    /** A ticket may be used this long after it was minted; its claim is kept as long. */
    Millis validity = std::chrono::minutes(20);
};

/** What the owner does with a request that carries one of its tickets. */
enum class ClaimDecision {
    /** First attempt: run it. */
    Start,
    /** An attempt is running: wait for its end. */
    Running,
    /** It ended: repeat its answer. */
    Replay,
    /** It ran, but its answer was too large to keep. */
    ResponseNotStored,
    /** It may have run and no answer will come. */
    OutcomeUnknown,
    /** The same ticket came with another request. */
    OtherRequest,
    /** The ticket is past its validity: whether it ran is no longer known. */
    Expired,
    /** No room for another claim: refused, so not run. */
    Full,
    /** This node is stopping and takes no new claim. */
    Stopping,
    /** Another incarnation owns it. */
    NotOwner,
};

const char *claimDecisionName(ClaimDecision decision);

/** The end of a claimed request. */
struct ClaimResult {
    Outcome outcome = Outcome::Unknown;
    HttpResponse response;
};

/**
 * Cuts a handover into messages of about @p bytes each. Only the last names the owners, so a successor that got some
 * parts and not all decides about none of their tickets. Thread safe.
 */
std::vector<ClaimHandover> splitHandover(const ClaimHandover &whole, std::size_t bytes);

/**
 * The record of which tickets of one owner were used, and how they ended.
 *
 * Guards against non-idempotent work running twice when a caller sends it again: a ticket's requests all come to
 * its one owner, and begin() says Start once in the ticket's life. An entry is never evicted before its ticket
 * expires; when the table is full new claims are refused instead. An owner that was frozen is no danger, since no
 * other process may claim its tickets. Not thread safe.
 */
class ClaimTable
{
public:
    /** @pre @p clock outlives the table. */
    ClaimTable(NodeRef self, const Clock &clock, ClaimLimits limits = {});

    /** Decides about a request with @p ticket; on Start the claim is held from now on. @p ownAge: TicketIssuer::age().
     */
    ClaimDecision begin(const Ticket &ticket, Millis ownAge, std::uint64_t requestDigest);
    /** Ends a claim. NotRun frees the ticket for another attempt. @pre begin() said Start. */
    void finish(const Ticket &ticket, ClaimResult end);
    /** The end of a claim; null if it is running or not known. */
    const ClaimResult *resultOf(const Ticket &ticket) const;

    /** Refuses new claims from now on. */
    void stopClaiming();
    std::size_t running() const;
    std::size_t size() const;
    /** Every ended claim, for the successor. @pre stopClaiming() was called and running() is 0. */
    ClaimHandover handOver(Millis ownAge) const;
    /**
     * Takes the place of owners that have stopped: their ended claims are repeated here, and their unused tickets
     * start here. @pre only one node is ever named as an owner's successor.
     */
    void adopt(const ClaimHandover &handover);
    /** True if @p owner handed its claims to this node. */
    bool hasAdopted(const NodeRef &owner) const;
    /** Owners whose place this node holds, without itself. */
    std::vector<NodeRef> adoptedOwners() const;
    /** Drops claims whose tickets have expired. */
    void expire();

private:
    struct Adopted {
        /** Age of the owner at the handover. */
        Millis age;
        SteadyTime at;
    };
    struct Entry {
        std::uint64_t digest = 0;
        bool running = true;
        bool responseStored = true;
        ClaimResult end;
        SteadyTime expiresAt;
    };

    /** Age of an owner whose tickets are decided here; nothing if they are not. */
    std::optional<Millis> ageOf(const NodeRef &owner, Millis ownAge) const;
    ClaimDecision decisionFor(const Entry &entry, std::uint64_t digest) const;
    void store(Entry &entry, ClaimResult end);

    NodeRef self_;
    const Clock &clock_;
    ClaimLimits limits_;
    std::unordered_map<std::string, Entry> entries_;
    std::multimap<SteadyTime, std::string> expiryQueue_;
    std::map<NodeRef, Adopted> adopted_;
    std::size_t running_ = 0;
    std::size_t responseBytes_ = 0;
    bool stopping_ = false;
};

} // namespace waxwing
