#include "include/home/ServiceHome.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace waxwing {

namespace {

/** Half-life of results in each share of bad results. */
constexpr Millis resultHalfLife = std::chrono::seconds(1);
/** Good results added to the counted ones, so that few results do not make a high share of bad ones. */
constexpr double priorGood = 3.0;

double decay(SteadyTime since, SteadyTime now)
{
    const double halfLives = std::chrono::duration<double>(now - since) / std::chrono::duration<double>(resultHalfLife);
    return std::exp2(-std::max(0.0, halfLives));
}

std::string decimal(double value)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.2f", value);
    return text.data();
}

} // namespace

void ServiceHome::recordResult(Server &server, bool bad, SteadyTime now)
{
    const double weight = decay(server.countedAt, now);
    server.good = server.good * weight + (bad ? 0.0 : 1.0);
    server.bad = server.bad * weight + (bad ? 1.0 : 0.0);
    server.countedAt = now;
}

double ServiceHome::badShareExcluding(const std::string &except) const
{
    double good = priorGood + peerGood_;
    double bad = peerBad_;
    for (const auto &[name, server] : servers_) {
        if (name != except) {
            good += server.good * decay(server.countedAt, now_);
            bad += server.bad * decay(server.countedAt, now_);
        }
    }
    return bad / (good + bad);
}

void ServiceHome::addEvidence(const std::string &name, Evidence evidence, SteadyTime now)
{
    now_ = now;
    const auto found = servers_.find(name);
    if (found == servers_.end()) {
        return;
    }
    Server &server = found->second;
    if (evidence != Evidence::StillWaiting) {
        recordResult(server, evidence != Evidence::Good, now);
    }
    server.health.add(evidence, badShareExcluding(name), now);
}

void ServiceHome::addPeerEvidence(bool bad, SteadyTime now)
{
    const double weight = decay(peerCountedAt_, now);
    peerGood_ = peerGood_ * weight + (bad ? 0.0 : 1.0);
    peerBad_ = peerBad_ * weight + (bad ? 1.0 : 0.0);
    peerCountedAt_ = now;
}

void ServiceHome::noteDeath(const std::string &name)
{
    const auto found = servers_.find(name);
    if (found != servers_.end()) {
        found->second.dead = true;
    }
}

void ServiceHome::updateFloor(SteadyTime now)
{
    std::uint32_t announced = 0;
    std::uint32_t healthy = 0;
    for (const auto &[name, server] : servers_) {
        const bool counts = isPresent(server, now);
        announced += counts ? 1 : 0;
        healthy += isHealthy(server, now) ? 1 : 0;
    }
    floor_.setCapacity(announced, healthy, now);
}

void ServiceHome::ejectUnhealthyServers(std::vector<HomeDecision> &decisions, SteadyTime now)
{
    std::vector<Server *> unhealthy;
    for (auto &[name, server] : servers_) {
        if (isHealthy(server, now) && server.health.shouldEject()) {
            unhealthy.push_back(&server);
        } else {
            server.keptForFloor = false;
        }
    }
    std::sort(unhealthy.begin(), unhealthy.end(),
              [](const Server *a, const Server *b) { return a->health.suspicion() > b->health.suspicion(); });
    for (Server *server : unhealthy) {
        const std::string &name = server->announced.server;
        const std::vector<std::pair<std::string, std::string>> fields = {
            {"suspicion", decimal(server->health.suspicion())},
            {"peerBadShare", decimal(badShareExcluding(name))},
            {"inService", std::to_string(inService())},
            {"mustKeep", std::to_string(floor_.mustKeep())}};
        updateFloor(now);
        const bool slow = isServiceSlow(name, now);
        if (!slow && floor_.mayEject()) {
            server->health.eject(now);
            server->keptForFloor = false;
            decisions.push_back(HomeDecision{"server_ejected", name, fields});
            decisions.back().fields.emplace_back("for",
                                                 std::to_string(server->health.currentEjection().count()) + "ms");
            updateFloor(now);
        } else if (!slow) {
            floor_.noteEjectionBlocked();
            if (server->keptForFloor) {
                continue;
            }
            server->keptForFloor = true;
            decisions.push_back(HomeDecision{"server_kept_for_floor", name, fields});
        } else if (lastReportedSlow_ != name) {
            lastReportedSlow_ = name;
            decisions.push_back(HomeDecision{"service_slow_nobody_ejected", name, fields});
        }
    }
}

bool ServiceHome::isServiceSlow(const std::string &except, SteadyTime now) const
{
    // The median is used so that a few other unhealthy servers do not keep this one in service, while a slow service
    // shows in more than half of its servers, regardless of which was late first.
    std::vector<double> shares;
    for (const auto &[name, server] : servers_) {
        const double weight = decay(server.countedAt, now);
        const double all = (server.good + server.bad) * weight;
        if (name != except && isHealthy(server, now) && all > 0.0) {
            shares.push_back(server.bad * weight / (all + 1.0));
        }
    }
    if (shares.empty()) {
        const double weight = decay(peerCountedAt_, now);
        const double all = (peerGood_ + peerBad_) * weight;
        shares.push_back(peerBad_ * weight / (all + 1.0));
    }
    const auto middle = shares.begin() + static_cast<std::ptrdiff_t>(shares.size() / 2);
    std::nth_element(shares.begin(), middle, shares.end());
    return *middle > tuning_.slowServiceShare;
}

std::vector<HomeDecision> ServiceHome::tick(SteadyTime now)
{
    now_ = now;
    std::vector<HomeDecision> decisions;
    for (auto it = servers_.begin(); it != servers_.end();) {
        Server &server = it->second;
        const ServerPhase before = server.health.phase();
        server.health.tick(now);
        if (server.health.phase() != before) {
            decisions.push_back(
                HomeDecision{"server_phase",
                             it->first,
                             {{"from", serverPhaseName(before)}, {"to", serverPhaseName(server.health.phase())}}});
        }
        const bool expired = now - server.lastAnnounced >= tuning_.removeAfter && server.inFlight == 0;
        if (expired) {
            decisions.push_back(HomeDecision{"server_forgotten", it->first, {}});
            it = servers_.erase(it);
        } else {
            ++it;
        }
    }
    ejectUnhealthyServers(decisions, now);
    updateFloor(now);
    return decisions;
}

} // namespace waxwing
