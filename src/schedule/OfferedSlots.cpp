#include "include/schedule/OfferedSlots.h"

#include <algorithm>
#include <tuple>

namespace waxwing {

bool ReservationKey::operator<(const ReservationKey &other) const
{
    return std::tie(sender, id) < std::tie(other.sender, other.id);
}

void OfferedSlots::offer(const ReservationKey &key, std::uint64_t slotId, Millis validFor, SteadyTime now)
{
    offers_[key] = Offer{slotId, now + validFor};
}

std::optional<std::uint64_t> OfferedSlots::claim(const ReservationKey &key, SteadyTime now)
{
    const auto found = offers_.find(key);
    if (found == offers_.end() || found->second.expiresAt <= now) {
        return std::nullopt;
    }
    return release(key);
}

std::optional<std::uint64_t> OfferedSlots::release(const ReservationKey &key)
{
    const auto found = offers_.find(key);
    if (found == offers_.end()) {
        return std::nullopt;
    }
    const std::uint64_t slotId = found->second.slotId;
    offers_.erase(found);
    return slotId;
}

std::vector<std::uint64_t> OfferedSlots::releaseSender(const std::string &node)
{
    std::vector<std::uint64_t> released;
    for (auto it = offers_.lower_bound(ReservationKey{NodeRef{node, 0}, 0});
         it != offers_.end() && it->first.sender.id == node; it = offers_.erase(it)) {
        released.push_back(it->second.slotId);
    }
    return released;
}

std::vector<std::uint64_t> OfferedSlots::expire(SteadyTime now)
{
    std::vector<std::uint64_t> expired;
    for (auto it = offers_.begin(); it != offers_.end();) {
        if (it->second.expiresAt <= now) {
            expired.push_back(it->second.slotId);
            it = offers_.erase(it);
        } else {
            ++it;
        }
    }
    return expired;
}

SteadyTime OfferedSlots::nextExpiry() const
{
    SteadyTime next = SteadyTime::max();
    for (const auto &[key, offer] : offers_) {
        next = std::min(next, offer.expiresAt);
    }
    return next;
}

std::size_t OfferedSlots::count() const
{
    return offers_.size();
}

} // namespace waxwing
