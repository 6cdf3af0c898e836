#include "src/sidecar/QuotaService.h"

#include "include/base/Ids.h"
#include "src/fiber/FiberLoop.h"
#include "src/fiber/FiberNotifier.h"
#include "src/node/NodeCore.h"
#include "src/sidecar/ConfigSync.h"
#include "src/sidecar/PathMonitor.h"
#include "src/sidecar/RegionWatch.h"
#include "src/sidecar/RegistrySync.h"

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
/** Timeouts for opening a link within the region, and to another region. */
constexpr Millis linkTimeout{100};
constexpr Millis farLinkTimeout{450};
constexpr Millis loanTimeout{300};
/** Minimum interval between two loan requests for one customer. */
constexpr Millis loanInterval{400};
/** Minimum interval between two announcements of a counter that some nodes cannot reach. */
constexpr Millis standInAnnounceInterval{1000};
constexpr Millis evictInterval{1000};
/** Retry-After of a node that no counter replies to. */
constexpr Millis aloneRetryAfter{1000};

/** Returns the identifier of the first report of @p self. Those of an earlier process with its name are unlike it. */
ReportId firstReportOf(const NodeRef &self)
{
    // Half of the range is left for the reports to come; 0 would mean that there is no identifier.
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

RegionNodes QuotaService::regionNodes()
{
    const std::size_t all = std::max<std::size_t>(1, ownElection().nodeCount());
    return RegionNodes{all, all - std::min(all - 1, paths_.failedCount(core_.settings.region))};
}

QuotaLimit QuotaService::regionPart(const QuotaLimit &limit) const
{
    const auto own = elections_.find(core_.settings.region);
    const auto inRegion = static_cast<double>(own == elections_.end() ? 1 : own->second.nodeCount());
    const double part = inRegion / static_cast<double>(std::max<std::size_t>(1, nodeCount_));
    return QuotaLimit{limit.ratePerSecond * part, limit.burst * part};
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

void QuotaService::handle(LinkId link, const NodeRef &from, const QuotaReport &report)
{
    core_.service<PeerHub>("peers").reply(link, count(from.id, report));
}

QuotaReply QuotaService::count(const std::string &from, const QuotaReport &report)
{
    QuotaReply reply;
    reply.id = report.id;
    for (QuotaUse use : report.uses) {
        use.id.origin = stableHash(from);
        reply.grants.push_back(countOne(from, report.configVersion, use));
    }
    return reply;
}

CounterStart QuotaService::startOf(const std::string &customer) const
{
    const SteadyTime windowAgo = core_.clock.now() - tuning_.window;
    const auto own = elections_.find(core_.settings.region);
    if (own == elections_.end() || !own->second.isFirst(core_.self.id, customer)) {
        return CounterStart::InPlaceOfOther;
    }
    const bool isNew = startedAt_ > windowAgo || own->second.changedAt() > windowAgo;
    return isNew ? CounterStart::AfterLoss : CounterStart::Fresh;
}

QuotaService::Counter &QuotaService::counterFor(const std::string &customer, const QuotaLimit &limit)
{
    const auto found = counters_.find(customer);
    if (found != counters_.end()) {
        return found->second;
    }
    const CounterStart start = startOf(customer);
    const bool isFresh = start == CounterStart::Fresh;
    QuotaTuning tuning = tuning_;
    const QuotaLimit part = regionPart(limit);
    tuning.slack *= limit.ratePerSecond > 0.0 ? part.ratePerSecond / limit.ratePerSecond : 0.0;
    const QuotaCounter counter(part, tuning, start, core_.clock.now());
    core_.metrics.count(isFresh ? "quota_counters_new" : "quota_counters_taken_over");
    const QuotaMode mode = isFresh ? QuotaMode::Open : QuotaMode::Metered;
    return counters_.emplace(customer, Counter{counter, 0, mode, SteadyTime(), SteadyTime()}).first->second;
}

void QuotaService::countMetrics(const CountedUse &counted)
{
    if (counted.lateReturns >= 1.0) {
        core_.metrics.count("quota_tokens_returned_late", static_cast<std::uint64_t>(counted.lateReturns));
    }
    if (counted.repeated > 0) {
        core_.metrics.count("quota_reports_repeated", counted.repeated);
    }
}

QuotaGrant QuotaService::countOne(const std::string &from, std::uint64_t configVersion, const QuotaUse &use)
{
    const SteadyTime now = core_.clock.now();
    Counter &entry = counterFor(use.customer, use.limit);
    if (configVersion >= entry.configVersion) {
        entry.configVersion = configVersion;
        entry.counter.setLimit(regionPart(use.limit), now);
    }
    const CountedUse counted = entry.counter.count(from, use, regionNodes(), now);
    countMetrics(counted);
    QuotaGrant grant;
    grant.customer = use.customer;
    grant.granted = counted.granted;
    if (ownElection().firstOf(use.customer) != core_.self.id) {
        standInUse_.add(use, counted, regionPart(use.limit).burst, now);
    }
    grant.retryAfter = grant.granted < use.wanted ? entry.counter.retryAfter(now) : Millis(0);
    grant.mode = entry.counter.mode(now);
    const bool isNew = grant.mode != entry.mode || now - entry.announcedAt >= tuning_.window;
    entry.mode = grant.mode;
    // The announcement also informs the nodes that exclude this one that it counts again.
    const bool isExcluded = use.isFromStandIn() && now - entry.announcedAt >= standInAnnounceInterval;
    if (isExcluded || (grant.mode == QuotaMode::Metered && isNew)) {
        entry.announcedAt = now;
        announceMode(use.customer, grant.mode);
    }
    if (entry.counter.needsLoan(now) && now - entry.borrowedAt >= loanInterval) {
        entry.borrowedAt = now;
        spawnFiber([this, customer = use.customer, limit = use.limit] { borrowTokens(customer, limit); });
    }
    return grant;
}

void QuotaService::announceMode(const std::string &customer, QuotaMode mode)
{
    core_.metrics.count(mode == QuotaMode::Metered ? "quota_metered" : "quota_announced_open");
    ledger_.setMode(customer, mode, core_.clock.now());
    PeerHub &peers = core_.service<PeerHub>("peers");
    const QuotaReply announcement{0, {QuotaGrant{customer, 0, mode, Millis(0)}}};
    for (const LinkId link : core_.service<RegionWatch>("region-watch").regionLinks()) {
        if (!peers.peerKnowsKeys(link) || !peers.reply(link, announcement)) {
            core_.metrics.count("quota_mode_not_sent");
        }
    }
}

void QuotaService::borrowTokens(const std::string &customer, const QuotaLimit &limit)
{
    std::vector<std::string> regions;
    for (const auto &[region, election] : elections_) {
        if (region != core_.settings.region) {
            regions.push_back(region);
        }
    }
    for (const std::string &region : regions) {
        const auto own = counters_.find(customer);
        if (own == counters_.end()) {
            return;
        }
        const double wanted = own->second.counter.loanWanted(core_.clock.now());
        if (wanted < 1.0) {
            return;
        }
        const double lent = requestLoan(region, customer, limit, wanted);
        const auto borrower = counters_.find(customer);
        if (borrower != counters_.end()) {
            borrower->second.counter.borrow(lent, core_.clock.now());
        }
        core_.metrics.count(lent > 0.0 ? "quota_loans" : "quota_loans_refused");
    }
}

double QuotaService::requestLoan(const std::string &region, const std::string &customer, const QuotaLimit &limit,
                                 double tokens)
{
    const std::string lender = elections_[region].counterOf(customer, core_.clock.now());
    const std::optional<LinkId> link = linkTo(lender, farLinkTimeout);
    const std::uint64_t id = nextId_++;
    if (!link || !core_.service<PeerHub>("peers").reply(*link, QuotaLoanRequest{id, customer, limit, tokens})) {
        elections_[region].noteUnreachable(lender, core_.clock.now());
        return 0.0;
    }
    const auto pending = std::make_shared<PendingLoan>();
    pending->waiter = std::make_shared<FiberNotifier>();
    pendingLoans_[id] = pending;
    const SteadyTime until = core_.clock.now() + loanTimeout;
    while (!pending->tokens && core_.clock.now() < until) {
        pending->waiter->wait(core_.ioContext, until - core_.clock.now());
    }
    pendingLoans_.erase(id);
    return pending->tokens.value_or(0.0);
}

void QuotaService::handle(LinkId link, const QuotaLoanRequest &request)
{
    const auto found = counters_.find(request.customer);
    double lent = 0.0;
    if (found != counters_.end() || startOf(request.customer) == CounterStart::Fresh) {
        lent = counterFor(request.customer, request.limit).counter.lend(request.tokens, core_.clock.now());
    }
    core_.service<PeerHub>("peers").reply(link, QuotaLoanReply{request.id, lent});
}

void QuotaService::handleReply(const QuotaLoanReply &reply)
{
    // A reply after the timeout is dropped. The lender has taken its tokens, so the sum of all regions still holds.
    const auto found = pendingLoans_.find(reply.id);
    if (found != pendingLoans_.end()) {
        found->second->tokens = reply.tokens;
        found->second->waiter->notify();
    }
}

} // namespace waxwing
