#include "src/sidecar/NewsService.h"

#include "include/fleet/Freshness.h"
#include "src/fiber/FiberLoop.h"
#include "src/node/NodeCore.h"
#include "src/sidecar/ConfigFollower.h"
#include "src/sidecar/RegionWatch.h"
#include "src/sidecar/RosterKeeper.h"

#include <algorithm>
#include <iterator>

namespace waxwing {

namespace {

constexpr Millis checkPause{100};
/** Time for the store to tell of a change that another node has heard of already. */
constexpr Millis storeTellsWithin{300};
/** A version that this node does not accept must not make it ask the store all the time. */
constexpr Millis askStorePause{700};
/** Time for the store to tell a node that has just started. */
constexpr Millis storeStartsWithin{1000};
/** A large configuration takes seconds over a narrow link; a copy from a second node would only delay the first. */
constexpr Millis copyTimeout{4000};
/** From this age on the other nodes are asked, which costs less than asking the store. */
constexpr Millis askVersionsAfter{1200};
/** A follower asks sooner: its answer must come before it stands in for the watchers. */
constexpr Millis followerAsksAfter{900};
constexpr Millis askVersionsPause{400};
/** A larger document is told of and not sent: read from the store it holds up no watcher's link. */
constexpr std::size_t mostToldBytes = 16UL * 1024;

} // namespace

NewsService::NewsService(NodeCore &core)
    : core_(core)
{ }

void NewsService::start()
{
    started_ = core_.clock.now();
    spawnFiber([this] { run(); });
}

KnownVersions NewsService::versions()
{
    ConfigFollower &config = core_.service<ConfigFollower>("config");
    KnownVersions own{config.version(), core_.service<RosterKeeper>("roster").roster().asOf()};
    if (const std::optional<Duration> age = config.freshness().age(core_.clock.now())) {
        own.configAge = std::min(KnownVersions::mostConfigAge, std::chrono::ceil<Millis>(*age));
    }
    own.storeAnswers = config.storeAnswers();
    return own;
}

bool NewsService::isStoreAway() const
{
    return !core_.service<RosterKeeper>("roster").storeAnswers();
}

void NewsService::linkOpened(LinkId link)
{
    links_.insert(link);
}

void NewsService::linkClosed(LinkId link)
{
    links_.erase(link);
    asked_.erase(link);
    if (copyAskedOn_ == link) {
        copyAskedOn_.reset();
    }
    if (newerConfig_ && newerConfig_->link == link) {
        newerConfig_.reset();
    }
}

void NewsService::heard(LinkId link, const KnownVersions &theirs)
{
    // How long it was under way is not known, so it does not show that a node may begin to take callers.
    ConfigFollower &config = core_.service<ConfigFollower>("config");
    const SteadyTime now = core_.clock.now();
    if (!isFollower() && config.freshness().mayServeCallers(now, true)) {
        confirmBy(theirs, now);
    }
    if (const std::optional<NodeRef> peer = core_.service<PeerHub>("peers").peerOn(link)) {
        core_.service<RegionWatch>("region-watch").noteStore(peer->id, theirs.storeAnswers);
    }
    noteNewer(link, theirs);
}

bool NewsService::isFollower() const
{
    return core_.service<RegionWatch>("region-watch").role() == WatchRole::Follower;
}

void NewsService::configChanged()
{
    RegionWatch &region = core_.service<RegionWatch>("region-watch");
    if (region.role() != WatchRole::Watcher) {
        return;
    }
    News news;
    news.versions = versions();
    const std::string &document = core_.service<ConfigFollower>("config").current()->source;
    if (document.size() <= mostToldBytes) {
        news.config = document;
    }
    std::size_t told = 0;
    for (const LinkId link : region.regionLinks()) {
        told += core_.service<PeerHub>("peers").reply(link, news) ? 1 : 0;
    }
    core_.events.write(Severity::Info, "region_told",
                       {{"version", std::to_string(news.versions.config)}, {"nodes", std::to_string(told)}});
}

void NewsService::confirmBy(const KnownVersions &theirs, SteadyTime sentAfter)
{
    ConfigFollower &config = core_.service<ConfigFollower>("config");
    if (theirs.config == config.version() && theirs.configAge < KnownVersions::mostConfigAge) {
        config.freshness().confirm(sentAfter - theirs.configAge);
    }
}

void NewsService::noteNewer(LinkId link, const KnownVersions &theirs)
{
    const std::uint64_t held = core_.service<ConfigFollower>("config").version();
    const SteadyTime now = core_.clock.now();
    if (theirs.config > held && (!newerConfig_ || theirs.config > newerConfig_->version)) {
        newerConfig_ = Newer{link, theirs.config, newerConfig_ ? newerConfig_->since : now};
    }
    const bool newerRoster = theirs.roster > core_.service<RosterKeeper>("roster").roster().asOf();
    if (newerRoster && isStoreAway() && now - lastAsked_ >= askVersionsPause) {
        ask(link, false, true);
    }
}

void NewsService::run()
{
    while (!core_.stopping) {
        sleepFor(core_.ioContext, checkPause);
        askIfNeeded();
    }
}

void NewsService::askIfNeeded()
{
    ConfigFollower &config = core_.service<ConfigFollower>("config");
    const SteadyTime now = core_.clock.now();
    if (newerConfig_ && newerConfig_->version <= config.version()) {
        newerConfig_.reset();
    }
    if (newerConfig_ && now - newerConfig_->since >= storeTellsWithin && now - lookAskedAt_ >= askStorePause) {
        lookAskedAt_ = now;
        config.requestLook();
    }
    const std::optional<LinkId> holder = whomToAskForConfig();
    if (holder && (!copyAskedOn_ || now >= copyUntil_)) {
        copyAskedOn_ = holder;
        copyUntil_ = now + copyTimeout;
        ask(*holder, true, isStoreAway());
        return;
    }
    const bool old = config.freshness().isOlderThan(isFollower() ? followerAsksAfter : askVersionsAfter, now);
    if (config.version() == 0 || !old || now - lastAsked_ < askVersionsPause) {
        return;
    }
    if (const std::optional<LinkId> other = whomToAskForVersions()) {
        ask(*other, false, false);
    }
}

std::optional<LinkId> NewsService::whomToAskForVersions()
{
    const std::optional<LinkId> watcher = core_.service<RegionWatch>("region-watch").linkToWatcher();
    return watcher && asked_.count(*watcher) == 0 ? watcher : anyLink();
}

std::optional<LinkId> NewsService::whomToAskForConfig()
{
    ConfigFollower &config = core_.service<ConfigFollower>("config");
    const SteadyTime now = core_.clock.now();
    if (newerConfig_) {
        const bool storeFails = config.freshness().hasFailedSince(newerConfig_->since) || !config.storeAnswers();
        return storeFails ? std::optional<LinkId>(newerConfig_->link) : std::nullopt;
    }
    const bool storeIsLate = !config.storeAnswers() && now - started_ >= storeStartsWithin;
    const bool storeFailed = config.freshness().hasFailedSince(started_);
    return config.version() == 0 && (storeIsLate || storeFailed) ? anyLink() : std::nullopt;
}

std::optional<LinkId> NewsService::anyLink()
{
    if (links_.empty()) {
        return std::nullopt;
    }
    return *std::next(links_.begin(), static_cast<std::ptrdiff_t>(core_.random() % links_.size()));
}

void NewsService::ask(LinkId link, bool wantsConfig, bool wantsRoster)
{
    lastAsked_ = core_.clock.now();
    const std::uint64_t id = nextQuestion_++;
    asked_.emplace(link, Question{id, lastAsked_});
    core_.service<PeerHub>("peers").reply(link, NewsRequest{id, versions(), wantsConfig, wantsRoster});
}

void NewsService::handleRequest(LinkId link, const NewsRequest &request)
{
    heard(link, request.versions);
    News news;
    news.id = request.id;
    news.versions = versions();
    if (request.wantsConfig && news.versions.config > request.versions.config) {
        news.config = core_.service<ConfigFollower>("config").current()->source;
    }
    if (request.wantsRoster && news.versions.roster > request.versions.roster) {
        for (const RosterEntryPtr &entry : core_.service<RosterKeeper>("roster").roster().all()) {
            news.roster.push_back(*entry);
        }
    }
    core_.service<PeerHub>("peers").reply(link, news);
}

void NewsService::handleNews(LinkId link, const NodeRef &from, const News &news)
{
    ConfigFollower &config = core_.service<ConfigFollower>("config");
    if (copyAskedOn_ == link) {
        copyAskedOn_.reset();
    }
    if (!news.config.empty() && news.versions.config > config.version()) {
        config.take(news.config, from.id);
    }
    core_.service<RosterKeeper>("roster").takeList(news.roster, news.versions.roster);
    const auto asked = asked_.find(link);
    // An answer to a later question shows at least what one to the oldest would.
    if (asked != asked_.end() && news.id >= asked->second.id) {
        confirmBy(news.versions, asked->second.sentAt);
        asked_.erase(asked);
    }
    core_.service<RegionWatch>("region-watch").noteStore(from.id, news.versions.storeAnswers);
    noteNewer(link, news.versions);
}

} // namespace waxwing
