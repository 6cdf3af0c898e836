#include "src/sidecar/WorkSender.h"

#include "src/fiber/FiberNotifier.h"
#include "src/node/NodeCore.h"
#include "src/sidecar/FenceService.h"
#include "src/sidecar/PathMonitor.h"

#include <algorithm>

namespace waxwing {

namespace {

/**
 * A link needs three round trips to open, some 3 ms each within a region (near) and 60 ms between regions (far); the
 * rest is for nodes whose share of a core is used up for a tenth of a second.
 */
constexpr Millis openTimeoutNear{200};
constexpr Millis openTimeoutFar{450};
/** A timer that fired so late shows that this node was busy, and with it how long what came may have lain unread. */
constexpr Millis minTimerLag{20};
constexpr Millis maxTimerLag{300};
/** With a receipt but without a word for so long the home is asked whether it still works on it. */
constexpr Millis idleQueryDelay{700};
/** One round of asking in every way, and the pause between two. */
constexpr Millis fenceTimeout{500};
constexpr Millis fenceRetryDelay{150};
constexpr Millis maxFenceRetryDelay{2000};

} // namespace

struct WorkSender::Pending {
    FiberNotifier notifier;
    /** Of the Work sent; the rest of it is on its way. */
    std::string requestId;
    std::string home;
    LinkId link = 0;
    SteadyTime sentAt;
    /** When the home was last asked whether it works on it. */
    SteadyTime queriedAt;
    bool acked = false;
    bool answered = false;
    bool linkLost = false;
    bool pathFailed = false;
    RunControlPtr control;
    WorkReply reply;
};

WorkSender::WorkSender(NodeCore &core, FenceService &fences, PathMonitor &paths)
    : core_(core)
    , fences_(fences)
    , paths_(paths)
{ }

SendResult WorkSender::pathFailure(std::uint64_t id, const std::string &reason) const
{
    SendResult result;
    result.pathFailed = true;
    result.reply.id = id;
    result.reply.outcome = Outcome::NotRun;
    result.reply.reason = reason;
    return result;
}

SendResult WorkSender::run(const RegistryEntry &home, bool far, Work work, SteadyTime deadline,
                           const RunControlPtr &control)
{
    PeerHub &peers = core_.service<PeerHub>("peers");
    const std::uint64_t id = nextId_++;
    const SteadyTime opened = core_.clock.now();
    const Expected<LinkId> link = peers.linkAt(home.links, far ? openTimeoutFar : openTimeoutNear);
    if (!link) {
        return pathFailure(id, "link-not-opened");
    }
    const std::optional<NodeRef> peer = peers.peerOn(*link);
    if (!peer || peer->id != home.id) {
        return pathFailure(id, "other-node");
    }
    const auto pending = std::make_shared<Pending>();
    const auto waited = std::chrono::duration_cast<Millis>(core_.clock.now() - opened);
    work.id = id;
    work.remaining -= waited;
    work.untilObjective -= waited;
    work.helloAge = std::chrono::duration_cast<Millis>(peers.helloAge(*link).value_or(Duration(0)));
    pending->requestId = work.requestId;
    pending->home = home.id;
    pending->link = *link;
    pending->sentAt = core_.clock.now();
    pending->control = control;
    pending_[id] = pending;
    control->interrupt = [pending] { pending->notifier.notify(); };
    control->onCancelQueued = [&peers, id, link = *link] { peers.reply(link, Cancel{id, true}); };
    if (!control->cancelled && !control->queuedCancelled && peers.reply(*link, std::move(work))) {
        awaitReply(*pending, SentWork{home, *peer, id, pending->sentAt}, deadline);
    } else {
        pending->answered = true;
        pending->reply =
            pathFailure(id, control->cancelled || control->queuedCancelled ? "cancelled" : "link-closed").reply;
        pending->pathFailed = !control->cancelled && !control->queuedCancelled;
    }
    control->interrupt = {};
    control->onCancelQueued = {};
    if (!pending->answered) {
        peers.reply(pending->link, Cancel{id});
        // A home that has not begun says so; without its word the fate stays open.
        const SteadyTime until = core_.clock.now() + paths_.answerTimeout(home);
        while (!pending->answered && !pending->linkLost && core_.clock.now() < until) {
            pending->notifier.wait(core_.ioContext, until - core_.clock.now());
        }
        // Without this a path would stay in use as long as a second send elsewhere is faster than the missing receipt.
        if (!pending->answered && !pending->acked) {
            noteFailedPath(*pending, SentWork{home, *peer, id, pending->sentAt});
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

void WorkSender::noteFailedPath(Pending &pending, const SentWork &sent)
{
    pending.pathFailed = true;
    paths_.noteFailure(sent.target.id);
}

bool WorkSender::awaitAck(Pending &pending, const SentWork &sent, SteadyTime deadline)
{
    const auto waits = [&] { return !pending.acked && !pending.linkLost && !pending.control->cancelled; };
    SteadyTime until = std::min(deadline, core_.clock.now() + paths_.answerTimeout(sent.home));
    for (int round = 0; round < 2; ++round) {
        while (waits() && core_.clock.now() < until) {
            pending.notifier.wait(core_.ioContext, until - core_.clock.now());
        }
        const Duration overslept = core_.clock.now() - until;
        if (!waits() || overslept < minTimerLag) {
            break;
        }
        until = std::min<SteadyTime>(deadline, core_.clock.now() + std::min<Duration>(overslept, maxTimerLag));
    }
    return pending.acked;
}

bool WorkSender::queryProgress(Pending &pending, const SentWork &sent, SteadyTime deadline)
{
    FenceReply fate;
    if (!pending.linkLost) {
        const Duration left = std::max(Duration(0), deadline - core_.clock.now());
        fate = fences_.queryOver(pending.link, sent, true, std::min(left, paths_.answerTimeout(sent.home)));
    }
    if (fate.state == FenceState::Ended && fate.reply && !pending.answered) {
        pending.reply = *fate.reply;
        pending.answered = true;
    }
    return fate.state != FenceState::NotKnown;
}

void WorkSender::awaitReply(Pending &pending, const SentWork &sent, SteadyTime deadline)
{
    const auto over = [&] { return pending.answered || pending.control->cancelled || core_.clock.now() >= deadline; };
    if (!awaitAck(pending, sent, deadline) && !over()) {
        noteFailedPath(pending, sent);
        resolveOutcome(pending, sent, deadline, true);
        return;
    }
    PeerHub &peers = core_.service<PeerHub>("peers");
    while (!over()) {
        // As long as anything comes on the link, the home is there and an answer can come.
        const SteadyTime heard = std::max(peers.lastReceivedAt(pending.link).value_or(SteadyTime()), pending.sentAt);
        const SteadyTime quietAt = std::max(heard, pending.queriedAt) + idleQueryDelay;
        const SteadyTime now = core_.clock.now();
        if (!pending.linkLost && now < quietAt) {
            pending.notifier.wait(core_.ioContext, std::min(deadline, quietAt) - now);
            continue;
        }
        pending.queriedAt = now;
        if (!queryProgress(pending, sent, deadline) && !over()) {
            noteFailedPath(pending, sent);
            resolveOutcome(pending, sent, deadline, false);
            return;
        }
    }
}

void WorkSender::logFenceReply(const Pending &pending, const SentWork &sent, const FenceReply &fate) const
{
    core_.events.writeRequest(Severity::Warning, "fate_asked",
                              {{"request", pending.requestId},
                               {"home", sent.target.text()},
                               {"work", std::to_string(sent.id)},
                               {"received", pending.acked ? "yes" : "no"},
                               {"linkLost", pending.linkLost ? "yes" : "no"},
                               {"state", fenceStateName(fate.state)}});
}

void WorkSender::resolveOutcome(Pending &pending, const SentWork &sent, SteadyTime deadline, bool forbid)
{
    const auto over = [&] { return pending.answered || pending.control->cancelled || core_.clock.now() >= deadline; };
    FencePath path;
    Duration pause = fenceRetryDelay;
    while (!over()) {
        const Duration left = deadline - core_.clock.now();
        const FenceReply fate = fences_.query(sent, path, !forbid, std::min<Duration>(left, fenceTimeout), left);
        logFenceReply(pending, sent, fate);
        if (pending.answered) {
            return;
        }
        if (fate.state == FenceState::Ended && fate.reply) {
            pending.reply = *fate.reply;
            pending.answered = true;
            return;
        }
        if (fate.state == FenceState::NeverRuns) {
            pending.reply = pathFailure(sent.id, fencedReason).reply;
            pending.answered = true;
            return;
        }
        if (fate.state == FenceState::NotKnown && pending.control->onOutcomeUnknown) {
            pending.control->onOutcomeUnknown();
        }
        forbid = forbid && fate.state == FenceState::NotKnown;
        pending.notifier.wait(core_.ioContext, std::min(left, pause));
        pause = std::min<Duration>(maxFenceRetryDelay, pause * 2);
    }
}

void WorkSender::handleAck(const WorkAck &receipt)
{
    const auto found = pending_.find(receipt.id);
    if (found != pending_.end()) {
        noteAck(*found->second);
        found->second->notifier.notify();
    }
}

void WorkSender::noteAck(Pending &pending)
{
    if (!pending.acked) {
        paths_.noteRoundTrip(pending.home, core_.clock.now() - pending.sentAt);
    }
    pending.acked = true;
}

void WorkSender::handleReply(WorkReply reply)
{
    const auto found = pending_.find(reply.id);
    if (found != pending_.end() && !found->second->answered) {
        noteAck(*found->second);
        found->second->answered = true;
        found->second->reply = std::move(reply);
        found->second->notifier.notify();
    }
}

void WorkSender::linkClosed(LinkId link)
{
    for (const auto &[id, pending] : pending_) {
        if (pending->link == link) {
            pending->linkLost = true;
            pending->notifier.notify();
        }
    }
}

} // namespace waxwing
