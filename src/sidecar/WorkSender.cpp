#include "src/sidecar/WorkSender.h"

#include "src/node/NodeCore.h"
#include "src/sidecar/FenceService.h"
#include "src/sidecar/WaitPoint.h"

#include <algorithm>

namespace waxwing {

namespace {

/**
 * A link needs three round trips to open, a receipt one. Near is within a region (some 3 ms), far between regions
 * (60 ms); the rest is for nodes whose share of a core is used up for a tenth of a second.
 */
constexpr Millis openNear{200};
constexpr Millis openFar{450};
constexpr Millis receiptNear{150};
constexpr Millis receiptFar{260};
/** With a receipt but without a word for so long the home is asked whether it still works on it. */
constexpr Millis quietTime{700};
/** One round of asking in every way, and the pause between two. */
constexpr Millis fenceRound{500};
constexpr Millis fencePause{150};

} // namespace

struct WorkSender::Pending {
    WaitPoint point;
    Work work;
    LinkId link = 0;
    bool received = false;
    bool answered = false;
    bool linkLost = false;
    bool pathFailed = false;
    RunControlPtr control;
    WorkReply reply;
};

WorkSender::WorkSender(NodeCore &core, FenceService &fences)
    : core_(core)
    , fences_(fences)
{ }

SendResult WorkSender::unreachable(std::uint64_t id, const std::string &reason) const
{
    SendResult result;
    result.pathFailed = true;
    result.reply.id = id;
    result.reply.outcome = Outcome::NotRun;
    result.reply.reason = reason;
    return result;
}

SendResult WorkSender::run(const RosterEntry &home, bool far, Work work, SteadyTime deadline,
                           const RunControlPtr &control)
{
    PeerHub &peers = core_.service<PeerHub>("peers");
    const std::uint64_t id = nextId_++;
    const SteadyTime opened = core_.clock.now();
    const Expected<LinkId> link = peers.linkAt(home.links, far ? openFar : openNear);
    if (!link) {
        return unreachable(id, "link-not-opened");
    }
    const std::optional<NodeRef> peer = peers.peerOn(*link);
    if (!peer || peer->id != home.id) {
        return unreachable(id, "other-node");
    }
    const auto pending = std::make_shared<Pending>();
    const auto waited = std::chrono::duration_cast<Millis>(core_.clock.now() - opened);
    work.id = id;
    work.remaining -= waited;
    work.untilObjective -= waited;
    work.helloAge = std::chrono::duration_cast<Millis>(peers.helloAge(*link).value_or(Duration(0)));
    pending->work = work;
    pending->link = *link;
    pending->control = control;
    pending_[id] = pending;
    control->interrupt = [pending] { pending->point.wake(); };
    if (!control->cancelled && peers.reply(*link, work)) {
        awaitReply(*pending, SentWork{home, *peer, id}, far, deadline);
    } else {
        pending->answered = true;
        pending->reply = unreachable(id, control->cancelled ? "cancelled" : "link-closed").reply;
        pending->pathFailed = !control->cancelled;
    }
    control->interrupt = {};
    if (!pending->answered) {
        peers.reply(pending->link, Cancel{id});
        // A home that has not begun says so; without its word the fate stays open.
        const SteadyTime until = core_.clock.now() + (far ? receiptFar : receiptNear);
        while (!pending->answered && !pending->linkLost && core_.clock.now() < until) {
            pending->point.wait(core_.ioContext, until - core_.clock.now());
        }
        // Without this a path would stay in use as long as a second send elsewhere is faster than the missing receipt.
        if (!pending->answered && !pending->received) {
            noteFailedPath(*pending, SentWork{home, *peer, id});
        }
    }
    pending_.erase(id);
    if (!pending->answered) {
        pending->reply.id = id;
        pending->reply.outcome = Outcome::Unknown;
        pending->reply.reason = control->cancelled ? "cancelled" : "home-silent";
    }
    return SendResult{pending->reply, pending->pathFailed};
}

void WorkSender::onPathFailure(std::function<void(const std::string &)> hook)
{
    pathFailureHook_ = std::move(hook);
}

void WorkSender::noteFailedPath(Pending &pending, const SentWork &sent)
{
    pending.pathFailed = true;
    if (pathFailureHook_) {
        pathFailureHook_(sent.target.id);
    }
}

void WorkSender::awaitReply(Pending &pending, const SentWork &sent, bool far, SteadyTime deadline)
{
    const auto over = [&] { return pending.answered || pending.control->cancelled || core_.clock.now() >= deadline; };
    const auto left = [&] { return std::max(Duration(0), deadline - core_.clock.now()); };
    const SteadyTime receiptBy = core_.clock.now() + (far ? receiptFar : receiptNear);
    while (!over() && !pending.received && !pending.linkLost && core_.clock.now() < receiptBy) {
        pending.point.wait(core_.ioContext, std::min(left(), Duration(receiptBy - core_.clock.now())));
    }
    if (!over() && !pending.received) {
        noteFailedPath(pending, sent);
        settle(pending, sent, deadline, true);
        return;
    }
    while (!over()) {
        const SteadyTime quietAt = core_.clock.now() + quietTime;
        while (!over() && !pending.linkLost && core_.clock.now() < quietAt) {
            pending.point.wait(core_.ioContext, std::min(left(), Duration(quietAt - core_.clock.now())));
        }
        if (over()) {
            return;
        }
        FenceReply fate;
        if (!pending.linkLost) {
            fate = fences_.askOn(pending.link, sent, true, std::min(left(), Duration(far ? receiptFar : receiptNear)));
        }
        if (fate.state == FenceState::Ended && fate.reply) {
            pending.reply = *fate.reply;
            pending.answered = true;
        } else if (fate.state == FenceState::NotKnown && !over()) {
            noteFailedPath(pending, sent);
            settle(pending, sent, deadline, false);
        }
    }
}

void WorkSender::logFate(const Pending &pending, const SentWork &sent, const FenceReply &fate) const
{
    core_.events.writeRequest(Severity::Warning, "fate_asked",
                              {{"request", pending.work.requestId},
                               {"home", sent.target.text()},
                               {"work", std::to_string(sent.id)},
                               {"received", pending.received ? "yes" : "no"},
                               {"linkLost", pending.linkLost ? "yes" : "no"},
                               {"state", fenceStateName(fate.state)}});
}

void WorkSender::settle(Pending &pending, const SentWork &sent, SteadyTime deadline, bool forbid)
{
    const auto over = [&] { return pending.answered || pending.control->cancelled || core_.clock.now() >= deadline; };
    while (!over()) {
        const Duration left = deadline - core_.clock.now();
        const FenceReply fate = fences_.ask(sent, !forbid, std::min<Duration>(left, fenceRound));
        logFate(pending, sent, fate);
        if (pending.answered) {
            return;
        }
        if (fate.state == FenceState::Ended && fate.reply) {
            pending.reply = *fate.reply;
            pending.answered = true;
            return;
        }
        if (fate.state == FenceState::NeverRuns) {
            pending.reply = unreachable(sent.id, fencedReason).reply;
            pending.answered = true;
            return;
        }
        if (fate.state == FenceState::NotKnown && pending.work.idempotent) {
            // It may run there; trying elsewhere is better than waiting for a node that is cut off.
            return;
        }
        forbid = forbid && fate.state == FenceState::NotKnown;
        pending.point.wait(core_.ioContext, std::min<Duration>(left, fencePause));
    }
}

void WorkSender::handleReceipt(const WorkReceipt &receipt)
{
    const auto found = pending_.find(receipt.id);
    if (found != pending_.end()) {
        found->second->received = true;
        found->second->point.wake();
    }
}

void WorkSender::handleReply(WorkReply reply)
{
    const auto found = pending_.find(reply.id);
    if (found != pending_.end() && !found->second->answered) {
        found->second->received = true;
        found->second->answered = true;
        found->second->reply = std::move(reply);
        found->second->point.wake();
    }
}

void WorkSender::linkClosed(LinkId link)
{
    for (const auto &[id, pending] : pending_) {
        if (pending->link == link) {
            pending->linkLost = true;
            pending->point.wake();
        }
    }
}

} // namespace waxwing
