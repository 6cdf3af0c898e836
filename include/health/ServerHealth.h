#pragma once

#include "include/health/Detector.h"

#include <cstdint>
#include <memory>
#include <string>

namespace waxwing {

enum class ServerPhase {
    /** Newly started: takes a growing share of its slots. */
    Ramp,
    InService,
    /** Out until its time is over. */
    Ejected,
    /** One idempotent request at a time until it has shown enough good results. */
    Probation,
};

const char *serverPhaseName(ServerPhase phase);

/** Times and counts of leaving and returning. */
struct HealthTuning {
    Millis ramp = std::chrono::seconds(10);
    Millis firstEjection = std::chrono::seconds(5);
    Millis maxEjection = std::chrono::minutes(5);
    /** After this long in service a past ejection no longer lengthens the next. */
    Millis resetRelapsesAfter = std::chrono::minutes(10);
    int successesToReturn = 5;
    int maxSuccessesToReturn = 40;
    /** Without idempotent work to try it with, a server gets one other request after this long on probation. */
    Millis probationWithoutProbe = std::chrono::seconds(30);
};

/**
 * The life of one server at its home: ramp, in service, ejected, probation, ramp. It only says what the evidence
 * supports; whether an ejection is allowed is the floor's decision. Each return after a relapse costs more time and
 * more evidence, so that a server that flaps is out for most of the time. Not thread safe.
 */
class ServerHealth
{
public:
    ServerHealth(std::unique_ptr<Detector> detector, HealthTuning tuning, SteadyTime now);

    /** Adds evidence and moves a server on probation. */
    void add(Evidence evidence, double peerBadShare, SteadyTime now);
    /** Moves the phase as time passes. Call before reading it. */
    void tick(SteadyTime now);
    /** The floor allowed it: takes the server out. */
    void eject(SteadyTime now);
    /** The process was replaced: it starts with a ramp and no history of its own. */
    void restarted(SteadyTime now);

    ServerPhase phase() const;
    bool shouldEject() const;
    double suspicion() const;
    /** True while the server counts as healthy capacity. */
    bool countsAsInService() const;
    /** How many of @p slots it may use now; probation allows one. */
    std::uint32_t usableSlots(std::uint32_t slots, SteadyTime now) const;
    /** True if a request of this kind may go to it now. */
    bool accepts(bool idempotent, SteadyTime now) const;
    Millis currentEjection() const;
    int relapses() const;

private:
    void startProbation(SteadyTime now);
    void startRamp(SteadyTime now);
    int successesNeeded() const;

    std::unique_ptr<Detector> detector_;
    HealthTuning tuning_;
    ServerPhase phase_ = ServerPhase::Ramp;
    SteadyTime phaseStart_;
    SteadyTime ejectedUntil_;
    Millis ejection_;
    int relapses_ = 0;
    int probationSuccesses_ = 0;
    bool coldStart_ = true;
};

} // namespace waxwing
