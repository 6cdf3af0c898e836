#pragma once

#include "include/route/HomeReportTable.h"
#include "include/wire/Messages.h"
#include "src/fiber/FiberNotifier.h"
#include "src/link/PeerHub.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace waxwing {

struct NodeCore;
class LocalHome;

/**
 * Exchanges reports of the homes of a zone with the nodes around this one (HomeReportTable), and passes them to the
 * choice of homes. A node that sends one request a second to hundreds of homes would otherwise know none of them, and
 * each node would find each gray server at the cost of a request. Not thread safe.
 */
class HomeReportService
{
public:
    /** Receives the load of a home at @p madeAt. */
    using ReportHook = std::function<void(const std::string &node, const HomeLoad &load, SteadyTime madeAt)>;

    /** @pre @p core and @p home outlive this object; "peers" and "registry" are in the kernel before start(). */
    HomeReportService(NodeCore &core, const LocalHome &home, ReportHook onReport);
    void start();
    void handle(const HomeReports &message);
    /** Drops the reports of nodes that have left. */
    void registryChanged();

private:
    void run();
    /** Reports the own home if a request ended there or its server changed since the last report. */
    void reportOwnHome();
    /** Passes new reports on to some peers. */
    void send();
    bool isInGroup(const RegistryEntry &entry) const;

    NodeCore &core_;
    const LocalHome &home_;
    ReportHook onReport_;
    HomeReportTable table_;
    /** Begins a round when there is something to report. */
    FiberNotifier wakeUp_;
    std::uint64_t reportedResults_ = 0;
    std::int32_t reportedSlots_ = 0;
    /** The nodes with which this one exchanges reports. */
    RegistryEntries group_;
    std::uint64_t ownGroup_ = 0;
};

} // namespace waxwing
