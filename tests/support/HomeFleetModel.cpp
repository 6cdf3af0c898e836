#include "tests/support/HomeFleetModel.h"

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_real_distribution.hpp>

#include <algorithm>

namespace waxwing::testing {

namespace {

constexpr Millis warmUp = std::chrono::seconds(6);
constexpr Millis linkDelay{2};
constexpr Millis pollInterval{10};
constexpr Millis objective{1000};
constexpr Millis deadline{4000};
constexpr int priority = 2;
const std::string route = "booking";

} // namespace

HomeFleetModel::HomeFleetModel(const HomeFleetLoad &load, HomePolicy policy, std::uint32_t seed)
    : load_(load)
    , policy_(policy)
    , random_(seed)
    , events_(SteadyTime(std::chrono::hours(1)))
    , burstFrom_(events_.now() + warmUp)
    , end_(burstFrom_ + load.burstDuration)
    , homes_(static_cast<std::size_t>(load.homes))
{
    for (int i = 0; i < load.homes; ++i) {
        ranked_.push_back(RankedHome{"home-" + std::to_string(i), Distance::SameZone});
        Home &home = homes_[static_cast<std::size_t>(i)];
        home.queue.setServer(load.slots, true, events_.now());
        home.freeAt.assign(load.slots, events_.now());
    }
    for (int i = 0; i < load.nodes; ++i) {
        rankings_.emplace_back([this] { return static_cast<std::uint64_t>(random_()); });
    }
}

ServedCounts HomeFleetModel::run()
{
    scheduleArrival();
    events_.run();
    return outcome_;
}

double HomeFleetModel::uniform()
{
    return boost::random::uniform_01<double>()(random_);
}

bool HomeFleetModel::isBurst() const
{
    return events_.now() >= burstFrom_ && events_.now() < end_;
}

void HomeFleetModel::scheduleArrival()
{
    const double rate = load_.requestsPerSecond * (isBurst() ? load_.burst : 1.0);
    const double seconds = boost::random::exponential_distribution<double>(rate)(random_);
    const SteadyTime next = events_.now() + durationOf(seconds);
    if (next < end_) {
        events_.add(next, [this] { arrive(); });
    }
}

void HomeFleetModel::arrive()
{
    const auto request = std::make_shared<Request>();
    request->id = nextId_++;
    request->sender = static_cast<int>(uniform() * load_.nodes);
    request->objective = events_.now() + objective;
    request->deadline = events_.now() + deadline;
    request->work = Millis(static_cast<std::int64_t>(boost::random::uniform_real_distribution<double>(0.5, 1.5)(random_)
                                                     * static_cast<double>(load_.meanWork.count())));
    request->counted = isBurst();
    outcome_.requests += request->counted ? 1 : 0;
    dispatch(request);
    scheduleArrival();
}

void HomeFleetModel::dispatch(const RequestPtr &request)
{
    const int home = request->search.canContinue() && events_.now() < request->deadline ? chooseHome(*request) : -1;
    if (home < 0) {
        finish(request, false);
        return;
    }
    request->home = ranked_[static_cast<std::size_t>(home)].node;
    request->search.noteSent(request->home);
    rankings_[static_cast<std::size_t>(request->sender)].noteSent(request->home);
    events_.add(events_.now() + linkDelay, [this, home, request] { submit(home, request); });
}

int HomeFleetModel::chooseHome(Request &request)
{
    request.queueTimeout = request.deadline - events_.now();
    switch (policy_) {
    case HomePolicy::Product:
        return chooseByRanking(request);
    case HomePolicy::Random:
        return static_cast<int>(uniform() * load_.homes);
    case HomePolicy::Oracle:
        break;
    }
    return chooseFirstFree(request);
}

int HomeFleetModel::chooseByRanking(Request &request)
{
    HomeQuery query;
    query.priority = priority;
    query.untilObjective = millisOf(request.objective - events_.now());
    query.untilDeadline = millisOf(request.deadline - events_.now());
    query.workTime = load_.meanWork;
    query.mustQueue = request.search.mustQueue();
    const HomeChoice choice = rankings_[static_cast<std::size_t>(request.sender)].choose(
        ranked_, request.search.excluded(), query, events_.now());
    if (choice.node.empty()) {
        return -1;
    }
    request.queueTimeout = choice.queueTimeout;
    const auto found =
        std::find_if(ranked_.begin(), ranked_.end(), [&](const RankedHome &home) { return home.node == choice.node; });
    return static_cast<int>(found - ranked_.begin());
}

int HomeFleetModel::chooseFirstFree(const Request &request)
{
    const auto freeAt = [](const Home &home) { return *std::min_element(home.freeAt.begin(), home.freeAt.end()); };
    const auto best = std::min_element(homes_.begin(), homes_.end(),
                                       [&](const Home &a, const Home &b) { return freeAt(a) < freeAt(b); });
    auto slot = std::min_element(best->freeAt.begin(), best->freeAt.end());
    const SteadyTime ends = std::max(events_.now() + linkDelay, *slot) + request.work;
    if (ends + linkDelay > request.deadline) {
        return -1;
    }
    *slot = ends;
    return static_cast<int>(best - homes_.begin());
}

void HomeFleetModel::submit(int home, const RequestPtr &request)
{
    Home &target = homes_[static_cast<std::size_t>(home)];
    SlotRequest slotRequest;
    slotRequest.id = request->id;
    slotRequest.route = route;
    slotRequest.priority = priority;
    slotRequest.objective = request->objective;
    slotRequest.deadline = request->deadline;
    slotRequest.queueTimeout = millisOf(request->queueTimeout);
    const SlotDecision decision = target.queue.submit(slotRequest, events_.now());
    target.active[request->id] = request;
    if (decision.action == SlotAction::Start) {
        begin(home, request);
    } else if (decision.action == SlotAction::Refuse) {
        refuse(home, request);
    } else {
        schedulePoll(home);
    }
}

void HomeFleetModel::schedulePoll(int home)
{
    Home &target = homes_[static_cast<std::size_t>(home)];
    if (target.pollScheduled || target.queue.waiting() == 0) {
        return;
    }
    target.pollScheduled = true;
    events_.add(events_.now() + pollInterval, [this, home] {
        homes_[static_cast<std::size_t>(home)].pollScheduled = false;
        poll(home);
    });
}

void HomeFleetModel::begin(int home, const RequestPtr &request)
{
    events_.add(events_.now() + request->work, [this, home, request] {
        Home &target = homes_[static_cast<std::size_t>(home)];
        target.queue.addResult(route, false, request->work, events_.now());
        target.queue.release(request->id, events_.now());
        target.active.erase(request->id);
        const HomeLoad load = target.queue.load(priority, events_.now());
        events_.add(events_.now() + linkDelay, [this, request, load] {
            HomeRanking &ranking = rankings_[static_cast<std::size_t>(request->sender)];
            ranking.noteDone(request->home);
            ranking.noteLoad(request->home, load, priority, events_.now());
            finish(request, true);
        });
        poll(home);
    });
}

void HomeFleetModel::poll(int home)
{
    Home &target = homes_[static_cast<std::size_t>(home)];
    const SlotQueue::PollResult result = target.queue.poll(events_.now());
    for (const std::uint64_t id : result.start) {
        begin(home, target.active.at(id));
    }
    for (const std::uint64_t id : result.expired) {
        refuse(home, RequestPtr(target.active.at(id)));
    }
    schedulePoll(home);
}

void HomeFleetModel::refuse(int home, const RequestPtr &request)
{
    Home &target = homes_[static_cast<std::size_t>(home)];
    target.active.erase(request->id);
    const HomeLoad load = target.queue.load(priority, events_.now());
    events_.add(events_.now() + linkDelay, [this, request, load] {
        HomeRanking &ranking = rankings_[static_cast<std::size_t>(request->sender)];
        ranking.noteDone(request->home);
        ranking.noteLoad(request->home, load, priority, events_.now());
        request->search.noteRefused(request->home);
        dispatch(request);
    });
}

void HomeFleetModel::finish(const RequestPtr &request, bool served)
{
    if (!request->counted) {
        return;
    }
    outcome_.refused += served ? 0 : 1;
    outcome_.inTime += served && events_.now() <= request->objective ? 1 : 0;
    outcome_.late += served && events_.now() > request->objective ? 1 : 0;
}

} // namespace waxwing::testing
