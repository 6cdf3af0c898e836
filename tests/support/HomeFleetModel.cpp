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

double HomeFleetOutcome::refusedShare() const
{
    return static_cast<double>(refused) / std::max(1, requests);
}

double HomeFleetOutcome::inTimeShare() const
{
    return static_cast<double>(inTime) / std::max(1, requests);
}

bool HomeFleetModel::Event::operator<(const Event &other) const
{
    return at != other.at ? at > other.at : order > other.order;
}

HomeFleetModel::HomeFleetModel(const HomeFleetLoad &load, HomePolicy policy, std::uint32_t seed)
    : load_(load)
    , policy_(policy)
    , random_(seed)
    , now_(std::chrono::hours(1))
    , burstFrom_(now_ + warmUp)
    , end_(burstFrom_ + load.burstDuration)
    , homes_(static_cast<std::size_t>(load.homes))
{
    for (int i = 0; i < load.homes; ++i) {
        ranked_.push_back(RankedHome{"home-" + std::to_string(i), Distance::SameZone});
        Home &home = homes_[static_cast<std::size_t>(i)];
        home.queue.setServer(load.slots, true, now_);
        home.freeAt.assign(load.slots, now_);
    }
    for (int i = 0; i < load.nodes; ++i) {
        rankings_.emplace_back([this] { return static_cast<std::uint64_t>(random_()); });
    }
}

HomeFleetOutcome HomeFleetModel::run()
{
    scheduleArrival();
    while (!events_.empty()) {
        const Event event = events_.top();
        events_.pop();
        now_ = event.at;
        event.action();
    }
    return outcome_;
}

void HomeFleetModel::schedule(SteadyTime when, std::function<void()> action)
{
    events_.push(Event{when, nextOrder_++, std::move(action)});
}

double HomeFleetModel::uniform()
{
    return boost::random::uniform_01<double>()(random_);
}

bool HomeFleetModel::isBurst() const
{
    return now_ >= burstFrom_ && now_ < end_;
}

void HomeFleetModel::scheduleArrival()
{
    const double rate = load_.requestsPerSecond * (isBurst() ? load_.burst : 1.0);
    const double seconds = boost::random::exponential_distribution<double>(rate)(random_);
    const SteadyTime next = now_ + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    if (next < end_) {
        schedule(next, [this] { arrive(); });
    }
}

void HomeFleetModel::arrive()
{
    const auto request = std::make_shared<Request>();
    request->id = nextId_++;
    request->sender = static_cast<int>(uniform() * load_.nodes);
    request->objective = now_ + objective;
    request->deadline = now_ + deadline;
    request->work = Millis(static_cast<std::int64_t>(boost::random::uniform_real_distribution<double>(0.5, 1.5)(random_)
                                                     * static_cast<double>(load_.meanWork.count())));
    request->counted = isBurst();
    outcome_.requests += request->counted ? 1 : 0;
    dispatch(request);
    scheduleArrival();
}

void HomeFleetModel::dispatch(const RequestPtr &request)
{
    const int home = request->search.canContinue() && now_ < request->deadline ? chooseHome(*request) : -1;
    if (home < 0) {
        finish(request, false);
        return;
    }
    request->home = ranked_[static_cast<std::size_t>(home)].node;
    request->search.noteSent(request->home);
    rankings_[static_cast<std::size_t>(request->sender)].noteSent(request->home);
    schedule(now_ + linkDelay, [this, home, request] { submit(home, request); });
}

int HomeFleetModel::chooseHome(Request &request)
{
    request.queueTimeout = request.deadline - now_;
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
    query.untilObjective = std::chrono::duration_cast<Millis>(request.objective - now_);
    query.untilDeadline = std::chrono::duration_cast<Millis>(request.deadline - now_);
    query.workTime = load_.meanWork;
    query.mustQueue = request.search.mustQueue();
    const HomeChoice choice =
        rankings_[static_cast<std::size_t>(request.sender)].choose(ranked_, request.search.excluded(), query, now_);
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
    const SteadyTime ends = std::max(now_ + linkDelay, *slot) + request.work;
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
    slotRequest.queueTimeout = std::chrono::duration_cast<Millis>(request->queueTimeout);
    const SlotDecision decision = target.queue.submit(slotRequest, now_);
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
    schedule(now_ + pollInterval, [this, home] {
        homes_[static_cast<std::size_t>(home)].pollScheduled = false;
        poll(home);
    });
}

void HomeFleetModel::begin(int home, const RequestPtr &request)
{
    schedule(now_ + request->work, [this, home, request] {
        Home &target = homes_[static_cast<std::size_t>(home)];
        target.queue.addResult(route, false, request->work, now_);
        target.queue.release(request->id, now_);
        target.active.erase(request->id);
        const HomeLoad load = target.queue.load(priority, now_);
        schedule(now_ + linkDelay, [this, request, load] {
            HomeRanking &ranking = rankings_[static_cast<std::size_t>(request->sender)];
            ranking.noteDone(request->home);
            ranking.noteLoad(request->home, load, priority, now_);
            finish(request, true);
        });
        poll(home);
    });
}

void HomeFleetModel::poll(int home)
{
    Home &target = homes_[static_cast<std::size_t>(home)];
    const SlotQueue::PollResult result = target.queue.poll(now_);
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
    const HomeLoad load = target.queue.load(priority, now_);
    schedule(now_ + linkDelay, [this, request, load] {
        HomeRanking &ranking = rankings_[static_cast<std::size_t>(request->sender)];
        ranking.noteDone(request->home);
        ranking.noteLoad(request->home, load, priority, now_);
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
    outcome_.inTime += served && now_ <= request->objective ? 1 : 0;
    outcome_.late += served && now_ > request->objective ? 1 : 0;
}

} // namespace waxwing::testing
