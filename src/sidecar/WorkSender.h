#pragma once

#include "include/fleet/NodeRegistry.h"
#include "include/wire/Messages.h"
#include "src/link/PeerHub.h"
#include "src/node/RunControl.h"

#include <map>
#include <memory>
#include <string>

namespace waxwing {

struct NodeCore;
class FenceService;
class PathMonitor;
struct SentWork;

/** Reason of a reply for a Work whose home has confirmed that it has not run and never will. */
constexpr const char *fencedReason = "fenced";

/** How one send to a home ended, and whether the path to it works. */
struct SendResult {
    WorkReply reply;
    /** The home can't be reached, or its messages don't arrive. */
    bool pathFailed = false;
};

/**
 * Sends Works to homes on other nodes and returns how they ended. Once a Work has been sent, it is reported as not run
 * only if its home confirms that, whatever happens to the link. Not thread safe.
 */
class WorkSender
{
public:
    WorkSender(NodeCore &core, FenceService &fences, PathMonitor &paths);

    /**
     * Sends @p work and waits for its reply. At @p deadline or on cancellation, sends a Cancel and waits up to one more
     * reply timeout. @p otherRegion: the home is in another region. @pre called from a fiber.
     */
    SendResult run(const RegistryEntry &home, bool otherRegion, Work work, SteadyTime deadline,
                   const RunControlPtr &control);

    void handleAck(const WorkAck &ack);
    void handleReply(WorkReply reply);
    void linkClosed(LinkId link);

private:
    struct Pending;

    /** Returns a result that reports a failed path and a Work that has not run. */
    SendResult pathFailure(std::uint64_t id, const std::string &reason) const;
    /** Reports the failure to the path monitor at once, long before the send that detected it ends. */
    void noteFailedPath(Pending &pending, const SentWork &sent);
    /** Returns false if the link closes, or no ack arrives within the path's reply timeout (more for a late timer). */
    bool awaitAck(Pending &pending, const SentWork &sent, SteadyTime deadline);
    void awaitReply(Pending &pending, const SentWork &sent, SteadyTime deadline);
    /**
     * Queries the home over the link of the Work, which has been idle, and stores the reply if the Work has ended.
     * Returns false if no reply with the state arrived.
     */
    bool queryProgress(Pending &pending, const SentWork &sent, SteadyTime deadline);
    /**
     * Queries the home over all paths, since the one in use has failed, until the outcome is known or the deadline has
     * passed. @p fence: prevents the Work from starting if it has not started yet.
     */
    void resolveOutcome(Pending &pending, const SentWork &sent, SteadyTime deadline, bool fence);
    /** Marks the Work as acknowledged. The first ack, or a reply before it, is a round trip time sample of the path. */
    void noteAck(Pending &pending);
    void logFenceReply(const Pending &pending, const SentWork &sent, const FenceReply &fenceReply) const;

    NodeCore &core_;
    FenceService &fences_;
    PathMonitor &paths_;
    std::map<std::uint64_t, std::shared_ptr<Pending>> pending_;
    std::uint64_t nextId_ = 1;
};

} // namespace waxwing
