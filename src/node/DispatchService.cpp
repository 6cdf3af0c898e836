#include "src/node/DispatchService.h"

#include "include/intent/ClassIntent.h"
#include "src/node/GossipService.h"
#include "src/node/HomeService.h"
#include "src/node/NodeCore.h"

#include <algorithm>

namespace waxwing {

namespace {

/** Extra wait for a home's reply after the request's time limit: the reply tells whether the request ran. */
constexpr Millis replyGrace{250};
constexpr Millis minTimeLeft{2};
constexpr int maxHomes = 4;
constexpr unsigned firstServerError = 500;
/** An idempotent request waits this many response times for a home that doesn't reply. */
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
    const auto answer = peers.call(home.node, *endpoint, exec, replyTimeout + replyGrace, [&](std::uint64_t id) {
        control->interrupt = [&peers, id] { peers.cancelCall(id); };
    });
    control->interrupt = {};
    const SteadyTime now = core_.clock.now();
    if (answer) {
        chooser_.notePathRecovered(home.node);
        chooser_.noteLoad(exec.service, home.node, answer->freeSlots, answer->queued, now);
        if (home.distance == Distance::OtherRegion) {
            regionBytes_.take(static_cast<double>(answer->response.body.size()), now);
            core_.metrics.count("region_bytes_in", answer->response.body.size());
        }
        return *answer;
    }
    if (!control->cancelled) {
        // Not an ejection: this node still uses the home as a last resort, and other nodes are not notified.
        chooser_.notePathFailure(home.node, now);
        core_.events.write(Severity::Warning, "path_failed",
                           {{"home", home.node.text()}, {"service", exec.service}, {"reason", answer.error().reason}});
    }
    reply.outcome = answer.error().mayHaveBeenSent ? Outcome::Unknown : Outcome::NotRun;
    reply.reason = answer.error().mayHaveBeenSent ? "home-silent" : "home-unreachable";
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
        const auto left = std::chrono::duration_cast<Millis>(deadline - now);
        // A refusal cost the home nothing, so going on to a home with free capacity is not a retry. After a home that
        // did not reply, it is one.
        const bool isRetry = reply.outcome == Outcome::Unknown;
        if (home == nullptr || left < minTimeLeft || (isRetry && !budget.tryRetry())) {
            break;
        }
        Exec next = exec;
        next.remaining = left;
        const ExecReply answer = runAt(*home, next, cls, control);
        tried.insert(home->node);
        // The reply of a home that may have run the request takes precedence over a refusal by the next home.
        const bool keepEarlier = homes > 0 && answer.outcome == Outcome::NotRun && mayHaveRun;
        if (!keepEarlier) {
            reply = answer;
        }
        mayHaveRun = mayHaveRun || answer.outcome != Outcome::NotRun;
        const bool done = answer.outcome == Outcome::Ran || isFinalReason(answer.reason) || control->cancelled
                          || (answer.outcome == Outcome::Unknown && !cls.idempotent);
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
