#include "include/claim/Ticket.h"

#include <array>
#include <charconv>
#include <string_view>

namespace waxwing {

namespace {

constexpr std::string_view prefix = "wx1.";
constexpr std::uint64_t maxAgeMs = 1000ULL * 3600 * 24 * 365 * 100;

bool parseHex(std::string_view text, std::uint64_t &value)
{
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value, 16);
    return !text.empty() && parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
}

} // namespace

std::string Ticket::text() const
{
    return std::string(prefix) + owner.id + "." + hexText(owner.incarnation) + "."
           + hexText(static_cast<std::uint64_t>(issuedAt.count())) + "." + hexText(sequence);
}

bool Ticket::looksLikeTicket(const std::string &text)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

Expected<Ticket> Ticket::parse(const std::string &text)
{
    if (!looksLikeTicket(text)) {
        return fail(ErrorCode::Malformed, "a ticket begins with wx1.");
    }
    // Node names may contain dots, so the numbers are parsed from the end.
    std::string_view rest = std::string_view(text).substr(prefix.size());
    std::array<std::uint64_t, 3> numbers{};
    for (std::size_t i = numbers.size(); i-- > 0;) {
        const std::size_t dot = rest.rfind('.');
        if (dot == std::string_view::npos || !parseHex(rest.substr(dot + 1), numbers[i])) {
            return fail(ErrorCode::Malformed, "not a ticket: wx1.NODE.INCARNATION.MINTED.SEQUENCE");
        }
        rest = rest.substr(0, dot);
    }
    Ticket ticket;
    ticket.owner = {std::string(rest), numbers[0]};
    if (!isValidName(ticket.owner.id) || numbers[1] > maxAgeMs) {
        return fail(ErrorCode::Malformed, "not a ticket: invalid node name or issue time");
    }
    ticket.issuedAt = Millis(static_cast<std::int64_t>(numbers[1]));
    ticket.sequence = numbers[2];
    return ticket;
}

TicketIssuer::TicketIssuer(NodeRef self, const Clock &clock)
    : self_(std::move(self))
    , clock_(clock)
    , startedAt_(clock.now())
{ }

Ticket TicketIssuer::issue()
{
    return Ticket{self_, age(), next_++};
}

Millis TicketIssuer::age() const
{
    return millisOf(clock_.now() - startedAt_);
}

} // namespace waxwing
