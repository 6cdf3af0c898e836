#include "src/node/DispatchService.h"

#include "include/intent/ClassIntent.h"
#include "src/node/GossipService.h"
#include "src/node/HomeService.h"
#include "src/node/NodeCore.h"

#include <algorithm>

namespace waxwing {

namespace {

/** Extra wait for a home's reply beyond the reply timeout, because the reply says whether the request ran. */
constexpr Millis replyGrace{250};
constexpr Millis minTimeLeft{2};
constexpr int maxHomes = 4;
constexpr unsigned firstServerError = 500;
/** An idempotent request waits for a home's reply at most this multiple of its class's target response time. */
constexpr int homeTimeoutFactor = 2;

bool isFinalReason(const std::string &reason)
{
    return reason == "request-ends-servers" || reason == "cancelled";
}

std::size_t bytesOf(const HttpRequest &request)
{
    std::size_t bytes = request.target.size() + request.body.size();
    for (const auto &[name, value] : request.headers) {
        bytes += name.size() + value.size();
    }
    return bytes;
}

} // namespace

DispatchService::DispatchService(NodeCore &core)
    : core_(core)
    , chooser_([&core] { return core.random(); })
    , regionBytes_(static_cast<double>(core.settings.limits.regionBytesPerSecond),
                   static_cast<double>(core.settings.limits.regionBytesPerSecond), core.clock.now())
{ }

std::vector<HomeCandidate> DispatchService::candidates(const std::string &service) const
{
    std::vector<HomeCandidate> found;
    for (const NodeRecord *node : core_.service<GossipService>("gossip").homesOf(service)) {
        HomeCandidate candidate;
        candidate.node = node->ref;
        candidate.servers = node->services.at(service);
        if (node->ref == core_.self) {
            candidate.distance = Distance::SameNode;
        } else if (node->zone == core_.settings.zone) {
            candidate.distance = Distance::SameZone;
        } else if (node->region == core_.settings.region) {
            candidate.distance = Distance::SameRegion;
        } else {
            candidate.distance = Distance::OtherRegion;
        }
        found.push_back(candidate);
    }
    return found;
}

bool DispatchService::takeRegionBytes(const HomeCandidate &home, std::size_t bytes)
{
    if (home.distance != Distance::OtherRegion) {
        return true;
    }
    const SteadyTime now = core_.clock.now();
    if (!regionBytes_.hasAny(now)) {
        core_.metrics.count("spill_refused_region_bytes");
        return false;
    }
    regionBytes_.take(static_cast<double>(bytes), now);
    core_.metrics.count("region_bytes_out", bytes);
    return true;
}

ExecReply DispatchService::runRemote(const HomeCandidate &home, const Exec &exec, const ClassIntent &cls,
                                     const RunControlPtr &control)
{
    PeerHub &peers = core_.service<PeerHub>("peers");
    const std::optional<Endpoint> endpoint = core_.service<GossipService>("gossip").peerEndpoint(home.node);
    ExecReply reply;
    reply.id = exec.id;
    if (!endpoint || !takeRegionBytes(home, bytesOf(exec.request))) {
        reply.outcome = Outcome::NotRun;
        reply.reason = endpoint ? "region-bytes-spent" : "no-home";
        reply.retryAfter = Millis(1000);
        return reply;
    }
    const Millis replyTimeout =
        cls.idempotent ? std::min(exec.remaining, cls.responseTime * homeTimeoutFactor) : exec.remaining;
    const auto result = peers.call(home.node, *endpoint, exec, replyTimeout + replyGrace, [&](std::uint64_t id) {
        control->interrupt = [&peers, id] { peers.cancelCall(id); };
    });
    control->interrupt = {};
    const SteadyTime now = core_.clock.now();
    if (result) {
        chooser_.notePathRecovered(home.node);
        chooser_.noteLoad(exec.service, home.node, result->freeSlots, result->queued, now);
        if (home.distance == Distance::OtherRegion) {
            regionBytes_.take(static_cast<double>(result->response.body.size()), now);
            core_.metrics.count("region_bytes_in", result->response.body.size());
        }
        return *result;
    }
    if (!control->cancelled) {
        // Not an ejection: this node still uses the home as a last resort, and other nodes are not notified.
        chooser_.notePathFailure(home.node, now);
        core_.events.write(Severity::Warning, "path_failed",
                           {{"home", home.node.text()}, {"service", exec.service}, {"reason", result.error().reason}});
    }
    reply.outcome = result.error().mayHaveBeenSent ? Outcome::Unknown : Outcome::NotRun;
    reply.reason = result.error().mayHaveBeenSent ? "home-silent" : "home-unreachable";
    reply.retryAfter = Millis(500);
    return reply;
}

ExecReply DispatchService::runAt(const HomeCandidate &home, const Exec &exec, const ClassIntent &cls,
                                 const RunControlPtr &control)
{
    chooser_.noteSent(exec.service, home.node);
    ExecReply reply;
    if (home.distance == Distance::SameNode) {
        reply = core_.service<HomeService>("homes").run(exec, control);
        chooser_.noteLoad(exec.service, home.node, reply.freeSlots, reply.queued, core_.clock.now());
    } else {
        const SteadyTime started = core_.clock.now();
        reply = runRemote(home, exec, cls, control);
        const bool late = core_.clock.now() - started > cls.responseTime;
        if (reply.outcome != Outcome::NotRun) {
            core_.service<HomeService>("homes").addPeerEvidence(exec.service, late);
        }
    }
    // A refusal is not a failure of the home's servers; the load term of the home's cost accounts for it.
    const bool failed = reply.outcome == Outcome::Unknown
                        || (reply.outcome == Outcome::Ran && reply.response.status >= firstServerError);
    chooser_.noteDone(exec.service, home.node, failed, core_.clock.now());
    return reply;
}

ExecReply DispatchService::run(const Exec &exec, const ClassIntent &cls, const RunControlPtr &control)
{
    const SteadyTime deadline = core_.clock.now() + exec.remaining;
    std::set<NodeRef> tried;
    ExecReply reply;
    reply.outcome = Outcome::NotRun;
    reply.reason = "no-home";
    reply.retryAfter = Millis(1000);
    bool mayHaveRun = false;
    RetryBudget &budget = budgets_[exec.service];
    budget.noteAttempt();
    for (int homes = 0; homes < maxHomes; ++homes) {
        const SteadyTime now = core_.clock.now();
        const std::vector<HomeCandidate> all = candidates(exec.service);
        const HomeCandidate *home = chooser_.choose(exec.service, all, tried, now);
        const auto left = millisOf(deadline - now);
        // After a refusal, the next attempt doesn't use the retry budget, because the refusal cost the home nothing.
        // After an unknown outcome, it does.
        const bool isRetry = reply.outcome == Outcome::Unknown;
        if (home == nullptr || left < minTimeLeft || (isRetry && !budget.tryRetry())) {
            break;
        }
        Exec next = exec;
        next.remaining = left;
        const ExecReply latest = runAt(*home, next, cls, control);
        tried.insert(home->node);
        // The reply of a home that may have run the request takes precedence over a refusal by the next home.
        const bool keepEarlier = homes > 0 && latest.outcome == Outcome::NotRun && mayHaveRun;
        if (!keepEarlier) {
            reply = latest;
        }
        mayHaveRun = mayHaveRun || latest.outcome != Outcome::NotRun;
        const bool done = latest.outcome == Outcome::Ran || isFinalReason(latest.reason) || control->cancelled
                          || (latest.outcome == Outcome::Unknown && !cls.idempotent);
        if (done) {
            break;
        }
    }
    reply.id = exec.id;
    return reply;
}

void DispatchService::expire()
{
    chooser_.expire(core_.clock.now());
    const auto rate = static_cast<double>(core_.settings.limits.regionBytesPerSecond);
    regionBytes_.setRate(rate, rate);
}

} // namespace waxwing
