#pragma once

#include "include/home/SlotQueue.h"
#include "include/wire/Messages.h"
#include "src/fiber/FiberNotifier.h"
#include "src/node/RunControl.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace waxwing {

struct NodeCore;
class FiberLatch;
class NestedCalls;

/** Reason for a request or reservation that left the queue without a slot. */
constexpr const char *queueTimeoutReason = "queue-timeout";

/**
 * Submits works and reservations to SlotQueue, polls it and carries out its decisions: resumes the fibers of works, and
 * calls the hooks of reservations. Not thread safe.
 */
class SlotScheduler
{
public:
    /**
     * Connects ids of SlotQueue with the reservations they stand for. None of them may start or free a slot before it
     * returns, except onClosed.
     */
    struct ReservationHooks {
        /** The id has started. Returns true if a slot is held for its reservation, false if the slot is not used. */
        std::function<bool(std::uint64_t slotId)> onStarted;
        /** The id was removed from the queue without a start. */
        std::function<void(std::uint64_t slotId, const std::string &reason)> onRemoved;
        /** Returns the slot held for the Work's reservation and takes it out; nullopt if there is none. */
        std::function<std::optional<std::uint64_t>(const NodeRef &sender, std::uint64_t reservation)> claim;
        /** This home accepts no more work: its server has left, or the node stops. */
        std::function<void(const std::string &reason)> onClosed;
    };
    /** How the wait of a work ended. */
    struct WaitResult {
        /** The work may start. */
        bool started = false;
        /** Why it left the queue, if it did not start; the reason of its refusal. */
        std::string reason = queueTimeoutReason;
    };

    /** @pre the references outlive this object. */
    SlotScheduler(NodeCore &core, SlotQueue &queue, NestedCalls &nestedCalls);

    /** @pre called once, before the first request. */
    void setReservationHooks(ReservationHooks hooks);
    /** Returns an id that no other work or reservation of this home has. */
    std::uint64_t nextId();

    /** Submits a work or a reservation to the queue. @pre its id is from nextId(). */
    SlotDecision submit(const SlotRequest &request, SteadyTime now);
    /** The same for a reservation, whose start and removal the hooks report. */
    SlotDecision submitReservation(const SlotRequest &request);
    /**
     * Waits until the queued work @p id starts or leaves the queue. The slot of a started work must be freed.
     * @pre submit() has queued it; called from a fiber.
     */
    WaitResult awaitStart(std::uint64_t id, const RunControlPtr &control);
    /**
     * Lets a work take over the slot held for its reservation. Sets @p id to the id of the slot if one was held.
     * Returns false if the work must be submitted to the queue, with the id.
     */
    bool claimHeld(const NodeRef &sender, std::uint64_t reservation, std::uint64_t &id);
    /** Frees the slot of a work that has started, if it has one, and starts what is next. */
    void release(std::uint64_t id);
    /** Removes a reservation from the queue, or frees the slot held for it, and starts what is next. */
    void freeReservation(std::uint64_t id);

    /** Sets the server's number of slots. To be followed by poll(). @p newProcess: see SlotQueue::setServer(). */
    void setServer(std::uint32_t slots, bool newProcess);
    /** Returns queued works to their senders and refuses the reservations, because no server accepts work. */
    void clearServer();
    /** The same because this node stops. Running requests continue. */
    void removeWaiting(const std::string &reason);

    /** Starts what may start now, and ends the waits that have lasted for too long. */
    void poll();
    /** Waits until the queue must be polled, for one second at most, and polls it. @pre called from one fiber. */
    void awaitPoll();

private:
    struct QueuedJob {
        std::shared_ptr<FiberLatch> latch;
        WaitResult result;
    };

    /** Ends the wait of works and refuses the reservations that were removed from the queue for @p reason. */
    void releaseQueued(const std::vector<std::uint64_t> &ids, const std::string &reason);
    void closeReservations(const std::string &reason);

    NodeCore &core_;
    SlotQueue &queue_;
    NestedCalls &nestedCalls_;
    ReservationHooks reservations_;
    std::map<std::uint64_t, QueuedJob> queuedJobs_;
    FiberNotifier expiry_;
    std::uint64_t nextId_ = 1;
};

} // namespace waxwing
