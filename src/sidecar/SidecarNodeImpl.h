#pragma once

#include "src/sidecar/SidecarNode.h"

#include "include/fleet/LinkDelayEstimator.h"
#include "include/report/BurnRecorder.h"
#include "platform/ObjectApi.h"
#include "src/fiber/FiberLoop.h"
#include "src/http/HttpServer.h"
#include "src/http/ResponseFlow.h"
#include "src/link/PeerHub.h"
#include "src/node/MemoryWatch.h"
#include "src/node/NodeCore.h"
#include "src/node/PoisonService.h"
#include "src/sidecar/CallerHandler.h"
#include "src/sidecar/FenceService.h"
#include "src/sidecar/Forwarder.h"
#include "src/sidecar/LocalHome.h"
#include "src/sidecar/SidecarTuning.h"
#include "src/sidecar/SlotMessenger.h"
#include "src/sidecar/WorkSender.h"
#include "src/sidecar/config/ConfigSync.h"
#include "src/sidecar/config/StateUpdateService.h"
#include "src/sidecar/limits/QuotaService.h"
#include "src/sidecar/limits/RetryBudgetService.h"
#include "src/sidecar/loadreports/HomeReportService.h"
#include "src/sidecar/membership/PathMonitor.h"
#include "src/sidecar/membership/RegionWatch.h"
#include "src/sidecar/membership/RegistrySync.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace waxwing {

/**
 * Services of the node and the connections between them. SidecarNode.cpp, SidecarMessages.cpp (messages of peers) and
 * SidecarLinks.cpp (links to peers) define its functions. Not thread safe.
 */
struct SidecarNode::Impl {
    /** Events kept in memory. Few are enough, because the log has all of them. */
    static constexpr std::size_t maxKeptEvents = 128;

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
        , homeReports(core, home,
                      [this](const std::string &node, const HomeLoad &load, SteadyTime madeAt) {
                          forwarder.noteHomeReport(node, load, madeAt);
                      })
        , quotas(core, paths, tuning.quota)
        , callerHandler(core, tuning.keyAdmission)
        , memoryWatch(core)
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
    /** The same for work that is about to start here, regardless of its link. */
    bool holdsTooMuch() const;
    /** Stores @p link if the sender of work in progress sent @p fence: the WorkReply goes to the last such link. */
    void noteReplyLink(LinkId link, const NodeRef &from, const Fence &fence);
    void applyConfig(const FleetConfig &changed);
    /** Opens the links to all nodes of this region, so that no request waits for one. */
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
    HomeReportService homeReports;
    QuotaService quotas;
    CallerHandler callerHandler;
    MemoryWatch memoryWatch;
    std::unique_ptr<PeerHub> peers;
    /** Null if callers and servers don't read slowly. */
    std::shared_ptr<ResponseFlow> flow;
    std::map<LinkId, LinkDelayEstimator> linkDelays;
    /** Link of the last Fence for work in progress (noteReplyLink()). */
    std::map<WorkKey, LinkId> replyLinks;
    /** Links that this node opened, with the node at the other end. */
    std::map<LinkId, std::string> outgoingLinks;
    /** Nodes to which reconnect() is opening a link. */
    std::set<std::string> reconnecting;
    std::unique_ptr<HttpServer> callerServer;
    std::unique_ptr<HttpServer> controlServer;
    std::unique_ptr<HttpServer> readinessServer;
    std::unique_ptr<HttpServer> metricsServer;
};

} // namespace waxwing
