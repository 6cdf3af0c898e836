#pragma once

#include "include/base/Clock.h"
#include "include/base/Error.h"
#include "include/base/Ids.h"

#include <cstdint>
#include <string>

namespace waxwing {

/**
 * An idempotency key that names the incarnation that issued it. Only that process, or the successor that it names when
 * it stops, may run the request. Ownership never changes otherwise, so no lease, membership list or store is needed to
 * find or to keep it.
 */
struct Ticket {
    NodeRef owner;
    /** Time since the owner's start by its monotonic clock; only the owner and its successor interpret it. */
    Millis issuedAt{0};
    std::uint64_t sequence = 0;

    /** Returns "wx1.ID.INCARNATION.MINTED.SEQUENCE" with the numbers in hexadecimal. Thread safe. */
    std::string text() const;
    /** Parses the format of text(). Errors: Malformed. Thread safe. */
    static Expected<Ticket> parse(const std::string &text);
    /** Returns true if @p text has the prefix of a ticket. Any other key is the caller's own. Thread safe. */
    static bool looksLikeTicket(const std::string &text);
};

/** Issues the tickets of one incarnation. Not thread safe. */
class TicketIssuer
{
public:
    /** @pre @p clock outlives the issuer. */
    TicketIssuer(NodeRef self, const Clock &clock);
    Ticket issue();
    /** Returns the time since this incarnation started; tickets carry it as their issue time. */
    Millis age() const;

private:
    NodeRef self_;
    const Clock &clock_;
    SteadyTime startedAt_;
    std::uint64_t next_ = 1;
};

} // namespace waxwing
