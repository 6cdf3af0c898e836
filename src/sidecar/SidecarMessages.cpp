#include "src/sidecar/SidecarNodeImpl.h"

namespace waxwing {

namespace {

/**
 * Work delayed in transit by this much is refused. Its sender queried the outcome within about a second and may have
 * received the reply that the work never runs. This node remembers such replies for several times as long.
 */
constexpr Millis maxWorkDelay{1500};
/** A peer that reads acknowledges a chunk within this time even over a narrow link. */
constexpr Millis linkStall{2000};

} // namespace

void SidecarNode::Impl::handleMessage(LinkId link, const NodeRef &from, Message message)
{
    if (auto *work = std::get_if<Work>(&message)) {
        updates.noteVersions(link, work->versions);
        handleWork(link, from, std::move(*work));
    } else if (auto *reply = std::get_if<WorkReply>(&message)) {
        updates.noteVersions(link, reply->versions);
        sender.handleReply(std::move(*reply));
    } else if (const auto *ack = std::get_if<WorkAck>(&message)) {
        updates.noteVersions(link, ack->versions);
        sender.handleAck(*ack);
    } else if (const auto *cancel = std::get_if<Cancel>(&message)) {
        const WorkKey key{from, cancel->id};
        cancel->onlyIfQueued ? home.cancelQueued(key) : home.cancel(key);
    } else if (const auto *fence = std::get_if<Fence>(&message)) {
        noteReplyLink(link, from, *fence);
        fences.handle(link, from, *fence);
    } else if (const auto *fenceReply = std::get_if<FenceReply>(&message)) {
        fences.handleReply(*fenceReply);
    } else if (const auto *transferRequest = std::get_if<BudgetTransferRequest>(&message)) {
        retryBudgets.handle(link, *transferRequest);
    } else if (const auto *transferReply = std::get_if<BudgetTransferReply>(&message)) {
        retryBudgets.handleReply(*transferReply);
    } else if (const auto *quotaReport = std::get_if<QuotaReport>(&message)) {
        quotas.handle(link, from, *quotaReport);
    } else if (const auto *quotaReply = std::get_if<QuotaReply>(&message)) {
        quotas.handleReply(from, *quotaReply);
    } else if (const auto *loanRequest = std::get_if<QuotaLoanRequest>(&message)) {
        quotas.handle(link, *loanRequest);
    } else if (const auto *loanReply = std::get_if<QuotaLoanReply>(&message)) {
        quotas.handleReply(*loanReply);
    } else if (const auto *reserve = std::get_if<SlotReserve>(&message)) {
        const Duration helloAge = peers->helloAge(link).value_or(Duration(0));
        slots.handle(link, from, *reserve, linkDelays[link].excessDelay(helloAge, reserve->helloAge));
    } else if (const auto *offer = std::get_if<SlotOffer>(&message)) {
        slots.handle(from, *offer);
    } else if (const auto *release = std::get_if<SlotRelease>(&message)) {
        slots.handle(from, *release);
    } else if (const auto *homeReport = std::get_if<HomeReports>(&message)) {
        homeReports.handle(*homeReport);
    } else if (const auto *suspicion = std::get_if<PathSuspicion>(&message)) {
        paths.handle(*suspicion);
    } else if (const auto *request = std::get_if<StateUpdateRequest>(&message)) {
        updates.handleRequest(link, *request);
    } else if (const auto *update = std::get_if<StateUpdate>(&message)) {
        updates.handleUpdate(link, from, *update);
    } else if (const auto *records = std::get_if<RecordsPush>(&message)) {
        for (const Record &record : records->records) {
            poison.applyRecord(record);
        }
    }
}

void SidecarNode::Impl::handleWork(LinkId link, const NodeRef &from, Work work)
{
    const Millis delay = linkDelays[link].excessDelay(peers->helloAge(link).value_or(Duration(0)), work.helloAge);
    work.remaining -= delay;
    work.untilObjective -= delay;
    if (delay >= maxWorkDelay) {
        core.metrics.count("work_arrived_late");
        core.events.write(
            Severity::Warning, "work_arrived_late",
            {{"request", work.requestId}, {"from", from.text()}, {"lateMs", std::to_string(delay.count())}});
        refuseWork(link, work, "arrived-late");
        return;
    }
    if (holdsTooMuch(link) || core.memory->isExceeded()) {
        core.metrics.count("work_refused_node_bytes");
        refuseWork(link, work, nodeBytesReason);
        return;
    }
    spawnFiber([this, link, from, work = std::move(work)] {
        const WorkKey key{from, work.id};
        const auto control = std::make_shared<RunControl>();
        // A refusal is sent at once; only a request that is accepted needs an ack.
        WorkReply reply = home.run(key, work, control, [&] {
            peers->reply(link, WorkAck{work.id, updates.versions()});
        });
        reply.versions = updates.versions();
        const auto fenced = replyLinks.find(key);
        const LinkId replyLink = fenced == replyLinks.end() ? link : fenced->second;
        replyLinks.erase(key);
        peers->reply(replyLink, std::move(reply));
    });
}

void SidecarNode::Impl::refuseWork(LinkId link, const Work &work, const std::string &reason)
{
    WorkReply refusal;
    refusal.id = work.id;
    refusal.outcome = Outcome::NotRun;
    refusal.reason = reason;
    refusal.load = home.load(work.priority);
    refusal.versions = updates.versions();
    peers->reply(link, refusal);
}

bool SidecarNode::Impl::holdsTooMuch(LinkId link) const
{
    if (!flow) {
        return false;
    }
    const FlowSettings &settings = flow->settings();
    // A link that is only narrow acknowledges chunks; one whose peer doesn't read takes no more responses.
    const bool stalled = peers->sendStalledFor(link) >= linkStall;
    return (stalled && peers->queuedBytes(link) > settings.connectionBytes) || holdsTooMuch();
}

bool SidecarNode::Impl::holdsTooMuch() const
{
    return flow && home.requestBytes() + peers->queuedBytes() > flow->settings().nodeBytes;
}

void SidecarNode::Impl::noteReplyLink(LinkId link, const NodeRef &from, const Fence &fence)
{
    // The sender queries over a new link because nothing came on the one that carried the Work.
    const WorkKey key{fence.origin, fence.workId};
    if (from == fence.origin && fence.target == core.self && home.isInProgress(key)) {
        replyLinks[key] = link;
    }
}

} // namespace waxwing
