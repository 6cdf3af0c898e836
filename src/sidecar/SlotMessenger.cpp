#include "src/sidecar/SlotMessenger.h"

#include "src/fiber/FiberLoop.h"
#include "src/node/NodeCore.h"
#include "src/sidecar/LocalHome.h"
#include "src/sidecar/membership/RegistrySync.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace waxwing {

namespace {

/** Bounds on the pause of the loop that frees slots whose offers have expired. */
constexpr Millis minExpiryInterval{1};
constexpr Millis maxExpiryInterval{1000};
/** Timeout of opening a link that no request waits for. */
constexpr Millis openTimeout{1500};

SlotRequesterTuning requesterTuning(std::size_t maxWaiting)
{
    SlotRequesterTuning tuning;
    tuning.maxWaiting = maxWaiting;
    return tuning;
}

} // namespace

SlotMessenger::SlotMessenger(NodeCore &core, LocalHome &home, const ReservationTuning &tuning,
                             std::size_t maxWaitingRequests)
    : core_(core)
    , home_(home)
    , reservations_(core.clock, core.metrics, core.events, makeServiceHooks())
    , requester_(
          core.clock, core.metrics, core.events, [&core] { return core.random(); }, makeTransport(), tuning,
          requesterTuning(maxWaitingRequests))
{ }

void SlotMessenger::start()
{
    setHomeHooks();
    spawnFiber([this] { expiryLoop(); });
}

SlotRequester &SlotMessenger::requester()
{
    return requester_;
}

SlotReservationService::Hooks SlotMessenger::makeServiceHooks()
{
    SlotReservationService::Hooks hooks;
    hooks.nextSlotId = [this] { return home_.nextSlotId(); };
    hooks.submit = [this](const SlotRequest &request) { return home_.submitReservation(request); };
    hooks.freeSlot = [this](std::uint64_t slotId) { home_.freeSlot(slotId); };
    hooks.load = [this](int priority) { return home_.load(priority); };
    hooks.refusal = [this](const std::string &service) { return home_.closedReason(service); };
    hooks.isInOtherRegion = [this](const NodeRef &sender) { return isInOtherRegion(sender); };
    hooks.send = [this](LinkId link, const SlotOffer &offer) { return sendOffer(link, offer); };
    hooks.onOffered = [this] { expiry_.notify(); };
    return hooks;
}

SlotRequester::Transport SlotMessenger::makeTransport()
{
    SlotRequester::Transport transport;
    transport.knowsReservations = [this](const std::string &to) -> std::optional<bool> {
        if (to == core_.self.id) {
            return true;
        }
        const std::optional<LinkId> link = openLink(to);
        return link ? std::optional<bool>(core_.service<PeerHub>("peers").peerKnowsReservations(*link)) : std::nullopt;
    };
    transport.reserve = [this](const std::string &to, const SlotReserve &reserve) { return sendReserve(to, reserve); };
    transport.release = [this](const std::string &to, const SlotRelease &release) { sendRelease(to, release); };
    transport.pause = [this](FiberNotifier &notifier, Duration timeout) { notifier.wait(core_.ioContext, timeout); };
    return transport;
}

void SlotMessenger::setHomeHooks()
{
    LocalHome::ReservationHooks hooks;
    hooks.onStarted = [this](std::uint64_t slotId) { return reservations_.slotStarted(slotId); };
    hooks.onRemoved = [this](std::uint64_t slotId, const std::string &reason) {
        reservations_.slotRemoved(slotId, reason);
    };
    hooks.claim = [this](const NodeRef &sender, std::uint64_t id) { return reservations_.claim(sender, id); };
    hooks.onClosed = [this](const std::string &reason) { reservations_.refuseAll(reason); };
    home_.setReservationHooks(std::move(hooks));
}

void SlotMessenger::handle(LinkId link, const NodeRef &from, SlotReserve reserve, Millis delay)
{
    reserve.remaining -= delay;
    reserve.untilObjective -= delay;
    reservations_.handle(link, from, reserve);
}

void SlotMessenger::handle(const NodeRef &from, const SlotOffer &offer)
{
    requester_.handle(from.id, offer);
}

void SlotMessenger::handle(const NodeRef &from, const SlotRelease &release)
{
    reservations_.handle(from, release);
}

void SlotMessenger::linkClosed(LinkId link)
{
    reservations_.linkClosed(link);
    requester_.linkClosed(link);
}

bool SlotMessenger::sendOffer(LinkId link, const SlotOffer &offer)
{
    if (link != localLink) {
        return core_.service<PeerHub>("peers").reply(link, offer);
    }
    // Delivered later, because neither side expects a call before its own one returns.
    boost::asio::post(core_.ioContext, [this, offer] { requester_.handle(core_.self.id, offer); });
    return true;
}

std::optional<LinkId> SlotMessenger::sendReserve(const std::string &to, SlotReserve reserve)
{
    if (to == core_.self.id) {
        boost::asio::post(core_.ioContext, [this, reserve] { reservations_.handle(localLink, core_.self, reserve); });
        return localLink;
    }
    PeerHub &peers = core_.service<PeerHub>("peers");
    const std::optional<LinkId> link = openLink(to);
    if (!link) {
        warmLink(to);
        return std::nullopt;
    }
    reserve.helloAge = millisOf(peers.helloAge(*link).value_or(Duration(0)));
    return peers.peerKnowsReservations(*link) && peers.reply(*link, reserve) ? link : std::nullopt;
}

void SlotMessenger::sendRelease(const std::string &to, const SlotRelease &release)
{
    PeerHub &peers = core_.service<PeerHub>("peers");
    const std::optional<LinkId> link = openLink(to);
    if (to == core_.self.id) {
        boost::asio::post(core_.ioContext, [this, release] { reservations_.handle(core_.self, release); });
    } else if (link && peers.peerKnowsReservations(*link)) {
        peers.reply(*link, release);
    }
}

std::optional<LinkId> SlotMessenger::openLink(const std::string &to) const
{
    const RegistryEntryPtr entry = core_.service<RegistrySync>("registry").registry().find(to);
    return entry != nullptr ? core_.service<PeerHub>("peers").openLinkAt(entry->links) : std::nullopt;
}

void SlotMessenger::warmLink(const std::string &to)
{
    const RegistryEntryPtr entry = core_.service<RegistrySync>("registry").registry().find(to);
    if (entry != nullptr) {
        spawnFiber([this, links = entry->links] { (void)core_.service<PeerHub>("peers").linkAt(links, openTimeout); });
    }
}

bool SlotMessenger::isInOtherRegion(const NodeRef &node) const
{
    const RegistryEntryPtr entry = core_.service<RegistrySync>("registry").registry().find(node.id);
    return entry != nullptr && entry->region != core_.settings.region;
}

void SlotMessenger::expiryLoop()
{
    while (!core_.stopping) {
        const Duration due = reservations_.nextExpiry() - core_.clock.now();
        expiry_.wait(core_.ioContext, std::clamp<Duration>(due, minExpiryInterval, maxExpiryInterval));
        reservations_.expire();
    }
}

} // namespace waxwing
