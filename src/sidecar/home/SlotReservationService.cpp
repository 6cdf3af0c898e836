#include "src/sidecar/home/SlotReservationService.h"

#include "include/base/EventLog.h"
#include "include/base/Metrics.h"

#include <algorithm>

namespace waxwing {

SlotReservationService::SlotReservationService(const Clock &clock, Metrics &metrics, EventLog &events, Hooks hooks,
                                               SlotReservationTuning tuning)
    : clock_(clock)
    , metrics_(metrics)
    , events_(events)
    , hooks_(std::move(hooks))
    , tuning_(tuning)
{ }

void SlotReservationService::handle(LinkId link, const NodeRef &sender, const SlotReserve &reserve)
{
    const ReservationKey key{sender, reserve.id};
    if (slotIds_.count(key) != 0) {
        return;
    }
    metrics_.count("slot_reservations");
    std::string refusal = hooks_.refusal(reserve.service);
    if (refusal.empty() && reservations_.size() >= tuning_.maxReservations) {
        refusal = tooManyReservationsReason;
    }
    if (!refusal.empty()) {
        refuse(link, reserve.id, reserve.priority, refusal);
        return;
    }
    const SteadyTime now = clock_.now();
    const Millis remaining = std::clamp(reserve.remaining, Millis(0), tuning_.maxRemaining);
    SlotRequest request;
    request.id = hooks_.nextSlotId();
    request.route = reserve.route;
    request.customer = reserve.customer;
    request.retryable = reserve.retryable;
    request.priority = reserve.priority;
    request.objective = now + std::clamp(reserve.untilObjective, -tuning_.maxRemaining, tuning_.maxRemaining);
    request.deadline = now + remaining;
    request.queueTimeout = remaining;
    request.isReservation = true;
    const SlotDecision decision = hooks_.submit(request);
    if (decision.action == SlotAction::Refuse) {
        refuse(link, reserve.id, reserve.priority, refusalReasonName(decision.reason));
        return;
    }
    reservations_[request.id] = Reservation{key, link, reserve.priority, now, request.deadline};
    slotIds_[key] = request.id;
    if (decision.action == SlotAction::Start && !offer(request.id)) {
        hooks_.freeSlot(request.id);
    }
}

void SlotReservationService::refuse(LinkId link, std::uint64_t id, int priority, const std::string &reason)
{
    metrics_.count("slot_reservations_refused");
    hooks_.send(link, SlotOffer{id, Millis(0), reason, hooks_.load(priority)});
}

bool SlotReservationService::offer(std::uint64_t slotId)
{
    Reservation &reservation = reservations_.at(slotId);
    const SteadyTime now = clock_.now();
    const Millis validFor =
        hooks_.isInOtherRegion(reservation.key.sender) ? tuning_.validForOtherRegion : tuning_.validForSameRegion;
    if (!hooks_.send(reservation.link,
                     SlotOffer{reservation.key.id, validFor, {}, hooks_.load(reservation.priority)})) {
        take(slotId);
        return false;
    }
    offered_.offer(reservation.key, slotId, validFor, now);
    metrics_.count("slot_offers");
    events_.writeRequest(Severity::Info, "slot_offered",
                         {{"to", reservation.key.sender.id},
                          {"reservation", std::to_string(reservation.key.id)},
                          {"waitedMs", std::to_string(millisOf(now - reservation.since).count())},
                          {"validForMs", std::to_string(validFor.count())}});
    hooks_.onOffered();
    return true;
}

std::optional<SlotReservationService::Reservation> SlotReservationService::take(std::uint64_t slotId)
{
    const auto found = reservations_.find(slotId);
    if (found == reservations_.end()) {
        return std::nullopt;
    }
    Reservation reservation = found->second;
    slotIds_.erase(reservation.key);
    reservations_.erase(found);
    return reservation;
}

void SlotReservationService::handle(const NodeRef &sender, const SlotRelease &release)
{
    const ReservationKey key{sender, release.id};
    const auto found = slotIds_.find(key);
    if (found == slotIds_.end()) {
        return;
    }
    const std::uint64_t slotId = found->second;
    take(slotId);
    if (offered_.release(key)) {
        metrics_.count("slot_offers_released");
    }
    hooks_.freeSlot(slotId);
}

void SlotReservationService::linkClosed(LinkId link)
{
    std::vector<std::uint64_t> lost;
    for (const auto &[slotId, reservation] : reservations_) {
        if (reservation.link == link) {
            lost.push_back(slotId);
        }
    }
    // All are taken out before the first slot is freed, so that no freed slot is offered over the closed link.
    for (const std::uint64_t slotId : lost) {
        if (const std::optional<Reservation> reservation = take(slotId)) {
            offered_.release(reservation->key);
        }
    }
    for (const std::uint64_t slotId : lost) {
        hooks_.freeSlot(slotId);
    }
}

bool SlotReservationService::slotStarted(std::uint64_t slotId)
{
    return reservations_.count(slotId) != 0 && offer(slotId);
}

void SlotReservationService::slotRemoved(std::uint64_t slotId, const std::string &reason)
{
    const std::optional<Reservation> reservation = take(slotId);
    if (reservation && clock_.now() < reservation->until) {
        refuse(reservation->link, reservation->key.id, reservation->priority, reason);
    }
}

std::optional<std::uint64_t> SlotReservationService::claim(const NodeRef &sender, std::uint64_t reservation)
{
    const ReservationKey key{sender, reservation};
    const std::optional<std::uint64_t> slotId = offered_.claim(key, clock_.now());
    if (slotId) {
        take(*slotId);
        return slotId;
    }
    // The Work is judged as a new one; its reservation must not hold a second slot.
    expire();
    handle(sender, SlotRelease{reservation});
    return std::nullopt;
}

void SlotReservationService::refuseAll(const std::string &reason)
{
    std::map<std::uint64_t, Reservation> refused;
    refused.swap(reservations_);
    slotIds_.clear();
    for (const auto &[slotId, reservation] : refused) {
        offered_.release(reservation.key);
        refuse(reservation.link, reservation.key.id, reservation.priority, reason);
    }
    for (const auto &[slotId, reservation] : refused) {
        hooks_.freeSlot(slotId);
    }
}

void SlotReservationService::expire()
{
    const std::vector<std::uint64_t> expired = offered_.expire(clock_.now());
    for (const std::uint64_t slotId : expired) {
        if (const std::optional<Reservation> reservation = take(slotId)) {
            metrics_.count("slot_offers_expired");
            events_.writeRequest(
                Severity::Warning, "slot_offer_expired",
                {{"to", reservation->key.sender.id}, {"reservation", std::to_string(reservation->key.id)}});
        }
        hooks_.freeSlot(slotId);
    }
}

SteadyTime SlotReservationService::nextExpiry() const
{
    return offered_.nextExpiry();
}

std::size_t SlotReservationService::count() const
{
    return reservations_.size();
}

} // namespace waxwing
