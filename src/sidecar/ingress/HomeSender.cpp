#include "src/sidecar/ingress/HomeSender.h"

#include "include/route/HomeRanking.h"
#include "src/node/NodeCore.h"
#include "src/sidecar/LocalHome.h"
#include "src/sidecar/config/StateUpdateService.h"
#include "src/sidecar/ingress/RetryGate.h"
#include "src/sidecar/membership/RegistrySync.h"

namespace waxwing {

HomeSender::HomeSender(NodeCore &core, LocalHome &home, WorkSender &sender, HomeRanking &ranking,
                       const RetryGate &retries)
    : core_(core)
    , home_(home)
    , sender_(sender)
    , ranking_(ranking)
    , retries_(retries)
{ }

HomeSend HomeSender::send(const ForwardedRequestPtr &request, const AttemptPtr &attempt, const HomeChoice &choice,
                          std::uint64_t reservation)
{
    HomeSend send;
    send.started = core_.clock.now();
    Work work = workOf(*request, choice, reservation, send.started);
    send.requestBytes = request->job.request.body.size();
    attempt->home = choice.node;
    ranking_.noteSent(choice.node);
    // Recorded before the send, so that a concurrent attempt does not use the same server.
    request->reachedHomes.insert(choice.node);
    request->search.noteSent(choice.node);
    request->triedHomes.insert(choice.node);
    send.result = dispatch(request->job, *attempt, std::move(work));
    ranking_.noteDone(choice.node);
    send.ended = core_.clock.now();
    return send;
}

Work HomeSender::workOf(const ForwardedRequest &request, const HomeChoice &choice, std::uint64_t reservation,
                        SteadyTime now) const
{
    const ForwardJob &job = request.job;
    Work work;
    work.requestId = job.requestId;
    work.service = job.service;
    work.route = job.route->name;
    work.idempotent = job.route->idempotent;
    work.retryable = retries_.canRetry(request);
    work.acceptsGray = choice.acceptsGray;
    work.priority = static_cast<std::uint8_t>(request.priority());
    work.remaining = millisOf(job.deadline - now);
    work.untilObjective = millisOf(request.objective - now);
    work.queueTimeout = choice.queueTimeout;
    work.versions = core_.service<StateUpdateService>("state-updates").versions();
    work.request = job.request;
    work.keyChecked = true;
    work.reservation = reservation;
    return work;
}

SendResult HomeSender::dispatch(const ForwardJob &job, const ForwardAttempt &attempt, Work work)
{
    SendResult result;
    if (attempt.home == core_.self.id) {
        result.reply = home_.run(WorkKey{core_.self, nextLocalWork_++}, work, attempt.control);
        return result;
    }
    const RegistryEntryPtr entry = core_.service<RegistrySync>("registry").registry().find(attempt.home);
    if (entry == nullptr) {
        result.reply.outcome = Outcome::NotRun;
        result.reply.reason = "left-the-registry";
        return result;
    }
    return sender_.run(*entry, entry->region != core_.settings.region, std::move(work), job.deadline, attempt.control);
}

} // namespace waxwing
