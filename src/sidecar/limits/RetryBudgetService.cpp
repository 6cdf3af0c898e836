#include "src/sidecar/limits/RetryBudgetService.h"

#include "src/fiber/FiberNotifier.h"
#include "src/node/NodeCore.h"
#include "src/sidecar/membership/RegistrySync.h"

#include <algorithm>

namespace waxwing {

namespace {

/** Timeout for opening a link to a donor, and for its reply: a round trip in the region takes about 3 ms. */
constexpr Millis transferTimeout{60};
constexpr TransferTuning transferTuning;
/** Delay of the next request after too few tokens arrived: the donors' windows advance in steps of half a second. */
constexpr Millis transferPause{500};
/** How long after a denied retry part of the budget is kept from less urgent requests: a few steps of the window. */
constexpr Millis denialRetention{2000};

} // namespace

RetryBudgetService::RetryBudgetService(NodeCore &core, FleetRetryTuning tuning)
    : core_(core)
    , tuning_(tuning)
{ }

FleetRetryBudget &RetryBudgetService::budgetOf(const std::string &service)
{
    return budgets_.try_emplace(service, tuning_).first->second;
}

std::size_t RetryBudgetService::nodeCount() const
{
    return std::max<std::size_t>(1, core_.service<RegistrySync>("registry").registry().size());
}

void RetryBudgetService::noteRequest(const std::string &service)
{
    budgetOf(service).noteRequest(core_.clock.now());
}

void RetryBudgetService::noteDenied(const std::string &service, int rank)
{
    lastDenied_[service][rank] = core_.clock.now();
}

RetryReason RetryBudgetService::reasonFor(const std::string &service, int rank) const
{
    const auto found = lastDenied_.find(service);
    if (found == lastDenied_.end()) {
        return RetryReason::Failure;
    }
    const SteadyTime since = core_.clock.now() - denialRetention;
    const bool mustYield = std::any_of(found->second.begin(), found->second.end(), [&](const auto &denial) {
        return denial.first < rank && denial.second >= since;
    });
    return mustYield ? RetryReason::LowPriorityFailure : RetryReason::Failure;
}

bool RetryBudgetService::has(const CallRates &tokens, RetryReason reason) const
{
    const SteadyTime now = core_.clock.now();
    return std::all_of(tokens.begin(), tokens.end(), [&](const auto &one) {
        const auto found = budgets_.find(one.first);
        return found == budgets_.end() ? FleetRetryBudget(tuning_).has(one.second, nodeCount(), reason, now)
                                       : found->second.has(one.second, nodeCount(), reason, now);
    });
}

bool RetryBudgetService::canAfford(const CallRates &tokens, RetryReason reason) const
{
    const SteadyTime now = core_.clock.now();
    return std::all_of(tokens.begin(), tokens.end(), [&](const auto &one) {
        const auto noTransfer = noTransferUntil_.find(one.first);
        const bool transferable = noTransfer == noTransferUntil_.end() || now >= noTransfer->second;
        return transferable || has({one}, reason);
    });
}

bool RetryBudgetService::spend(const CallRates &tokens, RetryReason reason)
{
    if (reason != RetryReason::Hedge) {
        for (const auto &[service, count] : tokens) {
            if (!has({{service, count}}, reason)) {
                requestTransfers(service, count, reason);
            }
        }
    }
    if (!has(tokens, reason)) {
        return false;
    }
    debit(tokens, reason);
    return true;
}

void RetryBudgetService::debit(const CallRates &tokens, RetryReason reason)
{
    for (const auto &[service, count] : tokens) {
        budgetOf(service).spend(count, reason, core_.clock.now());
    }
}

void RetryBudgetService::refund(const CallRates &tokens)
{
    for (const auto &[service, count] : tokens) {
        budgetOf(service).refund(count, core_.clock.now());
    }
}

RegistryEntries RetryBudgetService::transferCandidates() const
{
    const NodeRegistry &registry = core_.service<RegistrySync>("registry").registry();
    return sampleEntries(
        registry.inRegion(core_.settings.region), transferTuning.maxDonors, [this] { return core_.random(); },
        [this](const RegistryEntry &entry) { return entry.id != core_.self.id; });
}

void RetryBudgetService::requestTransfers(const std::string &service, double tokens, RetryReason reason)
{
    const auto noTransfer = noTransferUntil_.find(service);
    if (noTransfer != noTransferUntil_.end() && core_.clock.now() < noTransfer->second) {
        return;
    }
    double received = 0.0;
    for (const RegistryEntryPtr &donor : transferCandidates()) {
        const double granted = requestTransfer(*donor, service, tokens + transferTuning.extraTokens - received, reason);
        budgetOf(service).transferIn(granted, core_.clock.now());
        received += granted;
        if (has({{service, tokens}}, reason)) {
            break;
        }
    }
    if (received < tokens) {
        noTransferUntil_[service] = core_.clock.now() + transferPause;
    }
    core_.metrics.count(received > 0.0 ? "retry_budget_transferred" : "retry_budget_not_transferred");
    core_.events.writeRequest(
        Severity::Info, "retry_budget_transferred",
        {{"service", service}, {"requested", std::to_string(tokens)}, {"received", std::to_string(received)}});
}

double RetryBudgetService::requestTransfer(const RegistryEntry &donor, const std::string &service, double tokens,
                                           RetryReason reason)
{
    PeerHub &peers = core_.service<PeerHub>("peers");
    const Expected<LinkId> link = peers.linkAt(donor.links, transferTimeout);
    const std::uint64_t id = nextId_++;
    if (!link || !peers.reply(*link, BudgetTransferRequest{id, service, tokens, reason != RetryReason::Failure})) {
        core_.metrics.count("retry_budget_donors_unreachable");
        return 0.0;
    }
    const auto pending = std::make_shared<Pending>();
    pending->notifier = std::make_shared<FiberNotifier>();
    pending_[id] = pending;
    const SteadyTime until = core_.clock.now() + transferTimeout;
    while (!pending->answered && core_.clock.now() < until) {
        pending->notifier->wait(core_.ioContext, until - core_.clock.now());
    }
    pending_.erase(id);
    return pending->tokens;
}

void RetryBudgetService::handle(LinkId link, const BudgetTransferRequest &request)
{
    const RetryReason reason = request.lowPriority ? RetryReason::LowPriorityFailure : RetryReason::Failure;
    const double granted =
        budgetOf(request.service).transferOut(request.tokens, reason, nodeCount(), core_.clock.now());
    core_.service<PeerHub>("peers").reply(link, BudgetTransferReply{request.id, granted});
}

void RetryBudgetService::handleReply(const BudgetTransferReply &reply)
{
    // A reply after the timeout is dropped. The donor has counted the tokens as used, so the fleet's bound still holds.
    const auto found = pending_.find(reply.id);
    if (found != pending_.end()) {
        found->second->answered = true;
        found->second->tokens = reply.tokens;
        found->second->notifier->notify();
    }
}

} // namespace waxwing
