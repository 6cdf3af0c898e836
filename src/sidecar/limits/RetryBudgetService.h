#pragma once

#include "include/limit/FleetRetryBudget.h"
#include "include/limit/NestedCallTracker.h"
#include "include/wire/Messages.h"
#include "src/link/PeerHub.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace waxwing {

struct NodeCore;
class FiberNotifier;

/**
 * Holds this node's retry budget for each service and requests token transfers from other nodes when it is exhausted.
 * With equal shares and no transfers, a node that had used up its share gave up requests while the fleet had used a
 * tenth of its budget: failures are concentrated around a gray server, shares are not. Not thread safe.
 */
class RetryBudgetService
{
public:
    /** @pre "peers" and "registry" are in the kernel before the first request. */
    RetryBudgetService(NodeCore &core, FleetRetryTuning tuning);

    /** Records a request for @p service from a caller or from the server beside this node. */
    void noteRequest(const std::string &service);
    /** Records that a request of @p rank (0 is the most urgent) for @p service was not retried for lack of tokens. */
    void noteDenied(const std::string &service, int rank);
    /**
     * Returns the reason under which a retry of a failed request of @p rank for @p service is accounted. If more urgent
     * requests were recently denied a retry, less urgent ones get LowPriorityFailure, which reserves part of the budget
     * for the urgent ones. Without this, lookups used up the budget while a whole service shed load, and bookings that
     * had not run were refused.
     */
    RetryReason reasonFor(const std::string &service, int rank) const;
    /** Returns true if @p tokens, by service, are available here or may be obtained by a transfer. */
    bool canAfford(const CallRates &tokens, RetryReason reason) const;
    /**
     * Takes @p tokens, by service, from the budget. Unless @p reason is Hedge, missing tokens are requested from other
     * nodes first. Returns false, and takes nothing, if there are too few. @pre called from a fiber.
     */
    bool spend(const CallRates &tokens, RetryReason reason);
    /** Puts @p tokens that were taken for an attempt back into the budget, because no server received it. */
    void refund(const CallRates &tokens);

    /** Handles a transfer request from another node and replies on @p link. */
    void handle(LinkId link, const BudgetTransferRequest &request);
    /** Handles the reply to a transfer request of this node; a reply after the timeout is dropped. */
    void handleReply(const BudgetTransferReply &reply);

private:
    struct Pending {
        std::shared_ptr<FiberNotifier> notifier;
        bool answered = false;
        double tokens = 0.0;
    };

    bool has(const CallRates &tokens, RetryReason reason) const;
    void debit(const CallRates &tokens, RetryReason reason);
    /**
     * Requests transfers from some nodes of this region, one after the other, until @p tokens of @p service are
     * available.
     */
    void requestTransfers(const std::string &service, double tokens, RetryReason reason);
    /** Returns the number of tokens that @p donor transferred; 0 if no reply arrived before the timeout. */
    double requestTransfer(const RegistryEntry &donor, const std::string &service, double tokens, RetryReason reason);
    RegistryEntries transferCandidates() const;
    FleetRetryBudget &budgetOf(const std::string &service);
    std::size_t nodeCount() const;

    NodeCore &core_;
    FleetRetryTuning tuning_;
    std::map<std::string, FleetRetryBudget> budgets_;
    /** By service, when transfers may be requested again after too few tokens were received. */
    std::map<std::string, SteadyTime> noTransferUntil_;
    /** By service and rank, when a request was last denied a retry. */
    std::map<std::string, std::map<int, SteadyTime>> lastDenied_;
    std::map<std::uint64_t, std::shared_ptr<Pending>> pending_;
    std::uint64_t nextId_ = 1;
};

} // namespace waxwing
