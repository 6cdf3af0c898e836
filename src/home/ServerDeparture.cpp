#include "include/home/ServerDeparture.h"

#include <tuple>

namespace waxwing {

bool ServerDeparture::covers(const Announcement &announcement) const
{
    if (announcement.server != server || announcement.incarnation > incarnation) {
        return false;
    }
    return announcement.incarnation < incarnation || !sequence || announcement.sequence <= *sequence;
}

bool ServerDeparture::supersedes(const ServerDeparture &other) const
{
    if (incarnation != other.incarnation) {
        return incarnation > other.incarnation;
    }
    return other.sequence && (!sequence || *sequence > *other.sequence);
}

bool operator==(const ServerDeparture &a, const ServerDeparture &b)
{
    return std::tie(a.server, a.incarnation, a.sequence) == std::tie(b.server, b.incarnation, b.sequence);
}

bool operator!=(const ServerDeparture &a, const ServerDeparture &b)
{
    return !(a == b);
}

} // namespace waxwing
