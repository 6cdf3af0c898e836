#pragma once

#include "include/home/LocalServerState.h"
#include "include/home/SlotQueue.h"
#include "include/limit/NestedCallTracker.h"
#include "include/limit/RouteOrigins.h"
#include "include/wire/Messages.h"
#include "src/fiber/FiberNotifier.h"
#include "src/node/RunControl.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace waxwing {

struct NodeCore;
class FiberLatch;

/** Reason of a refusal that is final: servers died with this request, and no other one gets it. */
constexpr const char *poisonReason = "request-ends-servers";

/** Names one Work in the fleet: who sent it and that one's number for it. */
struct WorkKey {
    NodeRef origin;
    std::uint64_t id = 0;

    bool operator<(const WorkKey &other) const;
};

/**
 * The home of the one server beside this node: takes its heartbeats, admits work, hands it over, and remembers what
 * became of each Work so that a sender that lost the answer can ask. The decisions are SlotQueue's and
 * LocalServerState's. Not thread safe.
 */
class LocalHome
{
public:
    /** @pre "poison" is in the kernel before the first request. */
    explicit LocalHome(NodeCore &core);
    void start();

    /** Handles a call of the server beside this node; nothing if @p request is none. */
    std::optional<HttpResponse> handleServerCall(const HttpRequest &request);
    /**
     * Runs @p work on the server, or says why not. @p onAdmitted is called once if the work waits or starts here.
     * @pre called from a fiber.
     */
    WorkReply run(const WorkKey &key, const Work &work, const RunControlPtr &control,
                  const std::function<void()> &onAdmitted = {});
    /** The sender wants the answer only if the work has begun. */
    void cancelQueued(const WorkKey &key);
    /** The sender no longer wants the answer. Work that is not idempotent and has begun goes on. */
    void cancel(const WorkKey &key);
    /**
     * What became of a Work that was sent @p workAge before it was asked for; unless @p queryOnly it never begins after
     * this. NotKnown if it may have ended so long ago that it is forgotten.
     */
    FenceReply fence(const WorkKey &key, bool queryOnly, Duration workAge);
    /** It waits or runs here. */
    bool isInProgress(const WorkKey &key) const;
    /** No more work of other nodes, and what waits goes back to them: this one stops. */
    void stopAccepting();
    /** As it stands for a request of @p priority. */
    HomeLoad load(int priority) const;
    /** Works waiting or running here. */
    std::size_t busy() const;
    /** A request of @p route for @p service came from this VM: from a caller, or from the server itself. */
    void noteArrival(const std::string &route, const std::string &service);
    /** Another node's home says that requests of @p route are calls of servers. */
    void noteNestedCall(const std::string &route);
    /** By what was seen so far requests of @p route from this VM are calls of the server beside this node. */
    bool isNestedCall(const std::string &route) const;
    /** Rank of the most urgent work under way here that may call @p service; nothing if none is seen to. */
    std::optional<int> callerRank(const std::string &service) const;
    /** A call of the server beside this node failed: what it runs may fail for that reason alone. */
    void noteFailedCall(const std::string &route, const std::string &service);
    /** The server said farewell or leaves. */
    bool serverLeft() const;

private:
    enum class Phase {
        Fenced,
        Queued,
        Running,
        Ended,
    };
    struct Entry {
        Phase phase = Phase::Queued;
        std::uint64_t jobId = 0;
        bool idempotent = false;
        RunControlPtr control;
        WorkReply reply;
        SteadyTime endedAt;
    };
    struct QueuedJob {
        std::shared_ptr<FiberLatch> latch;
        bool started = false;
    };
    struct Job;

    /** Part of the VMs of @p zone whose server belongs to one of @p services, by the roster. */
    double zoneShare(const std::string &zone, const std::set<std::string> &services) const;
    void noteOrigin(const WorkKey &key, const std::string &route);
    void serverChanged(ServerChange change, const std::string &cause);
    void dropWaiting(const std::vector<std::uint64_t> &ids);
    void pollQueue();
    void expiryLoop();
    bool awaitSlot(Job &job, const std::function<void()> &onAdmitted);
    void dispatch(Job &job);
    void handleResponse(Job &job, const tl::expected<HttpResponse, ExchangeError> &answer, Duration processingTime);
    void handleFailure(Job &job, const ExchangeError &error, Duration processingTime);
    /** True if the server's process ended with this request running; the request is remembered for it. */
    bool detectCrash(const Job &job);
    WorkReply refusal(const Job &job, const std::string &reason) const;
    void storeResult(const WorkKey &key, const WorkReply &reply);
    /** Drops the oldest large answers where there are too many: their works stay known as ended. */
    void evictLargeAnswers();
    void evict(const WorkKey &key);

    NodeCore &core_;
    LocalServerState server_;
    SlotQueue queue_;
    std::map<WorkKey, Entry> entries_;
    std::deque<std::pair<SteadyTime, WorkKey>> ended_;
    /** When the last work that is forgotten ended. */
    SteadyTime evictedUntil_;
    /** Works that ended whose answer is large, oldest first, and the bytes of those answers. */
    std::deque<WorkKey> largeAnswers_;
    std::size_t largeBytes_ = 0;
    std::map<std::uint64_t, QueuedJob> queuedJobs_;
    FiberNotifier expiry_;
    std::uint64_t nextJob_ = 1;
    NestedCallTracker nestedCalls_;
    RouteOrigins origins_;
    bool stopped_ = false;
};

} // namespace waxwing
