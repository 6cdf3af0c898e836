#pragma once

#include "include/customer/CounterElection.h"
#include "include/customer/QuotaLedger.h"
#include "include/customer/StandInUse.h"
#include "include/wire/Messages.h"
#include "src/link/PeerHub.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace waxwing {

struct NodeCore;
class PathMonitor;
class FiberNotifier;

/** Whether a request is within its customer's quota. */
struct QuotaVerdict {
    bool admitted = true;
    /** When there will be room; zero if admitted. */
    Millis retryAfter{0};
    /** What decided: a stable code for logs. */
    const char *decidedBy = "";
    /** When the request was counted; nothing if the customer has no limit or the request was not admitted. */
    std::optional<SteadyTime> countedAt;
};

/**
 * Keeps customers within their quotas over all nodes. In each region one node counts the requests of a customer
 * (CounterElection, QuotaCounter); the ingresses report to it what they have admitted, and ask it first once the
 * customer is near its limit (QuotaLedger). Counters of different regions lend each other tokens. Not thread safe.
 */
class QuotaService
{
public:
    /** @pre "peers", "config" and "registry" are in the kernel before start(). */
    QuotaService(NodeCore &core, const PathMonitor &paths, const QuotaTuning &tuning);
    void start();
    /** Takes the nodes of the registry into account. */
    void registryChanged();
    /** Ends the exclusion of @p node as a counter, because a link to or from it has opened. */
    void linkOpened(const std::string &node);

    /** Decides on a request of @p customer and counts it if admitted. @pre called from a fiber. */
    QuotaVerdict admit(const Customer &customer);
    /** Gives back a request that was admitted and counted at @p countedAt, but has not run. */
    void giveBack(const std::string &customer, SteadyTime countedAt);

    void handle(LinkId link, const NodeRef &from, const QuotaReport &report);
    void handleReply(const NodeRef &from, const QuotaReply &reply);
    void handle(LinkId link, const QuotaLoanRequest &request);
    void handleReply(const QuotaLoanReply &reply);

private:
    struct Counter {
        QuotaCounter counter;
        std::uint64_t configVersion = 0;
        QuotaMode mode = QuotaMode::Open;
        SteadyTime borrowedAt;
        /** When announceMode() was last called. */
        SteadyTime announcedAt;
    };
    /** A report that waits for its reply. */
    struct PendingReport {
        std::string counter;
        std::vector<QuotaUse> uses;
        SteadyTime sentAt;
        /** What this node has counted in place of the receiver, not its own requests. */
        bool isStandIn = false;
        /** Set if a fiber waits for the grant. */
        std::shared_ptr<FiberNotifier> waiter;
        std::optional<QuotaReply> reply;
    };
    using PendingReportPtr = std::shared_ptr<PendingReport>;
    struct PendingLoan {
        std::shared_ptr<FiberNotifier> waiter;
        std::optional<double> tokens;
    };

    void run();
    void sendReports();
    /** Reports to the first-ranked counters what this node has counted in their place. */
    void sendStandInReports();
    void sendReport(const std::string &counter, const std::vector<QuotaUse> &uses, bool isStandIn);
    bool isStandInReportPending(const std::string &counter) const;
    void expireReports();
    /** Asks the counter for one request, and the next one if it does not reply. */
    QuotaVerdict ask(const std::string &customer);
    std::optional<QuotaReply> askAt(const std::string &counter, const QuotaUse &use);
    /** @p askedAt: when the grant was asked for. */
    QuotaVerdict verdictOf(const std::string &customer, const QuotaGrant &grant, SteadyTime askedAt);
    /** Sends a report over the open link to @p node. Returns false if there is none. @p id: of its reply. */
    bool send(const std::string &node, std::uint64_t id, const std::vector<QuotaUse> &uses);
    std::optional<LinkId> linkTo(const std::string &node, Duration timeout);

    QuotaReply count(const std::string &from, const QuotaReport &report);
    /** Counts late returns and repeated reports in the metrics. */
    void countMetrics(const CountedUse &counted);
    QuotaGrant countOne(const std::string &from, std::uint64_t configVersion, const QuotaUse &use);
    Counter &counterFor(const std::string &customer, const QuotaLimit &limit);
    CounterStart startOf(const std::string &customer) const;
    /**
     * Notifies all nodes of the region of the customer's mode: that it is near its limit, or that this counter counts
     * again. Most nodes of a large region have had no recent request of the customer and so get no reply of the
     * counter.
     */
    void announceMode(const std::string &customer, QuotaMode mode);
    void borrowTokens(const std::string &customer, const QuotaLimit &limit);
    double requestLoan(const std::string &region, const std::string &customer, const QuotaLimit &limit, double tokens);
    /** Returns this region's part of a limit: its part of the nodes. */
    QuotaLimit regionPart(const QuotaLimit &limit) const;
    CounterElection &ownElection();
    RegionNodes regionNodes();

    NodeCore &core_;
    const PathMonitor &paths_;
    QuotaTuning tuning_;
    QuotaLedger ledger_;
    StandInUse standInUse_;
    SteadyTime startedAt_;
    std::map<std::string, CounterElection> elections_;
    std::size_t nodeCount_ = 1;
    std::map<std::string, Counter> counters_;
    std::map<std::uint64_t, PendingReportPtr> pendingReports_;
    std::map<std::uint64_t, std::shared_ptr<PendingLoan>> pendingLoans_;
    std::uint64_t nextId_ = 1;
};

} // namespace waxwing
