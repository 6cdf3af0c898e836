#include "src/sidecar/ingress/HomeSelector.h"

#include "include/route/RouteStats.h"
#include "src/link/LinkFramer.h"
#include "src/node/NodeCore.h"
#include "src/sidecar/LocalHome.h"
#include "src/sidecar/ingress/NoServerReason.h"
#include "src/sidecar/ingress/RetryGate.h"
#include "src/sidecar/ingress/SlotRequester.h"
#include "src/sidecar/ingress/StartLimit.h"
#include "src/sidecar/membership/PathMonitor.h"
#include "src/sidecar/membership/RegistrySync.h"

#include <algorithm>
#include <set>

namespace waxwing {

HomeSelector::HomeSelector(NodeCore &core, LocalHome &home, PathMonitor &paths, SlotRequester &slots,
                           const RouteStats &stats, const StartLimit &startLimit, const RetryGate &retries)
    : core_(core)
    , home_(home)
    , paths_(paths)
    , slots_(slots)
    , stats_(stats)
    , startLimit_(startLimit)
    , retries_(retries)
    , ranking_([&core] { return core.random(); })
    , ownHome_{0, {{core.self.id, Distance::SameNode}}, {{core.self.id, Distance::SameNode}}}
{
    slots_.setOfferListener(
        [this](const std::string &node, const SlotOffer &offer, int priority) { noteOffer(node, offer, priority); });
    PathMonitor::Hooks hooks;
    hooks.onPathFailed = [this](const std::string &node) {
        ranking_.notePathFailure(node, core_.clock.now());
        slots_.homeLost(node);
    };
    hooks.onProbeFailed = [this](const std::string &node) { ranking_.notePathStillFailed(node, core_.clock.now()); };
    hooks.onPathRecovered = [this](const std::string &node) { ranking_.notePathRecovered(node); };
    paths_.setHooks(std::move(hooks));
}

const HomeSelector::ServiceHomes &HomeSelector::homesOf(const std::string &service)
{
    const NodeRegistry &registry = core_.service<RegistrySync>("registry").registry();
    ServiceHomes &homes = homes_[service];
    if (homes.generation == registry.generation() && !homes.all.empty()) {
        return homes;
    }
    homes.generation = registry.generation();
    homes.all.clear();
    bool listed = false;
    for (const RegistryEntryPtr &entry : registry.homesOf(service)) {
        Distance distance = Distance::OtherRegion;
        if (entry->id == core_.self.id) {
            distance = Distance::SameNode;
            listed = true;
        } else if (entry->zone == core_.settings.zone) {
            distance = Distance::SameZone;
        } else if (entry->region == core_.settings.region) {
            distance = Distance::SameRegion;
        }
        homes.all.push_back(RankedHome{entry->id, distance});
    }
    // The server beside this node is usable without a registry entry.
    if (!listed && core_.settings.server->service == service) {
        homes.all.push_back(RankedHome{core_.self.id, Distance::SameNode});
    }
    homes.subset = homeSubset(homes.all, core_.self.id, registry.inZone(core_.settings.zone).size());
    return homes;
}

bool HomeSelector::needsOwnHome(const ForwardedRequest &request)
{
    return request.job.request.body.size() > LinkFramer::maxBodyBytes;
}

const HomeSelector::ServiceHomes &HomeSelector::homesFor(const ForwardedRequest &request)
{
    const std::string &service = request.job.service;
    if (!needsOwnHome(request)) {
        return homesOf(service);
    }
    return core_.settings.server->service == service ? ownHome_ : noHome_;
}

HomeQuery HomeSelector::queryOf(const ForwardedRequest &request) const
{
    const SteadyTime now = core_.clock.now();
    HomeQuery query;
    query.retryable = retries_.canRetry(request);
    query.priority = request.priority();
    query.untilObjective = millisOf(request.objective - now);
    query.untilDeadline = millisOf(request.job.deadline - now);
    query.workTime = millisOf(stats_.expectedWorkTime(*request.job.route));
    query.mustQueue = request.search.mustQueue();
    query.responseKilobytes = stats_.responseKilobytes(request.job.route->name);
    query.ownHomeIdle = home_.needsRequest(request.job.service, query.retryable);
    return query;
}

HomeChoice HomeSelector::choose(const ForwardedRequest &request, SteadyTime now)
{
    for (const std::string &node : ranking_.takePathsToCheck(homesFor(request).subset, now)) {
        paths_.check(node);
    }
    return chooseExcept(request, request.search.excluded(), now);
}

HomeChoice HomeSelector::chooseExcept(const ForwardedRequest &request, const std::set<std::string> &excluded,
                                      SteadyTime now)
{
    const ServiceHomes &homes = homesFor(request);
    const HomeQuery query = queryOf(request);
    const HomeChoice choice = ranking_.choose(homes.subset, excluded, query, now);
    const bool isWorseThanUnknown =
        choice.node.empty() || choice.loss > ranking_.unknownHomeLoss(Distance::OtherRegion, query);
    return isWorseThanUnknown && homes.all.size() > homes.subset.size()
               ? ranking_.choose(homes.all, excluded, query, now)
               : choice;
}

bool HomeSelector::shouldReserve(const ForwardedRequest &request, HomeChoice &choice)
{
    if (!slots_.shouldReserve(choice) && request.triedHomes.empty()) {
        return false;
    }
    const std::vector<ReservationCandidate> candidates = reservationCandidates(request);
    if (!slots_.canReserve(candidates)) {
        return false;
    }
    std::set<std::string> excluded = slots_.homesWithoutRoom(candidates);
    excluded.insert(request.search.excluded().begin(), request.search.excluded().end());
    excluded.insert(request.triedHomes.begin(), request.triedHomes.end());
    const HomeChoice other = chooseExcept(request, excluded, core_.clock.now());
    if (other.node.empty() || !slots_.mayBeSent(request.triedHomes.size())) {
        return true;
    }
    choice = other;
    return false;
}

bool HomeSelector::mayWaitForSlot(const ForwardedRequest &request) const
{
    const bool mayCustomerWait = !request.job.countedAt || core_.settings.waiting.limitedCustomers;
    return mayCustomerWait && slots_.mayWait(*request.job.route);
}

bool HomeSelector::isHedgeUseless(const ForwardedRequest &request, const HomeChoice &choice) const
{
    return mayWaitForSlot(request) && slots_.offersSlots(choice.node) && slots_.shouldReserve(choice);
}

std::vector<ReservationCandidate> HomeSelector::reservationCandidates(const ForwardedRequest &request)
{
    const std::vector<RankedHome> &homes = homesFor(request).subset;
    const std::vector<HomeStatus> statuses = ranking_.statusOf(homes, queryOf(request), core_.clock.now());
    std::vector<ReservationCandidate> candidates;
    for (std::size_t i = 0; i < homes.size(); ++i) {
        if (request.reachedHomes.count(homes[i].node) == 0) {
            candidates.push_back(ReservationCandidate{homes[i].node, homes[i].distance, statuses[i]});
        }
    }
    return candidates;
}

SlotWaitResult HomeSelector::awaitSlot(const ForwardedRequestPtr &request, const AttemptPtr &attempt)
{
    const ForwardJob &job = request->job;
    SlotWait want;
    want.requestId = job.requestId;
    want.service = job.service;
    want.route = job.route->name;
    want.customer = job.customer;
    want.priority = static_cast<std::uint8_t>(request->priority());
    want.retryable = retries_.canRetry(*request);
    want.need.objective = request->objective;
    want.need.deadline = job.deadline;
    want.need.workTime = millisOf(stats_.expectedWorkTime(*job.route));
    want.need.responseKilobytes = stats_.responseKilobytes(job.route->name);
    want.need.tried = request->triedHomes;
    want.need.made = request->reservationsMade;
    want.until = startLimit_.latestStart(*job.route);
    want.callsUnserved = request->callsUnserved;
    want.candidates = [this, request] { return reservationCandidates(*request); };
    want.control = attempt->control;
    ++request->waitingForSlot;
    SlotWaitResult result = slots_.wait(want);
    --request->waitingForSlot;
    request->reservationsMade += result.made;
    request->callsUnserved = std::max(request->callsUnserved, result.callsUnserved);
    request->notifier.notify();
    if (result.end == SlotWaitEnd::NoOffer) {
        attempt->reply.outcome = Outcome::NotRun;
        attempt->reply.reason = request->refusalReason("no-slot");
        attempt->reply.load.wait = result.retryAfter;
    }
    return result;
}

HomeChoice HomeSelector::choiceOf(const ForwardedRequest &request, const SlotWaitResult &slot, HomeChoice choice)
{
    if (slot.home == choice.node) {
        return choice;
    }
    choice.node = slot.home;
    choice.acceptsGray = false;
    for (const RankedHome &home : homesFor(request).all) {
        choice.distance = home.node == slot.home ? home.distance : choice.distance;
    }
    return choice;
}

void HomeSelector::noteOffer(const std::string &home, const SlotOffer &offer, int priority)
{
    const SteadyTime now = core_.clock.now();
    ranking_.noteLoad(home, offer.load, priority, now);
    if (isNoServerReason(offer.reason)) {
        ranking_.noteNoServer(home, now);
    }
}

void HomeSelector::registryChanged()
{
    std::set<std::string> nodes = {core_.self.id};
    for (const RegistryEntryPtr &entry : core_.service<RegistrySync>("registry").registry().all()) {
        nodes.insert(entry->id);
    }
    ranking_.keepOnly(nodes);
    homes_.clear();
}

HomeRanking &HomeSelector::ranking()
{
    return ranking_;
}

} // namespace waxwing
