#pragma once

#include "include/home/LocalServerState.h"
#include "include/home/SlotQueue.h"
#include "include/limit/NestedCallTracker.h"
#include "include/limit/RouteOrigins.h"
#include "include/overload/CallAdmission.h"
#include "include/wire/Messages.h"
#include "src/fiber/FiberNotifier.h"
#include "src/node/RunControl.h"
#include "src/sidecar/WorkTable.h"
#include "src/sidecar/home/ServerMemoryGate.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace waxwing {

struct NodeCore;
class FiberLatch;

/** Reason for a refusal: this node buffers too many bytes. */
constexpr const char *nodeBytesReason = "node-bytes";

/** Reason for a final refusal: servers crashed while they ran this request, so it is sent to no other server. */
constexpr const char *poisonReason = "request-ends-servers";

/**
 * The home of the one server beside this node: handles its heartbeats, admits and queues Works, dispatches them to the
 * server, and keeps the outcome of each Work for senders that have not received the reply. SlotQueue and
 * LocalServerState make the decisions. Not thread safe.
 */
class LocalHome
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

    /** @pre "poison" is in the kernel before the first request. */
    explicit LocalHome(NodeCore &core);
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

private:
    struct QueuedJob {
        std::shared_ptr<FiberLatch> latch;
        /** Whether the latch was released because the job may start. */
        bool started = false;
        /** Whether it was released because its nested calls will likely fail. */
        bool callsUnserved = false;
    };
    struct Job;

    /** Returns the share of the VMs of @p zone whose server belongs to one of @p services; 1 if no VM is registered. */
    double zoneShare(const std::string &zone, const std::set<std::string> &services) const;
    void noteOrigin(const WorkKey &key, const std::string &route);
    void serverChanged(ServerChange change, const std::string &cause);
    /** Ends the wait of works that were removed from the queue. @p reason: for reservations. */
    void releaseQueued(const std::vector<std::uint64_t> &ids, const std::string &reason);
    void pollQueue();
    void expiryLoop();
    /** Submits a request or a reservation to the queue. */
    SlotDecision submit(const SlotRequest &request, SteadyTime now);
    /** Reports the called services that became degraded or recovered, and the share of successful calls. */
    void reportCalledServices();
    /** Lets work that has run for too long count against the server. */
    void noteOverdueWork();
    /** Waits until the server's memory has room for the request, and then for a slot. */
    bool awaitAdmission(Job &job, const std::function<void()> &onAdmitted);
    bool awaitMemory(Job &job, const std::function<void()> &onAdmitted);
    /** Lets the job take over the slot held for its reservation. Returns false if there is none. */
    bool claimSlot(Job &job);
    bool awaitSlot(Job &job, const std::function<void()> &onAdmitted);
    void dispatch(Job &job);
    void handleResponse(Job &job, const tl::expected<HttpResponse, ExchangeError> &response, Duration processingTime);
    void handleFailure(Job &job, const ExchangeError &error, Duration processingTime);
    /** Returns true, and records a crash by this request, if the server's process ended while it ran the request. */
    bool detectCrash(const Job &job);
    /** Returns false if customers need keys and the sender's build has not checked the key of @p work. */
    bool isKeyChecked(const Work &work) const;
    WorkReply refusal(const Job &job, const std::string &reason) const;

    NodeCore &core_;
    LocalServerState server_;
    SlotQueue queue_;
    WorkTable works_;
    std::map<std::uint64_t, QueuedJob> queuedJobs_;
    FiberNotifier expiry_;
    std::uint64_t nextJob_ = 1;
    NestedCallTracker nestedCalls_;
    /** Null if requests are served without regard to their nested calls. */
    std::unique_ptr<CallAdmission> callAdmission_;
    RouteOrigins origins_;
    ReservationHooks reservations_;
    int callsInProgress_ = 0;
    bool stopped_ = false;
    /** Null if callers and servers don't read slowly. */
    std::unique_ptr<ServerMemoryGate> memory_;
    std::uint64_t maxResponseBytes_ = 0;
    std::function<bool()> holdsTooMuch_;
    std::uint64_t requestBytes_ = 0;
};

} // namespace waxwing
