#pragma once

#include "include/schedule/ReservationPlanner.h"
#include "include/schedule/ReservationSet.h"
#include "include/wire/Messages.h"
#include "src/link/PeerHub.h"
#include "src/node/RunControl.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace waxwing {

class EventLog;
class FiberNotifier;
class Metrics;

/**
 * A request that homes refused this often, because they expect its nested calls to fail, is sent to no further home.
 * Each home judges by its own evidence, so one refusal could be by chance.
 */
constexpr int maxCallsUnserved = 2;

struct SlotRequesterTuning {
    /** Requests that may wait for an offer at the same time; a further one is sent as if there were no reservations. */
    std::size_t maxWaiting = 512;
    /**
     * Share of a service's known homes that must offer slots. With half of two, requests waited for the one that did,
     * and the other one's slot was free for half of the time.
     */
    double minOfferingShare = 0.75;
    /** Plans made at once, because planned homes have no open link. */
    int maxPlans = 3;
    /** Shortest Retry-After of a request without an offer, before the random factor. */
    Millis minRetryAfter{300};
    /** The Retry-After is multiplied by a random factor from 1 to this, so that callers don't return together. */
    double retryAfterSpread = 2.0;
    /** Number of ids of earlier bindings that are kept to recognize duplicate offers. */
    std::size_t maxRecentBindings = 256;
};

/** A request that waits for an offer. */
struct SlotWait {
    std::string requestId;
    std::string service;
    std::string route;
    std::string customer;
    std::uint8_t priority = 0;
    bool retryable = false;
    SlotNeed need;
    /** The wait ends at this time even if a later start is useful, as when this node stops. */
    SteadyTime until = SteadyTime::max();
    /** Number of refusals by homes that expect the request's nested calls to fail, before this wait. */
    int callsUnserved = 0;
    /** Returns the homes at which the request may reserve, with their current status. */
    std::function<std::vector<ReservationCandidate>()> candidates;
    RunControlPtr control;
};

enum class SlotWaitEnd {
    /** A home holds a slot: send the Work there with the reservation's id. */
    Offered,
    /** No home made an offer in time: the request is refused as not run. */
    NoOffer,
    /** No reservation was possible: the request is sent as if there were no reservations. */
    NotPossible,
    /** The request was cancelled. */
    Cancelled,
};

struct SlotWaitResult {
    SlotWaitEnd end = SlotWaitEnd::NotPossible;
    std::string home;
    std::uint64_t reservation = 0;
    /** For NoOffer: when the caller may retry. */
    Millis retryAfter{0};
    /** Number of reservations made. */
    std::size_t made = 0;
    /** SlotWait::callsUnserved and the refusals during this wait. */
    int callsUnserved = 0;
};

/**
 * The sender's side of late binding: reserves the next free slot at some homes for a request that found no room, binds
 * the request to the first offer and releases the other reservations. Sends no request itself. Not thread safe.
 */
class SlotRequester
{
public:
    /** How messages reach the homes. None of them calls the requester before it returns. */
    struct Transport {
        /** Returns whether the home's build knows reservations; nullopt: not known, since no link to it is open. */
        std::function<std::optional<bool>(const std::string &home)> knowsReservations;
        /**
         * Returns the link over which @p reserve was sent; nullopt if none is open. It may then be opened for later
         * requests; this one does not wait for it.
         */
        std::function<std::optional<LinkId>(const std::string &home, const SlotReserve &reserve)> reserve;
        std::function<void(const std::string &home, const SlotRelease &release)> release;
        /** Waits for a notification, for at most @p timeout. */
        std::function<void(FiberNotifier &notifier, Duration timeout)> pause;
    };
    using Random = ReservationPlanner::Random;
    /** Receives each offer and refusal for a waiting request, with its load report. */
    using OfferListener = std::function<void(const std::string &home, const SlotOffer &offer, int priority)>;

    SlotRequester(const Clock &clock, Metrics &metrics, EventLog &events, Random random, Transport transport,
                  const ReservationTuning &reservations = {}, SlotRequesterTuning tuning = {});
    /** @pre called once, before the first wait. */
    void setOfferListener(OfferListener listener);

    /** Returns true if requests of the route may wait for offers at all. */
    bool mayWait(const Route &route) const;
    /** Returns true if the best home lets a request that may wait wait for too long. */
    bool shouldReserve(const HomeChoice &best) const;
    /**
     * Returns true if enough of the homes offer slots. During an upgrade, a request that waits for the few that do
     * would leave the others unused.
     */
    bool canReserve(const std::vector<ReservationCandidate> &candidates) const;
    /** Returns true if a request that was sent to @p tried homes may be sent once more without an offer. */
    bool mayBeSent(std::size_t tried) const;
    /** Returns the homes to which a request is not sent without an offer after shouldReserve() or a refusal. */
    std::set<std::string> homesWithoutRoom(const std::vector<ReservationCandidate> &candidates) const;
    /** Returns true if @p home is known to run a build that offers slots. */
    bool offersSlots(const std::string &home) const;
    /** Returns the queue timeout at @p best of a request that may wait for an offer and is sent without one. */
    Millis directQueueTimeout(const HomeChoice &best) const;
    /**
     * Reserves for the request and waits for the first offer, its latest useful start, or its cancellation. No
     * reservation is left when it returns, except the one offered; at the latest useful start the homes end them by
     * themselves. @pre called from a fiber.
     */
    SlotWaitResult wait(const SlotWait &want);
    /** Frees the slot that @p result offers, because the request is not sent. Does nothing without an offer. */
    void release(const SlotWaitResult &result);

    void handle(const std::string &home, const SlotOffer &offer);
    /** Reserves at other homes for the requests that held reservations over the link. */
    void linkClosed(LinkId link);
    /** The same for a home that does not respond. */
    void homeLost(const std::string &home);

    /** Sets the gauges of waiting requests by service and priority, and of the age of the oldest. */
    void updateGauges();
    /** Returns the number of requests that wait for an offer. */
    std::size_t waiting() const;

private:
    struct Waiter;
    using WaiterPtr = std::shared_ptr<Waiter>;
    struct Pending {
        std::string home;
        LinkId link = 0;
        WaiterPtr waiter;
    };

    void awaitOffer(const WaiterPtr &waiter);
    /** Returns the homes where the request may reserve next. */
    std::vector<std::string> plan(const Waiter &waiter) const;
    /** Reserves at further homes until the request holds as many reservations as it may. */
    void reserveMore(const WaiterPtr &waiter);
    /** Returns false if the home can't be reached. */
    bool reserveAt(const std::string &home, const WaiterPtr &waiter);
    void addPending(std::uint64_t id, Pending pending);
    void erasePending(std::uint64_t id);
    /** Removes a reservation that got no offer. @p replace: another one is made even if the request holds others. */
    void lose(std::uint64_t id, bool replace);
    void loseAll(const std::function<bool(const Pending &pending)> &isLost);
    SlotWaitResult finish(const WaiterPtr &waiter);
    /** Removes the reservations and tells their homes, if these don't end them by themselves. */
    void dropReservations(const WaiterPtr &waiter, bool cancelled);
    void noteBound(const Waiter &waiter);
    Millis retryAfter(const Waiter &waiter);

    const Clock &clock_;
    Metrics &metrics_;
    EventLog &events_;
    Random random_;
    Transport transport_;
    ReservationPlanner planner_;
    SlotRequesterTuning tuning_;
    OfferListener onOffer_;
    std::set<WaiterPtr> waiters_;
    /** By the id of the reservation. */
    std::map<std::uint64_t, Pending> pending_;
    /** Number of entries of pending_ by home. */
    std::map<std::string, std::int32_t> reservedAt_;
    std::deque<std::uint64_t> recentBindings_;
    std::set<std::string> gauges_;
    std::uint64_t nextId_ = 1;
};

} // namespace waxwing
