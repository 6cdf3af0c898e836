#include "src/sidecar/ingress/SlotRequester.h"

#include "include/base/EventLog.h"
#include "include/base/Metrics.h"
#include "src/fiber/FiberNotifier.h"

#include <algorithm>
#include <array>

namespace waxwing {

namespace {

/** Steps of the random factor on the Retry-After. */
constexpr std::uint64_t spreadSteps = 1000;

constexpr const char *callsUnservedReason = "calls-unserved";
/** Refusals of homes whose slots are all needed for other requests. */
constexpr std::array<const char *, 4> busyReasons = {"busy", "queue-timeout", "too-many-reservations",
                                                     callsUnservedReason};

bool isBusy(const std::string &reason)
{
    return std::find(busyReasons.begin(), busyReasons.end(), reason) != busyReasons.end();
}

std::string joined(const std::vector<HomeReservation> &reservations)
{
    std::string out;
    for (const HomeReservation &one : reservations) {
        out += (out.empty() ? "" : ",") + one.home;
    }
    return out;
}

} // namespace

struct SlotRequester::Waiter {
    Waiter(const SlotWait &wantIn, SteadyTime now, SteadyTime latestIn)
        : want(wantIn)
        , since(now)
        , latest(latestIn)
        , callsUnserved(wantIn.callsUnserved)
    { }

    SlotWait want;
    SteadyTime since;
    /** End of the wait. */
    SteadyTime latest;
    ReservationSet set;
    FiberNotifier notifier;
    /** Homes that refused or were lost in this wait. */
    std::set<std::string> unavailable;
    std::size_t made = 0;
    /** A reservation was lost, and another one takes its place. */
    bool mustReplace = false;
    /** A home was full: without an offer, the request is refused instead of sent from home to home. */
    bool wasBusy = false;
    int callsUnserved = 0;
    /** Shortest wait that a home reported. */
    std::optional<Millis> reportedWait;
};

SlotRequester::SlotRequester(const Clock &clock, Metrics &metrics, EventLog &events, Random random, Transport transport,
                             const ReservationTuning &reservations, SlotRequesterTuning tuning)
    : clock_(clock)
    , metrics_(metrics)
    , events_(events)
    , random_(random)
    , transport_(std::move(transport))
    , planner_(std::move(random), reservations)
    , tuning_(tuning)
{ }

void SlotRequester::setOfferListener(OfferListener listener)
{
    onOffer_ = std::move(listener);
}

bool SlotRequester::mayWait(const Route &route) const
{
    return planner_.mayWait(route);
}

bool SlotRequester::shouldReserve(const HomeChoice &best) const
{
    return planner_.shouldReserve(best);
}

bool SlotRequester::canReserve(const std::vector<ReservationCandidate> &candidates) const
{
    std::size_t offering = 0;
    std::size_t others = 0;
    for (const ReservationCandidate &one : candidates) {
        if (const std::optional<bool> knows = transport_.knowsReservations(one.node)) {
            ++(*knows ? offering : others);
        }
    }
    const auto known = static_cast<double>(offering + others);
    return offering > 0 && static_cast<double>(offering) >= tuning_.minOfferingShare * known;
}

bool SlotRequester::mayBeSent(std::size_t tried) const
{
    return planner_.mayBeSent(tried);
}

std::set<std::string> SlotRequester::homesWithoutRoom(const std::vector<ReservationCandidate> &candidates) const
{
    return planner_.homesWithoutRoom(candidates, clock_.now());
}

bool SlotRequester::offersSlots(const std::string &home) const
{
    return transport_.knowsReservations(home).value_or(false);
}

Millis SlotRequester::directQueueTimeout(const HomeChoice &best) const
{
    // A home of an older build gives no offers later, so that the request has nothing to leave its queue for.
    return offersSlots(best.node) ? planner_.directQueueTimeout(best) : best.queueTimeout;
}

SlotWaitResult SlotRequester::wait(const SlotWait &want)
{
    const SteadyTime now = clock_.now();
    if (waiters_.size() >= tuning_.maxWaiting) {
        metrics_.count("slot_waits_full");
        return {};
    }
    const SteadyTime latest = std::min(want.until, planner_.latestStart(want.need, now));
    if (latest <= now) {
        return {};
    }
    const auto waiter = std::make_shared<Waiter>(want, now, latest);
    waiters_.insert(waiter);
    reserveMore(waiter);
    if (waiter->set.count() > 0) {
        events_.writeRequest(Severity::Info, "slot_reserved",
                             {{"request", want.requestId},
                              {"service", want.service},
                              {"homes", joined(waiter->set.held())},
                              {"priority", std::to_string(want.priority)},
                              {"untilMs", std::to_string(millisOf(latest - now).count())}});
        awaitOffer(waiter);
    }
    return finish(waiter);
}

void SlotRequester::release(const SlotWaitResult &result)
{
    if (result.end == SlotWaitEnd::Offered) {
        transport_.release(result.home, SlotRelease{result.reservation});
    }
}

void SlotRequester::awaitOffer(const WaiterPtr &waiter)
{
    const RunControlPtr control = waiter->want.control;
    const auto wake = [waiter] { waiter->notifier.notify(); };
    control->interrupt = wake;
    control->onCancelQueued = wake;
    while (!waiter->set.isBound() && waiter->set.count() > 0 && !control->cancelled && !control->queuedCancelled
           && clock_.now() < waiter->latest) {
        transport_.pause(waiter->notifier, waiter->latest - clock_.now());
        // To replace a refused reservation costs two messages, and another one that is left mostly gets an offer.
        if (waiter->mustReplace || waiter->set.count() == 0) {
            waiter->mustReplace = false;
            reserveMore(waiter);
        }
    }
    control->interrupt = {};
    control->onCancelQueued = {};
}

std::vector<std::string> SlotRequester::plan(const Waiter &waiter) const
{
    std::vector<ReservationCandidate> candidates;
    for (ReservationCandidate &one : waiter.want.candidates()) {
        if (waiter.unavailable.count(one.node) == 0 && transport_.knowsReservations(one.node).value_or(true)) {
            const auto reserved = reservedAt_.find(one.node);
            one.reserved = reserved == reservedAt_.end() ? 0 : reserved->second;
            candidates.push_back(std::move(one));
        }
    }
    SlotNeed need = waiter.want.need;
    for (const HomeReservation &held : waiter.set.held()) {
        need.held.insert(held.home);
    }
    need.made += waiter.made;
    return planner_.plan(candidates, need, clock_.now());
}

void SlotRequester::reserveMore(const WaiterPtr &waiter)
{
    const RunControl &control = *waiter->want.control;
    const auto mayReserve = [&] {
        return !waiter->set.isBound() && !control.cancelled && !control.queuedCancelled && clock_.now() < waiter->latest
               && waiter->callsUnserved < maxCallsUnserved;
    };
    bool hasUnreached = true;
    for (int plans = 0; hasUnreached && plans < tuning_.maxPlans && mayReserve(); ++plans) {
        hasUnreached = false;
        for (const std::string &home : plan(*waiter)) {
            if (mayReserve() && !reserveAt(home, waiter)) {
                waiter->unavailable.insert(home);
                hasUnreached = true;
            }
        }
    }
}

bool SlotRequester::reserveAt(const std::string &home, const WaiterPtr &waiter)
{
    const SteadyTime now = clock_.now();
    const SlotWait &want = waiter->want;
    SlotReserve reserve;
    reserve.id = nextId_++;
    reserve.service = want.service;
    reserve.route = want.route;
    reserve.customer = want.customer;
    reserve.priority = want.priority;
    reserve.retryable = want.retryable;
    reserve.remaining = millisOf(waiter->latest - now);
    reserve.untilObjective = millisOf(want.need.objective - now);
    const std::optional<LinkId> link = transport_.reserve(home, reserve);
    if (!link) {
        return false;
    }
    ++waiter->made;
    waiter->set.add(home, reserve.id);
    addPending(reserve.id, Pending{home, *link, waiter});
    metrics_.count("slot_reservations_sent");
    return true;
}

void SlotRequester::handle(const std::string &home, const SlotOffer &offer)
{
    const bool isOffer = offer.validFor > Millis(0);
    const auto found = pending_.find(offer.id);
    if (found == pending_.end() || found->second.home != home) {
        // A release of the offer that bound a request could free the slot before its Work arrives.
        const bool wasBound =
            std::find(recentBindings_.begin(), recentBindings_.end(), offer.id) != recentBindings_.end();
        if (isOffer && !wasBound) {
            transport_.release(home, SlotRelease{offer.id});
        }
        return;
    }
    const WaiterPtr waiter = found->second.waiter;
    if (onOffer_) {
        onOffer_(home, offer, waiter->want.priority);
    }
    if (isOffer) {
        if (waiter->set.acceptOffer(home, offer.id) == OfferAction::Release) {
            transport_.release(home, SlotRelease{offer.id});
            waiter->set.remove(home, offer.id);
            erasePending(offer.id);
        }
    } else {
        waiter->wasBusy = waiter->wasBusy || isBusy(offer.reason);
        waiter->callsUnserved += offer.reason == callsUnservedReason ? 1 : 0;
        waiter->reportedWait = std::min(waiter->reportedWait.value_or(offer.load.wait), offer.load.wait);
        lose(offer.id, !isBusy(offer.reason));
    }
    waiter->notifier.notify();
}

void SlotRequester::addPending(std::uint64_t id, Pending pending)
{
    ++reservedAt_[pending.home];
    pending_[id] = std::move(pending);
}

void SlotRequester::erasePending(std::uint64_t id)
{
    const auto found = pending_.find(id);
    if (found == pending_.end()) {
        return;
    }
    const auto reserved = reservedAt_.find(found->second.home);
    if (--reserved->second == 0) {
        reservedAt_.erase(reserved);
    }
    pending_.erase(found);
}

void SlotRequester::lose(std::uint64_t id, bool replace)
{
    const Pending pending = pending_.at(id);
    if (pending.waiter->set.remove(pending.home, id)) {
        erasePending(id);
        pending.waiter->unavailable.insert(pending.home);
        pending.waiter->mustReplace = pending.waiter->mustReplace || replace;
        pending.waiter->notifier.notify();
    }
}

void SlotRequester::loseAll(const std::function<bool(const Pending &pending)> &isLost)
{
    std::vector<std::uint64_t> lost;
    for (const auto &[id, pending] : pending_) {
        if (isLost(pending)) {
            lost.push_back(id);
        }
    }
    for (const std::uint64_t id : lost) {
        lose(id, true);
    }
}

void SlotRequester::linkClosed(LinkId link)
{
    loseAll([link](const Pending &pending) { return pending.link == link; });
}

void SlotRequester::homeLost(const std::string &home)
{
    loseAll([&home](const Pending &pending) { return pending.home == home; });
}

void SlotRequester::dropReservations(const WaiterPtr &waiter, bool cancelled)
{
    std::vector<HomeReservation> dropped = waiter->set.takeOthers();
    const std::optional<HomeReservation> &bound = waiter->set.bound();
    if (bound) {
        erasePending(bound->id);
        if (cancelled) {
            dropped.push_back(*bound);
        }
    }
    const bool endAtHomes = !bound && clock_.now() >= waiter->latest;
    for (const HomeReservation &one : dropped) {
        erasePending(one.id);
        if (!endAtHomes) {
            transport_.release(one.home, SlotRelease{one.id});
        }
    }
}

SlotWaitResult SlotRequester::finish(const WaiterPtr &waiter)
{
    waiters_.erase(waiter);
    const RunControl &control = *waiter->want.control;
    const bool cancelled = control.cancelled || control.queuedCancelled;
    const bool wasWaiting = waiter->set.count() > 0;
    dropReservations(waiter, cancelled);
    SlotWaitResult result;
    result.made = waiter->made;
    result.callsUnserved = waiter->callsUnserved;
    if (cancelled) {
        result.end = SlotWaitEnd::Cancelled;
    } else if (waiter->set.isBound()) {
        result.end = SlotWaitEnd::Offered;
        result.home = waiter->set.bound()->home;
        result.reservation = waiter->set.bound()->id;
        noteBound(*waiter);
    } else if (wasWaiting || waiter->wasBusy) {
        result.end = SlotWaitEnd::NoOffer;
        result.retryAfter = retryAfter(*waiter);
        metrics_.count("slot_not_offered");
    }
    return result;
}

void SlotRequester::noteBound(const Waiter &waiter)
{
    const HomeReservation bound = *waiter.set.bound();
    recentBindings_.push_back(bound.id);
    if (recentBindings_.size() > tuning_.maxRecentBindings) {
        recentBindings_.pop_front();
    }
    const Duration waited = clock_.now() - waiter.since;
    metrics_.count("slot_bound");
    metrics_.observe("slot_wait", waited);
    events_.writeRequest(Severity::Info, "slot_bound",
                         {{"request", waiter.want.requestId},
                          {"home", bound.home},
                          {"reservation", std::to_string(bound.id)},
                          {"reservations", std::to_string(waiter.made)},
                          {"waitedMs", std::to_string(millisOf(waited).count())}});
}

Millis SlotRequester::retryAfter(const Waiter &waiter)
{
    std::optional<Millis> shortest = waiter.reportedWait;
    for (const ReservationCandidate &one : waiter.want.candidates()) {
        shortest = std::min(shortest.value_or(one.status.wait), one.status.wait);
    }
    const Millis base = std::max(tuning_.minRetryAfter, shortest.value_or(Millis(0)));
    const double share = static_cast<double>(random_() % spreadSteps) / static_cast<double>(spreadSteps);
    const double factor = 1.0 + share * (tuning_.retryAfterSpread - 1.0);
    return Millis(static_cast<std::int64_t>(static_cast<double>(base.count()) * factor));
}

void SlotRequester::updateGauges()
{
    for (const std::string &name : gauges_) {
        metrics_.set(name, 0.0);
    }
    std::map<std::string, int> counts;
    SteadyTime oldest = clock_.now();
    for (const WaiterPtr &waiter : waiters_) {
        ++counts["slot_waiting_" + waiter->want.service + "_priority_" + std::to_string(waiter->want.priority)];
        oldest = std::min(oldest, waiter->since);
    }
    gauges_.clear();
    for (const auto &[name, count] : counts) {
        metrics_.set(name, count);
        gauges_.insert(name);
    }
    metrics_.set("slot_waiting_oldest_seconds", secondsOf(clock_.now() - oldest));
}

std::size_t SlotRequester::waiting() const
{
    return waiters_.size();
}

} // namespace waxwing
