#pragma once

#include "include/base/Clock.h"
#include "include/base/Ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace waxwing {

/** Identifies a reservation at its home. */
struct ReservationKey {
    /** With its incarnation, because a sender that restarts begins its ids again. */
    NodeRef sender;
    std::uint64_t id = 0;

    bool operator<(const ReservationKey &other) const;
};

/**
 * At a home: slots held for offers. SlotQueue orders and starts; an id that it starts and that is a reservation is
 * offered, and its slot is in use from then on. Bounded by the number of slots of the server. Not thread safe.
 */
class OfferedSlots
{
public:
    /**
     * Holds the slot that SlotQueue gave to @p slotId until now + @p validFor. An offer to the same reservation that is
     * still held is replaced. @pre The slot of a replaced offer was released.
     */
    void offer(const ReservationKey &key, std::uint64_t slotId, Millis validFor, SteadyTime now);
    /**
     * Returns the slot held for this reservation and takes the offer out, so that one Work only can use it; nullopt:
     * expired or unknown. The slot of an expired offer is still returned by expire().
     */
    std::optional<std::uint64_t> claim(const ReservationKey &key, SteadyTime now);
    /** Takes the offer out and returns its slot for SlotQueue::release(); nullopt: claimed, expired or unknown. */
    std::optional<std::uint64_t> release(const ReservationKey &key);
    /** Takes out all offers to a sender whose link was lost, of any of its incarnations, and returns their slots. */
    std::vector<std::uint64_t> releaseSender(const std::string &node);
    /** Takes out the offers that have expired and returns their slots for SlotQueue::release(). */
    std::vector<std::uint64_t> expire(SteadyTime now);
    /** Returns when expire() is due next; SteadyTime::max() without an offer. */
    SteadyTime nextExpiry() const;
    std::size_t count() const;

private:
    struct Offer {
        std::uint64_t slotId = 0;
        SteadyTime expiresAt;
    };

    std::map<ReservationKey, Offer> offers_;
};

} // namespace waxwing
