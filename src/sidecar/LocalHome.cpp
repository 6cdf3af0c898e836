#include "src/sidecar/LocalHome.h"

#include "platform/ServerDialect.h"
#include "src/fiber/FiberLoop.h"
#include "src/node/NodeCore.h"
#include "src/node/PoisonService.h"
#include "src/sidecar/config/ConfigSync.h"

namespace waxwing {

namespace {

constexpr const char *stoppingReason = "stopping";

std::string millisText(Duration value)
{
    return std::to_string(millisOf(value).count());
}

} // namespace

LocalHome::LocalHome(NodeCore &core)
    : core_(core)
    , works_(core.clock)
    , nestedCalls_(core, queue_)
    , scheduler_(core, queue_, nestedCalls_)
    , server_(core, scheduler_)
    , admission_(core, scheduler_)
    , exchange_(core, queue_, server_, works_, nestedCalls_.tracker())
    , origins_(core)
{
    queue_.setStallCheck([this](SteadyTime since, SteadyTime now) { return stalls_.stalledBetween(since, now); });
}

void LocalHome::start()
{
    server_.start();
    spawnFiber([this] { expiryLoop(); });
}

void LocalHome::setFlow(const FlowSettings &flow, std::function<bool()> holdsTooMuch)
{
    memory_ = std::make_unique<ServerMemoryGate>(core_);
    admission_.setMemory(*memory_);
    exchange_.setFlow(*memory_, flow.nodeBytes, std::move(holdsTooMuch));
}

void LocalHome::enableCallAdmission()
{
    nestedCalls_.enableAdmission();
}

std::uint64_t LocalHome::requestBytes() const
{
    return requestBytes_;
}

void LocalHome::setReservationHooks(ReservationHooks hooks)
{
    scheduler_.setReservationHooks(std::move(hooks));
}

void LocalHome::setResultHook(std::function<void()> onResult)
{
    onResult_ = std::move(onResult);
}

std::optional<HttpResponse> LocalHome::handleServerCall(const HttpRequest &request)
{
    return server_.handleCall(request);
}

void LocalHome::expiryLoop()
{
    while (true) {
        scheduler_.awaitPoll();
        nestedCalls_.reportServices();
        works_.evictOld();
        core_.service<PoisonService>("poison").expire();
    }
}

void LocalHome::observeStalls()
{
    if (observesStalls_) {
        return;
    }
    observesStalls_ = true;
    spawnFiber([this] {
        stalls_.start(core_.clock.now());
        while (queue_.running() > 0) {
            sleepFor(core_.ioContext, stalls_.tickInterval());
            stalls_.tick(core_.clock.now());
        }
        stalls_.stop();
        observesStalls_ = false;
    });
}

std::string LocalHome::closedReason(const std::string &service) const
{
    if (stopped_) {
        return stoppingReason;
    }
    return service == core_.settings.server->service ? "" : "other-service";
}

bool LocalHome::isKeyChecked(const Work &work) const
{
    const auto config = core_.service<ConfigSync>("config").current();
    return work.keyChecked || !config || !config->requiresKeys;
}

std::string LocalHome::refusalReason(const Work &work)
{
    if (std::string closed = closedReason(work.service); !closed.empty()) {
        return closed;
    }
    if (!isKeyChecked(work)) {
        return "key-not-checked";
    }
    const std::uint64_t digest = requestDigest(work.service, work.request, platform::customerOf(work.request));
    return core_.service<PoisonService>("poison").admit(digest) ? "" : poisonReason;
}

WorkReply LocalHome::run(const WorkKey &key, const Work &work, const RunControlPtr &control,
                         const std::function<void()> &onAdmitted)
{
    const SteadyTime now = core_.clock.now();
    HomeJob job{key, work, control, scheduler_.nextId(), now + work.remaining, now, {}, now};
    if (works_.contains(key)) {
        job.refuse("forbidden");
        return job.reply;
    }
    if (const std::string reason = refusalReason(work); !reason.empty()) {
        job.refuse(reason);
        job.reply.load = load(work.priority);
        return job.reply;
    }
    origins_.note(key.origin, work.route);
    works_.addQueued(key, control);
    requestBytes_ += work.request.body.size();
    // A Work that takes over the slot of its reservation gets that slot's id.
    const std::uint64_t memoryId = job.id;
    if (admission_.await(job, onAdmitted)) {
        observeStalls();
        exchange_.run(job);
        scheduler_.release(job.id);
    }
    requestBytes_ -= work.request.body.size();
    if (memory_) {
        memory_->release(memoryId);
    }
    job.reply.id = key.id;
    queue_.noteOverdueWork(core_.clock.now());
    job.reply.load = load(work.priority);
    job.reply.nestedCall = origins_.isNestedCall(work.route);
    works_.finish(key, job.reply);
    if (onResult_) {
        onResult_();
    }
    core_.events.writeRequest(job.reply.serverFault ? Severity::Warning : Severity::Info, "home_done",
                              {{"request", work.requestId},
                               {"from", key.origin.id},
                               {"outcome", outcomeName(job.reply.outcome)},
                               {"reason", job.reply.reason},
                               {"status", std::to_string(job.reply.response.status)},
                               {"server", job.reply.server},
                               {"workedMs", std::to_string(job.reply.processingTime.count())},
                               {"hereMs", millisText(core_.clock.now() - now)},
                               {"grayProbability", std::to_string(job.reply.load.grayProbability)},
                               {"queued", std::to_string(job.reply.load.queued)}});
    return job.reply;
}

std::uint64_t LocalHome::nextSlotId()
{
    return scheduler_.nextId();
}

SlotDecision LocalHome::submitReservation(const SlotRequest &request)
{
    return scheduler_.submitReservation(request);
}

void LocalHome::freeSlot(std::uint64_t slotId)
{
    scheduler_.freeReservation(slotId);
}

void LocalHome::cancelQueued(const WorkKey &key)
{
    works_.cancelQueued(key);
}

void LocalHome::cancel(const WorkKey &key)
{
    works_.cancel(key);
}

FenceReply LocalHome::fence(const WorkKey &key, bool queryOnly, Duration workAge)
{
    return works_.fence(key, queryOnly, workAge);
}

bool LocalHome::isInProgress(const WorkKey &key) const
{
    return works_.isInProgress(key);
}

void LocalHome::stopAccepting()
{
    if (!stopped_) {
        stopped_ = true;
        scheduler_.removeWaiting(stoppingReason);
    }
}

bool LocalHome::needsRequest(const std::string &service, bool retryable) const
{
    return closedReason(service).empty() && queue_.needsRequest(retryable, core_.clock.now());
}

HomeLoad LocalHome::load(int priority) const
{
    return queue_.load(priority, core_.clock.now());
}

std::size_t LocalHome::inProgressCount() const
{
    return queue_.running() + queue_.waiting();
}

void LocalHome::noteArrival(const std::string &route, const std::string &service)
{
    nestedCalls_.tracker().arrived(route, service, core_.clock.now());
}

bool LocalHome::isNestedCall(const std::string &route) const
{
    return nestedCalls_.tracker().isNestedCall(route);
}

std::optional<int> LocalHome::callerRank(const std::string &service) const
{
    return nestedCalls_.tracker().callerRank(service);
}

void LocalHome::noteFailedCall(const std::string &route, const std::string &service)
{
    nestedCalls_.tracker().failed(route, service);
}

void LocalHome::noteNestedCall(const std::string &route)
{
    nestedCalls_.tracker().markNested(route);
}

void LocalHome::noteCallStarted()
{
    nestedCalls_.noteStarted();
}

void LocalHome::noteCallEnded()
{
    nestedCalls_.noteEnded();
}

void LocalHome::noteCallResult(const std::string &service, bool succeeded)
{
    nestedCalls_.noteResult(service, succeeded);
}

void LocalHome::removeStoredDeparture()
{
    server_.removeStoredDeparture();
}

bool LocalHome::serverLeft() const
{
    return server_.latest() != nullptr && server_.serving() == nullptr;
}

} // namespace waxwing
