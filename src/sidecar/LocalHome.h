#pragma once

#include "include/health/StallHistory.h"
#include "include/home/SlotQueue.h"
#include "include/wire/Messages.h"
#include "src/node/RunControl.h"
#include "src/sidecar/WorkTable.h"
#include "src/sidecar/home/NestedCalls.h"
#include "src/sidecar/home/ServerExchange.h"
#include "src/sidecar/home/ServerMemoryGate.h"
#include "src/sidecar/home/ServerPresence.h"
#include "src/sidecar/home/SlotScheduler.h"
#include "src/sidecar/home/WorkAdmission.h"
#include "src/sidecar/home/WorkOrigins.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace waxwing {

struct NodeCore;

/** Reason for a final refusal: servers crashed while they ran this request, so it is sent to no other server. */
constexpr const char *poisonReason = "request-ends-servers";

/**
 * The home of the one server beside this node: handles its heartbeats, admits and queues Works, dispatches them to the
 * server, and keeps the outcome of each Work for senders that have not received the reply. The stages are in
 * src/sidecar/home; this class connects them and is all that other services see. Not thread safe.
 */
class LocalHome
{
public:
    using ReservationHooks = SlotScheduler::ReservationHooks;

    /** @pre "poison", "registry" and "config" are in the kernel before the first request. */
    explicit LocalHome(NodeCore &core);
    /** Starts the background work. @pre "platform" is in the kernel; called once, before the first server call. */
    void start();
    /**
     * Bounds the bytes of requests in progress at the server, and the size of its responses. Works that would start are
     * refused while @p holdsTooMuch returns true.
     */
    void setFlow(const FlowSettings &flow, std::function<bool()> holdsTooMuch);
    /** Judges requests by whether their nested calls are expected to fail. @pre called once, before start(). */
    void enableCallAdmission();
    /** Returns the bytes of the requests queued or running here. */
    std::uint64_t requestBytes() const;
    /** @pre called once, before start(). */
    void setReservationHooks(ReservationHooks hooks);
    /** Sets a hook that is called when a work has ended or was refused by the queue. @pre called once. */
    void setResultHook(std::function<void()> onResult);

    /** Handles a call of the server beside this node. Returns nullopt if @p request is not such a call. */
    std::optional<HttpResponse> handleServerCall(const HttpRequest &request);
    /**
     * Runs @p work on the server and returns its outcome, or the reason for a refusal. Calls @p onAdmitted once if the
     * work is queued or started. @pre called from a fiber.
     */
    WorkReply run(const WorkKey &key, const Work &work, const RunControlPtr &control,
                  const std::function<void()> &onAdmitted = {});
    /** Cancels the work if it is still queued; does nothing if it has started. */
    void cancelQueued(const WorkKey &key);
    /**
     * Cancels the work for a sender that no longer needs the reply. Started work that is not idempotent goes on. A Work
     * that arrives only after this never starts.
     */
    void cancel(const WorkKey &key);
    /**
     * Returns the state of a Work that was sent @p workAge before the query. Unless @p queryOnly, a Work that has not
     * started never starts after this. Returns NotKnown for a Work that is not recorded here if @p queryOnly is set or
     * its result may have been evicted.
     */
    FenceReply fence(const WorkKey &key, bool queryOnly, Duration workAge);
    /** Returns true if the work is queued or running here. */
    bool isInProgress(const WorkKey &key) const;
    /** Refuses new work and returns queued work to its senders, because this node stops. */
    void stopAccepting();
    /** Returns the load that a request of @p priority meets here. */
    HomeLoad load(int priority) const;
    /** Returns true if the server has had no request of @p service for long and would admit one now. */
    bool needsRequest(const std::string &service, bool retryable) const;
    /** Returns an id that no other work or reservation of this home has. */
    std::uint64_t nextSlotId();
    /** Submits a reservation to the queue. @pre its id is from nextSlotId(). */
    SlotDecision submitReservation(const SlotRequest &request);
    /** Removes a reservation from the queue, or frees the slot held for it, and starts what is next. */
    void freeSlot(std::uint64_t slotId);
    /** Returns why this home accepts no work for @p service; empty if it does. */
    std::string closedReason(const std::string &service) const;
    /** Returns the number of works queued or running here. */
    std::size_t inProgressCount() const;
    /** Records a request of @p route for @p service from this VM: from a caller, or from the server itself. */
    void noteArrival(const std::string &route, const std::string &service);
    /** Records that a home, which receives requests from many VMs, classifies those of @p route as nested calls. */
    void noteNestedCall(const std::string &route);
    /** Returns true if requests of @p route from this VM are classified as nested calls of the server here. */
    bool isNestedCall(const std::string &route) const;
    /** Returns the rank of the most urgent running work that may call @p service; nullopt if there is none. */
    std::optional<int> callerRank(const std::string &service) const;
    /** Record the begin and end of a nested call of the server here: work may wait for it without hanging. */
    void noteCallStarted();
    void noteCallEnded();
    /** Records a failed nested call: the work that made it may fail for that reason, without a fault of the server. */
    void noteFailedCall(const std::string &route, const std::string &service);
    /** Records how a nested call of the server here ended, as evidence about the calls of later requests. */
    void noteCallResult(const std::string &service, bool succeeded);
    /** Returns true if the server has announced itself but accepts no work, as when it drains or has deregistered. */
    bool serverLeft() const;
    /** Removes the stored notice of a server that no longer runs. @pre called from a fiber. */
    void removeStoredDeparture();

private:
    void expiryLoop();
    /** Observes the stalls of this node while the server works, unless that is done already. */
    void observeStalls();
    /** Returns the reason to refuse a Work that this home must not run; empty if it may be admitted. */
    std::string refusalReason(const Work &work);
    /** Returns false if customers need keys and the sender's build has not checked the key of @p work. */
    bool isKeyChecked(const Work &work) const;

    NodeCore &core_;
    StallHistory stalls_;
    bool observesStalls_ = false;
    SlotQueue queue_;
    WorkTable works_;
    NestedCalls nestedCalls_;
    SlotScheduler scheduler_;
    ServerPresence server_;
    WorkAdmission admission_;
    ServerExchange exchange_;
    WorkOrigins origins_;
    bool stopped_ = false;
    /** Null if callers and servers don't read slowly. */
    std::unique_ptr<ServerMemoryGate> memory_;
    std::uint64_t requestBytes_ = 0;
    std::function<void()> onResult_;
};

} // namespace waxwing
