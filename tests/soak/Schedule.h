#pragma once

#include "include/base/Clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace waxwing::soak {

enum class FaultKind {
    LinkDelayed,
    LinkReset,
    LinkCutToNode,
    LinkCutFromNode,
    LinkSilent,
    LinkSlow,
    StoreLinkCut,
    NodeStopped,
    NodePaused,
    NodeKilled,
    StoreSlow,
    StoreDown,
    StoreLosesResponses,
    StoreForgetsHistory,
    ServerSheds,
    ServerHangs,
    ServerSlow,
    ServerKilled,
    ConfigChanged,
    KeyTakenAway,
};

/** What a fault affects; faults of one resource and one target never overlap. */
enum class Resource { Link, StoreLink, Node, Store, Server };

/** Target of a fault that affects all nodes, or that has no node. */
constexpr int allTargets = -1;

struct Fault {
    FaultKind kind = FaultKind::LinkDelayed;
    /** Index of the node or server, or allTargets. */
    int target = allTargets;
    /** Time since the start of the schedule. */
    Millis start{0};
    Millis length{0};
    /** Delay in milliseconds, bytes per second or percent, by the kind. */
    int amount = 0;

    Millis end() const;
    /** Returns true if both faults affect the same resource of a common target. */
    bool sharesResource(const Fault &other) const;
    /** Returns one line of text. */
    std::string text() const;
};

Resource resourceOf(FaultKind kind);

/**
 * Returns the faults of a run in the order of their start, in series and overlapping. The result depends on the
 * arguments only. @pre @p nodes is positive.
 */
std::vector<Fault> makeSchedule(std::uint64_t seed, Millis length, int nodes);

} // namespace waxwing::soak
