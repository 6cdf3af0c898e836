#include "src/sidecar/home/NestedCalls.h"

#include "src/node/NodeCore.h"

namespace waxwing {

NestedCalls::NestedCalls(NodeCore &core, SlotQueue &queue)
    : core_(core)
    , queue_(queue)
{
    queue_.setCallCheck([this](const std::string &route) { return inProgress_ > 0 && !tracker_.rates(route).empty(); });
}

void NestedCalls::enableAdmission()
{
    admission_ = std::make_unique<CallAdmission>(
        [this](const std::string &route) -> const CallRates & { return tracker_.rates(route); });
    queue_.setCallAdmission(*admission_);
}

NestedCallTracker &NestedCalls::tracker()
{
    return tracker_;
}

const NestedCallTracker &NestedCalls::tracker() const
{
    return tracker_;
}

void NestedCalls::noteStarted()
{
    ++inProgress_;
}

void NestedCalls::noteEnded()
{
    --inProgress_;
}

void NestedCalls::noteResult(const std::string &service, bool succeeded)
{
    if (admission_) {
        admission_->addResult(service, succeeded, core_.clock.now());
        reportServices();
    }
}

void NestedCalls::countSubmitted(const std::string &route, SteadyTime now)
{
    if (admission_ && admission_->expectsFailure(route, now)) {
        core_.metrics.count("calls_expected_to_fail");
    }
}

void NestedCalls::reportServices()
{
    if (!admission_) {
        return;
    }
    for (const CallServiceStatus &status : admission_->update(core_.clock.now())) {
        core_.metrics.set("call_success_share_" + status.service, status.successShare);
        if (status.change != CallServiceStatus::Change::None) {
            const bool degraded = status.change == CallServiceStatus::Change::Degraded;
            core_.events.write(degraded ? Severity::Warning : Severity::Info,
                               degraded ? "call_service_degraded" : "call_service_recovered",
                               {{"service", status.service},
                                {"successShare", std::to_string(status.successShare)},
                                {"results", std::to_string(status.results)}});
        }
    }
}

} // namespace waxwing
