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
 * The second sends that this node may make, by service, and the borrowing of more from other nodes. With equal parts
 * alone a node whose part was spent gave up requests while the fleet had used a tenth of its bound: failures cluster
 * where a gray server is, and the parts don't. Not thread safe.
 */
class RetryBudgetService
{
public:
    /** @pre "peers" and "registry" are in the kernel before the first request. */
    RetryBudgetService(NodeCore &core, FleetRetryTuning tuning);

    /** A request for @p service was taken from a caller or the server. */
    void noteRequest(const std::string &service);
    /** A request of @p rank (0 is the most urgent) for @p service went without a second send for want of them. */
    void noteDenied(const std::string &service, int rank);
    /**
     * What a second send after a failure of a request of @p rank for @p service is for: less urgent requests leave a
     * part of the sends to more urgent ones, where these went short lately. Without that, look-ups spent them while a
     * whole service shed, and bookings that had not run were refused.
     */
    RetryReason reasonFor(const std::string &service, int rank) const;
    /** True if @p sends could be paid for, with what is here or with what others may lend. */
    bool canAfford(const CallRates &sends, RetryReason purpose) const;
    /**
     * Pays for @p sends, and borrows what is missing if they follow a failure; false if there is not enough. @pre
     * called from a fiber.
     */
    bool spend(const CallRates &sends, RetryReason purpose);
    /** Sends that were paid for did not happen. */
    void giveBack(const CallRates &sends);

    /** Another node asks for a loan; the answer goes out on @p link. */
    void handle(LinkId link, const BudgetTransferRequest &request);
    /** The answer to a loan asked for here; one that comes too late is dropped. */
    void handleReply(const BudgetTransferReply &reply);

private:
    struct Pending {
        std::shared_ptr<FiberNotifier> notifier;
        bool answered = false;
        double tokens = 0.0;
    };

    bool has(const CallRates &sends, RetryReason purpose) const;
    void debit(const CallRates &sends);
    /** Asks some nodes of this region, one after the other, until @p sends of @p service are here. */
    void requestTransfers(const std::string &service, double sends, RetryReason purpose);
    double requestTransfer(const RegistryEntry &donor, const std::string &service, double sends, RetryReason purpose);
    std::vector<RegistryEntry> transferCandidates() const;
    FleetRetryBudget &budgetOf(const std::string &service);
    std::size_t nodeCount() const;

    NodeCore &core_;
    FleetRetryTuning tuning_;
    std::map<std::string, FleetRetryBudget> budgets_;
    /** Nobody had anything to lend: not asked again before this. */
    std::map<std::string, SteadyTime> noTransferUntil_;
    /** When a request of each rank went short last, by service. */
    std::map<std::string, std::map<int, SteadyTime>> lastDenied_;
    std::map<std::uint64_t, std::shared_ptr<Pending>> pending_;
    std::uint64_t nextId_ = 1;
};

} // namespace waxwing
