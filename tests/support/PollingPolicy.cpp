#include "tests/support/SlotPolicies.h"

namespace waxwing::testing {

namespace {

constexpr Millis pollInterval{10};
/** A report of this age counts as fresh when a request is refused because of it, as in production. */
constexpr Millis maxFreshLoadAge{300};
const std::string calledService = "called";
/** As in Forwarder. */
constexpr int maxUnservedHomes = 2;

} // namespace

PollingPolicy::PollingPolicy(HomeFleetModel &model, HomePolicy policy)
    : SlotPolicy(model)
    , policy_(policy)
    , homes_(static_cast<std::size_t>(model.load().homes))
{
    for (const FleetRoute &route : model.load().routes) {
        callRates_[route.route.name][calledService] = route.callShare * route.calls;
    }
    for (Home &home : homes_) {
        if (model.load().callAdmission) {
            home.calls = std::make_unique<CallAdmission>(
                [this](const std::string &route) -> const CallRates & { return callRates_.at(route); });
            home.queue.setCallAdmission(*home.calls);
        }
        home.queue.setServer(model.load().slots, true, model.now());
        home.freeAt.assign(model.load().slots, model.now());
    }
    for (int i = 0; i < model.load().nodes; ++i) {
        rankings_.emplace_back([this] { return model_.random(); });
    }
}

PollingPolicy::Home &PollingPolicy::homeAt(int home)
{
    return homes_[static_cast<std::size_t>(home)];
}

HomeRanking &PollingPolicy::rankingOf(const FleetRequest &request)
{
    return rankings_[static_cast<std::size_t>(request.sender)];
}

HomeQuery PollingPolicy::queryOf(const FleetRequest &request) const
{
    HomeQuery query;
    query.retryable = request.route->route.idempotent;
    query.priority = request.route->route.priority;
    query.untilObjective = millisOf(request.objective - model_.now());
    query.untilDeadline = millisOf(request.deadline - model_.now());
    query.workTime = request.route->work;
    query.mustQueue = request.search.mustQueue();
    return query;
}

SlotRequest PollingPolicy::slotRequestOf(const FleetRequest &request) const
{
    SlotRequest slotRequest;
    slotRequest.id = request.id;
    slotRequest.route = request.route->route.name;
    slotRequest.customer = request.customer;
    slotRequest.retryable = request.route->route.idempotent;
    slotRequest.priority = request.route->route.priority;
    slotRequest.objective = request.objective;
    slotRequest.deadline = request.deadline;
    slotRequest.queueTimeout = request.queueTimeout;
    return slotRequest;
}

HomeLoad PollingPolicy::loadOf(int home, const FleetRequest &request)
{
    return homeAt(home).queue.load(request.route->route.priority, model_.now());
}

void PollingPolicy::noteLoad(const FleetRequest &request, int home, const HomeLoad &load)
{
    const std::string &name = model_.homeName(home);
    if (load.slots == 0) {
        rankingOf(request).noteNoServer(name, model_.now());
    } else {
        rankingOf(request).noteLoad(name, load, request.route->route.priority, model_.now());
    }
}

void PollingPolicy::arrive(const FleetRequestPtr &request)
{
    dispatch(request);
}

void PollingPolicy::dispatch(const FleetRequestPtr &request)
{
    if (endIfUnserved(request)) {
        return;
    }
    if (!request->search.canContinue() || model_.now() >= request->deadline) {
        model_.finish(request, false);
        return;
    }
    if (policy_ == HomePolicy::Random || policy_ == HomePolicy::Oracle) {
        const int home = policy_ == HomePolicy::Oracle
                             ? chooseFirstFree(*request)
                             : static_cast<int>(model_.random() % static_cast<std::uint64_t>(model_.load().homes));
        if (home < 0) {
            model_.finish(request, false);
            return;
        }
        send(request, home, millisOf(request->deadline - model_.now()));
        return;
    }
    const HomeChoice choice = rankingOf(*request).choose(model_.homesFrom(request->sender), request->search.excluded(),
                                                         queryOf(*request), model_.now());
    const bool loadIsFresh = choice.loadAge >= Millis(0) && choice.loadAge <= maxFreshLoadAge;
    if (choice.node.empty() || (choice.missesDeadline && loadIsFresh)) {
        model_.finish(request, false);
        return;
    }
    send(request, model_.homeIndex(choice.node), choice.queueTimeout);
}

int PollingPolicy::chooseFirstFree(const FleetRequest &request)
{
    const auto freeAt = [](const Home &home) { return *std::min_element(home.freeAt.begin(), home.freeAt.end()); };
    const auto best = std::min_element(homes_.begin(), homes_.end(),
                                       [&](const Home &a, const Home &b) { return freeAt(a) < freeAt(b); });
    const int home = static_cast<int>(best - homes_.begin());
    const Duration delay = model_.delay(model_.distance(request.sender, home));
    auto slot = std::min_element(best->freeAt.begin(), best->freeAt.end());
    const SteadyTime ends = std::max(model_.now() + delay, *slot) + request.work;
    if (ends + delay > request.deadline) {
        return -1;
    }
    *slot = ends;
    return home;
}

void PollingPolicy::send(const FleetRequestPtr &request, int home, Millis queueTimeout)
{
    request->queueTimeout = queueTimeout;
    request->slotId = request->id;
    request->search.noteSent(model_.homeName(home));
    rankingOf(*request).noteSent(model_.homeName(home));
    model_.sendWork(request, home, [this, home, request] { submit(home, request); });
}

void PollingPolicy::submit(int home, const FleetRequestPtr &request)
{
    Home &target = homeAt(home);
    const SlotDecision decision = target.queue.submit(slotRequestOf(*request), model_.now());
    if (decision.action == SlotAction::Refuse) {
        request->callsUnserved += decision.reason == RefusalReason::CallsUnserved ? 1 : 0;
        refuse(home, request);
        return;
    }
    target.entries[request->id] = Entry{request, false};
    if (decision.action == SlotAction::Start) {
        model_.begin(home, request);
    } else {
        schedulePoll(home);
    }
}

void PollingPolicy::workEnded(int home, const FleetRequestPtr &request, Duration took)
{
    Home &target = homeAt(home);
    if (!request->callFailed) {
        target.queue.addResult(request->route->route.name, false, took, model_.now());
    }
    target.queue.release(request->slotId, model_.now());
    target.entries.erase(request->slotId);
    poll(home, model_.now());
    const HomeLoad load = loadOf(home, *request);
    model_.after(model_.delay(model_.distance(request->sender, home)), [this, home, request, load] {
        rankingOf(*request).noteDone(model_.homeName(home));
        noteLoad(*request, home, load);
        model_.finish(request, true);
    });
}

void PollingPolicy::callEnded(int home, bool succeeded)
{
    if (CallAdmission *calls = homeAt(home).calls.get()) {
        calls->addResult(calledService, succeeded, model_.now());
    }
}

void PollingPolicy::serverLeft(int home)
{
    for (const std::uint64_t id : homeAt(home).queue.clearServer()) {
        onExpired(home, id);
    }
}

void PollingPolicy::schedulePoll(int home)
{
    Home &target = homeAt(home);
    if (target.pollScheduled || target.queue.waiting() == 0) {
        return;
    }
    target.pollScheduled = true;
    model_.after(pollInterval, [this, home] {
        homeAt(home).pollScheduled = false;
        poll(home, model_.now());
    });
}

void PollingPolicy::poll(int home, SteadyTime idleSince)
{
    const SlotQueue::PollResult result = homeAt(home).queue.poll(model_.now());
    for (const std::uint64_t id : result.start) {
        onStart(home, id, idleSince);
    }
    for (const std::uint64_t id : result.expired) {
        onExpired(home, id);
    }
    for (const std::uint64_t id : result.callsUnserved) {
        ++homeAt(home).entries.at(id).request->callsUnserved;
        onExpired(home, id);
    }
    schedulePoll(home);
}

void PollingPolicy::onStart(int home, std::uint64_t id, SteadyTime)
{
    model_.begin(home, homeAt(home).entries.at(id).request);
}

void PollingPolicy::onExpired(int home, std::uint64_t id)
{
    const FleetRequestPtr request = homeAt(home).entries.at(id).request;
    homeAt(home).entries.erase(id);
    refuse(home, request);
}

void PollingPolicy::refuse(int home, const FleetRequestPtr &request)
{
    model_.noteInVain(*request);
    const HomeLoad load = loadOf(home, *request);
    model_.after(model_.delay(model_.distance(request->sender, home)), [this, home, request, load] {
        rankingOf(*request).noteDone(model_.homeName(home));
        noteLoad(*request, home, load);
        request->search.noteRefused(model_.homeName(home));
        onRefused(request);
    });
}

bool PollingPolicy::endIfUnserved(const FleetRequestPtr &request)
{
    if (request->callsUnserved < maxUnservedHomes) {
        return false;
    }
    model_.finish(request, false);
    return true;
}

void PollingPolicy::onRefused(const FleetRequestPtr &request)
{
    dispatch(request);
}

} // namespace waxwing::testing
