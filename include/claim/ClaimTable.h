#pragma once

#include "include/base/Clock.h"
#include "include/claim/Ticket.h"
#include "include/wire/Messages.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace waxwing {

/** Limits of a claim table. */
struct ClaimLimits {
    std::size_t entries = 60000;
    std::size_t responseBytes = 32UL * 1024 * 1024;
    /** Lifetime of a ticket from the time it was issued. Its claim is kept for the same time. */
    Millis validity = std::chrono::minutes(20);
};

/** A claim table's decision about a request that carries a ticket. */
enum class ClaimDecision {
    /** The ticket is unused, or no attempt with it has run: the request may run. */
    Start,
    /** An attempt is running: the caller waits for its result. */
    Running,
    /** An attempt has finished: its stored response is returned. */
    Replay,
    /** The request ran, but there was no space left to store its response. */
    ResponseNotStored,
    /** The request may have run, and no response will arrive. */
    OutcomeUnknown,
    /** The ticket was used before with a different request. */
    OtherRequest,
    /** The ticket has expired: whether its request ran is no longer known. */
    Expired,
    /** The table is full: the request is refused and has not run. */
    Full,
    /** This node is stopping and accepts no new claims. */
    Stopping,
    /**
     * The owner is neither this incarnation nor one that named this node its successor, or its age is less than the
     * ticket's issue time.
     */
    NotOwner,
};

const char *claimDecisionName(ClaimDecision decision);

/** Result of a claimed request. */
struct ClaimResult {
    Outcome outcome = Outcome::Unknown;
    HttpResponse response;
};

/**
 * Splits a handover into messages of about @p bytes each. Only the last message names the owners, so a successor that
 * received only some of the messages accepts none of the owners' tickets. Thread safe.
 */
std::vector<ClaimHandover> splitHandover(const ClaimHandover &handover, std::size_t bytes);

/** Returns true if the node is the one that decides about the tickets of @p owner, which has stopped. */
using SuccessorCheck = std::function<bool(const NodeRef &owner)>;

/**
 * Records which tickets of one owner were used and how their requests ended.
 *
 * Prevents non-idempotent work from running twice when a caller resends it: all requests with a ticket go to its one
 * owner, and begin() returns Start only once per ticket, unless the attempt ends as Outcome::NotRun. An entry is never
 * evicted before its ticket expires; when the table is full, new claims are refused instead. A suspended owner that
 * resumes later does no harm, because no other process may claim its tickets. Not thread safe.
 */
class ClaimTable
{
public:
    /**
     * @p isSuccessor: asked about each owner whose claims were adopted, since an owner that got no acknowledgement of
     * its handover may have named another node. @pre @p clock outlives the table.
     */
    ClaimTable(NodeRef self, const Clock &clock, ClaimLimits limits, SuccessorCheck isSuccessor);

    /**
     * Decides whether the request with @p ticket may run. On Start the claim is held from this call on. @p ownAge:
     * TicketIssuer::age().
     */
    ClaimDecision begin(const Ticket &ticket, Millis ownAge, std::uint64_t requestDigest);
    /**
     * Stores the result of a claim. Outcome::NotRun releases the ticket for another attempt. @pre begin() returned
     * Start.
     */
    void finish(const Ticket &ticket, ClaimResult result);
    /** Returns the result of a claim, or null if it is running or not in the table. */
    const ClaimResult *resultOf(const Ticket &ticket) const;

    /** Refuses new claims from now on. */
    void stopClaiming();
    std::size_t running() const;
    std::size_t size() const;
    /**
     * Returns all finished claims, and the owners that this node decides about, for its successor. @pre stopClaiming()
     * was called and running() is 0.
     */
    ClaimHandover handOver(Millis ownAge) const;
    /**
     * Takes over the tickets of owners that have stopped. begin() then replays the responses of their finished claims,
     * returns OutcomeUnknown for those without a stored response. Requests with unused tickets start only while this
     * node is the owner's successor. @pre only one node is ever named as an owner's successor.
     */
    void adopt(const ClaimHandover &handover);
    /** Returns the owners that handed their claims over to this node. */
    std::vector<NodeRef> adoptedOwners() const;
    /** Removes finished claims whose tickets have expired, and adopted owners when all their tickets have expired. */
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
        ClaimResult result;
        SteadyTime expiresAt;
    };

    /** Returns the age of an owner whose tickets this table decides about, or nothing for any other owner. */
    std::optional<Millis> ageOf(const NodeRef &owner, Millis ownAge) const;
    ClaimDecision decisionFor(const Entry &entry, std::uint64_t digest) const;
    void store(Entry &entry, ClaimResult result);

    NodeRef self_;
    const Clock &clock_;
    ClaimLimits limits_;
    SuccessorCheck isSuccessor_;
    std::unordered_map<std::string, Entry> entries_;
    std::multimap<SteadyTime, std::string> expiryQueue_;
    std::map<NodeRef, Adopted> adopted_;
    std::size_t running_ = 0;
    std::size_t responseBytes_ = 0;
    bool stopping_ = false;
};

} // namespace waxwing
