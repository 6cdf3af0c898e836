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

/** Refusals of homes whose slots are all needed for other requests. */
constexpr std::array<const char *, 3> busyReasons = {"busy", "waited-in-vain", "too-many-reservations"};

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
    Waiter(const SlotWait &wantIn, SteadyTime now)
        : want(wantIn)
        , since(now)
    { }

    SlotWait want;
    SteadyTime since;
    ReservationSet set;
    FiberNotifier notifier;
    /** Homes that refused or were lost in this wait. */
    std::set<std::string> unavailable;
    int reservations = 0;
    /** A home was full: without an offer, the request is refused instead of sent from home to home. */
    bool wasBusy = false;
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

SlotWaitResult SlotRequester::wait(const SlotWait &want)
{
    const SteadyTime now = clock_.now();
    if (waiters_.size() >= tuning_.maxWaiting) {
        metrics_.count("slot_waits_full");
        return {};
    }
    const auto waiter = std::make_shared<Waiter>(want, now);
    const SteadyTime latest = std::min(want.until, planner_.latestStart(want.need, now));
    if (latest <= now) {
        return {};
    }
    waiters_.insert(waiter);
    reserveMore(waiter, latest);
    if (waiter->set.count() > 0) {
        events_.writeRequest(Severity::Info, "slot_reserved",
                             {{"request", want.requestId},
                              {"service", want.service},
                              {"homes", joined(waiter->set.held())},
                              {"priority", std::to_string(want.priority)},
                              {"untilMs", std::to_string(millisOf(latest - now).count())}});
        awaitOffer(waiter, latest);
    }
    return finish(waiter);
}

void SlotRequester::awaitOffer(const WaiterPtr &waiter, SteadyTime latest)
{
    const RunControlPtr control = waiter->want.control;
    const auto wake = [waiter] { waiter->notifier.notify(); };
    control->interrupt = wake;
    control->onCancelQueued = wake;
    while (!waiter->set.isBound() && waiter->set.count() > 0 && !control->cancelled && !control->queuedCancelled
           && clock_.now() < latest) {
        transport_.pause(waiter->notifier, latest - clock_.now());
        reserveMore(waiter, latest);
    }
    control->interrupt = {};
    control->onCancelQueued = {};
}

void SlotRequester::reserveMore(const WaiterPtr &waiter, SteadyTime latest)
{
    const SlotWait &want = waiter->want;
    const SteadyTime now = clock_.now();
    const bool mayReserve = !waiter->set.isBound() && !want.control->cancelled && !want.control->queuedCancelled
                            && waiter->reservations < tuning_.maxReservations && now < latest;
    if (!mayReserve) {
        return;
    }
    std::vector<ReservationCandidate> candidates = want.candidates();
    const auto isUnusable = [&](const ReservationCandidate &one) {
        return waiter->unavailable.count(one.node) != 0 || !transport_.canReserve(one.node);
    };
    candidates.erase(std::remove_if(candidates.begin(), candidates.end(), isUnusable), candidates.end());
    SlotNeed need = want.need;
    for (const HomeReservation &held : waiter->set.held()) {
        need.held.insert(held.home);
    }
    for (const std::string &home : planner_.plan(candidates, need, now)) {
        if (waiter->reservations < tuning_.maxReservations && !reserveAt(home, waiter, latest)) {
            waiter->unavailable.insert(home);
        }
    }
}

bool SlotRequester::reserveAt(const std::string &home, const WaiterPtr &waiter, SteadyTime latest)
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
    reserve.remaining = millisOf(latest - now);
    reserve.untilObjective = millisOf(want.need.objective - now);
    const std::optional<LinkId> link = transport_.reserve(home, reserve);
    if (!link) {
        return false;
    }
    ++waiter->reservations;
    waiter->set.add(home, reserve.id);
    pending_[reserve.id] = Pending{home, *link, waiter};
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
            pending_.erase(offer.id);
        }
    } else {
        waiter->wasBusy = waiter->wasBusy || isBusy(offer.reason);
        waiter->reportedWait = std::min(waiter->reportedWait.value_or(offer.load.wait), offer.load.wait);
        lose(offer.id);
    }
    waiter->notifier.notify();
}

void SlotRequester::lose(std::uint64_t id)
{
    const auto found = pending_.find(id);
    const Pending pending = found->second;
    if (pending.waiter->set.remove(pending.home, id)) {
        pending_.erase(found);
        pending.waiter->unavailable.insert(pending.home);
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
        lose(id);
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

SlotWaitResult SlotRequester::finish(const WaiterPtr &waiter)
{
    waiters_.erase(waiter);
    const RunControl &control = *waiter->want.control;
    const bool cancelled = control.cancelled || control.queuedCancelled;
    std::vector<HomeReservation> released = waiter->set.takeOthers();
    const std::optional<HomeReservation> bound = waiter->set.bound();
    if (bound) {
        pending_.erase(bound->id);
    }
    if (bound && cancelled) {
        released.push_back(*bound);
    }
    for (const HomeReservation &one : released) {
        pending_.erase(one.id);
        transport_.release(one.home, SlotRelease{one.id});
    }
    if (cancelled) {
        return SlotWaitResult{SlotWaitEnd::Cancelled, {}, 0, Millis(0)};
    }
    if (bound) {
        return bindTo(waiter, *bound);
    }
    // Released reservations were still waiting at the latest useful start. Without any, every home refused.
    if (released.empty() && !waiter->wasBusy) {
        return {};
    }
    metrics_.count("slot_not_offered");
    return SlotWaitResult{SlotWaitEnd::NoOffer, {}, 0, retryAfter(*waiter)};
}

SlotWaitResult SlotRequester::bindTo(const WaiterPtr &waiter, const HomeReservation &bound)
{
    recentBindings_.push_back(bound.id);
    if (recentBindings_.size() > tuning_.maxRecentBindings) {
        recentBindings_.pop_front();
    }
    const Duration waited = clock_.now() - waiter->since;
    metrics_.count("slot_bound");
    metrics_.observe("slot_wait", waited);
    events_.writeRequest(Severity::Info, "slot_bound",
                         {{"request", waiter->want.requestId},
                          {"home", bound.home},
                          {"reservation", std::to_string(bound.id)},
                          {"reservations", std::to_string(waiter->reservations)},
                          {"waitedMs", std::to_string(millisOf(waited).count())}});
    return SlotWaitResult{SlotWaitEnd::Offered, bound.home, bound.id, Millis(0)};
}

Millis SlotRequester::retryAfter(const Waiter &waiter)
{
    std::optional<Millis> shortest = waiter.reportedWait;
    for (const ReservationCandidate &one : waiter.want.candidates()) {
        if (one.status.load) {
            shortest = std::min(shortest.value_or(one.status.load->wait), one.status.load->wait);
        }
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
