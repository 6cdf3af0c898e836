#include "include/health/ServerHealth.h"

#include <algorithm>

namespace waxwing {

const char *serverPhaseName(ServerPhase phase)
{
    switch (phase) {
    case ServerPhase::Ramp:
        return "ramp";
    case ServerPhase::InService:
        return "in-service";
    case ServerPhase::Ejected:
        return "ejected";
    case ServerPhase::Probation:
        return "probation";
    }
    return "ejected";
}

ServerHealth::ServerHealth(std::unique_ptr<Detector> detector, HealthTuning tuning, SteadyTime now)
    : detector_(std::move(detector))
    , tuning_(tuning)
    , phaseStart_(now)
    , ejectedUntil_(now)
    , ejection_(0)
{ }

int ServerHealth::successesNeeded() const
{
    const int doublings = std::min(relapses_, 3);
    return std::min(tuning_.maxSuccessesToReturn, tuning_.successesToReturn << doublings);
}

void ServerHealth::add(Evidence evidence, double peerBadShare, SteadyTime now)
{
    if (phase_ == ServerPhase::Ejected) {
        return;
    }
    if (phase_ == ServerPhase::Probation) {
        if (evidence != Evidence::Good) {
            eject(now);
        } else if (++probationSuccesses_ >= successesNeeded()) {
            startRamp(now);
        }
        return;
    }
    const bool warming = phase_ == ServerPhase::Ramp && coldStart_;
    if (warming && (evidence == Evidence::Late || evidence == Evidence::StillWaiting)) {
        // A cold start is slow although the server is healthy. Failures still count.
        return;
    }
    detector_->add(evidence, peerBadShare, now);
}

void ServerHealth::tick(SteadyTime now)
{
    switch (phase_) {
    case ServerPhase::Ramp:
        if (now - phaseStart_ >= tuning_.ramp) {
            phase_ = ServerPhase::InService;
            phaseStart_ = now;
        }
        break;
    case ServerPhase::InService:
        if (relapses_ > 0 && now - phaseStart_ >= tuning_.resetRelapsesAfter) {
            relapses_ = 0;
            ejection_ = Millis(0);
        }
        break;
    case ServerPhase::Ejected:
        if (now >= ejectedUntil_) {
            startProbation(now);
        }
        break;
    case ServerPhase::Probation:
        break;
    }
}

void ServerHealth::eject(SteadyTime now)
{
    const bool first = ejection_ == Millis(0);
    ejection_ = first ? tuning_.firstEjection : std::min(tuning_.maxEjection, ejection_ * 2);
    relapses_ += first ? 0 : 1;
    ejectedUntil_ = now + ejection_;
    phase_ = ServerPhase::Ejected;
    phaseStart_ = now;
    detector_->reset();
}

void ServerHealth::restarted(SteadyTime now)
{
    detector_->reset();
    startRamp(now);
    coldStart_ = true;
}

void ServerHealth::startProbation(SteadyTime now)
{
    phase_ = ServerPhase::Probation;
    phaseStart_ = now;
    probationSuccesses_ = 0;
}

void ServerHealth::startRamp(SteadyTime now)
{
    phase_ = ServerPhase::Ramp;
    phaseStart_ = now;
    coldStart_ = false;
    detector_->reset();
}

ServerPhase ServerHealth::phase() const
{
    return phase_;
}

bool ServerHealth::shouldEject() const
{
    return countsAsInService() && detector_->isUnhealthy();
}

double ServerHealth::suspicion() const
{
    return detector_->suspicion();
}

bool ServerHealth::countsAsInService() const
{
    return phase_ == ServerPhase::Ramp || phase_ == ServerPhase::InService;
}

std::uint32_t ServerHealth::usableSlots(std::uint32_t slots, SteadyTime now) const
{
    switch (phase_) {
    case ServerPhase::InService:
        return slots;
    case ServerPhase::Ejected:
        return 0;
    case ServerPhase::Probation:
        return std::min<std::uint32_t>(1, slots);
    case ServerPhase::Ramp:
        break;
    }
    const double fraction =
        std::chrono::duration<double>(now - phaseStart_) / std::chrono::duration<double>(tuning_.ramp);
    const auto usable = static_cast<std::uint32_t>(fraction * slots) + 1;
    return std::min(slots, usable);
}

bool ServerHealth::accepts(bool idempotent, SteadyTime now) const
{
    if (phase_ == ServerPhase::Ejected) {
        return false;
    }
    if (phase_ == ServerPhase::Probation) {
        // Probing a suspect server with work that can't be retried would risk that work.
        return idempotent || now - phaseStart_ >= tuning_.probationWithoutProbe;
    }
    return true;
}

Millis ServerHealth::currentEjection() const
{
    return ejection_;
}

int ServerHealth::relapses() const
{
    return relapses_;
}

} // namespace waxwing
