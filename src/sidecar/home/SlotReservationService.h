#pragma once

#include "include/base/Clock.h"
#include "include/home/SlotQueue.h"
#include "include/schedule/OfferedSlots.h"
#include "include/wire/Messages.h"
#include "src/link/PeerHub.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace waxwing {

class EventLog;
class Metrics;

/** Stands for the link in reservations of the ingress on the home's own node. PeerHub does not use this id. */
constexpr LinkId localLink = 0;

/** Reason of the refusal of a reservation at a home that holds as many as it may. */
constexpr const char *tooManyReservationsReason = "too-many-reservations";

struct SlotReservationTuning {
    /**
     * Reservations at one home, waiting and offered. Bounds memory, and leaves room in SlotQueue (maxWaiting) for
     * queued works of senders that reserve nothing.
     */
    std::size_t maxReservations = 128;
    /** How long a slot is held for an offer: two round trips with a margin. */
    Millis validForSameRegion{50};
    Millis validForOtherRegion{200};
    /** Upper bound on the times that a reservation states. */
    Millis maxRemaining = std::chrono::minutes(10);
};

/**
 * The reservations of other nodes, and of this node's ingress, at the home of the server beside this node. SlotQueue
 * orders them together with queued works; the id that it starts is offered, and its slot is held until the Work with
 * the reservation's id takes it over, the sender releases it, the offer expires, or the link closes. Carries no
 * request, so nothing here can make one run. Not thread safe.
 */
class SlotReservationService
{
public:
    /**
     * What the service needs of the home and of the links. None of them calls the service before it returns, except
     * freeSlot.
     */
    struct Hooks {
        /** Returns a new id for SlotQueue. */
        std::function<std::uint64_t()> nextSlotId;
        std::function<SlotDecision(const SlotRequest &request)> submit;
        /** Removes the id from the queue, or frees its slot, and lets the next in order start. */
        std::function<void(std::uint64_t slotId)> freeSlot;
        std::function<HomeLoad(int priority)> load;
        /** Returns why the home accepts no work for @p service; empty if it does. */
        std::function<std::string(const std::string &service)> refusal;
        std::function<bool(const NodeRef &sender)> isInOtherRegion;
        /** Returns false if the offer can't be sent. */
        std::function<bool(LinkId link, const SlotOffer &offer)> send;
        /** An offer was made, so nextExpiry() may have changed. */
        std::function<void()> onOffered;
    };

    SlotReservationService(const Clock &clock, Metrics &metrics, EventLog &events, Hooks hooks,
                           SlotReservationTuning tuning = {});

    /** Adds the reservation, and offers a slot or refuses it if that is decided at once. */
    void handle(LinkId link, const NodeRef &sender, const SlotReserve &reserve);
    void handle(const NodeRef &sender, const SlotRelease &release);
    /** Frees what the nodes at the other end of the link have reserved. */
    void linkClosed(LinkId link);

    /**
     * Called when SlotQueue has started @p slotId: offers its slot. Returns false if the slot is not used: the id is of
     * no reservation, or its sender can't be reached.
     */
    bool slotStarted(std::uint64_t slotId);
    /**
     * Called when SlotQueue has removed the waiting @p slotId: refuses its reservation, if it is one. After the latest
     * useful start its sender no longer waits and gets no message.
     */
    void slotRemoved(std::uint64_t slotId, const std::string &reason);
    /**
     * Returns the slot held for the reservation, which the Work with its id takes over; nullopt if the offer has
     * expired or there is none, so that the Work is judged as a new one.
     */
    std::optional<std::uint64_t> claim(const NodeRef &sender, std::uint64_t reservation);
    /** Refuses all reservations, because this node stops or its server has left. */
    void refuseAll(const std::string &reason);

    /** Frees the slots whose offers have expired. */
    void expire();
    /** Returns when expire() is due next; SteadyTime::max() without an offer. */
    SteadyTime nextExpiry() const;
    /** Returns the number of reservations, waiting and offered. */
    std::size_t count() const;

private:
    struct Reservation {
        ReservationKey key;
        LinkId link = localLink;
        int priority = 0;
        SteadyTime since;
        /** Latest useful start; the sender waits no longer either. */
        SteadyTime until;
    };

    void refuse(LinkId link, std::uint64_t id, int priority, const std::string &reason);
    /** Offers the slot. Returns false, and drops the reservation, if its sender can't be reached. */
    bool offer(std::uint64_t slotId);
    std::optional<Reservation> take(std::uint64_t slotId);

    const Clock &clock_;
    Metrics &metrics_;
    EventLog &events_;
    Hooks hooks_;
    SlotReservationTuning tuning_;
    /** By the id that SlotQueue knows the reservation by. */
    std::map<std::uint64_t, Reservation> reservations_;
    std::map<ReservationKey, std::uint64_t> slotIds_;
    OfferedSlots offered_;
};

} // namespace waxwing
