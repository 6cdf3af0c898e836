#include "tests/support/HomeFleetModel.h"

#include "tests/support/SlotPolicies.h"

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_real_distribution.hpp>

#include <cmath>

namespace waxwing::testing {

namespace {

/** One way. */
constexpr Duration zoneDelay = std::chrono::microseconds(200);
constexpr Duration otherZoneDelay = Millis(1);
constexpr Duration otherRegionDelay = Millis(30);
constexpr Millis spillInterval{500};
constexpr double shortestWork = 0.5;
constexpr double longestWork = 1.5;
const std::string hotCustomer = "customer-0";

std::unique_ptr<SlotPolicy> makePolicy(HomePolicy policy, HomeFleetModel &model)
{
    switch (policy) {
    case HomePolicy::Reservations:
        return std::make_unique<ReservationPolicy>(model);
    case HomePolicy::ZoneQueue:
        return std::make_unique<ZoneQueuePolicy>(model);
    case HomePolicy::Polling:
    case HomePolicy::Random:
    case HomePolicy::Oracle:
        break;
    }
    return std::make_unique<PollingPolicy>(model, policy);
}

} // namespace

SlotPolicy::SlotPolicy(HomeFleetModel &model)
    : model_(model)
{ }

void SlotPolicy::callEnded(int, bool)
{ }

HomeFleetModel::HomeFleetModel(HomeFleetLoad load, HomePolicy policy, std::uint32_t seed)
    : load_(std::move(load))
    , arrivals_(seed)
    , random_(seed)
    , events_(SteadyTime(std::chrono::hours(1)))
    , burstFrom_(events_.now() + load_.warmUp)
    , end_(burstFrom_ + load_.burstDuration)
    , homesFrom_(static_cast<std::size_t>(load_.zones))
{
    for (int home = 0; home < load_.homes; ++home) {
        names_.push_back("home-" + std::to_string(home));
        for (int zone = 0; zone < load_.zones; ++zone) {
            homesFrom_[static_cast<std::size_t>(zone)].push_back(RankedHome{names_.back(), distance(zone, home)});
        }
    }
    policy_ = makePolicy(policy, *this);
}

FleetCounts HomeFleetModel::run()
{
    events_.add(burstFrom_, [this] {
        for (int home = 0; home < load_.homesGone; ++home) {
            policy_->serverLeft(home);
        }
    });
    scheduleArrival();
    events_.run();
    for (const auto &[priority, one] : counts_.byPriority) {
        counts_.unfinished += one.requests - one.inTime - one.late - one.refused;
    }
    for (const Spill &spill : spills_) {
        counts_.spilledShares.push_back(static_cast<double>(spill.elsewhere) / std::max(1, spill.all));
    }
    return counts_;
}

const HomeFleetLoad &HomeFleetModel::load() const
{
    return load_;
}

SteadyTime HomeFleetModel::now() const
{
    return events_.now();
}

std::uint64_t HomeFleetModel::random()
{
    return random_();
}

std::uint64_t HomeFleetModel::nextId()
{
    return nextId_++;
}

const std::string &HomeFleetModel::homeName(int home) const
{
    return names_[static_cast<std::size_t>(home)];
}

int HomeFleetModel::homeIndex(const std::string &name) const
{
    return static_cast<int>(std::find(names_.begin(), names_.end(), name) - names_.begin());
}

int HomeFleetModel::zoneOf(int nodeOrHome) const
{
    return nodeOrHome % load_.zones;
}

Distance HomeFleetModel::distance(int node, int home) const
{
    if (zoneOf(node) == zoneOf(home)) {
        return Distance::SameZone;
    }
    const bool sameRegion = zoneOf(node) / load_.zonesPerRegion == zoneOf(home) / load_.zonesPerRegion;
    return sameRegion ? Distance::SameRegion : Distance::OtherRegion;
}

const std::vector<RankedHome> &HomeFleetModel::homesFrom(int node) const
{
    return homesFrom_[static_cast<std::size_t>(zoneOf(node))];
}

Duration HomeFleetModel::delay(Distance distance) const
{
    if (distance == Distance::OtherRegion) {
        return otherRegionDelay;
    }
    return distance == Distance::SameRegion ? otherZoneDelay : zoneDelay;
}

void HomeFleetModel::at(SteadyTime when, std::function<void()> action)
{
    events_.add(when, std::move(action));
}

void HomeFleetModel::after(Duration time, std::function<void()> action)
{
    at(now() + time, std::move(action));
}

void HomeFleetModel::sendSmall(const FleetRequest &request, Distance distance, std::function<void()> action)
{
    counts_.smallMessages += request.counted ? 1 : 0;
    after(delay(distance), std::move(action));
}

void HomeFleetModel::sendWork(const FleetRequestPtr &request, int home, std::function<void()> action)
{
    counts_.sends += request->counted ? 1 : 0;
    request->home = home;
    after(delay(distance(request->sender, home)), std::move(action));
}

void HomeFleetModel::noteInVain(const FleetRequest &request)
{
    counts_.sendsInVain += request.counted ? 1 : 0;
}

void HomeFleetModel::noteIdleSlot(Duration idle)
{
    counts_.longestIdleSlot = std::max(counts_.longestIdleSlot, idle);
}

template<typename Change>
void HomeFleetModel::count(const FleetRequest &request, Change change)
{
    if (request.counted) {
        change(counts_.byPriority[request.route->route.priority]);
        change(counts_.byRoute[request.route->route.name]);
        change(request.customer == hotCustomer ? counts_.hotCustomer : counts_.otherCustomers);
    }
}

void HomeFleetModel::begin(int home, const FleetRequestPtr &request)
{
    const Duration wait = now() - request->arrived;
    count(*request, [wait](PriorityCounts &counts) {
        counts.waited += wait;
        counts.longestWait = std::max(counts.longestWait, wait);
    });
    const Distance far = distance(request->sender, home);
    if (request->counted) {
        counts_.halfObjectiveUsed += now() > request->arrived + (request->objective - request->arrived) / 2 ? 1 : 0;
        counts_.otherZone += far == Distance::SameRegion ? 1 : 0;
        counts_.otherRegion += far == Distance::OtherRegion ? 1 : 0;
        if (zoneOf(request->sender) == 0 && now() < end_) {
            const auto interval = static_cast<std::size_t>((now() - burstFrom_) / spillInterval);
            spills_.resize(std::max(spills_.size(), interval + 1));
            ++spills_[interval].all;
            spills_[interval].elsewhere += far == Distance::SameZone ? 0 : 1;
        }
    }
    const bool isSlow = home >= load_.homes - load_.slowHomes;
    const Duration took = durationOf(secondsOf(request->work) * (isSlow ? load_.slowFactor : 1.0));
    after(took, [this, home, request, took] { makeCalls(home, request, took, request->calls); });
}

void HomeFleetModel::makeCalls(int home, const FleetRequestPtr &request, Duration took, int calls)
{
    if (calls == 0 || request->callFailed) {
        policy_->workEnded(home, request, took);
        return;
    }
    const CalledService &called = load_.called;
    const bool isFailing = now() >= burstFrom_ && now() < burstFrom_ + called.failFor;
    const bool fails = isFailing && boost::random::uniform_01<double>()(random_) < called.failedShare;
    const Millis duration = fails ? called.fails : called.succeeds;
    after(duration, [this, home, request, took, calls, fails, duration] {
        policy_->callEnded(home, !fails);
        request->callFailed = fails;
        makeCalls(home, request, took + duration, calls - 1);
    });
}

void HomeFleetModel::finish(const FleetRequestPtr &request, bool served)
{
    request->done = true;
    // A response after the deadline reaches no caller.
    const bool succeeded = served && !request->callFailed;
    const bool inTime = succeeded && now() <= request->objective;
    const bool late = succeeded && !inTime && now() <= request->deadline;
    count(*request, [&](PriorityCounts &counts) {
        counts.inTime += inTime ? 1 : 0;
        counts.late += late ? 1 : 0;
        counts.refused += inTime || late ? 0 : 1;
        counts.callsFailed += request->callFailed ? 1 : 0;
        counts.callsUnserved += !served && request->callsUnserved > 0 ? 1 : 0;
    });
    if (request->counted) {
        counts_.longestAfterDeadline = std::max(counts_.longestAfterDeadline, now() - request->deadline);
    }
}

double HomeFleetModel::uniform()
{
    return boost::random::uniform_01<double>()(arrivals_);
}

bool HomeFleetModel::isBurst() const
{
    return now() >= burstFrom_ && now() < end_;
}

double HomeFleetModel::hotRateFactor() const
{
    return isBurst() ? 1.0 + (load_.hotFactor - 1.0) / load_.customers : 1.0;
}

double HomeFleetModel::rateOf(const FleetRoute &route) const
{
    const bool inBurst = isBurst() && (load_.burstRoute.empty() || load_.burstRoute == route.route.name);
    return route.requestsPerSecond * (inBurst ? load_.burst : 1.0);
}

double HomeFleetModel::totalRate() const
{
    double rate = 0.0;
    for (const FleetRoute &route : load_.routes) {
        rate += rateOf(route);
    }
    return rate * hotRateFactor();
}

const FleetRoute &HomeFleetModel::pickRoute()
{
    double left = uniform() * totalRate() / hotRateFactor();
    for (const FleetRoute &route : load_.routes) {
        left -= rateOf(route);
        if (left < 0.0) {
            return route;
        }
    }
    return load_.routes.back();
}

int HomeFleetModel::pickSender()
{
    const int node = static_cast<int>(uniform() * load_.nodes);
    if (load_.waveAmplitude == 0.0 || zoneOf(node) > 1) {
        return node;
    }
    constexpr double fullTurn = 6.283185307179586;
    const double phase = secondsOf(now() - burstFrom_) / secondsOf(load_.wavePeriod);
    const bool toZone0 = uniform() < (1.0 + load_.waveAmplitude * std::sin(fullTurn * phase)) / 2.0;
    return node - zoneOf(node) + (toZone0 ? 0 : 1);
}

std::string HomeFleetModel::pickCustomer()
{
    const double hotShare = (isBurst() ? load_.hotFactor : 1.0) / load_.customers / hotRateFactor();
    if (load_.customers == 1) {
        return {};
    }
    if (uniform() < hotShare) {
        return hotCustomer;
    }
    return "customer-" + std::to_string(1 + static_cast<int>(uniform() * (load_.customers - 1)));
}

void HomeFleetModel::scheduleArrival()
{
    const double seconds = boost::random::exponential_distribution<double>(totalRate())(arrivals_);
    const SteadyTime next = now() + durationOf(seconds);
    if (next < end_) {
        at(next, [this] { arrive(); });
    }
}

void HomeFleetModel::arrive()
{
    const auto request = std::make_shared<FleetRequest>();
    request->id = nextId();
    request->route = &pickRoute();
    request->sender = pickSender();
    request->customer = pickCustomer();
    request->arrived = now();
    request->objective = now() + request->route->route.responseTime;
    request->deadline = now() + request->route->route.timeout;
    const double factor = boost::random::uniform_real_distribution<double>(shortestWork, longestWork)(arrivals_);
    request->work = Millis(static_cast<std::int64_t>(factor * static_cast<double>(request->route->work.count())));
    // Drawn only for routes with calls, so that the requests of other loads stay the same.
    if (request->route->calls > 0 && uniform() < request->route->callShare) {
        request->calls = request->route->calls;
    }
    request->counted = isBurst();
    count(*request, [](PriorityCounts &counts) { ++counts.requests; });
    policy_->arrive(request);
    scheduleArrival();
}

} // namespace waxwing::testing
