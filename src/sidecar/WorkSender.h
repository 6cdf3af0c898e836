#pragma once

#include "include/fleet/Roster.h"
#include "include/wire/Messages.h"
#include "src/link/PeerHub.h"
#include "src/node/RunControl.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace waxwing {

struct NodeCore;
class FenceService;
class WaitPoint;
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
    WorkSender(NodeCore &core, FenceService &fences);

    /** @pre called from a fiber; @p far: the home is in another region. */
    SendResult run(const RosterEntry &home, bool far, Work work, SteadyTime deadline, const RunControlPtr &control);

    /** Called with the home's node as soon as a path is in doubt, long before the send that found out has ended. */
    void onPathFailure(std::function<void(const std::string &)> hook);
    void handleReceipt(const WorkReceipt &receipt);
    void handleReply(WorkReply reply);
    void linkClosed(LinkId link);

private:
    struct Pending;

    SendResult unreachable(std::uint64_t id, const std::string &reason) const;
    void noteFailedPath(Pending &pending, const SentWork &sent);
    void awaitReply(Pending &pending, const SentWork &sent, bool far, SteadyTime deadline);
    /** The path is in doubt: asks by every way until the fate is known or the time is over. */
    void settle(Pending &pending, const SentWork &sent, SteadyTime deadline, bool forbid);
    void logFate(const Pending &pending, const SentWork &sent, const FenceReply &fate) const;

    NodeCore &core_;
    FenceService &fences_;
    std::map<std::uint64_t, std::shared_ptr<Pending>> pending_;
    std::uint64_t nextId_ = 1;
    std::function<void(const std::string &)> pathFailureHook_;
};

} // namespace waxwing
