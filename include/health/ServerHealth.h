#pragma once

#include "include/health/Detector.h"

#include <cstdint>
#include <memory>
#include <string>

namespace waxwing {

enum class ServerPhase {
    /** After a start or return: uses a growing share of its slots. */
    Ramp,
    InService,
    /** Gets no requests until its ejection time is over. */
    Ejected,
    /** Gets one idempotent request at a time until enough of them have succeeded. */
    Probation,
};

const char *serverPhaseName(ServerPhase phase);

/** Durations and counts for ejection and return. */
struct HealthTuning {
    Millis ramp = std::chrono::seconds(10);
    Millis firstEjection = std::chrono::seconds(5);
    Millis maxEjection = std::chrono::minutes(5);
    /**
     * After this long in service earlier ejections no longer lengthen the next one or raise the successes needed to
     * return.
     */
    Millis resetRelapsesAfter = std::chrono::minutes(10);
    int successesToReturn = 5;
    int maxSuccessesToReturn = 40;
    /**
     * After this long on probation a server also gets non-idempotent requests, as there may be no idempotent ones to
     * probe it with.
     */
    Millis probationWithoutProbe = std::chrono::seconds(30);
};

/**
 * State machine of one server at its home: ramp, in service, ejected, probation, ramp. It only reports what the
 * evidence supports; the floor decides whether an ejection is allowed. Each return after a relapse takes more time and
 * more evidence, so that a flapping server is out of service for most of the time. Not thread safe.
 */
class ServerHealth
{
public:
    ServerHealth(std::unique_ptr<Detector> detector, HealthTuning tuning, SteadyTime now);

    /**
     * Adds evidence. On probation, any evidence but Good ejects the server again, and enough Good evidence starts a
     * ramp. Ignored while the server is ejected; in the ramp of a cold start, late responses are ignored.
     */
    void add(Evidence evidence, double peerBadShare, SteadyTime now);
    /** Advances the phase with time. Call before reading it. */
    void tick(SteadyTime now);
    /** Ejects the server. The floor must have allowed it. */
    void eject(SteadyTime now);
    /**
     * Starts a ramp for a new process of the server. Discards the evidence; earlier ejections still lengthen the next
     * one.
     */
    void restarted(SteadyTime now);

    ServerPhase phase() const;
    bool shouldEject() const;
    double suspicion() const;
    /** Returns true while the server counts as healthy capacity. */
    bool countsAsInService() const;
    /** Returns how many of @p slots the server may use now. On probation it is one. */
    std::uint32_t usableSlots(std::uint32_t slots, SteadyTime now) const;
    /** Returns true if the server may get a request now. @p idempotent: the request is idempotent. */
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
