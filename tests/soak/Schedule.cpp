#include "tests/soak/Schedule.h"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>
#include <array>

namespace waxwing::soak {

namespace {

constexpr Millis firstFaultAt{1000};
constexpr Millis minFaultLength{300};
/** Below the requests' timeout and above it: the outcome of a request can be learned after a short fault only. */
constexpr Millis maxFaultLength{4000};
constexpr Millis maxGap{800};
constexpr int maxOverlapping = 4;
constexpr int drawsPerFault = 20;

struct KindInfo {
    FaultKind kind;
    const char *name;
    Resource resource;
    int minAmount;
    int maxAmount;
};

constexpr std::array kinds = {
    KindInfo{FaultKind::LinkDelayed, "link-delayed", Resource::Link, 20, 400},
    KindInfo{FaultKind::LinkReset, "link-reset", Resource::Link, 0, 0},
    KindInfo{FaultKind::LinkCutToNode, "link-cut-to-node", Resource::Link, 0, 0},
    KindInfo{FaultKind::LinkCutFromNode, "link-cut-from-node", Resource::Link, 0, 0},
    KindInfo{FaultKind::LinkSilent, "link-silent", Resource::Link, 0, 0},
    KindInfo{FaultKind::LinkSlow, "link-slow", Resource::Link, 5000, 100000},
    KindInfo{FaultKind::StoreLinkCut, "store-link-cut", Resource::StoreLink, 0, 0},
    KindInfo{FaultKind::NodeStopped, "node-stopped", Resource::Node, 0, 0},
    KindInfo{FaultKind::NodePaused, "node-paused", Resource::Node, 0, 0},
    KindInfo{FaultKind::NodeKilled, "node-killed", Resource::Node, 0, 0},
    KindInfo{FaultKind::StoreSlow, "store-slow", Resource::Store, 50, 1500},
    KindInfo{FaultKind::StoreDown, "store-down", Resource::Store, 0, 0},
    KindInfo{FaultKind::StoreLosesResponses, "store-loses-responses", Resource::Store, 1, 4},
    KindInfo{FaultKind::StoreForgetsHistory, "store-forgets-history", Resource::Store, 0, 0},
    KindInfo{FaultKind::ServerSheds, "server-sheds", Resource::Server, 30, 70},
    KindInfo{FaultKind::ServerHangs, "server-hangs", Resource::Server, 0, 0},
    KindInfo{FaultKind::ServerSlow, "server-slow", Resource::Server, 200, 2500},
    KindInfo{FaultKind::ServerKilled, "server-killed", Resource::Server, 0, 0},
    KindInfo{FaultKind::ConfigChanged, "config-changed", Resource::Store, 0, 0},
    KindInfo{FaultKind::KeyTakenAway, "key-taken-away", Resource::Store, 0, 0},
};

const KindInfo &infoOf(FaultKind kind)
{
    return *std::find_if(kinds.begin(), kinds.end(), [kind](const KindInfo &info) { return info.kind == kind; });
}

/** Draws of one seed. Boost's distributions give the same numbers on every platform, those of the library don't. */
class Draws
{
public:
    explicit Draws(std::uint64_t seed)
        : engine_(seed)
    { }

    int between(int low, int high)
    {
        return boost::random::uniform_int_distribution<int>(low, high)(engine_);
    }

    Millis between(Millis low, Millis high)
    {
        return Millis(between(static_cast<int>(low.count()), static_cast<int>(high.count())));
    }

    Fault fault(Millis start, int nodes)
    {
        const KindInfo &info = kinds.at(static_cast<std::size_t>(between(0, static_cast<int>(kinds.size()) - 1)));
        Fault fault{info.kind, allTargets, start, between(minFaultLength, maxFaultLength),
                    between(info.minAmount, info.maxAmount)};
        if (info.resource != Resource::Store) {
            fault.target = between(0, nodes - 1);
        }
        // A service may shed load as a whole.
        if (info.kind == FaultKind::ServerSheds && between(0, 1) == 0) {
            fault.target = allTargets;
        }
        return fault;
    }

private:
    boost::random::mt19937_64 engine_;
};

} // namespace

Resource resourceOf(FaultKind kind)
{
    return infoOf(kind).resource;
}

Millis Fault::end() const
{
    return start + length;
}

bool Fault::sharesResource(const Fault &other) const
{
    const bool commonTarget = target == other.target || target == allTargets || other.target == allTargets;
    return resourceOf(kind) == resourceOf(other.kind) && commonTarget;
}

std::string Fault::text() const
{
    return std::to_string(start.count()) + "-" + std::to_string(end().count()) + " ms " + infoOf(kind).name
           + " target=" + (target == allTargets ? "all" : std::to_string(target)) + " amount=" + std::to_string(amount);
}

std::vector<Fault> makeSchedule(std::uint64_t seed, Millis length, int nodes)
{
    Draws draws(seed);
    std::vector<Fault> faults;
    Millis at = firstFaultAt;
    while (at < length) {
        const int count = draws.between(0, 1) == 0 ? 1 : draws.between(2, maxOverlapping);
        const std::size_t first = faults.size();
        Millis end = at;
        for (int draw = 0; draw < drawsPerFault && faults.size() < first + static_cast<std::size_t>(count); ++draw) {
            const bool isFirst = faults.size() == first;
            const Fault fault = draws.fault(isFirst ? at : at + draws.between(Millis(0), minFaultLength), nodes);
            const bool conflicts = std::any_of(faults.begin() + static_cast<std::ptrdiff_t>(first), faults.end(),
                                               [&fault](const Fault &other) { return fault.sharesResource(other); });
            if (!conflicts) {
                faults.push_back(fault);
                end = std::max(end, fault.end());
            }
        }
        at = end + draws.between(Millis(0), maxGap);
    }
    std::stable_sort(faults.begin(), faults.end(), [](const Fault &a, const Fault &b) { return a.start < b.start; });
    return faults;
}

} // namespace waxwing::soak
