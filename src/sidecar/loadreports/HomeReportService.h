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
    HomeReportService(NodeCore &core, LocalHome &home, ReportHook onReport);
    /** Sets the result hook of the home and starts the rounds. @pre called once. */
    void start();
    /** Stores the reports of a peer and passes those of this node's group on. */
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
    LocalHome &home_;
    ReportHook onReport_;
    HomeReportTable table_;
    /** Begins a round when there is something to report. */
    FiberNotifier wakeUp_;
    /** A request has ended at the own home since its last report. */
    bool hasOwnResult_ = false;
    std::int32_t reportedSlots_ = 0;
    /** The nodes with which this one exchanges reports. */
    RegistryEntries group_;
    std::uint64_t ownGroup_ = 0;
};

} // namespace waxwing
