#pragma once

#include "include/base/Clock.h"
#include "include/base/Error.h"
#include "include/base/Ids.h"

#include <cstdint>
#include <string>

namespace waxwing {

/**
 * An idempotency key that names the one process that may run the request: the incarnation that minted it.
 * Ownership is never dealt again, so no lease, list of members or store is needed to find or to keep it.
 */
struct Ticket {
    NodeRef owner;
    /** Owner's monotonic time since its start; other nodes don't interpret it. */
    Millis issuedAt{0};
    std::uint64_t sequence = 0;

    /** "wx1.ID.INCARNATION.MINTED.SEQUENCE", numbers in hexadecimal. Thread safe. */
    std::string text() const;
    /** Errors: Malformed. Thread safe. */
    static Expected<Ticket> parse(const std::string &text);
    /** True if @p text claims to be a ticket rather than a key of the caller's own. Thread safe. */
    static bool looksLikeTicket(const std::string &text);
};

/** Mints the tickets of one incarnation. Not thread safe. */
class TicketIssuer
{
public:
    /** @pre @p clock outlives the mint. */
    TicketIssuer(NodeRef self, const Clock &clock);
    Ticket issue();
    /** Time since this incarnation started, as written into tickets. */
    Millis age() const;

private:
    NodeRef self_;
    const Clock &clock_;
    SteadyTime startedAt_;
    std::uint64_t next_ = 1;
};

} // namespace waxwing
