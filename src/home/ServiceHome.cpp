#include "include/home/ServiceHome.h"

#include <algorithm>
#include <cmath>

namespace waxwing {

namespace {

constexpr double workTimeSmoothing = 0.1;
constexpr double suspicionThreshold = 0.3;
constexpr Millis minRetryAfter{200};
constexpr Millis maxRetryAfter{30000};

} // namespace

ServiceHome::ServiceHome(std::string service, NodeRef self, HomeTuning tuning, DetectorFactory detectors,
                         HomeFloor::InServiceOf inServiceOf)
    : service_(std::move(service))
    , tuning_(tuning)
    , detectors_(std::move(detectors))
    , floor_(std::move(self), std::move(inServiceOf))
    , queue_(tuning.queuePerClass)
{ }

void ServiceHome::setIntent(const ServiceIntent &intent)
{
    intent_ = intent;
    floor_.setFloor(intent_.strictestFloor());
}

EjectionPolicy ServiceHome::mostCarefulPolicy() const
{
    EjectionPolicy policy = EjectionPolicy::Fast;
    for (const ClassIntent &one : intent_.classes) {
        policy = std::max(policy, one.policy);
    }
    return policy;
}

bool ServiceHome::announce(const Announcement &announcement, SteadyTime now)
{
    auto found = servers_.find(announcement.server);
    if (found == servers_.end()) {
        servers_.emplace(announcement.server,
                         Server(announcement, ServerHealth(detectors_(mostCarefulPolicy()), tuning_.health, now), now));
        updateFloor(now);
        return true;
    }
    Server &server = found->second;
    const bool newProcess = server.announced.incarnation != announcement.incarnation;
    if (newProcess) {
        server.health.restarted(now);
        server.dead = false;
    }
    if (!server.dead) {
        server.announced = announcement;
        server.lastAnnounced = now;
    }
    updateFloor(now);
    return newProcess;
}

bool ServiceHome::isPresent(const Server &server, SteadyTime now) const
{
    const bool overdue = now - server.lastAnnounced >= tuning_.announceTimeout;
    return !server.dead && !overdue && server.announced.state == ServerState::Serving;
}

bool ServiceHome::isHealthy(const Server &server, SteadyTime now) const
{
    return isPresent(server, now) && server.health.countsAsInService();
}

std::uint32_t ServiceHome::usableSlots(const Server &server, SteadyTime now) const
{
    if (!isPresent(server, now)) {
        return 0;
    }
    const std::uint32_t usable = server.health.usableSlots(server.announced.slots, now);
    // An unhealthy server that the floor keeps in service gets just enough work to produce evidence.
    return server.keptForFloor ? std::min<std::uint32_t>(1, usable) : usable;
}

std::uint32_t ServiceHome::totalUsableSlots(SteadyTime now) const
{
    std::uint32_t slots = 0;
    for (const auto &[name, server] : servers_) {
        slots += usableSlots(server, now);
    }
    return slots;
}

ServiceHome::Server *ServiceHome::pick(const ClassIntent &intent, const std::set<std::string> &exclude, SteadyTime now)
{
    Server *best = nullptr;
    double bestLoad = 0.0;
    for (auto &[name, server] : servers_) {
        const std::uint32_t usable = usableSlots(server, now);
        if (server.inFlight >= usable || exclude.count(name) != 0 || !server.health.accepts(intent.idempotent, now)) {
            continue;
        }
        if (server.health.phase() == ServerPhase::Probation && intent.idempotent) {
            // A server on probation comes first. Otherwise it would get no probe, and could not return, while others
            // have free slots.
            return &server;
        }
        const bool suspect = server.health.suspicion() >= suspicionThreshold && !server.keptForFloor;
        if (suspect && intent.idempotent && server.inFlight == 0) {
            // One request at a time confirms or clears a suspicion soon. If only load decided, a suspect would get no
            // work, so no evidence, and would stay suspect.
            return &server;
        }
        // A small suspicion adds no penalty. With one, a slightly suspect server would get no work at low traffic, and
        // so be neither cleared nor ejected.
        const double penalty = server.health.suspicion() >= suspicionThreshold ? server.health.suspicion() : 0.0;
        const double load =
            static_cast<double>(server.inFlight) / usable + penalty + (server.keptForFloor ? 10.0 : 0.0);
        const bool better =
            best == nullptr || load < bestLoad || (load == bestLoad && server.lastAssignment < best->lastAssignment);
        if (better) {
            best = &server;
            bestLoad = load;
        }
    }
    return best != nullptr ? best : pickRamping(exclude, now);
}

ServiceHome::Server *ServiceHome::pickRamping(const std::set<std::string> &exclude, SteadyTime now)
{
    // The ramp limits the load of a newly started server while others have free slots. When none has, as after a
    // restart of the whole service, a slow response is better than a refusal.
    Server *best = nullptr;
    for (auto &[name, server] : servers_) {
        const bool ramping =
            server.health.phase() == ServerPhase::Ramp && isPresent(server, now) && !server.keptForFloor;
        const bool hasSlot = server.inFlight < server.announced.slots && exclude.count(name) == 0;
        if (ramping && hasSlot && (best == nullptr || server.inFlight < best->inFlight)) {
            best = &server;
        }
    }
    return best;
}

bool ServiceHome::classMayStart(const std::string &className, SteadyTime now) const
{
    const auto found = classes_.find(className);
    if (found == classes_.end()) {
        return true;
    }
    // A slow class holds its slots for long. Without a limit it gradually takes all of them, and a fast class waits for
    // its slow work. A fast class frees its slots soon and needs no limit.
    const Duration workTime = found->second.workTime;
    const bool fasterClassActive = std::any_of(classes_.begin(), classes_.end(), [&](const auto &entry) {
        const bool recent = now - entry.second.lastSeen < tuning_.activeClassWindow;
        const bool faster =
            entry.second.workTime > Duration(0) && entry.second.workTime * tuning_.slowClassFactor < workTime;
        return entry.first != className && recent && faster;
    });
    const double allowed = std::max(1.0, std::floor(tuning_.slowClassShare * totalUsableSlots(now)));
    return !fasterClassActive || found->second.inFlight + 1 <= allowed;
}

void ServiceHome::assign(Server &server, std::uint64_t id, const std::string &className)
{
    ++server.inFlight;
    server.lastAssignment = ++assignments_;
    ++classes_[className].inFlight;
    classOf_[id] = className;
}

Duration ServiceHome::expectedWait(const std::string &className, SteadyTime now) const
{
    const auto found = classes_.find(className);
    const Duration workTime = found == classes_.end() ? Duration(0) : found->second.workTime;
    const std::uint32_t slots = std::max<std::uint32_t>(1, totalUsableSlots(now));
    const auto ahead = static_cast<std::int64_t>(queue_.sizeOf(className) + 1);
    return workTime * ahead / slots;
}

Admission ServiceHome::refusal(std::string reason, Duration retryAfter) const
{
    Admission out;
    out.reason = std::move(reason);
    out.retryAfter = std::clamp(millisOf(retryAfter), minRetryAfter, maxRetryAfter);
    return out;
}

Admission ServiceHome::submit(const HomeRequest &request, SteadyTime now)
{
    const ClassIntent *intent = intent_.classNamed(request.className);
    if (intent == nullptr) {
        return refusal("unknown-class", maxRetryAfter);
    }
    ClassLoad &load = classes_[request.className];
    load.lastSeen = now;
    if (request.deadline <= now) {
        return refusal("deadline-passed", minRetryAfter);
    }
    const bool anyPresent = std::any_of(servers_.begin(), servers_.end(), [&](const auto &entry) {
        return usableSlots(entry.second, now) > 0 && request.exclude.count(entry.first) == 0;
    });
    if (!anyPresent) {
        return refusal("no-server", std::chrono::seconds(1));
    }
    if (queue_.sizeOf(request.className) == 0 && classMayStart(request.className, now)) {
        if (Server *server = pick(*intent, request.exclude, now)) {
            assign(*server, request.id, request.className);
            Admission out;
            out.kind = Admission::Kind::Assigned;
            out.server = server->announced.server;
            return out;
        }
    }
    // Work that would only time out in the queue is refused now, while the sender can still use another home.
    const Duration wait = expectedWait(request.className, now);
    if (tuning_.refuseEarly && now + wait + load.workTime > request.deadline) {
        return refusal("would-miss-deadline", wait);
    }
    if (!queue_.push(QueuedRequest{request.id, request.className, request.customer, request.deadline})) {
        return refusal("queue-full", wait);
    }
    excluded_[request.id] = request.exclude;
    Admission out;
    out.kind = Admission::Kind::Queued;
    return out;
}

void ServiceHome::release(std::uint64_t id, const std::string &server, Duration took)
{
    const auto found = servers_.find(server);
    if (found != servers_.end() && found->second.inFlight > 0) {
        --found->second.inFlight;
    }
    const auto className = classOf_.find(id);
    if (className == classOf_.end()) {
        return;
    }
    ClassLoad &load = classes_[className->second];
    load.inFlight -= load.inFlight > 0 ? 1 : 0;
    const auto shift = std::chrono::duration_cast<Duration>((took - load.workTime) * workTimeSmoothing);
    load.workTime = load.workTime == Duration(0) ? took : load.workTime + shift;
    classOf_.erase(className);
}

bool ServiceHome::cancel(std::uint64_t id)
{
    excluded_.erase(id);
    return queue_.remove(id);
}

ServiceHome::PollResult ServiceHome::poll(SteadyTime now)
{
    PollResult result;
    for (const QueuedRequest &expired : queue_.takeExpired(now)) {
        excluded_.erase(expired.id);
        result.expired.push_back(expired.id);
    }
    Server *chosen = nullptr;
    const auto mayStart = [&](const QueuedRequest &one) {
        const ClassIntent *intent = intent_.classNamed(one.className);
        if (intent == nullptr || !classMayStart(one.className, now)) {
            return false;
        }
        chosen = pick(*intent, excluded_[one.id], now);
        return chosen != nullptr;
    };
    QueuedRequest next;
    while (queue_.pop(mayStart, next)) {
        excluded_.erase(next.id);
        assign(*chosen, next.id, next.className);
        result.assigned.push_back(Assignment{next.id, chosen->announced.server});
    }
    return result;
}

HomeFloor &ServiceHome::floor()
{
    return floor_;
}

std::uint32_t ServiceHome::inService() const
{
    std::uint32_t healthy = 0;
    for (const auto &[name, server] : servers_) {
        healthy += isHealthy(server, now_) ? 1 : 0;
    }
    return healthy;
}

std::uint32_t ServiceHome::freeSlots(SteadyTime now) const
{
    std::uint32_t free = 0;
    for (const auto &[name, server] : servers_) {
        const std::uint32_t usable = usableSlots(server, now);
        free += usable > server.inFlight ? usable - server.inFlight : 0;
    }
    return free;
}

bool ServiceHome::hasFreeSlotExcluding(const std::set<std::string> &exclude, SteadyTime now) const
{
    return std::any_of(servers_.begin(), servers_.end(), [&](const auto &entry) {
        return exclude.count(entry.first) == 0 && entry.second.inFlight < usableSlots(entry.second, now);
    });
}

std::size_t ServiceHome::queued() const
{
    return queue_.size();
}

std::size_t ServiceHome::inFlight() const
{
    return classOf_.size();
}

std::vector<ServerView> ServiceHome::servers() const
{
    std::vector<ServerView> views;
    for (const auto &[name, server] : servers_) {
        views.push_back(ServerView{server.announced, server.health.phase(), isPresent(server, now_), server.inFlight,
                                   server.health.suspicion(), server.keptForFloor});
    }
    return views;
}

const Announcement *ServiceHome::find(const std::string &server) const
{
    const auto found = servers_.find(server);
    return found == servers_.end() ? nullptr : &found->second.announced;
}

bool ServiceHome::hasNoServers() const
{
    return servers_.empty();
}

} // namespace waxwing
