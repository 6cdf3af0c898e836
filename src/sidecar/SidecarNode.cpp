#include "src/sidecar/SidecarNodeImpl.h"

#include <malloc.h>

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
/** Bodies from this size on are returned to the operating system when they are freed; stacks of fibers are smaller. */
constexpr int mmapThreshold = 192 * 1024;

} // namespace

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
    hooks.chargeBody = [this](std::size_t bytes) { return core.memory->add(bytes); };
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
        homeReports.registryChanged();
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
                        core.metrics.set("body_bytes", static_cast<double>(core.memory->heldBytes()));
                        core.metrics.set("body_bytes_peak", static_cast<double>(core.memory->peakBytes()));
                        text.body = core.metrics.text();
                        return HttpReply{std::move(text), AfterResponse::KeepOpen};
                    })
             : ok;
    ok = ok ? open(core.settings.callers, callerServer,
                   [this](HttpRequest request, const CallerWatchPtr &caller) {
                       return callerHandler.handle(std::move(request), caller);
                   })
            : ok;
    if (ok) {
        callerServer->setMemory(core.memory);
        // Without this, freed bodies stay in the heap as gaps, and the process grows to a multiple of what it holds.
        mallopt(M_MMAP_THRESHOLD, mmapThreshold);
    }
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
    impl->memoryWatch.start();
    impl->slots.start();
    impl->home.start();
    impl->config.start();
    impl->registry.start();
    impl->updates.start();
    impl->quotas.start();
    impl->homeReports.start();
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
        impl_->home.removeStoredDeparture();
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
