#pragma once

#include "include/route/HomeRanking.h"
#include "include/route/HomeSubset.h"
#include "include/schedule/ReservationPlanner.h"
#include "src/sidecar/ingress/ForwardedRequest.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace waxwing {

struct NodeCore;
class LocalHome;
class PathMonitor;
class RetryGate;
class RouteStats;
class SlotRequester;
class StartLimit;
struct SlotOffer;
struct SlotWaitResult;

/**
 * Chooses the next home of a request by HomeRanking, and decides whether the request first waits for a slot offer.
 * Updates the ranking with slot offers and the state of paths. Sends no request. Not thread safe.
 */
class HomeSelector
{
public:
    /** Sets the offer listener of @p slots and the hooks of @p paths. The arguments must outlive this object. */
    HomeSelector(NodeCore &core, LocalHome &home, PathMonitor &paths, SlotRequester &slots, const RouteStats &stats,
                 const StartLimit &startLimit, const RetryGate &retries);
    HomeSelector(const HomeSelector &) = delete;
    HomeSelector &operator=(const HomeSelector &) = delete;

    /** Returns the best home, whose node is empty if there is none. Starts the checks of paths that are due. */
    HomeChoice choose(const ForwardedRequest &request, SteadyTime now);
    /** Returns true if the body of @p request is too large for a link, so that only the home of this node can run it.
     */
    static bool needsOwnHome(const ForwardedRequest &request);
    /** Returns true if the request may wait for a slot at all, by its route, its customer and the settings. */
    bool mayWaitForSlot(const ForwardedRequest &request) const;
    /**
     * Returns true if no home has room now, so that the request reserves the next free slot of several homes. If the
     * best home has none, but another one, sets @p choice to it.
     */
    bool shouldReserve(const ForwardedRequest &request, HomeChoice &choice);
    /**
     * Returns true if a hedge would be refused, since it doesn't queue: no home has a free slot, and those who wait for
     * one are offered it.
     */
    bool isHedgeUseless(const ForwardedRequest &request, const HomeChoice &choice) const;
    /**
     * Reserves at several homes and waits for an offer. Without one, sets the reply of @p attempt. @pre called from a
     * fiber.
     */
    SlotWaitResult awaitSlot(const ForwardedRequestPtr &request, const AttemptPtr &attempt);
    /** Returns the choice of the home that offers @p slot. @p choice: the home that was the best before the wait. */
    HomeChoice choiceOf(const ForwardedRequest &request, const SlotWaitResult &slot, HomeChoice choice);

    /** The ranking, to which the results of sends are reported. */
    HomeRanking &ranking();
    /** Drops the state of nodes that are no longer in the registry. */
    void registryChanged();

private:
    void noteOffer(const std::string &home, const SlotOffer &offer, int priority);
    /** The homes of a service, as of one generation of the registry. */
    struct ServiceHomes {
        std::uint64_t generation = 0;
        std::vector<RankedHome> all;
        /** Those that requests are sent to unless an unknown home would be better than all of them. */
        std::vector<RankedHome> subset;
    };

    /** Returns the homes of @p service in the registry, and this node if its server provides the service. */
    const ServiceHomes &homesOf(const std::string &service);
    /** Returns the homes that @p request can be sent to. */
    const ServiceHomes &homesFor(const ForwardedRequest &request);
    HomeChoice chooseExcept(const ForwardedRequest &request, const std::set<std::string> &excluded, SteadyTime now);
    HomeQuery queryOf(const ForwardedRequest &request) const;
    std::vector<ReservationCandidate> reservationCandidates(const ForwardedRequest &request);

    NodeCore &core_;
    LocalHome &home_;
    PathMonitor &paths_;
    SlotRequester &slots_;
    const RouteStats &stats_;
    const StartLimit &startLimit_;
    const RetryGate &retries_;
    HomeRanking ranking_;
    /** By service, as far as requests were sent to it since the last change of the registry. */
    std::map<std::string, ServiceHomes> homes_;
    /** The home of this node alone, and no home. */
    const ServiceHomes ownHome_;
    const ServiceHomes noHome_;
};

} // namespace waxwing
