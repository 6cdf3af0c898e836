#pragma once

#include "include/schedule/ReservationPlanner.h"
#include "include/wire/Messages.h"
#include "src/fiber/FiberNotifier.h"
#include "src/link/PeerHub.h"
#include "src/sidecar/home/SlotReservationService.h"
#include "src/sidecar/ingress/SlotRequester.h"

#include <cstddef>
#include <optional>
#include <string>

namespace waxwing {

struct NodeCore;
class LocalHome;

/**
 * Connects the two sides of slot reservations on this node with the links, with the home of its server, and with each
 * other: the ingress reserves at the home of its own node without a link. Not thread safe.
 */
class SlotMessenger
{
public:
    /** @pre "peers" and "registry" are in the kernel before start(). */
    SlotMessenger(NodeCore &core, LocalHome &home, const ReservationTuning &tuning, std::size_t maxWaitingRequests);
    /** @pre called once, before the home starts. */
    void start();

    SlotRequester &requester();
    /** @p delay: delay of the message on its way. */
    void handle(LinkId link, const NodeRef &from, SlotReserve reserve, Millis delay);
    void handle(const NodeRef &from, const SlotOffer &offer);
    void handle(const NodeRef &from, const SlotRelease &release);
    void linkClosed(LinkId link);

private:
    SlotReservationService::Hooks makeServiceHooks();
    SlotRequester::Transport makeTransport();
    void setHomeHooks();
    /** Delivers an offer to this node's own ingress, or sends it. Returns false if the link has closed. */
    bool sendOffer(LinkId link, const SlotOffer &offer);
    std::optional<LinkId> sendReserve(const std::string &to, SlotReserve reserve);
    void sendRelease(const std::string &to, const SlotRelease &release);
    /** Returns the open link to the node, whatever its build. */
    std::optional<LinkId> openLink(const std::string &to) const;
    /** Opens a link for later reservations, without waiting for it. Joins an opening that is under way. */
    void warmLink(const std::string &to);
    bool isInOtherRegion(const NodeRef &node) const;
    void expiryLoop();

    NodeCore &core_;
    LocalHome &home_;
    SlotReservationService reservations_;
    SlotRequester requester_;
    FiberNotifier expiry_;
};

} // namespace waxwing
