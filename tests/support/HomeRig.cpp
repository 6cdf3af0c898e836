#include "tests/support/HomeRig.h"

#include <algorithm>
#include <cmath>

namespace waxwing::testing {

namespace {

constexpr Millis tickInterval{20};
constexpr Millis announceInterval{500};
const std::string className = "reading";
const std::string writeClass = "writing";

ServiceIntent intentOf(const RigOptions &options)
{
    ServiceIntent intent;
    intent.service = "rig";
    for (const std::string &name : {className, writeClass}) {
        ClassIntent one;
        one.name = name;
        one.idempotent = name == className;
        one.responseTime = options.responseTime;
        one.deadline = options.deadline;
        one.floor = options.floor;
        one.policy = options.policy;
        intent.classes.push_back(one);
    }
    return intent;
}

DetectorFactory detectorsOf(const RigOptions &options)
{
    return options.detectors ? options.detectors
                             : [](EjectionPolicy policy) { return std::make_unique<CusumDetector>(policy); };
}

HomeTuning tuningOf(const RigOptions &options)
{
    HomeTuning tuning;
    tuning.slowClassShare = options.slowClassShare;
    tuning.queuePerClass = options.queuePerClass;
    tuning.refuseEarly = options.refuseEarly;
    return tuning;
}

} // namespace

void grantPledges(HomeFloor &floor)
{
    constexpr int rounds = 4;
    for (int round = 0; round < rounds; ++round) {
        const auto proposal = floor.proposal();
        if (!proposal) {
            return;
        }
        floor.accepted(proposal->version + 1);
    }
}

HomeRig::HomeRig(RigOptions options)
    : options_(std::move(options))
    , random_(options_.seed)
    , home_("rig", NodeRef{"n", 1}, tuningOf(options_), detectorsOf(options_),
            [](const NodeRef &) { return std::nullopt; })
    , start_(clock_.now())
    , minInService_(static_cast<std::uint32_t>(options_.servers))
{
    home_.setIntent(intentOf(options_));
    for (int i = 0; i < options_.servers; ++i) {
        const std::string name = "s" + std::to_string(i);
        servers_[name] = FakeServer{};
        home_.announce(announcementOf(name), clock_.now());
    }
    home_.tick(clock_.now());
    grantPledges(home_.floor());
    schedule(start_, [this] { arrive(); });
    schedule(start_, [this] { tick(); });
}

Announcement HomeRig::announcementOf(const std::string &name) const
{
    Announcement announcement;
    announcement.service = "rig";
    announcement.server = name;
    announcement.incarnation = servers_.at(name).incarnation;
    announcement.address = "127.0.0.1";
    announcement.port = 1;
    announcement.slots = options_.slots;
    announcement.state = servers_.at(name).state;
    return announcement;
}

void HomeRig::schedule(SteadyTime when, std::function<void()> action)
{
    events_.emplace(when, std::move(action));
}

void HomeRig::at(Duration after, std::function<void()> action)
{
    schedule(start_ + after, std::move(action));
}

void HomeRig::runUntil(Duration length)
{
    const SteadyTime until = start_ + length;
    while (!events_.empty() && events_.begin()->first <= until) {
        const auto next = events_.begin();
        const std::function<void()> action = std::move(next->second);
        clock_.advance(next->first - clock_.now());
        events_.erase(next);
        action();
    }
    clock_.advance(until - clock_.now());
}

bool HomeRig::isBad(const FakeServer &server) const
{
    const bool flapping = server.flapPeriod > Millis(0);
    const bool isDown = flapping && ((clock_.now() - start_) / server.flapPeriod) % 2 == 1;
    return server.stallShare > 0.0 || server.errorShare > 0.0 || server.slowFactor > 1.0 || isDown;
}

void HomeRig::arrive()
{
    std::exponential_distribution<double> gap(options_.rate);
    schedule(clock_.now() + durationOf(gap(random_)), [this] { arrive(); });
    const std::uint64_t id = nextId_++;
    Request request;
    request.idempotent = std::uniform_real_distribution<double>(0.0, 1.0)(random_) < options_.idempotentShare;
    request.homeRequest.id = id;
    request.homeRequest.className = request.idempotent ? className : writeClass;
    request.homeRequest.deadline = clock_.now() + options_.deadline;
    request.arrived = clock_.now();
    budget_.noteAttempt();
    requests_[id] = request;
    submit(id);
}

void HomeRig::submit(std::uint64_t id)
{
    const Admission admission = home_.submit(requests_[id].homeRequest, clock_.now());
    switch (admission.kind) {
    case Admission::Kind::Assigned:
        begin(id, admission.server);
        break;
    case Admission::Kind::Queued:
        break;
    case Admission::Kind::Refused:
        ++refused;
        requests_.erase(id);
        break;
    }
}

void HomeRig::begin(std::uint64_t id, const std::string &name)
{
    Request &request = requests_[id];
    request.server = name;
    request.lateSteps = 0;
    request.attemptStarted = clock_.now();
    const std::uint64_t attempt = ++request.attempt;
    ++started;
    ++startedAt[name];
    const FakeServer &server = servers_[name];
    std::uniform_real_distribution<double> share(0.0, 1.0);
    const Millis median = request.idempotent || options_.otherWork == Millis(0) ? options_.work : options_.otherWork;
    std::lognormal_distribution<double> work(std::log(static_cast<double>(median.count())), options_.sigma);
    double ms = work(random_) * server.slowFactor * (clock_.now() < server.coldUntil ? 4.0 : 1.0);
    const bool isDown = server.flapPeriod > Millis(0) && ((clock_.now() - start_) / server.flapPeriod) % 2 == 1;
    if (isDown || share(random_) < server.stallShare) {
        ms = 60000.0;
    }
    const bool error = share(random_) < std::max(server.errorShare, options_.healthyErrors);
    const SteadyTime done =
        clock_.now() + std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms));
    schedule(std::min(done, request.homeRequest.deadline), [this, id, attempt, error] { finish(id, attempt, error); });
    schedule(clock_.now() + options_.responseTime, [this, id, attempt] { checkLate(id, attempt); });
}

void HomeRig::checkLate(std::uint64_t id, std::uint64_t attempt)
{
    const auto found = requests_.find(id);
    if (found == requests_.end() || found->second.attempt != attempt) {
        return;
    }
    Request &request = found->second;
    firstLate_.emplace(request.server, clock_.now());
    home_.addEvidence(request.server, request.lateSteps == 0 ? Evidence::Late : Evidence::StillWaiting, clock_.now());
    ++request.lateSteps;
    std::set<std::string> tried = request.homeRequest.exclude;
    tried.insert(request.server);
    const bool move = request.lateSteps == 1 && request.idempotent && home_.hasFreeSlotExcluding(tried, clock_.now())
                      && budget_.tryRetry();
    if (move) {
        retryElsewhere(id);
        return;
    }
    schedule(clock_.now() + lateStepOf(options_.responseTime), [this, id, attempt] { checkLate(id, attempt); });
}

void HomeRig::retryElsewhere(std::uint64_t id)
{
    Request &request = requests_[id];
    home_.release(id, request.server, clock_.now() - request.attemptStarted);
    request.homeRequest.exclude.insert(request.server);
    ++request.attempt;
    submit(id);
    poll();
}

void HomeRig::finish(std::uint64_t id, std::uint64_t attempt, bool error)
{
    const auto found = requests_.find(id);
    if (found == requests_.end() || found->second.attempt != attempt) {
        return;
    }
    Request &request = found->second;
    const bool timedOut = clock_.now() >= request.homeRequest.deadline;
    home_.release(id, request.server, clock_.now() - request.attemptStarted);
    if (error) {
        home_.addEvidence(request.server, Evidence::Failed, clock_.now());
    } else if (request.lateSteps == 0 && !timedOut) {
        home_.addEvidence(request.server, Evidence::Good, clock_.now());
    }
    if (request.idempotent && !timedOut) {
        readMs.push_back(std::chrono::duration<double, std::milli>(clock_.now() - request.arrived).count());
    }
    const bool isLate = clock_.now() - request.arrived > options_.responseTime;
    (error || timedOut ? failed : (isLate ? late : good)) += 1;
    requests_.erase(found);
    poll();
}

void HomeRig::poll()
{
    const ServiceHome::PollResult result = home_.poll(clock_.now());
    for (const std::uint64_t id : result.expired) {
        ++refused;
        requests_.erase(id);
    }
    for (const ServiceHome::Assignment &assignment : result.assigned) {
        begin(assignment.id, assignment.server);
    }
}

void HomeRig::tick()
{
    schedule(clock_.now() + tickInterval, [this] { tick(); });
    const bool announceNow = ((clock_.now() - start_) % announceInterval) < tickInterval;
    for (const auto &[name, server] : servers_) {
        if (announceNow && server.announces) {
            home_.announce(announcementOf(name), clock_.now());
        }
    }
    for (const HomeDecision &decision : home_.tick(clock_.now())) {
        if (decision.event == "server_ejected") {
            ejections_.push_back(Ejection{clock_.now(), decision.server, !isBad(servers_[decision.server])});
        }
    }
    grantPledges(home_.floor());
    minInService_ = std::min(minInService_, home_.inService());
    poll();
}

FakeServer &HomeRig::server(const std::string &name)
{
    return servers_[name];
}

std::vector<std::string> HomeRig::serverNames() const
{
    std::vector<std::string> names;
    for (const auto &[name, server] : servers_) {
        names.push_back(name);
    }
    return names;
}

bool HomeRig::isOut(const std::string &name) const
{
    for (const ServerView &view : home_.servers()) {
        if (view.announced.server == name) {
            const bool inService = view.phase == ServerPhase::InService || view.phase == ServerPhase::Ramp;
            return !view.present || !inService;
        }
    }
    return true;
}

std::uint32_t HomeRig::inService() const
{
    return home_.inService();
}

std::uint32_t HomeRig::minInService() const
{
    return minInService_;
}

const std::vector<Ejection> &HomeRig::ejections() const
{
    return ejections_;
}

SteadyTime HomeRig::firstLate(const std::string &name) const
{
    const auto found = firstLate_.find(name);
    return found == firstLate_.end() ? start_ : found->second;
}

void HomeRig::resetFirstLate()
{
    firstLate_.clear();
}

SteadyTime HomeRig::start() const
{
    return start_;
}

SteadyTime HomeRig::now() const
{
    return clock_.now();
}

} // namespace waxwing::testing
