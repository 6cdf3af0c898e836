#include "include/kernel/Kernel.h"

#include <utility>

namespace waxwing {

void Kernel::onStop(std::function<void()> step)
{
    stopSteps_.push_back(std::move(step));
}

void Kernel::stop()
{
    while (!stopSteps_.empty()) {
        const std::function<void()> step = std::move(stopSteps_.back());
        stopSteps_.pop_back();
        step();
    }
}

Expected<void> Kernel::provideAny(const std::string &name, std::any service)
{
    if (!services_.emplace(name, std::move(service)).second) {
        return fail(ErrorCode::Conflict, "service " + name + " is already provided");
    }
    return {};
}

} // namespace waxwing
