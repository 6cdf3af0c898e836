#include "src/sidecar/WorkSender.h"

#include "src/fiber/WaitPoint.h"
#include "src/node/NodeCore.h"
#include "src/sidecar/FenceService.h"
#include "src/sidecar/PathWatch.h"

#include <algorithm>

namespace waxwing {

namespace {

/**
 * A link needs three round trips to open, some 3 ms each within a region (near) and 60 ms between regions (far); the
 * rest is for nodes whose share of a core is used up for a tenth of a second.
 */
constexpr Millis openNear{200};
constexpr Millis openFar{450};
/** A timer that fired so late shows that this node was busy, and with it how long what came may have lain unread. */
constexpr Millis ownDelay{20};
constexpr Millis longestOwnDelay{300};
/** With a receipt but without a word for so long the home is asked whether it still works on it. */
constexpr Millis quietTime{700};
/** One round of asking in every way, and the pause between two. */
constexpr Millis fenceRound{500};
constexpr Millis fencePause{150};
constexpr Millis longestFencePause{2000};

} // namespace

struct WorkSender::Pending {
    WaitPoint point;
    /** Of the Work sent; the rest of it is on its way. */
    std::string requestId;
    std::string home;
    LinkId link = 0;
    SteadyTime sentAt;
    /** When the home was last asked whether it works on it. */
    SteadyTime askedAt;
    bool received = false;
    bool answered = false;
    bool linkLost = false;
    bool pathFailed = false;
    RunControlPtr control;
    WorkReply reply;
};

WorkSender::WorkSender(NodeCore &core, FenceService &fences, PathWatch &paths)
    : core_(core)
    , fences_(fences)
    , paths_(paths)
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
    pending->requestId = work.requestId;
    pending->home = home.id;
    pending->link = *link;
    pending->sentAt = core_.clock.now();
    pending->control = control;
    pending_[id] = pending;
    control->interrupt = [pending] { pending->point.wake(); };
    control->onWithdraw = [&peers, id, link = *link] { peers.reply(link, Cancel{id, true}); };
    if (!control->cancelled && !control->withdrawn && peers.reply(*link, std::move(work))) {
        awaitReply(*pending, SentWork{home, *peer, id, pending->sentAt}, deadline);
    } else {
        pending->answered = true;
        pending->reply = unreachable(id, control->cancelled || control->withdrawn ? "cancelled" : "link-closed").reply;
        pending->pathFailed = !control->cancelled && !control->withdrawn;
    }
    control->interrupt = {};
    control->onWithdraw = {};
    if (!pending->answered) {
        peers.reply(pending->link, Cancel{id});
        // A home that has not begun says so; without its word the fate stays open.
        const SteadyTime until = core_.clock.now() + paths_.answerTimeout(home);
        while (!pending->answered && !pending->linkLost && core_.clock.now() < until) {
            pending->point.wait(core_.ioContext, until - core_.clock.now());
        }
        // Without this a path would stay in use as long as a second send elsewhere is faster than the missing receipt.
        if (!pending->answered && !pending->received) {
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

bool WorkSender::awaitReceipt(Pending &pending, const SentWork &sent, SteadyTime deadline)
{
    const auto waits = [&] { return !pending.received && !pending.linkLost && !pending.control->cancelled; };
    SteadyTime until = std::min(deadline, core_.clock.now() + paths_.answerTimeout(sent.home));
    for (int round = 0; round < 2; ++round) {
        while (waits() && core_.clock.now() < until) {
            pending.point.wait(core_.ioContext, until - core_.clock.now());
        }
        const Duration overslept = core_.clock.now() - until;
        if (!waits() || overslept < ownDelay) {
            break;
        }
        until = std::min<SteadyTime>(deadline, core_.clock.now() + std::min<Duration>(overslept, longestOwnDelay));
    }
    return pending.received;
}

bool WorkSender::askWhetherUnderway(Pending &pending, const SentWork &sent, SteadyTime deadline)
{
    FenceReply fate;
    if (!pending.linkLost) {
        const Duration left = std::max(Duration(0), deadline - core_.clock.now());
        fate = fences_.askOn(pending.link, sent, true, std::min(left, paths_.answerTimeout(sent.home)));
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
    if (!awaitReceipt(pending, sent, deadline) && !over()) {
        noteFailedPath(pending, sent);
        settle(pending, sent, deadline, true);
        return;
    }
    PeerHub &peers = core_.service<PeerHub>("peers");
    while (!over()) {
        // As long as anything comes on the link, the home is there and an answer can come.
        const SteadyTime heard = std::max(peers.heardAt(pending.link).value_or(SteadyTime()), pending.sentAt);
        const SteadyTime quietAt = std::max(heard, pending.askedAt) + quietTime;
        const SteadyTime now = core_.clock.now();
        if (!pending.linkLost && now < quietAt) {
            pending.point.wait(core_.ioContext, std::min(deadline, quietAt) - now);
            continue;
        }
        pending.askedAt = now;
        if (!askWhetherUnderway(pending, sent, deadline) && !over()) {
            noteFailedPath(pending, sent);
            settle(pending, sent, deadline, false);
            return;
        }
    }
}

void WorkSender::logFate(const Pending &pending, const SentWork &sent, const FenceReply &fate) const
{
    core_.events.writeRequest(Severity::Warning, "fate_asked",
                              {{"request", pending.requestId},
                               {"home", sent.target.text()},
                               {"work", std::to_string(sent.id)},
                               {"received", pending.received ? "yes" : "no"},
                               {"linkLost", pending.linkLost ? "yes" : "no"},
                               {"state", fenceStateName(fate.state)}});
}

void WorkSender::settle(Pending &pending, const SentWork &sent, SteadyTime deadline, bool forbid)
{
    const auto over = [&] { return pending.answered || pending.control->cancelled || core_.clock.now() >= deadline; };
    FenceWay way;
    Duration pause = fencePause;
    while (!over()) {
        const Duration left = deadline - core_.clock.now();
        const FenceReply fate = fences_.ask(sent, way, !forbid, std::min<Duration>(left, fenceRound), left);
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
        if (fate.state == FenceState::NotKnown && pending.control->onFateUnknown) {
            pending.control->onFateUnknown();
        }
        forbid = forbid && fate.state == FenceState::NotKnown;
        pending.point.wait(core_.ioContext, std::min(left, pause));
        pause = std::min<Duration>(longestFencePause, pause * 2);
    }
}

void WorkSender::handleReceipt(const WorkReceipt &receipt)
{
    const auto found = pending_.find(receipt.id);
    if (found != pending_.end()) {
        noteHeard(*found->second);
        found->second->point.wake();
    }
}

void WorkSender::noteHeard(Pending &pending)
{
    if (!pending.received) {
        paths_.noteRoundTrip(pending.home, core_.clock.now() - pending.sentAt);
    }
    pending.received = true;
}

void WorkSender::handleReply(WorkReply reply)
{
    const auto found = pending_.find(reply.id);
    if (found != pending_.end() && !found->second->answered) {
        noteHeard(*found->second);
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
