#include "src/sidecar/home/ServerMemoryGate.h"

#include "src/fiber/FiberLoop.h"
#include "src/node/NodeCore.h"

namespace waxwing {

ServerMemoryGate::ServerMemoryGate(NodeCore &core)
    : core_(core)
{ }

ServerMemoryGate::Result ServerMemoryGate::admit(const Request &request, const std::function<void()> &onWait)
{
    const SteadyTime now = core_.clock.now();
    const MemoryDecision decision = memory_.submit(request.id, request.bytes, now);
    if (decision != MemoryDecision::Wait) {
        return decision == MemoryDecision::Start ? Result::Admitted : Result::TooLarge;
    }
    if (request.until <= now) {
        return Result::TimedOut;
    }
    onWait();
    const auto latch = std::make_shared<FiberLatch>();
    waiting_[request.id].latch = latch;
    boost::asio::steady_timer timer(core_.ioContext, request.until - now);
    timer.async_wait([latch](boost::system::error_code) { latch->release(); });
    const auto cancelWait = [latch] { latch->release(); };
    request.control->interrupt = cancelWait;
    request.control->onCancelQueued = cancelWait;
    latch->wait();
    timer.cancel();
    request.control->interrupt = {};
    request.control->onCancelQueued = {};
    const Result result = waiting_[request.id].result;
    waiting_.erase(request.id);
    const bool cancelled = request.control->cancelled || request.control->queuedCancelled;
    return cancelled ? Result::Cancelled : result;
}

void ServerMemoryGate::release(std::uint64_t id)
{
    resume(memory_.release(id, core_.clock.now()));
}

void ServerMemoryGate::resume(const ServerMemory::Ready &ready)
{
    const auto resumeOne = [this](std::uint64_t id, Result result) {
        const auto found = waiting_.find(id);
        if (found != waiting_.end()) {
            found->second.result = result;
            found->second.latch->release();
        }
    };
    for (const std::uint64_t id : ready.start) {
        resumeOne(id, Result::Admitted);
    }
    for (const std::uint64_t id : ready.refuse) {
        resumeOne(id, Result::TooLarge);
    }
}

void ServerMemoryGate::noteCompleted()
{
    memory_.noteCompleted(core_.clock.now());
}

void ServerMemoryGate::noteReset()
{
    memory_.noteReset(core_.clock.now());
}

void ServerMemoryGate::noteCrash(const std::string &incarnation)
{
    const std::optional<std::uint64_t> learned = memory_.noteCrash(incarnation, core_.clock.now());
    if (learned) {
        core_.metrics.count("server_memory_learned");
        core_.events.write(Severity::Warning, "server_memory_learned",
                           {{"server", incarnation}, {"bytes", std::to_string(*learned)}});
    }
}

} // namespace waxwing
