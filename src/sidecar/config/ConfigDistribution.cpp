#include "src/sidecar/config/ConfigDistribution.h"

#include "include/fleet/Freshness.h"
#include "platform/ConfigVersion.h"
#include "src/fiber/FiberLoop.h"
#include "src/link/DocumentDeflate.h"
#include "src/node/NodeCore.h"
#include "src/sidecar/config/ConfigSync.h"
#include "src/sidecar/membership/RegionWatch.h"
#include "src/sidecar/membership/RegistrySync.h"

#include <algorithm>

namespace waxwing {

namespace {

/** A larger document is announced but not sent unasked: it would block a watcher's links. */
constexpr std::size_t maxPushedConfigBytes = 16UL * 1024;
/** Links compress the plain document that an older build gets; lists of routes shrink to an eighth or less. */
constexpr std::size_t linkCompression = 6;
constexpr std::size_t maxDocumentBytes = 8UL * 1024 * 1024;
/** Announcements at a time. Each takes a small node about 0.5 ms, in which it delivers nothing. */
constexpr std::size_t announcementsAtOnce = 24;
/** Interval of offers while a document is relayed, and of steps while nodes wait. */
constexpr Millis offerCheckInterval{20};
constexpr Millis idleInterval{100};
/** Time for the nodes to which this one delivers to ask, before decoding keeps this node from replying. */
constexpr Millis minRelayTime{120};
/** Decoding is not put off for longer, whoever waits. */
constexpr Millis maxRelayTime{400};

} // namespace

ConfigDistribution::ConfigDistribution(NodeCore &core, SendRequest sendRequest)
    : core_(core)
    , sendRequest_(std::move(sendRequest))
    , fetch_([this] { return core_.random(); })
{ }

void ConfigDistribution::start()
{
    config().onStoreDocument([this](const std::string &document, const std::string &source) {
        return handleStoreDocument(document, source);
    });
    region().setDeliveryCheck([this] { return fetch_.isDeliveryInTime(core_.clock.now()); });
}

ConfigSync &ConfigDistribution::config() const
{
    return core_.service<ConfigSync>("config");
}

RegionWatch &ConfigDistribution::region() const
{
    return core_.service<RegionWatch>("region-watch");
}

bool ConfigDistribution::holdsNewer() const
{
    return held_ && held_->version > config().version();
}

std::uint64_t ConfigDistribution::availableVersion() const
{
    return std::max(config().version(), held_ ? held_->version : 0);
}

std::shared_ptr<const std::string> ConfigDistribution::documentAbove(std::uint64_t version) const
{
    if (availableVersion() <= version) {
        return nullptr;
    }
    if (holdsNewer()) {
        return held_->text;
    }
    const std::shared_ptr<const FleetConfig> current = config().current();
    return {current, &current->source};
}

void ConfigDistribution::noteHolder(LinkId link, const NodeRef &peer, std::uint64_t version, bool isOffer)
{
    if (version <= availableVersion()) {
        return;
    }
    const SteadyTime now = core_.clock.now();
    const bool inRegion = region().isInRegion(peer.id);
    heardOn_[peer.id] = link;
    isOffer ? fetch_.noteOffer(version, peer.id, inRegion, now) : fetch_.noteHolder(version, peer.id, inRegion, now);
}

std::shared_ptr<const std::string> ConfigDistribution::deflated(const std::string &document)
{
    const std::uint64_t version = availableVersion();
    if (!deflated_ || deflated_->version != version) {
        deflated_ = DeflatedDocument{version, std::make_shared<const std::string>(deflateDocument(document))};
    }
    return deflated_->bytes;
}

void ConfigDistribution::addDocument(const NodeRef &peer, const StateUpdateRequest &request, StateUpdate &reply)
{
    const std::shared_ptr<const std::string> document = documentAbove(request.versions.config);
    const bool isLarge = document && document->size() > maxPushedConfigBytes;
    const bool deflates = isLarge && request.acceptsDeflated;
    const std::shared_ptr<const std::string> sent = deflates ? deflated(*document) : document;
    const std::size_t bytes = !sent ? 0 : sent->size() / (deflates ? 1 : linkCompression);
    const bool isBusy = isLarge && !delivery_.tryStart(bytes, core_.clock.now());
    if (holdsNewer()) {
        reply.versions = announcement().versions;
        reply.provenAge.reset();
    }
    if (!sent || isBusy) {
        core_.metrics.count(isBusy ? "config_requests_refused_busy" : "config_requests_refused_not_yet");
        delivery_.addWaiting(peer.id);
        waitersHold_ = std::max(waitersHold_, request.versions.config);
        return;
    }
    delivery_.removeWaiting(peer.id);
    if (deflates) {
        reply.deflatedConfig = *sent;
    } else {
        reply.config = *sent;
    }
    core_.metrics.count("config_documents_sent");
    core_.metrics.count("config_bytes_sent", sent->size());
    core_.events.writeRequest(
        Severity::Info, "config_sent",
        {{"to", peer.id}, {"version", std::to_string(reply.versions.config)}, {"bytes", std::to_string(sent->size())}});
}

std::optional<std::string> ConfigDistribution::documentIn(const NodeRef &peer, const StateUpdate &update)
{
    if (update.deflatedConfig.empty() || update.versions.config <= availableVersion()) {
        return update.config.empty() ? std::nullopt : std::optional<std::string>(update.config);
    }
    Expected<std::string> document = inflateDocument(update.deflatedConfig, maxDocumentBytes);
    if (!document) {
        core_.metrics.count("config_refused");
        core_.events.write(Severity::Error, "config_refused",
                           {{"source", peer.id}, {"findings", document.error().message}});
        return std::nullopt;
    }
    // This node delivers the same bytes.
    deflated_ =
        DeflatedDocument{update.versions.config, std::make_shared<const std::string>(update.deflatedConfig.text())};
    return std::move(*document);
}

void ConfigDistribution::handleUpdate(LinkId link, const NodeRef &peer, const StateUpdate &update)
{
    const bool answersRequest = request_ && request_->link == link && update.id == request_->id;
    if (answersRequest) {
        request_.reset();
    }
    const bool hasDocument = !update.config.empty() || !update.deflatedConfig.empty();
    noteHolder(link, peer, update.versions.config, update.id == 0 && !hasDocument);
    if (const std::optional<std::string> document = documentIn(peer, update)) {
        receive(update.versions.config, *document, peer.id);
    } else if (answersRequest) {
        fetch_.noteUnavailable(peer.id, core_.clock.now());
    }
}

void ConfigDistribution::receive(std::uint64_t version, const std::string &document, const std::string &source)
{
    if (version <= availableVersion()) {
        return;
    }
    if (document.size() <= maxPushedConfigBytes || config().version() == 0) {
        fetch_.noteReceived(version, core_.clock.now());
        config().applyDocument(document, source);
        return;
    }
    const auto text = std::make_shared<const std::string>(document);
    spawnFiber([this, version, text, source] { relayAndApply(version, text, source, false); });
}

bool ConfigDistribution::handleStoreDocument(const std::string &document, const std::string &source)
{
    const std::shared_ptr<const FleetConfig> current = config().current();
    if (!current || document.size() <= maxPushedConfigBytes || document == current->source) {
        return false;
    }
    const std::optional<std::uint64_t> version = platform::readConfigVersion(document);
    if (!version || *version <= current->version) {
        return false;
    }
    // Other nodes announce only what nobody else has: in an outage all nodes of a region can be stand-ins.
    const bool announces = region().role() == WatchRole::Watcher || !fetch_.isHeldInRegion(*version);
    relayAndApply(*version, std::make_shared<const std::string>(document), source, announces);
    return true;
}

void ConfigDistribution::relayAndApply(std::uint64_t version, const std::shared_ptr<const std::string> &document,
                                       const std::string &source, bool announces)
{
    if (version <= availableVersion()) {
        // The caller must not count the version as in force before the other fiber has applied it.
        while (!core_.stopping && held_ && held_->version >= version) {
            sleepFor(core_.ioContext, offerCheckInterval);
        }
        return;
    }
    held_ = HeldDocument{version, document};
    fetch_.noteReceived(version, core_.clock.now());
    heardOn_.clear();
    for (const std::string &child : region().deliveryPlace().children) {
        delivery_.addWaiting(child);
    }
    if (announces) {
        announce(announcement());
    }
    const SteadyTime since = core_.clock.now();
    while (isRelayTime(since) && held_ && held_->version == version) {
        sendOffers();
        announceToSome();
        sleepFor(core_.ioContext, offerCheckInterval);
    }
    core_.metrics.observe("config_relay", core_.clock.now() - since);
    config().applyDocument(*document, source);
    // It is in force or was refused.
    if (held_ && held_->version == version) {
        held_.reset();
    }
}

bool ConfigDistribution::isRelayTime(SteadyTime since) const
{
    const SteadyTime now = core_.clock.now();
    const Duration took = now - since;
    const bool mayBeAsked = !region().deliveryPlace().children.empty() && took < minRelayTime;
    const bool isWanted = delivery_.hasWaiting() || delivery_.isActive(now) || mayBeAsked;
    return !core_.stopping && isWanted && took < maxRelayTime;
}

StateUpdate ConfigDistribution::announcement() const
{
    StateUpdate update;
    update.versions.config = availableVersion();
    update.versions.registry = core_.service<RegistrySync>("registry").registry().revision();
    update.versions.isStoreReachable = config().isStoreReachable();
    return update;
}

void ConfigDistribution::announce(const StateUpdate &update)
{
    announcedVersion_ = update.versions.config;
    std::vector<LinkId> links = region().regionLinks();
    if (!links.empty()) {
        // Several nodes that announce one version reach different parts of the region first.
        const auto first = static_cast<std::ptrdiff_t>(core_.random() % links.size());
        std::rotate(links.begin(), links.begin() + first, links.end());
    }
    announcement_ = Announcement{update, std::move(links), 0, 0};
    // A small document is in force soon, and sending it is all that this node has to do for it.
    while (announcement_ && !update.config.empty()) {
        announceToSome();
    }
}

void ConfigDistribution::announceToSome()
{
    if (!announcement_) {
        return;
    }
    std::vector<LinkId> &links = announcement_->links;
    const std::size_t last = std::min(announcement_->sent + announcementsAtOnce, links.size());
    for (; announcement_->sent < last; ++announcement_->sent) {
        const bool sent = core_.service<PeerHub>("peers").reply(links[announcement_->sent], announcement_->update);
        announcement_->notified += sent ? 1 : 0;
    }
    if (last == links.size()) {
        core_.events.write(Severity::Info, "region_notified",
                           {{"version", std::to_string(announcement_->update.versions.config)},
                            {"nodes", std::to_string(announcement_->notified)}});
        announcement_.reset();
    }
}

void ConfigDistribution::configChanged()
{
    const std::uint64_t version = config().version();
    const WatchRole role = region().role();
    const bool isFirst = role == WatchRole::StandIn && !fetch_.isHeldInRegion(version);
    fetch_.noteReceived(version, core_.clock.now());
    heardOn_.clear();
    if ((role != WatchRole::Watcher && !isFirst) || announcedVersion_ >= version) {
        return;
    }
    StateUpdate update = announcement();
    update.versions.config = version;
    const std::string &document = config().current()->source;
    if (document.size() <= maxPushedConfigBytes) {
        update.config = document;
    }
    announce(update);
}

void ConfigDistribution::sendOffers()
{
    if (!delivery_.hasWaiting() || availableVersion() <= waitersHold_) {
        return;
    }
    const StateUpdate offer = announcement();
    for (const std::string &peer : delivery_.takeOffers(core_.clock.now())) {
        if (const std::optional<LinkId> link = linkTo(peer)) {
            core_.metrics.count("config_offers");
            core_.service<PeerHub>("peers").reply(*link, offer);
        }
    }
    waitersHold_ = delivery_.hasWaiting() ? waitersHold_ : 0;
}

void ConfigDistribution::linkClosed(LinkId link)
{
    if (request_ && request_->link == link) {
        request_.reset();
        if (const std::optional<std::string> peer = fetch_.pendingPeer()) {
            fetch_.noteLost(*peer, core_.clock.now());
        }
    }
    for (auto heard = heardOn_.begin(); heard != heardOn_.end();) {
        heard = heard->second == link ? heardOn_.erase(heard) : std::next(heard);
    }
}

SteadyTime ConfigDistribution::update()
{
    const SteadyTime now = core_.clock.now();
    sendOffers();
    announceToSome();
    const bool isActive = delivery_.hasWaiting() || announcement_;
    SteadyTime next = now + (isActive ? offerCheckInterval : idleInterval);
    if (config().version() == 0) {
        return next;
    }
    fetch_.setPlace(region().deliveryPlace());
    const ConfigFetchStep step = fetch_.next(region().role(), canUseStore(), now);
    switch (step.kind) {
    case ConfigFetchStep::Kind::Nothing:
        break;
    case ConfigFetchStep::Kind::Wait:
        next = std::min(next, std::max(step.until, now + offerCheckInterval / 2));
        break;
    case ConfigFetchStep::Kind::AskPeer:
        requestFrom(step);
        next = now + offerCheckInterval;
        break;
    case ConfigFetchStep::Kind::ReadStore:
        logRequest("store", step.reason);
        config().requestPoll();
        next = now + offerCheckInterval;
        break;
    }
    return next;
}

void ConfigDistribution::requestFrom(const ConfigFetchStep &step)
{
    const SteadyTime now = core_.clock.now();
    const std::optional<LinkId> link = linkTo(step.peer);
    if (!link) {
        fetch_.noteLost(step.peer, now);
        return;
    }
    logRequest(step.peer, step.reason);
    request_ = Request{sendRequest_(*link), *link};
    fetch_.noteSent(step.peer, now);
}

void ConfigDistribution::logRequest(const std::string &from, const char *reason)
{
    core_.metrics.count(from == "store" ? "config_requests_to_store" : "config_requests_to_nodes");
    const SteadyTime now = core_.clock.now();
    const auto heardMs = millisOf(now - fetch_.newerSince().value_or(now)).count();
    core_.events.writeRequest(Severity::Info, "config_requested",
                              {{"from", from},
                               {"reason", reason},
                               {"held", std::to_string(config().version())},
                               {"heardMs", std::to_string(heardMs)}});
}

bool ConfigDistribution::canUseStore() const
{
    const std::optional<SteadyTime> since = fetch_.newerSince();
    return config().isStoreReachable() && !(since && config().freshness().hasFailedSince(*since));
}

std::optional<LinkId> ConfigDistribution::linkTo(const std::string &peer) const
{
    const RegistryEntryPtr entry = core_.service<RegistrySync>("registry").registry().find(peer);
    const std::optional<LinkId> open = entry ? core_.service<PeerHub>("peers").openLinkAt(entry->links) : std::nullopt;
    const auto heard = heardOn_.find(peer);
    return open || heard == heardOn_.end() ? open : std::optional<LinkId>(heard->second);
}

} // namespace waxwing
