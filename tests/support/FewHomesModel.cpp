#include "tests/support/FewHomesModel.h"

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/uniform_01.hpp>

#include <algorithm>

namespace waxwing::testing {

namespace {

constexpr std::size_t zones = 6;
constexpr std::size_t zonesPerRegion = 2;
constexpr Millis zoneDelay{1};
constexpr Millis regionDelay{30};
constexpr Millis pollInterval{10};
constexpr Millis objective{2500};
constexpr Millis deadline{5000};
/** A sender notices after this time that nothing comes back. */
constexpr Millis pathTimeout{500};
/** Longest time in which PathMonitor::check() finds a failed path: opening a link, then a round trip on it. */
constexpr Millis pathCheckTimeout{350};
constexpr Millis pathCheckTimeoutFar{710};
/** Longest time between the ends of two probes of a failed path by PathMonitor: the pause and the timeout. */
constexpr Millis probeInterval{4500};
/** A gray server fails its requests much sooner than a healthy one completes them. */
constexpr Millis grayWork{15};
constexpr int priority = 1;
/** The floor: in each interval this share of the servers gets requests. */
constexpr Millis floorInterval{2000};
constexpr Millis floorStep{100};
constexpr double floorShare = 0.7;
const std::string route = "esign-file";

std::size_t zoneOf(std::size_t node)
{
    return node % zones;
}

Distance distanceBetween(std::size_t a, std::size_t b)
{
    if (a == b) {
        return Distance::SameNode;
    }
    if (zoneOf(a) == zoneOf(b)) {
        return Distance::SameZone;
    }
    return zoneOf(a) / zonesPerRegion == zoneOf(b) / zonesPerRegion ? Distance::SameRegion : Distance::OtherRegion;
}

std::string nodeName(std::size_t index)
{
    return "node-" + std::to_string(index);
}

std::size_t indexOf(const std::string &node)
{
    return std::stoul(node.substr(node.find('-') + 1));
}

} // namespace

Millis FewHomesResult::longestGap() const
{
    return longestGaps.empty() ? Millis(0) : *std::max_element(longestGaps.begin(), longestGaps.end());
}

FewHomesModel::FewHomesModel(const FewHomesLoad &load, std::uint32_t seed)
    : load_(load)
    , random_(seed)
    , events_(SteadyTime(std::chrono::hours(1)))
    , lossAt_(events_.now() + load.before)
    , end_(lossAt_ + load.lost)
    , homes_(static_cast<std::size_t>(load.homes))
{
    for (Home &home : homes_) {
        home.queue.setServer(load.slots, true, events_.now());
    }
    std::set<std::string> nodes;
    for (std::size_t node = 0; node < static_cast<std::size_t>(load.senders); ++node) {
        nodes.insert(nodeName(node));
    }
    drawOrder();
    for (std::size_t i = 0; i < static_cast<std::size_t>(load.recovering); ++i) {
        homes_[order_[i]].state = HomeState::Gray;
    }
    for (std::size_t sender = 0; sender < static_cast<std::size_t>(load.senders); ++sender) {
        std::vector<RankedHome> known;
        for (std::size_t home = 0; home < homes_.size(); ++home) {
            known.push_back(RankedHome{nodeName(home), distanceBetween(sender, home)});
        }
        HomeRanking ranking([this] { return static_cast<std::uint64_t>(random_()); });
        if (load.explores) {
            ranking.keepOnly(nodes);
        }
        senders_.push_back(Sender{std::move(ranking), std::move(known), {}, {}});
    }
}

FewHomesResult FewHomesModel::run()
{
    events_.add(lossAt_, [this] { loseHomes(); });
    scheduleArrival();
    events_.run();
    return result();
}

double FewHomesModel::uniform()
{
    return boost::random::uniform_01<double>()(random_);
}

bool FewHomesModel::isLost() const
{
    return events_.now() >= lossAt_;
}

void FewHomesModel::drawOrder()
{
    for (std::size_t i = 0; i < homes_.size(); ++i) {
        order_.push_back(i);
    }
    for (std::size_t i = order_.size() - 1; i > 0; --i) {
        std::swap(order_[i], order_[static_cast<std::size_t>(uniform() * static_cast<double>(i + 1))]);
    }
    if (load_.healthyInOneRegion) {
        constexpr std::size_t lastRegion = zones / zonesPerRegion - 1;
        std::stable_partition(order_.begin(), order_.end(),
                              [](std::size_t home) { return zoneOf(home) / zonesPerRegion == lastRegion; });
    }
}

void FewHomesModel::loseHomes()
{
    const HomeState lostStates[] = {HomeState::NoServer, HomeState::Gray, HomeState::Unreachable};
    for (std::size_t i = 0; i < order_.size(); ++i) {
        Home &home = homes_[order_[i]];
        home.state = i < static_cast<std::size_t>(load_.healthy) ? HomeState::Healthy : lostStates[i % 3];
        if (home.state == HomeState::NoServer) {
            for (const std::uint64_t id : home.queue.clearServer()) {
                reply(order_[i], RequestPtr(home.active.at(id)), RefusalReason::NoServer);
            }
        }
    }
    for (std::size_t sender = 0; sender < senders_.size(); ++sender) {
        for (std::size_t home = 0; home < homes_.size(); ++home) {
            const bool reachable = homes_[home].state == HomeState::Healthy
                                       ? uniform() < load_.reachableShare
                                       : homes_[home].state != HomeState::Unreachable;
            if (!reachable && home != sender) {
                senders_[sender].unreachable.insert(home);
            }
        }
    }
}

void FewHomesModel::scheduleArrival()
{
    const double seconds = boost::random::exponential_distribution<double>(load_.requestsPerSecond)(random_);
    const SteadyTime next = events_.now() + durationOf(seconds);
    if (next < end_) {
        events_.add(next, [this] { arrive(); });
    }
}

void FewHomesModel::arrive()
{
    const auto request = std::make_shared<Request>();
    request->id = nextId_++;
    request->sender = static_cast<std::size_t>(uniform() * load_.senders);
    request->retryable = uniform() < load_.retryableShare;
    request->objective = events_.now() + objective;
    request->deadline = events_.now() + deadline;
    request->counted = isLost();
    requests_ += request->counted ? 1 : 0;
    dispatch(request);
    scheduleArrival();
}

void FewHomesModel::dispatch(const RequestPtr &request)
{
    Sender &sender = senders_[request->sender];
    HomeQuery query;
    query.retryable = request->retryable && request->attemptsLeft > 1;
    query.priority = priority;
    query.untilObjective = millisOf(request->objective - events_.now());
    query.untilDeadline = millisOf(request->deadline - events_.now());
    query.workTime = load_.meanWork;
    query.mustQueue = request->search.mustQueue();
    query.ownHomeIdle =
        request->sender < homes_.size() && homes_[request->sender].queue.needsRequest(query.retryable, events_.now());
    checkPaths(request->sender);
    const bool mayContinue = request->search.canContinue() && events_.now() < request->deadline;
    request->choice = mayContinue
                          ? sender.ranking.choose(sender.known, request->search.excluded(), query, events_.now())
                          : HomeChoice{};
    if (request->choice.node.empty()) {
        finish(*request, false);
        return;
    }
    const std::size_t home = indexOf(request->choice.node);
    request->search.noteSent(request->choice.node);
    sender.ranking.noteSent(request->choice.node);
    if (sender.unreachable.count(home) != 0) {
        events_.add(events_.now() + pathTimeout, [this, home, request] { losePath(home, request); });
    } else {
        events_.add(events_.now() + linkDelay(*request), [this, home, request] { submit(home, request); });
    }
}

void FewHomesModel::checkPaths(std::size_t sender)
{
    Sender &from = senders_[sender];
    for (const std::string &node : from.ranking.takePathsToCheck(from.known, events_.now())) {
        const std::size_t home = indexOf(node);
        const bool isFar = distanceBetween(sender, home) == Distance::OtherRegion;
        if (from.unreachable.count(home) != 0) {
            events_.add(events_.now() + (isFar ? pathCheckTimeoutFar : pathCheckTimeout),
                        [this, sender, home] { failPath(sender, home); });
        }
    }
}

void FewHomesModel::failPath(std::size_t sender, std::size_t home)
{
    senders_[sender].ranking.notePathFailure(nodeName(home), events_.now());
    if (senders_[sender].probed.insert(home).second) {
        scheduleProbe(sender, home);
    }
}

void FewHomesModel::scheduleProbe(std::size_t sender, std::size_t home)
{
    const SteadyTime next = events_.now() + probeInterval;
    if (next >= end_) {
        return;
    }
    events_.add(next, [this, sender, home] {
        senders_[sender].ranking.notePathStillFailed(nodeName(home), events_.now());
        scheduleProbe(sender, home);
    });
}

Duration FewHomesModel::linkDelay(const Request &request) const
{
    return request.choice.distance == Distance::OtherRegion ? regionDelay : zoneDelay;
}

void FewHomesModel::submit(std::size_t home, const RequestPtr &request)
{
    Home &target = homes_[home];
    if (target.state == HomeState::NoServer) {
        reply(home, request, RefusalReason::NoServer);
        return;
    }
    SlotRequest slotRequest;
    slotRequest.id = request->id;
    slotRequest.route = route;
    slotRequest.priority = priority;
    slotRequest.retryable = request->retryable && request->attemptsLeft > 1;
    slotRequest.acceptsGray = request->choice.acceptsGray;
    slotRequest.objective = request->objective;
    slotRequest.deadline = request->deadline;
    slotRequest.queueTimeout = request->choice.queueTimeout;
    const SlotDecision decision = target.queue.submit(slotRequest, events_.now());
    target.active[request->id] = request;
    if (decision.action == SlotAction::Start) {
        begin(home, request);
    } else if (decision.action == SlotAction::Refuse) {
        reply(home, request, decision.reason);
    } else {
        schedulePoll(home);
    }
}

void FewHomesModel::schedulePoll(std::size_t home)
{
    Home &target = homes_[home];
    if (target.pollScheduled || target.queue.waiting() == 0) {
        return;
    }
    target.pollScheduled = true;
    events_.add(events_.now() + pollInterval, [this, home] {
        homes_[home].pollScheduled = false;
        poll(home);
    });
}

void FewHomesModel::begin(std::size_t home, const RequestPtr &request)
{
    Home &target = homes_[home];
    target.starts.push_back(events_.now());
    const bool gray = target.state == HomeState::Gray;
    const Millis work =
        gray ? grayWork
             : Millis(static_cast<std::int64_t>((0.5 + uniform()) * static_cast<double>(load_.meanWork.count())));
    events_.add(events_.now() + work, [this, home, request, work, gray] {
        SlotQueue &queue = homes_[home].queue;
        queue.addResult(route, gray, work, events_.now());
        queue.release(request->id, events_.now());
        homes_[home].active.erase(request->id);
        complete(home, request, gray);
        poll(home);
    });
}

void FewHomesModel::poll(std::size_t home)
{
    const SlotQueue::PollResult due = homes_[home].queue.poll(events_.now());
    for (const std::uint64_t id : due.start) {
        begin(home, homes_[home].active.at(id));
    }
    for (const std::uint64_t id : due.expired) {
        reply(home, RequestPtr(homes_[home].active.at(id)), RefusalReason::Busy);
    }
    schedulePoll(home);
}

void FewHomesModel::complete(std::size_t home, const RequestPtr &request, bool failed)
{
    const HomeLoad load = homes_[home].queue.load(priority, events_.now());
    events_.add(events_.now() + linkDelay(*request), [this, request, load, failed] {
        HomeRanking &ranking = senders_[request->sender].ranking;
        ranking.noteDone(request->choice.node);
        ranking.noteLoad(request->choice.node, load, priority, events_.now());
        if (failed && request->retryable && --request->attemptsLeft > 0) {
            dispatch(request);
            return;
        }
        finish(*request, !failed);
    });
}

void FewHomesModel::reply(std::size_t home, const RequestPtr &request, RefusalReason reason)
{
    homes_[home].active.erase(request->id);
    const HomeLoad load = homes_[home].queue.load(priority, events_.now());
    events_.add(events_.now() + linkDelay(*request), [this, request, load, reason] {
        HomeRanking &ranking = senders_[request->sender].ranking;
        const HomeChoice &choice = request->choice;
        ranking.noteDone(choice.node);
        ranking.noteLoad(choice.node, load, priority, events_.now());
        if (reason == RefusalReason::NoServer) {
            ranking.noteNoServer(choice.node, events_.now());
        } else if (reason == RefusalReason::LikelyGray) {
            ranking.noteLikelyGray(RankedHome{choice.node, choice.distance}, events_.now());
        } else {
            request->search.noteRefused(choice.node);
        }
        dispatch(request);
    });
}

void FewHomesModel::losePath(std::size_t home, const RequestPtr &request)
{
    senders_[request->sender].ranking.noteDone(nodeName(home));
    failPath(request->sender, home);
    // The outcome is unknown, so only retryable work is sent again.
    if (request->retryable && --request->attemptsLeft > 0) {
        dispatch(request);
        return;
    }
    finish(*request, false);
}

void FewHomesModel::finish(const Request &request, bool served)
{
    notServed_ += request.counted && !served ? 1 : 0;
}

FewHomesResult FewHomesModel::result() const
{
    FewHomesResult out;
    out.requests = requests_;
    out.notServed = notServed_;
    std::vector<const Home *> healthy;
    for (std::size_t i = 0; i < homes_.size(); ++i) {
        const bool reachable = std::any_of(senders_.begin(), senders_.end(),
                                           [i](const Sender &sender) { return sender.unreachable.count(i) == 0; });
        if (homes_[i].state == HomeState::Healthy && reachable) {
            healthy.push_back(&homes_[i]);
        }
    }
    for (const Home *home : healthy) {
        SteadyTime last = lossAt_;
        Millis longest{0};
        for (const SteadyTime at : home->starts) {
            if (at > lossAt_) {
                longest = std::max(longest, millisOf(at - last));
                last = at;
            }
        }
        out.longestGaps.push_back(std::max(longest, millisOf(end_ - last)));
    }
    for (SteadyTime from = lossAt_; from + floorInterval <= end_; from += floorStep) {
        const auto inUse = std::count_if(healthy.begin(), healthy.end(), [from](const Home *home) {
            const auto first = std::lower_bound(home->starts.begin(), home->starts.end(), from);
            return first != home->starts.end() && *first < from + floorInterval;
        });
        const bool below = static_cast<double>(inUse) < floorShare * static_cast<double>(healthy.size());
        out.intervalsBelowFloor += inUse > 0 && below ? 1 : 0;
    }
    return out;
}

} // namespace waxwing::testing
