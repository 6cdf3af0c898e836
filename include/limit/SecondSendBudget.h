#pragma once

#include "include/base/Clock.h"

#include <array>
#include <cstdint>

namespace waxwing {

/** The bound that all nodes together must keep on what they send a service beyond each request's first time. */
struct SecondSendTuning {
    /** Share of the requests for the service that may be sent once more. */
    double share = 0.2;
    /** So many more in a window, for the whole fleet. */
    double slack = 50.0;
    Millis window = std::chrono::seconds(10);
    /** Part of the bound that nodes use; the rest covers nodes whose counts were lost in a restart. */
    double usedPart = 0.75;
    /** Sends that only may turn out useful leave this part to those that follow a failure. */
    double reservedPart = 0.5;
};

/** What a second send is for. */
enum class SecondSend {
    /** The first one failed. */
    AfterFailure,
    /** The first one takes long. */
    Hedge,
};

/**
 * Sends of one service beyond the first, bounded over a sliding window. Nodes can't ask each other: each spends the
 * share of its own requests and an equal part of the fleet's slack, so the sum keeps the bound whoever is cut off.
 * Not thread safe.
 */
class SecondSendBudget
{
public:
    explicit SecondSendBudget(SecondSendTuning tuning = {});
    /** A request for the service was taken from a caller. */
    void noteRequest(SteadyTime now);
    /** Takes one second send; false if none is left. @p nodes: how many share the slack. */
    bool tryTake(std::size_t nodes, SecondSend purpose, SteadyTime now);
    /** Counts repeats that nobody asked for: calls of a repeated run. @p expected: how many, as a mean. */
    void charge(double expected, SteadyTime now);
    /** A send that was taken did not happen. */
    void giveBack(SteadyTime now);

private:
    static constexpr std::size_t steps = 20;
    struct Step {
        std::int64_t number = -1;
        std::uint32_t requests = 0;
        double seconds = 0.0;
    };

    Step &stepAt(SteadyTime now);
    std::int64_t numberAt(SteadyTime now) const;

    SecondSendTuning tuning_;
    std::array<Step, steps + 1> ring_{};
};

} // namespace waxwing
