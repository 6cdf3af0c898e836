#include "include/node/Node.h"

#include "include/report/BurnRecorder.h"
#include "platform/ObjectApi.h"
#include "src/fiber/FiberLoop.h"
#include "src/link/PeerHub.h"
#include "src/node/ClaimService.h"
#include "src/node/DispatchService.h"
#include "src/node/FloorService.h"
#include "src/node/GossipService.h"
#include "src/node/HomeService.h"
#include "src/node/IngressService.h"
#include "src/node/IntentService.h"
#include "src/node/MembershipService.h"
#include "src/node/MemoryWatch.h"
#include "src/node/NodeCore.h"
#include "src/node/OperatorApi.h"
#include "src/node/PoisonService.h"

namespace waxwing {

namespace {

constexpr Millis housekeepingInterval{1000};
constexpr Millis stopPollInterval{20};
/** Time for the leave record to reach other nodes before the links close. */
constexpr Millis leaveGrace{150};

} // namespace

struct Node::Impl {
    Impl(boost::asio::io_context &ioContext, const Clock &clock, const NodeSettings &settings,
         std::uint64_t incarnation)
        : core(ioContext, clock, settings, incarnation, incarnation)
        , platform(core.client, settings.objectApi)
        , burn(clock)
        , memoryWatch(core)
    { }

    Expected<void> build();
    Expected<void> listen();
    void route(LinkId link, const NodeRef &from, const Message &message);
    void housekeepingLoop();

    NodeCore core;
    ObjectApi platform;
    BurnRecorder burn;
    MemoryWatch memoryWatch;
    std::unique_ptr<PeerHub> peers;
    std::unique_ptr<GossipService> gossip;
    std::unique_ptr<MembershipService> members;
    std::unique_ptr<IntentService> intents;
    std::unique_ptr<PoisonService> poison;
    std::unique_ptr<HomeService> homes;
    std::unique_ptr<DispatchService> dispatch;
    std::unique_ptr<ClaimService> claims;
    std::unique_ptr<FloorService> floors;
    std::unique_ptr<IngressService> ingress;
    std::unique_ptr<OperatorApi> operators;
    std::unique_ptr<HttpServer> callerServer;
    std::unique_ptr<HttpServer> operatorServer;
};

Expected<void> Node::Impl::build()
{
    Kernel &kernel = core.kernel;
    PeerHub::Hooks hooks;
    hooks.onMessage = [this](LinkId link, const NodeRef &from, const Message &message) { route(link, from, message); };
    hooks.onMalformed = [this](const std::string &reason) {
        core.metrics.count("link_garbage");
        core.events.write(Severity::Warning, "link_garbage", {{"reason", reason}});
    };
    peers = std::make_unique<PeerHub>(core.ioContext, core.clock, core.self, std::move(hooks));
    Expected<void> ok = kernel.provide("platform", platform);
    // The order matters: a constructor may look up the services before it by name.
    const auto add = [&](const std::string &name, auto &slot, auto make) {
        if (ok) {
            slot = make();
            ok = kernel.provide(name, *slot);
        }
    };
    ok = ok ? kernel.provide("burn", burn) : ok;
    ok = ok ? kernel.provide("peers", *peers) : ok;
    add("gossip", gossip, [&] { return std::make_unique<GossipService>(core); });
    add("members", members, [&] { return std::make_unique<MembershipService>(core); });
    add("intents", intents, [&] { return std::make_unique<IntentService>(core); });
    add("poison", poison, [&] {
        return std::make_unique<PoisonService>(core, [this](const Record &record) { gossip->publishNow(record); });
    });
    if (ok) {
        gossip->onRecord(RecordKind::Poison, [this](const Record &record) { poison->applyRecord(record); });
    }
    add("homes", homes, [&] { return std::make_unique<HomeService>(core); });
    add("dispatch", dispatch, [&] { return std::make_unique<DispatchService>(core); });
    add("claims", claims, [&] { return std::make_unique<ClaimService>(core); });
    add("floors", floors, [&] { return std::make_unique<FloorService>(core); });
    add("ingress", ingress, [&] { return std::make_unique<IngressService>(core); });
    add("operators", operators, [&] { return std::make_unique<OperatorApi>(core); });
    return ok;
}

Expected<void> Node::Impl::listen()
{
    Expected<void> peerPort = peers->listen(core.settings.peers);
    if (!peerPort) {
        return peerPort;
    }
    if (core.settings.advertisedPeers.port == 0) {
        core.settings.advertisedPeers.port = peers->port();
    }
    const HttpLimits limits = MakeHttpLimits(core.settings.limits);
    const auto onReject = [this](const std::string &reason) {
        core.metrics.count("http_rejected");
        core.events.write(Severity::Warning, "http_rejected", {{"reason", reason}});
    };
    auto operatorHttp = HttpServer::MakeListening(
        core.ioContext, core.settings.operators.address, core.settings.operators.port,
        [this](const HttpRequest &request, const CallerWatchPtr &) { return operators->handle(request); }, limits,
        onReject);
    if (!operatorHttp) {
        return tl::unexpected<Error>(operatorHttp.error());
    }
    operatorServer = std::move(*operatorHttp);
    core.settings.operators.port = operatorServer->port();
    auto callerHttp = HttpServer::MakeListening(
        core.ioContext, core.settings.callers.address, core.settings.callers.port,
        [this](HttpRequest request, const CallerWatchPtr &caller) {
            return ingress->handle(std::move(request), caller);
        },
        limits, onReject);
    if (!callerHttp) {
        return tl::unexpected<Error>(callerHttp.error());
    }
    callerServer = std::move(*callerHttp);
    callerServer->setMemory(core.memory);
    core.settings.callers.port = callerServer->port();
    return {};
}

void Node::Impl::route(LinkId link, const NodeRef &from, const Message &message)
{
    if (gossip->handle(link, from, message)) {
        return;
    }
    if (const auto *exec = std::get_if<Exec>(&message)) {
        ingress->handleExec(link, *exec);
    } else if (const auto *cancel = std::get_if<Cancel>(&message)) {
        ingress->handleCancel(link, cancel->id);
    } else if (const auto *handover = std::get_if<ClaimHandover>(&message)) {
        claims->adopt(*handover);
        peers->reply(link, Pong{handover->id});
    }
}

void Node::Impl::housekeepingLoop()
{
    while (!core.stopping) {
        sleepFor(core.ioContext, housekeepingInterval);
        claims->expire();
        dispatch->expire();
        poison->expire();
    }
}

Expected<std::unique_ptr<Node>> Node::MakeStarted(boost::asio::io_context &ioContext, const Clock &clock,
                                                  const NodeSettings &settings, std::uint64_t incarnation)
{
    auto impl = std::make_unique<Impl>(ioContext, clock, settings, incarnation);
    Expected<void> ok = impl->build();
    ok = ok ? impl->listen() : ok;
    if (!ok) {
        return tl::unexpected<Error>(ok.error());
    }
    impl->gossip->start();
    impl->members->start();
    impl->intents->start();
    impl->homes->start();
    impl->floors->start();
    impl->memoryWatch.start();
    spawnFiber([raw = impl.get()] { raw->housekeepingLoop(); });
    impl->core.events.write(Severity::Info, "node_started",
                            {{"node", impl->core.self.text()},
                             {"callers", impl->core.settings.callers.text()},
                             {"peers", impl->core.settings.advertisedPeers.text()},
                             {"operators", impl->core.settings.operators.text()}});
    return std::unique_ptr<Node>(new Node(std::move(impl)));
}

Node::Node(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl))
{ }

Node::~Node() = default;

void Node::flushLog()
{
    impl_->core.events.flush();
}

void Node::reload(const NodeSettings &settings)
{
    // Names and addresses stay, because other nodes identify this node by them.
    impl_->core.settings.limits = settings.limits;
    impl_->core.settings.times = settings.times;
    impl_->core.events.write(Severity::Info, "settings_reloaded", {{"node", impl_->core.self.text()}});
}

bool Node::stop()
{
    NodeCore &core = impl_->core;
    const SteadyTime until = core.clock.now() + core.settings.times.stopWithin;
    const auto left = [&] { return std::max(Duration(0), until - core.clock.now()); };
    core.events.write(Severity::Info, "node_stopping", {{"node", core.self.text()}});
    core.draining = true;
    impl_->callerServer->drain();
    impl_->homes->redirectServers();
    impl_->claims->handOver(left());
    const auto busy = [&] {
        return impl_->ingress->running() > 0 || impl_->homes->running() > 0
               || impl_->callerServer->requestsInFlight() > 0 || impl_->homes->presentServers() > 0;
    };
    while (busy() && left() > Duration(0)) {
        sleepFor(core.ioContext, stopPollInterval);
    }
    const bool clean = impl_->ingress->running() == 0 && impl_->homes->running() == 0;
    impl_->gossip->leave();
    sleepFor(core.ioContext, leaveGrace);
    core.stopping = true;
    impl_->operatorServer->drain();
    impl_->peers->stop();
    core.events.write(clean ? Severity::Info : Severity::Error, "node_stopped",
                      {{"node", core.self.text()}, {"cleanly", clean ? "yes" : "no"}});
    return clean;
}

} // namespace waxwing
