#include "src/sidecar/RetryBudgetService.h"

#include "src/fiber/FiberNotifier.h"
#include "src/node/NodeCore.h"
#include "src/sidecar/RegistrySync.h"

#include <algorithm>

namespace waxwing {

namespace {

/** Lenders answer within a round trip of the region, some 3 ms. */
constexpr Millis transferTimeout{60};
constexpr TransferTuning transferTuning;
/** Pause after nobody had anything to lend: the windows of the lenders move on by a step of half a second. */
constexpr Millis transferPause{500};
/** Requests that went short are remembered for some steps of the window. */
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
    const bool yields = std::any_of(found->second.begin(), found->second.end(),
                                    [&](const auto &seen) { return seen.first < rank && seen.second >= since; });
    return yields ? RetryReason::LowPriorityFailure : RetryReason::Failure;
}

bool RetryBudgetService::has(const CallRates &sends, RetryReason purpose) const
{
    const SteadyTime now = core_.clock.now();
    return std::all_of(sends.begin(), sends.end(), [&](const auto &one) {
        const auto found = budgets_.find(one.first);
        return found == budgets_.end() ? FleetRetryBudget(tuning_).has(one.second, nodeCount(), purpose, now)
                                       : found->second.has(one.second, nodeCount(), purpose, now);
    });
}

bool RetryBudgetService::canAfford(const CallRates &sends, RetryReason purpose) const
{
    const SteadyTime now = core_.clock.now();
    return std::all_of(sends.begin(), sends.end(), [&](const auto &one) {
        const auto dry = noTransferUntil_.find(one.first);
        const bool borrowable = dry == noTransferUntil_.end() || now >= dry->second;
        return borrowable || has({one}, purpose);
    });
}

bool RetryBudgetService::spend(const CallRates &sends, RetryReason purpose)
{
    if (purpose != RetryReason::Hedge) {
        for (const auto &[service, count] : sends) {
            if (!has({{service, count}}, purpose)) {
                requestTransfers(service, count, purpose);
            }
        }
    }
    if (!has(sends, purpose)) {
        return false;
    }
    debit(sends);
    return true;
}

void RetryBudgetService::debit(const CallRates &sends)
{
    for (const auto &[service, count] : sends) {
        budgetOf(service).take(count, core_.clock.now());
    }
}

void RetryBudgetService::giveBack(const CallRates &sends)
{
    for (const auto &[service, count] : sends) {
        budgetOf(service).refund(count, core_.clock.now());
    }
}

std::vector<RegistryEntry> RetryBudgetService::transferCandidates() const
{
    std::vector<RegistryEntry> near;
    for (const RegistryEntryPtr &entry : core_.service<RegistrySync>("registry").registry().all()) {
        if (entry->region == core_.settings.region && entry->id != core_.self.id) {
            near.push_back(*entry);
        }
    }
    if (near.empty()) {
        return near;
    }
    std::rotate(near.begin(), near.begin() + static_cast<std::ptrdiff_t>(core_.random() % near.size()), near.end());
    near.resize(std::min(near.size(), transferTuning.maxDonors));
    return near;
}

void RetryBudgetService::requestTransfers(const std::string &service, double sends, RetryReason purpose)
{
    const auto dry = noTransferUntil_.find(service);
    if (dry != noTransferUntil_.end() && core_.clock.now() < dry->second) {
        return;
    }
    double borrowed = 0.0;
    for (const RegistryEntry &donor : transferCandidates()) {
        const double lent = requestTransfer(donor, service, sends + transferTuning.extraTokens - borrowed, purpose);
        budgetOf(service).transferIn(lent, core_.clock.now());
        borrowed += lent;
        if (has({{service, sends}}, purpose)) {
            break;
        }
    }
    if (borrowed < sends) {
        noTransferUntil_[service] = core_.clock.now() + transferPause;
    }
    core_.metrics.count(borrowed > 0.0 ? "second_sends_borrowed" : "second_sends_not_lent");
    core_.events.writeRequest(
        Severity::Info, "second_sends_borrowed",
        {{"service", service}, {"asked", std::to_string(sends)}, {"borrowed", std::to_string(borrowed)}});
}

double RetryBudgetService::requestTransfer(const RegistryEntry &donor, const std::string &service, double sends,
                                           RetryReason purpose)
{
    PeerHub &peers = core_.service<PeerHub>("peers");
    const Expected<LinkId> link = peers.linkAt(donor.links, transferTimeout);
    const std::uint64_t id = nextId_++;
    if (!link || !peers.reply(*link, BudgetTransferRequest{id, service, sends, purpose != RetryReason::Failure})) {
        core_.metrics.count("lenders_not_reached");
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
    const RetryReason purpose = request.lowPriority ? RetryReason::LowPriorityFailure : RetryReason::Failure;
    const double lent = budgetOf(request.service).transferOut(request.tokens, purpose, nodeCount(), core_.clock.now());
    core_.service<PeerHub>("peers").reply(link, BudgetTransferReply{request.id, lent});
}

void RetryBudgetService::handleReply(const BudgetTransferReply &reply)
{
    // A reply after the timeout is dropped: the lender counts it as sent, so the bound holds all the same.
    const auto found = pending_.find(reply.id);
    if (found != pending_.end()) {
        found->second->answered = true;
        found->second->tokens = reply.tokens;
        found->second->notifier->notify();
    }
}

} // namespace waxwing
