#include "src/sidecar/SidecarNode.h"

#include "include/fleet/LinkDelayEstimator.h"
#include "include/report/BurnRecorder.h"
#include "platform/ObjectApi.h"
#include "src/fiber/FiberLoop.h"
#include "src/http/HttpServer.h"
#include "src/http/ResponseFlow.h"
#include "src/link/PeerHub.h"
#include "src/node/NodeCore.h"
#include "src/node/PoisonService.h"
#include "src/sidecar/CallerHandler.h"
#include "src/sidecar/ConfigSync.h"
#include "src/sidecar/FenceService.h"
#include "src/sidecar/Forwarder.h"
#include "src/sidecar/LocalHome.h"
#include "src/sidecar/PathMonitor.h"
#include "src/sidecar/QuotaService.h"
#include "src/sidecar/RegionWatch.h"
#include "src/sidecar/RegistrySync.h"
#include "src/sidecar/RetryBudgetService.h"
#include "src/sidecar/SidecarTuning.h"
#include "src/sidecar/SlotMessenger.h"
#include "src/sidecar/StateUpdateService.h"
#include "src/sidecar/WorkSender.h"

#include <algorithm>
#include <malloc.h>
#include <map>
#include <set>

namespace waxwing {

namespace {

constexpr Millis stopPollInterval{20};
/** The platform checks readiness each second and removes a node after two failures; then no more callers come. */
constexpr Millis callerDrainDelay{2300};
/** Time from the start of the stop until new work is refused and queued work is returned; other homes take it. */
constexpr Millis homeDrainDelay{1000};
/** Time kept free before the process is killed. */
constexpr Millis stopMargin{400};
/** Time for the last responses to leave the sockets. */
constexpr Millis leaveGrace{50};
/**
 * Work delayed in transit by this much is refused. Its sender queried the outcome within about a second and may have
 * received the reply that the work never runs. This node remembers such replies for several times as long.
 */
constexpr Millis maxWorkDelay{1500};
/** Events kept in memory. The log has them all, and memory is paid for. */
constexpr std::size_t maxKeptEvents = 128;
/** Timeout of opening a link. Links to the region's nodes are opened before the first request needs them. */
constexpr Millis warmTimeout{1500};
/** A killed process is back within about a second; a lost VM costs an occasional connection attempt. */
constexpr Millis initialReconnectDelay{500};
constexpr Millis maxReconnectDelay{8000};
/** A peer that reads acknowledges a chunk within this time even over a narrow link. */
constexpr Millis linkStall{2000};
/** Bodies from this size on are returned to the operating system when they are freed; stacks of fibers are smaller. */
constexpr int mmapThreshold = 192 * 1024;
} // namespace

struct SidecarNode::Impl {
    Impl(boost::asio::io_context &ioContext, const Clock &clock, const NodeSettings &settings,
         std::uint64_t incarnation, const SidecarTuning &tuning)
        : core(ioContext, clock, settings, incarnation, stableHash(settings.node, incarnation), maxKeptEvents)
        , store(core.client, settings.objectApi)
        , burn(clock)
        , poison(core, [this](const Record &record) { broadcast(record); })
        , home(core)
        , fences(core,
                 [this](const Fence &fence) {
                     return home.fence(WorkKey{fence.origin, fence.workId}, fence.queryOnly, fence.workAge);
                 })
        , paths(core)
        , sender(core, fences, paths)
        , region(core, tuning.watchElection)
        , config(core, tuning.keyAdmission)
        , registry(core)
        , updates(core)
        , retryBudgets(core, tuning.retry)
        , slots(core, home, tuning.reservations, tuning.maxWaitingRequests)
        , forwarder(core, home, sender, retryBudgets, paths, slots.requester())
        , quotas(core, paths, tuning.quota)
        , callerHandler(core, tuning.keyAdmission)
    { }

    void logBoundsFindings(const Findings &findings);
    Expected<void> build();
    Expected<void> listen();
    Expected<std::unique_ptr<HttpServer>> listenAt(const Endpoint &endpoint, HttpServer::Handler handler);
    HttpReply handleControl(const HttpRequest &request);
    void handleMessage(LinkId link, const NodeRef &from, Message message);
    void handleWork(LinkId link, const NodeRef &from, Work work);
    void refuseWork(LinkId link, const Work &work, const std::string &reason);
    /** Bounds the bytes buffered for slow readers by @p settings. @pre the node listens. */
    void enableFlow(const FlowSettings &settings);
    /** Returns true if this node buffers too much to accept work that arrived on @p link. */
    bool holdsTooMuch(LinkId link) const;
    bool holdsTooMuch() const;
    /** Stores @p link if the sender of work in progress sent @p fence: the WorkReply goes to the last such link. */
    void noteReplyLink(LinkId link, const NodeRef &from, const Fence &fence);
    void applyConfig(const FleetConfig &changed);
    void warmLinks();
    /** Sends the record to every node of the registry, for updates that can't wait for a watch. */
    void broadcast(const Record &record);
    /** Reopens the link to a node of this region, with backoff, as long as the registry contains the node. */
    void reconnect(const std::string &peer);

    NodeCore core;
    Millis stopGrace{0};
    ObjectApi store;
    BurnRecorder burn;
    PoisonService poison;
    LocalHome home;
    FenceService fences;
    PathMonitor paths;
    WorkSender sender;
    RegionWatch region;
    ConfigSync config;
    RegistrySync registry;
    StateUpdateService updates;
    RetryBudgetService retryBudgets;
    SlotMessenger slots;
    Forwarder forwarder;
    QuotaService quotas;
    CallerHandler callerHandler;
    std::unique_ptr<PeerHub> peers;
    /** Null if callers and servers don't read slowly. */
    std::shared_ptr<ResponseFlow> flow;
    std::map<LinkId, LinkDelayEstimator> linkDelays;
    std::map<WorkKey, LinkId> replyLinks;
    /** Links that this node opened, with the node at the other end. */
    std::map<LinkId, std::string> outgoingLinks;
    std::set<std::string> reconnecting;
    std::unique_ptr<HttpServer> callerServer;
    std::unique_ptr<HttpServer> controlServer;
    std::unique_ptr<HttpServer> readinessServer;
    std::unique_ptr<HttpServer> metricsServer;
};

void SidecarNode::Impl::logBoundsFindings(const Findings &findings)
{
    for (const Finding &finding : findings.all()) {
        core.events.write(Severity::Warning, "bound_refused", {{"place", finding.place}, {"reason", finding.message}});
    }
}

Expected<void> SidecarNode::Impl::build()
{
    PeerHub::Hooks hooks;
    hooks.onMessage = [this](LinkId link, const NodeRef &from, Message message) {
        handleMessage(link, from, std::move(message));
    };
    hooks.onMalformed = [this](const std::string &reason) {
        core.metrics.count("link_garbage");
        core.events.write(Severity::Warning, "link_garbage", {{"reason", reason}});
    };
    hooks.onLinkOpen = [this](LinkId link, bool outgoing) {
        updates.linkOpened(link);
        quotas.linkOpened(peers->peerOn(link).value_or(NodeRef{}).id);
        if (outgoing) {
            outgoingLinks[link] = peers->peerOn(link).value_or(NodeRef{}).id;
        }
    };
    hooks.onLinkClosed = [this](LinkId link) {
        linkDelays.erase(link);
        sender.linkClosed(link);
        fences.linkClosed(link);
        slots.linkClosed(link);
        updates.linkClosed(link);
        const auto lost = outgoingLinks.find(link);
        if (lost != outgoingLinks.end()) {
            const std::string peer = lost->second;
            outgoingLinks.erase(lost);
            reconnect(peer);
        }
    };
    peers = std::make_unique<PeerHub>(core.ioContext, core.clock, core.self, std::move(hooks));
    Kernel &kernel = core.kernel;
    Expected<void> ok = kernel.provide("platform", store);
    const auto provide = [&](const std::string &name, auto &service) { ok = ok ? kernel.provide(name, service) : ok; };
    provide("burn", burn);
    provide("poison", poison);
    provide("peers", *peers);
    provide("region-watch", region);
    provide("config", config);
    provide("registry", registry);
    provide("state-updates", updates);
    provide("forwarder", forwarder);
    provide("quotas", quotas);
    config.onChange([this](const FleetConfig &changed) {
        applyConfig(changed);
        updates.configChanged();
    });
    registry.onChange([this] {
        forwarder.registryChanged();
        quotas.registryChanged();
        warmLinks();
    });
    return ok;
}

Expected<std::unique_ptr<HttpServer>> SidecarNode::Impl::listenAt(const Endpoint &endpoint, HttpServer::Handler handler)
{
    const HttpLimits limits = MakeHttpLimits(core.settings.limits);
    return HttpServer::MakeListening(core.ioContext, endpoint.address, endpoint.port, std::move(handler), limits,
                                     [this](const std::string &reason) {
                                         core.metrics.count("http_rejected");
                                         core.events.write(Severity::Warning, "http_rejected", {{"reason", reason}});
                                     });
}

Expected<void> SidecarNode::Impl::listen()
{
    Expected<void> links = peers->listen(core.settings.peers);
    if (!links) {
        return links;
    }
    const auto open = [&](const Endpoint &endpoint, std::unique_ptr<HttpServer> &target,
                          HttpServer::Handler handler) -> Expected<void> {
        auto server = listenAt(endpoint, std::move(handler));
        if (!server) {
            return tl::unexpected<Error>(server.error());
        }
        target = std::move(*server);
        return {};
    };
    Expected<void> ok =
        open(core.settings.operators, controlServer,
             [this](const HttpRequest &request, const CallerWatchPtr &) { return handleControl(request); });
    ok = ok ? open(core.settings.readiness, readinessServer,
                   [this](const HttpRequest &request, const CallerWatchPtr &) {
                       return callerHandler.handleReadiness(request);
                   })
            : ok;
    ok = ok && core.settings.metrics.port != 0
             ? open(core.settings.metrics, metricsServer,
                    [this](const HttpRequest &, const CallerWatchPtr &) {
                        HttpResponse text;
                        text.headers.emplace_back("Content-Type", "text/plain; version=0.0.4");
                        slots.requester().updateGauges();
                        text.body = core.metrics.text();
                        return HttpReply{std::move(text), AfterResponse::KeepOpen};
                    })
             : ok;
    ok = ok ? open(core.settings.callers, callerServer,
                   [this](HttpRequest request, const CallerWatchPtr &caller) {
                       return callerHandler.handle(std::move(request), caller);
                   })
            : ok;
    return ok;
}

HttpReply SidecarNode::Impl::handleControl(const HttpRequest &request)
{
    if (const std::optional<HttpResponse> reply = home.handleServerCall(request)) {
        return HttpReply{*reply, AfterResponse::KeepOpen};
    }
    constexpr unsigned notFound = 404;
    return HttpReply{jsonResponse(notFound, "{\"error\":\"unknown path\"}\n"), AfterResponse::KeepOpen};
}

void SidecarNode::Impl::handleMessage(LinkId link, const NodeRef &from, Message message)
{
    if (auto *work = std::get_if<Work>(&message)) {
        updates.noteVersions(link, work->versions);
        handleWork(link, from, std::move(*work));
    } else if (auto *reply = std::get_if<WorkReply>(&message)) {
        updates.noteVersions(link, reply->versions);
        sender.handleReply(std::move(*reply));
    } else if (const auto *ack = std::get_if<WorkAck>(&message)) {
        updates.noteVersions(link, ack->versions);
        sender.handleAck(*ack);
    } else if (const auto *cancel = std::get_if<Cancel>(&message)) {
        const WorkKey key{from, cancel->id};
        cancel->onlyIfQueued ? home.cancelQueued(key) : home.cancel(key);
    } else if (const auto *fence = std::get_if<Fence>(&message)) {
        noteReplyLink(link, from, *fence);
        fences.handle(link, from, *fence);
    } else if (const auto *fenceReply = std::get_if<FenceReply>(&message)) {
        fences.handleReply(*fenceReply);
    } else if (const auto *transferRequest = std::get_if<BudgetTransferRequest>(&message)) {
        retryBudgets.handle(link, *transferRequest);
    } else if (const auto *transferReply = std::get_if<BudgetTransferReply>(&message)) {
        retryBudgets.handleReply(*transferReply);
    } else if (const auto *quotaReport = std::get_if<QuotaReport>(&message)) {
        quotas.handle(link, from, *quotaReport);
    } else if (const auto *quotaReply = std::get_if<QuotaReply>(&message)) {
        quotas.handleReply(from, *quotaReply);
    } else if (const auto *loanRequest = std::get_if<QuotaLoanRequest>(&message)) {
        quotas.handle(link, *loanRequest);
    } else if (const auto *loanReply = std::get_if<QuotaLoanReply>(&message)) {
        quotas.handleReply(*loanReply);
    } else if (const auto *reserve = std::get_if<SlotReserve>(&message)) {
        const Duration helloAge = peers->helloAge(link).value_or(Duration(0));
        slots.handle(link, from, *reserve, linkDelays[link].excessDelay(helloAge, reserve->helloAge));
    } else if (const auto *offer = std::get_if<SlotOffer>(&message)) {
        slots.handle(from, *offer);
    } else if (const auto *release = std::get_if<SlotRelease>(&message)) {
        slots.handle(from, *release);
    } else if (const auto *suspicion = std::get_if<PathSuspicion>(&message)) {
        paths.handle(*suspicion);
    } else if (const auto *request = std::get_if<StateUpdateRequest>(&message)) {
        updates.handleRequest(link, *request);
    } else if (const auto *update = std::get_if<StateUpdate>(&message)) {
        updates.handleUpdate(link, from, *update);
    } else if (const auto *records = std::get_if<RecordsPush>(&message)) {
        for (const Record &record : records->records) {
            poison.applyRecord(record);
        }
    }
}

void SidecarNode::Impl::handleWork(LinkId link, const NodeRef &from, Work work)
{
    const Millis delay = linkDelays[link].excessDelay(peers->helloAge(link).value_or(Duration(0)), work.helloAge);
    work.remaining -= delay;
    work.untilObjective -= delay;
    if (delay >= maxWorkDelay) {
        core.metrics.count("work_arrived_late");
        core.events.write(
            Severity::Warning, "work_arrived_late",
            {{"request", work.requestId}, {"from", from.text()}, {"lateMs", std::to_string(delay.count())}});
        refuseWork(link, work, "arrived-late");
        return;
    }
    if (holdsTooMuch(link)) {
        core.metrics.count("work_refused_node_bytes");
        refuseWork(link, work, nodeBytesReason);
        return;
    }
    spawnFiber([this, link, from, work = std::move(work)] {
        const WorkKey key{from, work.id};
        const auto control = std::make_shared<RunControl>();
        // A refusal is sent at once; only a request that is accepted needs an ack.
        WorkReply reply = home.run(key, work, control, [&] {
            peers->reply(link, WorkAck{work.id, updates.versions()});
        });
        reply.versions = updates.versions();
        const auto fenced = replyLinks.find(key);
        const LinkId replyLink = fenced == replyLinks.end() ? link : fenced->second;
        replyLinks.erase(key);
        peers->reply(replyLink, std::move(reply));
    });
}

void SidecarNode::Impl::refuseWork(LinkId link, const Work &work, const std::string &reason)
{
    WorkReply refusal;
    refusal.id = work.id;
    refusal.outcome = Outcome::NotRun;
    refusal.reason = reason;
    refusal.load = home.load(work.priority);
    refusal.versions = updates.versions();
    peers->reply(link, refusal);
}

bool SidecarNode::Impl::holdsTooMuch(LinkId link) const
{
    if (!flow) {
        return false;
    }
    const FlowSettings &settings = flow->settings();
    // A link that is only narrow acknowledges chunks; one whose peer doesn't read takes no more responses.
    const bool stalled = peers->sendStalledFor(link) >= linkStall;
    return (stalled && peers->queuedBytes(link) > settings.connectionBytes) || holdsTooMuch();
}

bool SidecarNode::Impl::holdsTooMuch() const
{
    return flow && home.requestBytes() + peers->queuedBytes() > flow->settings().nodeBytes;
}

void SidecarNode::Impl::enableFlow(const FlowSettings &settings)
{
    const auto write = [this](const char *event, const SlowReader &reader, const std::string &reason) {
        core.events.writeRequest(Severity::Warning, event,
                                 {{"request", reader.requestId},
                                  {"bytes", std::to_string(reader.bytes)},
                                  {"readBytes", std::to_string(reader.readBytes)},
                                  {"writingMs", std::to_string(reader.writing.count())},
                                  {"reason", reason}});
    };
    ResponseFlow::Hooks hooks;
    hooks.onSlow = [this, write](const SlowReader &reader) {
        core.metrics.count("slow_readers");
        write("slow_reader", reader, "");
    };
    hooks.onClosed = [this, write](const SlowReader &reader, const std::string &reason) {
        core.metrics.count("slow_readers_closed");
        write("slow_reader_closed", reader, reason);
    };
    hooks.onHeld = [this](std::uint64_t bytes) { core.metrics.set("held_bytes", static_cast<double>(bytes)); };
    flow = std::make_shared<ResponseFlow>(settings, core.clock, std::move(hooks));
    callerServer->setFlow(flow);
    callerHandler.setFlow(flow);
    home.setFlow(settings, [this] { return holdsTooMuch(); });
    // Without this, freed bodies stay in the heap as gaps, and the process grows to a multiple of what it holds.
    mallopt(M_MMAP_THRESHOLD, mmapThreshold);
}

void SidecarNode::Impl::noteReplyLink(LinkId link, const NodeRef &from, const Fence &fence)
{
    // The sender queries over a new link because nothing came on the one that carried the Work.
    const WorkKey key{fence.origin, fence.workId};
    if (from == fence.origin && fence.target == core.self && home.isInProgress(key)) {
        replyLinks[key] = link;
    }
}

void SidecarNode::Impl::applyConfig(const FleetConfig &changed)
{
    callerHandler.configChanged();
    forwarder.configChanged();
    HttpLimits limits = MakeHttpLimits(core.settings.limits);
    limits.headerBytes = changed.limits.headerBytes;
    limits.bodyBytes = changed.limits.bodyBytes;
    limits.headerTimeout = changed.limits.headerTimeout;
    limits.idleTimeout = changed.limits.idleTimeout;
    callerServer->setLimits(limits);
}

void SidecarNode::Impl::warmLinks()
{
    for (const RegistryEntryPtr &entry : registry.registry().all()) {
        const bool inRegion = entry->region == core.settings.region && entry->id != core.self.id;
        if (inRegion) {
            spawnFiber([this, links = entry->links] {
                const Expected<LinkId> opened = peers->linkAt(links, warmTimeout);
                core.metrics.count(opened ? "links_warmed" : "links_not_warmed");
            });
        }
    }
}

void SidecarNode::Impl::broadcast(const Record &record)
{
    for (const RegistryEntryPtr &entry : registry.registry().all()) {
        if (entry->id == core.self.id) {
            continue;
        }
        spawnFiber([this, record, links = entry->links, id = entry->id] {
            const Expected<LinkId> link = peers->linkAt(links, warmTimeout);
            if (!link || !peers->reply(*link, RecordsPush{{record}})) {
                core.events.write(Severity::Warning, "record_not_sent", {{"node", id}, {"record", record.key}});
            }
        });
    }
}

void SidecarNode::Impl::reconnect(const std::string &peer)
{
    const RegistryEntryPtr lost = registry.registry().find(peer);
    if (lost == nullptr || lost->region != core.settings.region || !reconnecting.insert(peer).second) {
        return;
    }
    // A node that restarts while the store is down has no registry, so it can't open links itself. It obtains the
    // configuration and the registry over the first link that another node opens to it.
    spawnFiber([this, peer] {
        Millis pause = initialReconnectDelay;
        while (!core.stopping) {
            sleepFor(core.ioContext, pause);
            const RegistryEntryPtr entry = registry.registry().find(peer);
            if (entry == nullptr) {
                break;
            }
            const Endpoint links = entry->links;
            if (peers->linkAt(links, warmTimeout)) {
                break;
            }
            pause = std::min(maxReconnectDelay, pause * 2);
        }
        reconnecting.erase(peer);
    });
}

Expected<std::unique_ptr<SidecarNode>> SidecarNode::MakeStarted(boost::asio::io_context &ioContext, const Clock &clock,
                                                                const NodeSettings &settings, std::uint64_t incarnation)
{
    Findings findings;
    const SidecarTuning tuning = makeSidecarTuning(settings, findings);
    auto impl = std::make_unique<Impl>(ioContext, clock, settings, incarnation, tuning);
    impl->stopGrace = tuning.stopGrace;
    impl->logBoundsFindings(findings);
    Expected<void> ok = impl->build();
    ok = ok ? impl->listen() : ok;
    if (!ok) {
        return tl::unexpected<Error>(ok.error());
    }
    if (tuning.flow) {
        impl->enableFlow(*tuning.flow);
    }
    if (tuning.callAdmission) {
        impl->home.enableCallAdmission();
    }
    impl->slots.start();
    impl->home.start();
    impl->config.start();
    impl->registry.start();
    impl->updates.start();
    impl->quotas.start();
    impl->core.events.write(Severity::Info, "node_started",
                            {{"node", impl->core.self.text()},
                             {"service", settings.server->service},
                             {"server", settings.server->address.text()},
                             {"callers", settings.callers.text()},
                             {"links", settings.peers.text()}});
    return std::unique_ptr<SidecarNode>(new SidecarNode(std::move(impl)));
}

SidecarNode::SidecarNode(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl))
{ }

SidecarNode::~SidecarNode() = default;

void SidecarNode::flushLog()
{
    impl_->core.events.flush();
}

void SidecarNode::reload(const NodeSettings &settings)
{
    NodeSettings &own = impl_->core.settings;
    own.server = settings.server;
    own.bounds = settings.bounds;
    own.limits = settings.limits;
    own.times = settings.times;
    Findings findings;
    impl_->stopGrace = makeSidecarTuning(settings, findings).stopGrace;
    impl_->logBoundsFindings(findings);
    impl_->core.events.write(Severity::Info, "settings_reloaded", {{"node", impl_->core.self.text()}});
}

bool SidecarNode::stop()
{
    NodeCore &core = impl_->core;
    const SteadyTime startedAt = core.clock.now();
    const SteadyTime deadline = startedAt + impl_->stopGrace - stopMargin;
    const bool willReturn = !impl_->home.serverLeft();
    core.events.write(Severity::Info, "node_stopping",
                      {{"node", core.self.text()}, {"serverLeft", willReturn ? "no" : "yes"}});
    core.draining = true;
    impl_->forwarder.setStopDeadline(deadline);
    impl_->callerServer->announceClose();
    if (!willReturn) {
        impl_->registry.removeOwnEntry();
    }
    const auto busy = [&] { return impl_->callerServer->requestsInFlight() > 0 || impl_->home.inProgressCount() > 0; };
    bool listening = true;
    while (core.clock.now() < deadline) {
        const Duration since = core.clock.now() - startedAt;
        if (since >= homeDrainDelay) {
            impl_->home.stopAccepting();
        }
        if (since >= callerDrainDelay && listening) {
            impl_->callerServer->drain();
            listening = false;
        }
        if (!listening && !busy()) {
            break;
        }
        sleepFor(core.ioContext, stopPollInterval);
    }
    const bool clean = !busy();
    impl_->forwarder.abortAll();
    sleepFor(core.ioContext, leaveGrace);
    core.stopping = true;
    impl_->controlServer->drain();
    impl_->peers->stop();
    core.events.write(clean ? Severity::Info : Severity::Error, "node_stopped",
                      {{"node", core.self.text()}, {"cleanly", clean ? "yes" : "no"}});
    return clean;
}

} // namespace waxwing
