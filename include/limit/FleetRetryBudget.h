#pragma once

#include "include/base/Clock.h"

#include <array>
#include <cstdint>
#include <deque>

namespace waxwing {

/** Limit on the retries and hedges that all nodes together send to one service. */
struct FleetRetryTuning {
    /** Retries allowed per request for the service. */
    double share = 0.2;
    /** Additional retries allowed per window, for the whole fleet. */
    double slack = 50.0;
    Millis window = std::chrono::seconds(10);
    /**
     * Fractions of the two terms of the limit that nodes use, each from 0 to 1: of the share of requests, and of the
     * slack. The rest covers what no node can count: restarted nodes forget what they spent, nodes that know fewer
     * nodes use more of the slack, and a retried run repeats nested calls, whose number isn't known before the first
     * run. docs/design/overload.md has the measured uses.
     */
    double usableShare = 0.75;
    double usableSlack = 0.75;
    /**
     * Tokens transferred from another node expire after this time, so that both nodes count them in the same window.
     */
    Millis transferLifetime{500};
    /** Fraction that low-priority retries leave to other retries. Hedges never leave more than this. */
    double reservedFraction = 0.5;
    /** Hedges leave at least this fraction. Above it, they leave as much as failures needed within the window. */
    double minHedgeReserve = 0.1;
};

/** How a node that has used up its tokens requests more from other nodes. */
struct TransferTuning {
    /** Largest number of nodes that one transfer requests tokens from, one after another until there are enough. */
    std::size_t maxDonors = 12;
    /**
     * Tokens requested beyond those missing, for the next failure. Tokens that are not used before they expire are lost
     * to the fleet.
     */
    double extraTokens = 2.0;
};

/** Why a request is sent again. */
enum class RetryReason {
    /** The first send failed. */
    Failure,
    /** The first send failed, and more urgent requests were recently denied retries for lack of tokens. */
    LowPriorityFailure,
    /** The first send takes long. */
    Hedge,
};

/**
 * Retry budget of one service over a sliding window, shared by the fleet. Each node uses the share of its own requests
 * and an equal part of the fleet's slack. The sum therefore stays within the limit even if nodes are cut off from each
 * other. A node that has used up its tokens gets more from others. The donor counts transferred tokens as used, so the
 * sum does not change: a lost reply can lose tokens but never create any. Not thread safe.
 */
class FleetRetryBudget
{
public:
    explicit FleetRetryBudget(FleetRetryTuning tuning = {});
    /** Records a request for the service from a caller. */
    void noteRequest(SteadyTime now);
    /** Returns true if @p tokens more retries stay within the limit. @p nodes: number of nodes that share the slack. */
    bool has(double tokens, std::size_t nodes, RetryReason reason, SteadyTime now) const;
    /**
     * Uses @p tokens. For a retry whose run makes nested calls, the caller also spends their mean number from the
     * budget of the called service.
     */
    void spend(double tokens, RetryReason reason, SteadyTime now);
    /** Gives back tokens for sends that did not happen, at most those spent in the current step of the window. */
    void refund(double tokens, SteadyTime now);
    /**
     * Transfers up to @p tokens to another node, at most half of those remaining here. Returns the number transferred.
     */
    double transferOut(double tokens, RetryReason reason, std::size_t nodes, SteadyTime now);
    /** Adds @p tokens that another node transferred. */
    void transferIn(double tokens, SteadyTime now);

private:
    static constexpr std::size_t steps = 20;
    struct Step {
        std::int64_t number = -1;
        std::uint32_t requests = 0;
        double retries = 0.0;
        /** Part of @c retries that followed a failure, here or at a node that got tokens. */
        double afterFailures = 0.0;
    };

    struct Transfer {
        double tokens = 0.0;
        SteadyTime expiresAt;
    };

    /** Returns the fraction of the limit that must be left. @p failureFraction: what failures needed of it. */
    double reserveOf(RetryReason reason, double failureFraction) const;
    /** Returns what remains of this node's own part. */
    double remaining(std::size_t nodes, RetryReason reason, SteadyTime now) const;
    double transferredTokens(SteadyTime now) const;
    Step &stepAt(SteadyTime now);
    std::int64_t numberAt(SteadyTime now) const;

    FleetRetryTuning tuning_;
    std::array<Step, steps + 1> steps_{};
    /** Each transfer expires on its own, so a new one does not prolong an earlier one. */
    std::deque<Transfer> transfers_;
};

} // namespace waxwing
