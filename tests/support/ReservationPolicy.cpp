#include "tests/support/SlotPolicies.h"

namespace waxwing::testing {

namespace {

/** Two round trips with a margin. */
constexpr Millis validInRegion{50};
constexpr Millis validBetweenRegions{200};

ReservationKey keyOf(const FleetRequest &request, std::uint64_t id)
{
    return ReservationKey{NodeRef{std::to_string(request.sender), 1}, id};
}

} // namespace

ReservationPolicy::ReservationPolicy(HomeFleetModel &model)
    : PollingPolicy(model, HomePolicy::Reservations)
    , planner_([this] { return model_.random(); }, model.load().reservations)
    , offered_(static_cast<std::size_t>(model.load().homes))
    , reserved_(static_cast<std::size_t>(model.load().nodes),
                std::vector<std::int32_t>(static_cast<std::size_t>(model.load().homes)))
{ }

void ReservationPolicy::dispatch(const FleetRequestPtr &request)
{
    if (endIfUnserved(request)) {
        return;
    }
    if (!planner_.mayWait(request->route->route)) {
        PollingPolicy::dispatch(request);
        return;
    }
    std::set<std::string> excluded = request->search.excluded();
    excluded.insert(request->tried.begin(), request->tried.end());
    const auto choose = [&] {
        return rankingOf(*request).choose(model_.homesFrom(request->sender), excluded, queryOf(*request), model_.now());
    };
    HomeChoice choice = choose();
    if (planner_.shouldReserve(choice) || !request->tried.empty()) {
        excluded.merge(planner_.homesWithoutRoom(candidatesFor(*request), model_.now()));
        choice = choose();
    }
    if (choice.node.empty() || !planner_.mayBeSent(request->tried.size())) {
        reserve(request);
    } else {
        send(request, model_.homeIndex(choice.node), planner_.directQueueTimeout(choice));
    }
}

void ReservationPolicy::onRefused(const FleetRequestPtr &request)
{
    request->tried.insert(model_.homeName(request->home));
    if (request->reservations.isBound()) {
        request->reservations.unbind();
    }
    dispatch(request);
}

SlotNeed ReservationPolicy::needOf(const FleetRequest &request) const
{
    SlotNeed need;
    need.objective = request.objective;
    need.deadline = request.deadline;
    need.workTime = request.route->work;
    for (const HomeReservation &one : request.reservations.held()) {
        need.held.insert(one.home);
    }
    need.tried = request.tried;
    need.made = request.reservationsMade;
    return need;
}

std::vector<ReservationCandidate> ReservationPolicy::candidatesFor(const FleetRequest &request)
{
    const std::vector<RankedHome> &homes = model_.homesFrom(request.sender);
    const std::vector<HomeStatus> status = rankingOf(request).statusOf(homes, queryOf(request), model_.now());
    const std::vector<std::int32_t> &reserved = reserved_[static_cast<std::size_t>(request.sender)];
    std::vector<ReservationCandidate> candidates;
    for (std::size_t i = 0; i < homes.size(); ++i) {
        candidates.push_back(ReservationCandidate{homes[i].node, homes[i].distance, status[i], reserved[i]});
    }
    return candidates;
}

std::int32_t &ReservationPolicy::reservedAt(const FleetRequest &request, int home)
{
    return reserved_[static_cast<std::size_t>(request.sender)][static_cast<std::size_t>(home)];
}

void ReservationPolicy::reserve(const FleetRequestPtr &request)
{
    const SlotNeed need = needOf(*request);
    if (request->latestStart == SteadyTime()) {
        request->latestStart = planner_.latestStart(need, model_.now());
        model_.at(request->latestStart, [this, request] { giveUp(request); });
    }
    const bool tooLate = request->latestStart <= model_.now();
    const std::vector<std::string> homes =
        tooLate ? std::vector<std::string>() : planner_.plan(candidatesFor(*request), need, model_.now());
    for (const std::string &name : homes) {
        const int home = model_.homeIndex(name);
        const std::uint64_t id = model_.nextId();
        request->reservations.add(name, id);
        ++request->reservationsMade;
        ++reservedAt(*request, home);
        model_.sendSmall(*request, model_.distance(request->sender, home),
                         [this, home, id, request] { submitReservation(home, id, request); });
    }
    if (request->reservations.count() == 0) {
        giveUp(request);
    }
}

void ReservationPolicy::submitReservation(int home, std::uint64_t id, const FleetRequestPtr &request)
{
    Home &target = homeAt(home);
    SlotRequest slotRequest = slotRequestOf(*request);
    slotRequest.id = id;
    slotRequest.isReservation = true;
    slotRequest.queueTimeout = millisOf(request->latestStart - model_.now());
    const SlotDecision decision = target.queue.submit(slotRequest, model_.now());
    request->callsUnserved += decision.reason == RefusalReason::CallsUnserved ? 1 : 0;
    target.entries[id] = Entry{request, true};
    if (decision.action == SlotAction::Queue) {
        schedulePoll(home);
    } else {
        offer(home, id, decision.action == SlotAction::Start, model_.now());
    }
}

void ReservationPolicy::onStart(int home, std::uint64_t id, SteadyTime idleSince)
{
    if (homeAt(home).entries.at(id).isReservation) {
        offer(home, id, true, idleSince);
    } else {
        PollingPolicy::onStart(home, id, idleSince);
    }
}

void ReservationPolicy::onExpired(int home, std::uint64_t id)
{
    const Entry entry = homeAt(home).entries.at(id);
    if (entry.isReservation && model_.now() >= entry.request->latestStart) {
        // The sender knows that the reservation has ended.
        homeAt(home).entries.erase(id);
    } else if (entry.isReservation) {
        offer(home, id, false, model_.now());
    } else {
        PollingPolicy::onExpired(home, id);
    }
}

void ReservationPolicy::offer(int home, std::uint64_t id, bool accepted, SteadyTime idleSince)
{
    const FleetRequestPtr request = homeAt(home).entries.at(id).request;
    const Distance far = model_.distance(request->sender, home);
    if (accepted) {
        const Millis validFor = far == Distance::OtherRegion ? validBetweenRegions : validInRegion;
        offered_[static_cast<std::size_t>(home)].offer(keyOf(*request, id), id, validFor, model_.now());
        idleSince_[id] = idleSince;
        scheduleExpiry(home);
    } else {
        homeAt(home).entries.erase(id);
    }
    const HomeLoad load = loadOf(home, *request);
    model_.sendSmall(*request, far, [this, home, id, accepted, request, load] {
        noteLoad(*request, home, load);
        onOffer(home, id, accepted, request);
    });
}

void ReservationPolicy::scheduleExpiry(int home)
{
    OfferedSlots &offered = offered_[static_cast<std::size_t>(home)];
    model_.at(offered.nextExpiry(), [this, home, &offered] {
        for (const std::uint64_t slotId : offered.expire(model_.now())) {
            freeHeld(home, slotId);
        }
    });
}

void ReservationPolicy::freeHeld(int home, std::uint64_t slotId)
{
    homeAt(home).queue.release(slotId, model_.now());
    homeAt(home).entries.erase(slotId);
    const SteadyTime idleSince = idleSince_.at(slotId);
    idleSince_.erase(slotId);
    poll(home, idleSince);
}

void ReservationPolicy::onOffer(int home, std::uint64_t id, bool accepted, const FleetRequestPtr &request)
{
    const std::string &name = model_.homeName(home);
    if (!accepted) {
        if (request->reservations.remove(name, id)) {
            --reservedAt(*request, home);
            request->tried.insert(name);
            // A replacement would cost two more messages, and the other reservation mostly gets an offer.
            if (request->reservations.count() == 0 && !endIfUnserved(request)) {
                reserve(request);
            }
        }
        return;
    }
    const OfferAction action = request->reservations.acceptOffer(name, id);
    if (action == OfferAction::Bind) {
        --reservedAt(*request, home);
        bind(home, id, request);
    } else if (action == OfferAction::Release && !request->reservations.isBound()) {
        // The request ended without an offer. If it was bound, the release is on its way.
        sendRelease(home, id, *request);
    }
}

void ReservationPolicy::bind(int home, std::uint64_t id, const FleetRequestPtr &request)
{
    rankingOf(*request).noteSent(model_.homeName(home));
    request->queueTimeout = Millis(0);
    model_.sendWork(request, home, [this, home, id, request] {
        if (!offered_[static_cast<std::size_t>(home)].claim(keyOf(*request, id), model_.now())) {
            request->slotId = request->id;
            submit(home, request);
            return;
        }
        homeAt(home).queue.beginHeld(id, model_.now());
        model_.noteIdleSlot(model_.now() - idleSince_.at(id));
        idleSince_.erase(id);
        request->slotId = id;
        model_.begin(home, request);
    });
    for (const HomeReservation &other : request->reservations.takeOthers()) {
        --reservedAt(*request, model_.homeIndex(other.home));
        sendRelease(model_.homeIndex(other.home), other.id, *request);
    }
}

void ReservationPolicy::sendRelease(int home, std::uint64_t id, const FleetRequest &request)
{
    const ReservationKey key = keyOf(request, id);
    model_.sendSmall(request, model_.distance(request.sender, home), [this, home, id, key] {
        if (homeAt(home).queue.cancel(id)) {
            homeAt(home).entries.erase(id);
        } else if (offered_[static_cast<std::size_t>(home)].release(key)) {
            freeHeld(home, id);
        }
    });
}

void ReservationPolicy::giveUp(const FleetRequestPtr &request)
{
    if (request->done || request->reservations.isBound()) {
        return;
    }
    for (const HomeReservation &one : request->reservations.takeOthers()) {
        // At the latest start the homes end the reservations themselves.
        --reservedAt(*request, model_.homeIndex(one.home));
    }
    model_.finish(request, false);
}

} // namespace waxwing::testing
