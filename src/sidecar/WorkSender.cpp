#include "src/sidecar/WorkSender.h"

#include "src/fiber/FiberNotifier.h"
#include "src/node/NodeCore.h"
#include "src/sidecar/FenceService.h"
#include "src/sidecar/membership/LinkOpenTimeout.h"
#include "src/sidecar/membership/PathMonitor.h"

#include <algorithm>

namespace waxwing {

namespace {

/** A timer that fires this late shows that the node was busy. Received messages may have been unread as long. */
constexpr Millis minTimerLag{20};
/** Longest extension of a timeout for a late timer. */
constexpr Millis maxTimerLag{300};
/** An acknowledged Work is queried at its home when nothing has been received on the link for this long. */
constexpr Millis idleQueryDelay{700};
/** Timeout of one query over all paths, and the delay before the next one, which doubles up to the maximum. */
constexpr Millis fenceTimeout{500};
constexpr Millis fenceRetryDelay{150};
constexpr Millis maxFenceRetryDelay{2000};

} // namespace

struct WorkSender::Pending {
    FiberNotifier notifier;
    /** Copied from the Work, which is moved into the message. */
    std::string requestId;
    std::string home;
    LinkId link = 0;
    SteadyTime sentAt;
    /** When the home was last queried about the Work. */
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

SendResult WorkSender::run(const RegistryEntry &home, bool otherRegion, Work work, SteadyTime deadline,
                           const RunControlPtr &control)
{
    PeerHub &peers = core_.service<PeerHub>("peers");
    const std::uint64_t id = nextId_++;
    const SteadyTime opened = core_.clock.now();
    const Expected<LinkId> link = peers.linkAt(home.links, linkOpenTimeout(otherRegion));
    if (!link) {
        return pathFailure(id, "link-not-opened");
    }
    const std::optional<NodeRef> peer = peers.peerOn(*link);
    if (!peer || peer->id != home.id) {
        return pathFailure(id, "other-node");
    }
    const auto pending = std::make_shared<Pending>();
    const auto waited = millisOf(core_.clock.now() - opened);
    work.id = id;
    work.remaining -= waited;
    work.untilObjective -= waited;
    work.helloAge = millisOf(peers.helloAge(*link).value_or(Duration(0)));
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
        // A home that has not started the Work replies that it has not run. Without a reply the outcome is unknown.
        const SteadyTime until = core_.clock.now() + paths_.replyTimeout(home);
        while (!pending->answered && !pending->linkLost && core_.clock.now() < until) {
            pending->notifier.wait(core_.ioContext, until - core_.clock.now());
        }
        // Without this, a failed path stays in use if a retry or hedge elsewhere ends this send before the ack timeout.
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
    const auto isWaiting = [&] { return !pending.acked && !pending.linkLost && !pending.control->cancelled; };
    SteadyTime until = std::min(deadline, core_.clock.now() + paths_.replyTimeout(sent.home));
    for (int round = 0; round < 2; ++round) {
        while (isWaiting() && core_.clock.now() < until) {
            pending.notifier.wait(core_.ioContext, until - core_.clock.now());
        }
        const Duration timerLag = core_.clock.now() - until;
        if (!isWaiting() || timerLag < minTimerLag) {
            break;
        }
        until = std::min<SteadyTime>(deadline, core_.clock.now() + std::min<Duration>(timerLag, maxTimerLag));
    }
    return pending.acked;
}

bool WorkSender::queryProgress(Pending &pending, const SentWork &sent, SteadyTime deadline)
{
    FenceReply fenceReply;
    if (!pending.linkLost) {
        const Duration left = std::max(Duration(0), deadline - core_.clock.now());
        fenceReply = fences_.queryOver(pending.link, sent, true, std::min(left, paths_.replyTimeout(sent.home)));
    }
    if (fenceReply.state == FenceState::Ended && fenceReply.reply && !pending.answered) {
        pending.reply = *fenceReply.reply;
        pending.answered = true;
    }
    return fenceReply.state != FenceState::NotKnown;
}

void WorkSender::awaitReply(Pending &pending, const SentWork &sent, SteadyTime deadline)
{
    const auto isDone = [&] { return pending.answered || pending.control->cancelled || core_.clock.now() >= deadline; };
    if (!awaitAck(pending, sent, deadline) && !isDone()) {
        noteFailedPath(pending, sent);
        resolveOutcome(pending, sent, deadline, true);
        return;
    }
    PeerHub &peers = core_.service<PeerHub>("peers");
    while (!isDone()) {
        // While anything is received on the link, the home is alive and its reply can still arrive.
        const SteadyTime lastReceived =
            std::max(peers.lastReceivedAt(pending.link).value_or(SteadyTime()), pending.sentAt);
        const SteadyTime queryAt = std::max(lastReceived, pending.queriedAt) + idleQueryDelay;
        const SteadyTime now = core_.clock.now();
        if (!pending.linkLost && now < queryAt) {
            pending.notifier.wait(core_.ioContext, std::min(deadline, queryAt) - now);
            continue;
        }
        pending.queriedAt = now;
        if (!queryProgress(pending, sent, deadline) && !isDone()) {
            noteFailedPath(pending, sent);
            resolveOutcome(pending, sent, deadline, false);
            return;
        }
    }
}

void WorkSender::logFenceReply(const Pending &pending, const SentWork &sent, const FenceReply &fenceReply) const
{
    core_.events.writeRequest(Severity::Warning, "outcome_queried",
                              {{"request", pending.requestId},
                               {"home", sent.target.text()},
                               {"work", std::to_string(sent.id)},
                               {"received", pending.acked ? "yes" : "no"},
                               {"linkLost", pending.linkLost ? "yes" : "no"},
                               {"state", fenceStateName(fenceReply.state)}});
}

void WorkSender::resolveOutcome(Pending &pending, const SentWork &sent, SteadyTime deadline, bool fence)
{
    const auto isDone = [&] { return pending.answered || pending.control->cancelled || core_.clock.now() >= deadline; };
    FencePath path;
    Duration retryDelay = fenceRetryDelay;
    while (!isDone()) {
        const Duration left = deadline - core_.clock.now();
        const FenceReply fenceReply = fences_.query(sent, path, !fence, std::min<Duration>(left, fenceTimeout), left);
        logFenceReply(pending, sent, fenceReply);
        if (pending.answered) {
            return;
        }
        if (fenceReply.state == FenceState::Ended && fenceReply.reply) {
            pending.reply = *fenceReply.reply;
            pending.answered = true;
            return;
        }
        if (fenceReply.state == FenceState::NeverRuns) {
            pending.reply = pathFailure(sent.id, fencedReason).reply;
            pending.answered = true;
            return;
        }
        if (fenceReply.state == FenceState::NotKnown && pending.control->onOutcomeUnknown) {
            pending.control->onOutcomeUnknown();
        }
        fence = fence && fenceReply.state == FenceState::NotKnown;
        pending.notifier.wait(core_.ioContext, std::min(left, retryDelay));
        retryDelay = std::min<Duration>(maxFenceRetryDelay, retryDelay * 2);
    }
}

void WorkSender::handleAck(const WorkAck &ack)
{
    const auto found = pending_.find(ack.id);
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
