#include "src/sidecar/limits/QuotaService.h"

#include "include/base/Ids.h"
#include "src/fiber/FiberLoop.h"
#include "src/fiber/FiberNotifier.h"
#include "src/node/NodeCore.h"
#include "src/sidecar/membership/PathMonitor.h"
#include "src/sidecar/membership/RegionWatch.h"

#include <algorithm>

namespace waxwing {

namespace {

/** Timeout for opening a link to another region. */
constexpr Millis farLinkTimeout{450};
constexpr Millis loanTimeout{300};
/** Minimum interval between two loan requests for one customer. */
constexpr Millis loanInterval{400};
/** Minimum interval between two announcements of a counter that some nodes exclude. */
constexpr Millis standInAnnounceInterval{1000};

} // namespace

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
