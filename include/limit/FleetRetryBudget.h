#pragma once

#include "include/base/Clock.h"

#include <array>
#include <cstdint>
#include <deque>

namespace waxwing {

/** The bound that all nodes together must keep on what they send a service beyond each request's first time. */
struct FleetRetryTuning {
    /** Share of the requests for the service that may be sent once more. */
    double share = 0.2;
    /** So many more in a window, for the whole fleet. */
    double slack = 50.0;
    Millis window = std::chrono::seconds(10);
    /**
     * Part of the bound that nodes use; the rest covers nodes whose counts were lost in a restart, and the calls that a
     * repeated run repeats, which are known as a mean and not before a first run.
     */
    double usableFraction = 0.75;
    /** Sends borrowed from another node are used at once or not at all, so that both count them in the same window. */
    Millis transferLifetime{500};
    /** Sends that are less urgent, or only may turn out useful, leave this part to the others. */
    double reservedFraction = 0.5;
};

/** How a node whose part is spent borrows. */
struct TransferTuning {
    /** Other nodes asked for one loan, one after the other until there is enough. */
    std::size_t maxDonors = 12;
    /** Asked for beyond what is missing: the next failure is near. What is not used soon is lost to the fleet. */
    double extraTokens = 2.0;
};

/** What a second send is for. */
enum class RetryReason {
    /** The first one failed. */
    Failure,
    /** The first one failed, and more urgent requests need the service's second sends as well. */
    LowPriorityFailure,
    /** The first one takes long. */
    Hedge,
};

/**
 * Sends of one service beyond the first, bounded over a sliding window. Each node spends the share of its own requests
 * and an equal part of the fleet's slack, so the sum keeps the bound whoever is cut off. A node whose part is spent
 * borrows from others: the lender counts what it lends as sent, so the sum stays the same, and a reply that is lost
 * wastes sends but never makes any. Not thread safe.
 */
class FleetRetryBudget
{
public:
    explicit FleetRetryBudget(FleetRetryTuning tuning = {});
    /** A request for the service was taken from a caller. */
    void noteRequest(SteadyTime now);
    /** True if @p tokens more second sends keep the bound. @p nodes: how many share the slack. */
    bool has(double tokens, std::size_t nodes, RetryReason reason, SteadyTime now) const;
    /** Counts them. A send that repeats calls of its own counts a mean number of them at the service called. */
    void take(double tokens, SteadyTime now);
    /** Sends that were taken did not happen. */
    void refund(double tokens, SteadyTime now);
    /** Lends another node up to @p tokens, and not more than half of what is left here. Returns how many. */
    double transferOut(double tokens, RetryReason reason, std::size_t nodes, SteadyTime now);
    /** Another node lent @p tokens. */
    void transferIn(double tokens, SteadyTime now);

private:
    static constexpr std::size_t steps = 20;
    struct Step {
        std::int64_t number = -1;
        std::uint32_t requests = 0;
        double retries = 0.0;
    };

    struct Transfer {
        double tokens = 0.0;
        SteadyTime until;
    };

    /** What may still be sent by this node's own part. */
    double remaining(std::size_t nodes, RetryReason reason, SteadyTime now) const;
    double transferredTokens(SteadyTime now) const;
    Step &stepAt(SteadyTime now);
    std::int64_t numberAt(SteadyTime now) const;

    FleetRetryTuning tuning_;
    std::array<Step, steps + 1> steps_{};
    /** Each expires by itself: a new loan must not prolong an earlier one. */
    std::deque<Transfer> transfers_;
};

} // namespace waxwing
