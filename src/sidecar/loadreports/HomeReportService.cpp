#include "src/sidecar/loadreports/HomeReportService.h"

#include "src/fiber/FiberLoop.h"
#include "src/node/NodeCore.h"
#include "src/sidecar/LocalHome.h"
#include "src/sidecar/membership/RegistrySync.h"

#include <algorithm>
#include <set>

namespace waxwing {

namespace {

/** Mean time between two rounds while there are reports to send, and time after which a round begins without any. */
constexpr Millis roundInterval{200};
constexpr Millis idleInterval{1000};
/** Peers that get the reports of a round. */
constexpr std::size_t peersPerRound = 2;
/** The reports state the load for the most urgent requests: less urgent ones wait for at least as long. */
constexpr int reportedPriority = 0;

} // namespace

HomeReportService::HomeReportService(NodeCore &core, LocalHome &home, ReportHook onReport)
    : core_(core)
    , home_(home)
    , onReport_(std::move(onReport))
    , table_(core.self.id, core.self.incarnation)
{ }

void HomeReportService::start()
{
    // Without waking up, the result of the only request in a zone would be reported up to idleInterval late.
    home_.setResultHook([this] {
        hasOwnResult_ = true;
        wakeUp_.notify();
    });
    spawnFiber([this] { run(); });
}

void HomeReportService::run()
{
    while (!core_.stopping) {
        // Jitter: nodes that started together must not all send at the same moment.
        sleepFor(core_.ioContext, roundInterval / 2 + core_.randomBelow(roundInterval));
        reportOwnHome();
        if (table_.hasUnsent(core_.clock.now())) {
            send();
        } else {
            wakeUp_.wait(core_.ioContext, idleInterval);
        }
    }
}

void HomeReportService::reportOwnHome()
{
    const HomeLoad load = home_.load(reportedPriority);
    if (!hasOwnResult_ && load.slots == reportedSlots_) {
        return;
    }
    hasOwnResult_ = false;
    reportedSlots_ = load.slots;
    table_.setOwn(load, core_.clock.now());
    onReport_(core_.self.id, load, core_.clock.now());
}

void HomeReportService::send()
{
    PeerHub &peers = core_.service<PeerHub>("peers");
    const auto canReceive = [&](const RegistryEntry &entry) {
        const std::optional<LinkId> link = peers.openLinkAt(entry.links);
        return link && peers.peerKnowsHomeReports(*link);
    };
    const RegistryEntries chosen = sampleEntries(
        group_, peersPerRound, [this] { return core_.random(); }, canReceive);
    for (const RegistryEntryPtr &peer : chosen) {
        std::vector<HomeReport> reports = table_.take(core_.clock.now());
        const std::optional<LinkId> link = peers.openLinkAt(peer->links);
        if (reports.empty() || !link) {
            return;
        }
        core_.metrics.count("home_reports_sent", reports.size());
        peers.reply(*link, HomeReports{std::move(reports)});
    }
}

void HomeReportService::handle(const HomeReports &message)
{
    const SteadyTime now = core_.clock.now();
    const NodeRegistry &registry = core_.service<RegistrySync>("registry").registry();
    std::size_t added = 0;
    for (const HomeReport &report : message.reports) {
        const RegistryEntryPtr entry = registry.find(report.node);
        if (entry != nullptr && isInGroup(*entry) && table_.add(report, now)) {
            ++added;
            onReport_(report.node, report.load, now - report.age);
        }
    }
    core_.metrics.count("home_reports_received", message.reports.size());
    core_.metrics.count("home_reports_new", added);
    if (added > 0) {
        wakeUp_.notify();
    }
}

bool HomeReportService::isInGroup(const RegistryEntry &entry) const
{
    const std::size_t zoneSize = core_.service<RegistrySync>("registry").registry().inZone(core_.settings.zone).size();
    return entry.zone == core_.settings.zone && reportGroup(entry.id, zoneSize) == ownGroup_;
}

void HomeReportService::registryChanged()
{
    const RegistryEntries &zone = core_.service<RegistrySync>("registry").registry().inZone(core_.settings.zone);
    ownGroup_ = reportGroup(core_.self.id, zone.size());
    group_.clear();
    std::set<std::string> known = {core_.self.id};
    for (const RegistryEntryPtr &entry : zone) {
        if (entry->id != core_.self.id && isInGroup(*entry)) {
            group_.push_back(entry);
            known.insert(entry->id);
        }
    }
    table_.keepOnly(known);
}

} // namespace waxwing
