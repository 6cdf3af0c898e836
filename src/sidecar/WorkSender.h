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

/** Reason of a reply that says: the home was asked, and has not run it and never will. */
constexpr const char *fencedReason = "fenced";

/** How one send to a home ended, and what it says about the path. */
struct SendResult {
    WorkReply reply;
    /** The home can't be reached, or what it sends does not arrive. */
    bool pathFailed = false;
};

/**
 * Sends one Work to the home on another node and brings back how it ended. Whatever happens to the link, a Work that
 * can't be repeated ends as not run only if its home said so. Not thread safe.
 */
class WorkSender
{
public:
    WorkSender(NodeCore &core, FenceService &fences, PathMonitor &paths);

    /** @pre called from a fiber; @p far: the home is in another region. */
    SendResult run(const RegistryEntry &home, bool far, Work work, SteadyTime deadline, const RunControlPtr &control);

    void handleAck(const WorkAck &receipt);
    void handleReply(WorkReply reply);
    void linkClosed(LinkId link);

private:
    struct Pending;

    SendResult pathFailure(std::uint64_t id, const std::string &reason) const;
    /** The path is in doubt: told at once, long before the send that found out has ended. */
    void noteFailedPath(Pending &pending, const SentWork &sent);
    /** False if no receipt came in time. */
    bool awaitAck(Pending &pending, const SentWork &sent, SteadyTime deadline);
    void awaitReply(Pending &pending, const SentWork &sent, SteadyTime deadline);
    /** The link has been silent for a while: asks on it. False if no answer came. */
    bool queryProgress(Pending &pending, const SentWork &sent, SteadyTime deadline);
    /** The path is in doubt: asks by every way until the fate is known or the time is over. */
    void resolveOutcome(Pending &pending, const SentWork &sent, SteadyTime deadline, bool forbid);
    /** A receipt, or the reply itself: either shows the path's round trip. */
    void noteAck(Pending &pending);
    void logFenceReply(const Pending &pending, const SentWork &sent, const FenceReply &fate) const;

    NodeCore &core_;
    FenceService &fences_;
    PathMonitor &paths_;
    std::map<std::uint64_t, std::shared_ptr<Pending>> pending_;
    std::uint64_t nextId_ = 1;
};

} // namespace waxwing
