#include "tests/support/RetryBudgetFleetModel.h"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/poisson_distribution.hpp>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace waxwing {

namespace {

constexpr Millis tick{50};
/** Two windows, so that the limit of every window with failures has all the requests that it counts. */
constexpr Millis warmUp{21000};
constexpr Millis failurePhase{12000};
/** Times since the servers began to fail. */
constexpr Millis demandFallsAt{2000};
constexpr Millis killedAt{3000};
constexpr Millis restartedAt{4000};
/** How long the same nodes get most of the requests. */
constexpr Millis hotNodesPeriod{3000};
constexpr double hotShare = 0.8;
constexpr double shedShare = 0.9;
constexpr double failedRunShare = 0.5;
constexpr double lostTransferShare = 0.1;
constexpr int maxAttempts = 8;
/** Each run makes 0 to this many calls. */
constexpr int maxCalls = 4;
constexpr double meanCalls = maxCalls / 2.0;
/** As in RetryBudgetService: the pause after a transfer that brought too few tokens. */
constexpr Millis transferPause{500};

/** Budget of one node for one service. */
struct ServiceBudget {
    FleetRetryBudget tokens;
    SteadyTime noTransferUntil;
};

struct Node {
    ServiceBudget called;
    ServiceBudget calling;
    bool alive = true;
    bool knowsCalls = false;
};

/** A retry that its node sends in the next tick if the budget allows it. */
struct DueRetry {
    std::size_t node = 0;
    /** Whether it is for the service that makes the nested calls. */
    bool calling = false;
    int attempt = 0;
};

/** Arrivals at the called service in one tick. */
struct Arrivals {
    double requests = 0.0;
    double retries = 0.0;
};

class BudgetFleet
{
public:
    explicit BudgetFleet(const BudgetFleetCase &fleet)
        : fleet_(fleet)
        , random_(fleet.seed)
        , nodes_(fleet.nodes, makeNode())
    { }

    double run()
    {
        for (Millis since = -warmUp; since < failurePhase; since += tick) {
            now_ = SteadyTime(std::chrono::hours(1)) + since;
            failing_ = since >= Millis(0);
            arrivals_.emplace_back();
            restartNodes(since);
            for (const DueRetry &due : std::exchange(due_, {})) {
                retry(due);
            }
            sendRequests(since);
        }
        return largestUse();
    }

private:
    Node makeNode() const
    {
        const ServiceBudget budget{FleetRetryBudget(fleet_.tuning), SteadyTime()};
        return Node{budget, budget};
    }

    void restartNodes(Millis since)
    {
        // Nodes of both halves of a partition, and nodes with current and with stale counts.
        for (std::size_t i = 0; i < nodes_.size() && fleet_.faults.restart; ++i) {
            if (i / 4 % 2 == 0 && (since == killedAt || since == restartedAt)) {
                nodes_[i] = makeNode();
                nodes_[i].alive = since == restartedAt;
            }
        }
    }

    void sendRequests(Millis since)
    {
        const double demand = fleet_.faults.fallingDemand && since >= demandFallsAt ? 0.1 : 1.0;
        const double seconds = std::chrono::duration<double>(tick).count();
        boost::random::poisson_distribution<int> count(demand * fleet_.requestsPerSecond * seconds);
        for (int i = count(random_); i > 0; --i) {
            sendRequest(drawIngress(since), false);
        }
        for (int i = fleet_.faults.nestedCalls ? count(random_) : 0; i > 0; --i) {
            const std::size_t node = drawIngress(since);
            nodes_[node].calling.tokens.noteRequest(now_);
            // Before the failures these are requests of a route that makes no calls.
            if (failing_) {
                runCalling(node, 1);
            }
        }
    }

    /** @p repeatsCall: the call is one of a repeated run. Its node can't know this and counts it as a request. */
    void sendRequest(std::size_t node, bool repeatsCall)
    {
        nodes_[node].called.tokens.noteRequest(now_);
        (repeatsCall ? arrivals_.back().retries : arrivals_.back().requests) += 1.0;
        run(node, 1);
    }

    void run(std::size_t node, int attempt)
    {
        if (failing_ && draw(shedShare) && attempt < maxAttempts) {
            due_.push_back(DueRetry{node, false, attempt + 1});
        }
    }

    void runCalling(std::size_t node, int attempt)
    {
        const std::size_t home = drawReachable(node);
        for (int i = boost::random::uniform_int_distribution<int>(0, maxCalls)(random_); i > 0; --i) {
            sendRequest(home, attempt > 1);
        }
        if (!draw(failedRunShare)) {
            nodes_[node].knowsCalls = true;
        } else if (attempt < maxAttempts) {
            due_.push_back(DueRetry{node, true, attempt + 1});
        }
    }

    void retry(const DueRetry &due)
    {
        Node &node = nodes_[due.node];
        const double calls = due.calling ? (node.knowsCalls ? meanCalls : 0.0) : 1.0;
        if (!node.alive || (due.calling && !obtain(due.node, &Node::calling, 1.0))
            || !obtain(due.node, &Node::called, calls)) {
            return;
        }
        node.called.tokens.spend(calls, RetryReason::Failure, now_);
        if (due.calling) {
            node.calling.tokens.spend(1.0, RetryReason::Failure, now_);
            runCalling(due.node, due.attempt);
        } else {
            arrivals_.back().retries += 1.0;
            run(due.node, due.attempt);
        }
    }

    /** Returns true if @p tokens are available, if necessary by transfers. */
    bool obtain(std::size_t node, ServiceBudget Node::*service, double tokens)
    {
        ServiceBudget &own = nodes_[node].*service;
        const auto has = [&] { return own.tokens.has(tokens, nodesSeenBy(node), RetryReason::Failure, now_); };
        if (has() || now_ < own.noTransferUntil) {
            return has();
        }
        const TransferTuning tuning;
        double received = 0.0;
        std::size_t donor = drawNode();
        for (std::size_t i = 0; i < tuning.maxDonors && !has(); ++i) {
            donor = (donor + 1) % nodes_.size();
            if (donor != node && canReach(node, donor)) {
                const double missing = tokens + tuning.extraTokens - received;
                const double granted = (nodes_[donor].*service)
                                           .tokens.transferOut(missing, RetryReason::Failure, nodesSeenBy(donor), now_);
                const double arrived = draw(lostTransferShare) ? 0.0 : granted;
                own.tokens.transferIn(arrived, now_);
                received += arrived;
            }
        }
        if (received < tokens) {
            own.noTransferUntil = now_ + transferPause;
        }
        return has();
    }

    std::size_t nodesSeenBy(std::size_t node) const
    {
        const std::size_t inReach = nodes_.size() / (fleet_.faults.fewerNodesSeen && failing_ ? 2 : 1);
        return inReach / (fleet_.faults.staleNodeCount && node / 2 % 2 == 0 ? 2 : 1);
    }

    bool canReach(std::size_t from, std::size_t to) const
    {
        return nodes_[to].alive && (!fleet_.faults.partition || !failing_ || from % 2 == to % 2);
    }

    std::size_t drawNode()
    {
        return boost::random::uniform_int_distribution<std::size_t>(0, nodes_.size() - 1)(random_);
    }

    std::size_t drawIngress(Millis since)
    {
        const BudgetFleetFaults &faults = fleet_.faults;
        const std::size_t hotNodes = std::max<std::size_t>(1, nodes_.size() / 10);
        const auto period = static_cast<std::size_t>(faults.movingDemand ? (since + warmUp) / hotNodesPeriod : 0);
        while (true) {
            std::size_t node = drawNode();
            if ((faults.unevenDemand || faults.movingDemand) && draw(hotShare)) {
                node = (period * hotNodes + node % hotNodes) % nodes_.size();
            }
            if (nodes_[node].alive) {
                return node;
            }
        }
    }

    std::size_t drawReachable(std::size_t from)
    {
        std::size_t home = drawNode();
        while (!canReach(from, home)) {
            home = drawNode();
        }
        return home;
    }

    bool draw(double probability)
    {
        return chance_(random_) < probability;
    }

    /** Returns the arrivals in the window that ends with tick @p last. */
    Arrivals windowUntil(std::size_t last) const
    {
        const auto windowTicks = static_cast<std::size_t>(fleet_.tuning.window / tick);
        Arrivals window;
        for (std::size_t i = last + 1 - std::min(last + 1, windowTicks); i <= last; ++i) {
            window.requests += arrivals_[i].requests;
            window.retries += arrivals_[i].retries;
        }
        return window;
    }

    double largestUse() const
    {
        const auto windowTicks = static_cast<std::size_t>(fleet_.tuning.window / tick);
        double largest = 0.0;
        for (std::size_t last = 2 * windowTicks - 1; last < arrivals_.size(); ++last) {
            const Arrivals window = windowUntil(last);
            const double requests = std::max({window.requests, windowUntil(last - windowTicks / 2).requests,
                                              windowUntil(last - windowTicks).requests});
            largest = std::max(largest, window.retries / (fleet_.tuning.share * requests + fleet_.tuning.slack));
        }
        return largest;
    }

    const BudgetFleetCase &fleet_;
    boost::random::mt19937 random_;
    boost::random::uniform_01<double> chance_;
    std::vector<Node> nodes_;
    std::vector<DueRetry> due_;
    std::vector<Arrivals> arrivals_;
    SteadyTime now_;
    bool failing_ = false;
};

} // namespace

double largestBudgetUse(const BudgetFleetCase &fleet)
{
    return BudgetFleet(fleet).run();
}

} // namespace waxwing
