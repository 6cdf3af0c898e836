#include "src/sidecar/limits/QuotaService.h"

#include "include/base/Ids.h"
#include "src/fiber/FiberLoop.h"
#include "src/fiber/FiberNotifier.h"
#include "src/node/NodeCore.h"
#include "src/sidecar/config/ConfigSync.h"
#include "src/sidecar/membership/RegistrySync.h"

#include <algorithm>

namespace waxwing {

namespace {

/** Delay of a report, so that requests that come together are reported together. */
constexpr Millis reportInterval{50};
/** A counter that has not replied within this time is excluded for a while. */
constexpr Millis reportTimeout{400};
constexpr Millis askTimeout{250};
/** How many counters one request asks, one after the other. */
constexpr int maxAsks = 2;
/** Timeout for opening a link within the region. */
constexpr Millis linkTimeout{100};
constexpr Millis evictInterval{1000};
/** Retry-After of a node that no counter replies to. */
constexpr Millis aloneRetryAfter{1000};

/**
 * Returns the identifier of the first report of @p self. Its sequence number depends on the incarnation, so that the
 * reports of an earlier process of the node have other identifiers.
 */
ReportId firstReportOf(const NodeRef &self)
{
    // Half of the range is left for further reports, so the number does not overflow. 0 would mean no identifier.
    return ReportId{stableHash(self.id), (stableHash(self.text()) >> 1U) + 1};
}

} // namespace

QuotaService::QuotaService(NodeCore &core, const PathMonitor &paths, const QuotaTuning &tuning)
    : core_(core)
    , paths_(paths)
    , tuning_(tuning)
    , ledger_(tuning, firstReportOf(core.self))
{ }

void QuotaService::start()
{
    startedAt_ = core_.clock.now();
    registryChanged();
    spawnFiber([this] { run(); });
}

void QuotaService::registryChanged()
{
    std::map<std::string, std::vector<std::string>> nodes;
    nodes[core_.settings.region].push_back(core_.self.id);
    nodeCount_ = 1;
    for (const RegistryEntryPtr &entry : core_.service<RegistrySync>("registry").registry().all()) {
        if (entry->id != core_.self.id) {
            nodes[entry->region].push_back(entry->id);
            ++nodeCount_;
        }
    }
    for (auto &[region, names] : nodes) {
        elections_[region].setNodes(names, core_.clock.now());
    }
}

void QuotaService::linkOpened(const std::string &node)
{
    ownElection().noteReachable(node);
}

CounterElection &QuotaService::ownElection()
{
    return elections_[core_.settings.region];
}

QuotaVerdict QuotaService::admit(const Customer &customer)
{
    if (customer.quota.isUnlimited()) {
        return QuotaVerdict{true, Millis(0), "no-limit", std::nullopt};
    }
    const std::string name(customer.name);
    const SteadyTime now = core_.clock.now();
    switch (ledger_.decide(name, customer.quota, now)) {
    case QuotaDecision::Admit:
        return QuotaVerdict{true, Millis(0), "open", now};
    case QuotaDecision::Deny:
        return QuotaVerdict{false, std::chrono::ceil<Millis>(ledger_.deniedUntil(name) - now), "denied-before",
                            std::nullopt};
    case QuotaDecision::Ask:
        return ask(name);
    case QuotaDecision::NoCounter:
        if (ledger_.admitAlone(name, nodeCount_, now)) {
            return QuotaVerdict{true, Millis(0), "own-share", now};
        }
        return ask(name);
    }
    return QuotaVerdict{};
}

void QuotaService::giveBack(const std::string &customer, SteadyTime countedAt)
{
    core_.metrics.count("quota_tokens_returned");
    if (!ledger_.giveBack(customer, countedAt, core_.clock.now())) {
        core_.metrics.count("quota_tokens_returned_late");
    }
}

QuotaVerdict QuotaService::ask(const std::string &customer)
{
    core_.metrics.count("quota_asked");
    const SteadyTime askedAt = core_.clock.now();
    QuotaUse use = ledger_.takeUnreported(customer, askedAt);
    use.wanted = 1;
    for (int i = 0; i < maxAsks; ++i) {
        const std::string counter = ownElection().counterOf(customer, core_.clock.now());
        if (counter.empty()) {
            break;
        }
        const std::optional<QuotaReply> reply = askAt(counter, use);
        if (reply && !reply->grants.empty()) {
            return verdictOf(customer, reply->grants.front(), askedAt);
        }
        ownElection().noteUnreachable(counter, core_.clock.now());
        core_.metrics.count("quota_counter_silent");
    }
    const SteadyTime now = core_.clock.now();
    const bool admitted = ledger_.admitUnanswered(use, nodeCount_, now);
    return QuotaVerdict{admitted, admitted ? Millis(0) : aloneRetryAfter, "own-share",
                        admitted ? std::optional<SteadyTime>(now) : std::nullopt};
}

std::optional<QuotaReply> QuotaService::askAt(const std::string &counter, const QuotaUse &use)
{
    if (counter == core_.self.id) {
        return count(counter, QuotaReport{0, core_.service<ConfigSync>("config").version(), {use}});
    }
    const auto pending = std::make_shared<PendingReport>();
    pending->waiter = std::make_shared<FiberNotifier>();
    pending->sentAt = core_.clock.now();
    const std::uint64_t id = nextId_++;
    pendingReports_[id] = pending;
    const SteadyTime until = pending->sentAt + askTimeout;
    if (send(counter, id, {use})) {
        while (!pending->reply && core_.clock.now() < until) {
            pending->waiter->wait(core_.ioContext, until - core_.clock.now());
        }
    }
    pendingReports_.erase(id);
    return pending->reply;
}

QuotaVerdict QuotaService::verdictOf(const std::string &customer, const QuotaGrant &grant, SteadyTime askedAt)
{
    const SteadyTime now = core_.clock.now();
    const bool granted = grant.granted > 0;
    ledger_.noteReply(customer, grant.mode, granted ? now : now + grant.retryAfter, now);
    core_.metrics.count(granted ? "quota_granted" : "quota_denied");
    return QuotaVerdict{granted, granted ? Millis(0) : grant.retryAfter, "counter",
                        granted ? std::optional<SteadyTime>(askedAt) : std::nullopt};
}

std::optional<LinkId> QuotaService::linkTo(const std::string &node, Duration timeout)
{
    const RegistryEntryPtr entry = core_.service<RegistrySync>("registry").registry().find(node);
    if (entry == nullptr) {
        return std::nullopt;
    }
    PeerHub &peers = core_.service<PeerHub>("peers");
    const Expected<LinkId> link = peers.linkAt(entry->links, timeout);
    return link && peers.peerKnowsKeys(*link) ? std::optional<LinkId>(*link) : std::nullopt;
}

bool QuotaService::send(const std::string &node, std::uint64_t id, const std::vector<QuotaUse> &uses)
{
    const std::optional<LinkId> link = linkTo(node, linkTimeout);
    const QuotaReport report{id, core_.service<ConfigSync>("config").version(), uses};
    return link && core_.service<PeerHub>("peers").reply(*link, report);
}

void QuotaService::run()
{
    SteadyTime evictedAt = core_.clock.now();
    while (!core_.stopping) {
        sleepFor(core_.ioContext, reportInterval);
        expireReports();
        if (ledger_.hasUnreported()) {
            sendReports();
        }
        if (!standInUse_.isEmpty()) {
            sendStandInReports();
        }
        const SteadyTime now = core_.clock.now();
        if (now - evictedAt >= evictInterval) {
            evictedAt = now;
            ledger_.evictIdle(now);
            for (auto it = counters_.begin(); it != counters_.end();) {
                const bool idle = now - it->second.counter.lastUsed() > 2 * tuning_.window;
                it = idle ? counters_.erase(it) : std::next(it);
            }
        }
    }
}

void QuotaService::sendReports()
{
    const SteadyTime now = core_.clock.now();
    std::map<std::string, std::vector<QuotaUse>> byCounter;
    for (const QuotaUse &use : ledger_.takeUnreported(now)) {
        byCounter[ownElection().counterOf(use.customer, now)].push_back(use);
    }
    for (const auto &[counter, uses] : byCounter) {
        if (counter == core_.self.id) {
            const QuotaReport report{0, core_.service<ConfigSync>("config").version(), uses};
            for (const QuotaGrant &grant : count(counter, report).grants) {
                ledger_.noteReply(grant.customer, grant.mode, now, now);
            }
            continue;
        }
        sendReport(counter, uses, false);
    }
}

void QuotaService::sendReport(const std::string &counter, const std::vector<QuotaUse> &uses, bool isStandIn)
{
    const std::uint64_t id = nextId_++;
    const auto pending = std::make_shared<PendingReport>();
    pending->counter = counter;
    pending->uses = uses;
    pending->sentAt = core_.clock.now();
    pending->isStandIn = isStandIn;
    pendingReports_[id] = pending;
    spawnFiber([this, counter, id, pending] {
        // The report is repeated when its time is over.
        if (!send(counter, id, pending->uses)) {
            core_.metrics.count("quota_reports_not_sent");
        }
    });
}

bool QuotaService::isStandInReportPending(const std::string &counter) const
{
    return std::any_of(pendingReports_.begin(), pendingReports_.end(),
                       [&counter](const auto &one) { return one.second->isStandIn && one.second->counter == counter; });
}

void QuotaService::sendStandInReports()
{
    std::map<std::string, std::vector<QuotaUse>> byCounter;
    for (const QuotaUse &use : standInUse_.take(core_.clock.now())) {
        byCounter[ownElection().firstOf(use.customer)].push_back(use);
    }
    for (const auto &[counter, uses] : byCounter) {
        if (counter == core_.self.id || counter.empty()) {
            // This node ranks first now, and its own bucket has counted these requests; or there is no other node.
            continue;
        }
        // A counter that does not reply is tried once in each reportTimeout.
        if (isStandInReportPending(counter)) {
            for (const QuotaUse &use : uses) {
                standInUse_.restore(use);
            }
            continue;
        }
        core_.metrics.count("quota_stand_in_reports");
        sendReport(counter, uses, true);
    }
}

void QuotaService::expireReports()
{
    const SteadyTime now = core_.clock.now();
    for (auto it = pendingReports_.begin(); it != pendingReports_.end();) {
        const PendingReportPtr &pending = it->second;
        if (pending->waiter || now - pending->sentAt < reportTimeout) {
            ++it;
            continue;
        }
        if (!pending->counter.empty()) {
            ownElection().noteUnreachable(pending->counter, now);
            core_.metrics.count("quota_counter_silent");
        }
        for (const QuotaUse &use : pending->uses) {
            pending->isStandIn ? standInUse_.restore(use) : ledger_.restore(use, now);
        }
        it = pendingReports_.erase(it);
    }
}

void QuotaService::handleReply(const NodeRef &from, const QuotaReply &reply)
{
    const SteadyTime now = core_.clock.now();
    if (reply.id == 0) {
        ownElection().noteReachable(from.id);
        for (const QuotaGrant &grant : reply.grants) {
            ledger_.setMode(grant.customer, grant.mode, now);
        }
        return;
    }
    const auto found = pendingReports_.find(reply.id);
    if (found == pendingReports_.end()) {
        return;
    }
    const PendingReportPtr pending = found->second;
    if (pending->waiter) {
        pending->reply = reply;
        pending->waiter->notify();
        return;
    }
    pendingReports_.erase(found);
    if (now - pending->sentAt <= askTimeout) {
        ownElection().noteReachable(pending->counter);
    }
    if (pending->isStandIn) {
        return;
    }
    for (const QuotaGrant &grant : reply.grants) {
        ledger_.noteReply(grant.customer, grant.mode, now, now);
    }
}

} // namespace waxwing
