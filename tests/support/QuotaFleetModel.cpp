#include "tests/support/QuotaFleetModel.h"

#include "include/base/Ids.h"

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>

#include <algorithm>
#include <memory>
#include <utility>

namespace waxwing::testing {

namespace {

constexpr Millis regionDelay{1};
constexpr Millis farDelay{31};
constexpr Millis flushInterval{50};
constexpr Millis askTimeout{250};
constexpr Millis reportTimeout{400};
/** Nodes have run for this long before the customer's first request. */
constexpr Millis settledFor{10000};
constexpr int maxAsks = 2;
constexpr Millis repeatAfter{1000};
/** How long after its start a node has links to the others. */
constexpr Millis linksOpenTime{50};

} // namespace

const std::string QuotaFleetModel::customer = "customer";

QuotaFleetModel::QuotaFleetModel(QuotaFleetLoad load, QuotaPolicy policy, std::uint32_t seed)
    : load_(std::move(load))
    , policy_(policy)
    , tuning_(load_.tuning)
    , random_(seed)
    , ideal_(load_.limit.ratePerSecond, load_.limit.burst, start_)
    , nodes_(static_cast<std::size_t>(load_.nodes))
{
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        nodes_[i].name = "node-" + std::to_string(i);
        indexes_[nodes_[i].name] = i;
        nodes_[i].region = policy_ == QuotaPolicy::RegionCounters ? static_cast<int>(i) % load_.regions : 0;
    }
    for (Node &node : nodes_) {
        std::vector<std::string> names;
        for (const Node &other : nodes_) {
            if (other.region == node.region) {
                names.push_back(other.name);
            }
        }
        node.election.setNodes(names, start_ - settledFor);
        node.startedAt = start_ - settledFor;
        node.ledger.emplace(tuning_, firstReportOf(node));
        node.share.emplace(load_.limit.ratePerSecond / load_.nodes, std::max(1.0, load_.limit.burst / load_.nodes),
                           start_);
    }
}

ReportId QuotaFleetModel::firstReportOf(const Node &node) const
{
    if (!load_.identifiedReports) {
        return {};
    }
    const auto started = static_cast<std::uint64_t>(node.startedAt.time_since_epoch().count());
    return ReportId{stableHash(node.name), started + 1};
}

void QuotaFleetModel::send(std::size_t from, std::size_t to, std::function<void()> onArrival)
{
    const bool isLocal = static_cast<int>(from) % load_.regions == static_cast<int>(to) % load_.regions;
    (isLocal ? outcome_.messagesInRegion : outcome_.messagesBetweenRegions) += 1;
    events_.add(events_.now() + (isLocal ? regionDelay : farDelay), [this, from, to, onArrival = std::move(onArrival)] {
        const bool crossesCut = nodes_[from].isCut != nodes_[to].isCut;
        if (crossesCut || isLinkCut(from, to) || nodes_[from].isDead || nodes_[to].isDead) {
            return;
        }
        if (nodes_[to].isPaused) {
            nodes_[to].held.push_back(onArrival);
        } else {
            onArrival();
        }
    });
}

void QuotaFleetModel::sendReply(std::size_t from, std::size_t to, const std::function<void()> &onArrival)
{
    boost::random::uniform_real_distribution<double> share(0.0, 1.0);
    if (hasFaults() && load_.lostReplies > 0.0 && share(random_) < load_.lostReplies) {
        return;
    }
    if (hasFaults() && load_.lateReplies > 0.0 && share(random_) < load_.lateReplies) {
        events_.add(events_.now() + load_.lateBy, [this, from, to, onArrival] { send(from, to, onArrival); });
        return;
    }
    send(from, to, onArrival);
}

bool QuotaFleetModel::hasFaults() const
{
    return events_.now() >= start_ + load_.faultsFrom && events_.now() < start_ + load_.faultsUntil;
}

bool QuotaFleetModel::isLinkCut(std::size_t one, std::size_t other) const
{
    if (load_.cutIngresses == 0 || !hasFaults() || nodes_[one].region != 0 || nodes_[other].region != 0) {
        return false;
    }
    const auto isFirst = [&](std::size_t i) { return nodes_[i].election.isFirst(nodes_[i].name, customer); };
    const std::size_t ingress = isFirst(one) ? other : one;
    const bool isCutIngress = static_cast<int>(ingress) < load_.cutIngresses * load_.regions;
    return isCutIngress && (isFirst(one) || isFirst(other));
}

void QuotaFleetModel::scheduleArrivals()
{
    const int used = load_.usedNodes > 0 ? load_.usedNodes : load_.nodes;
    boost::random::uniform_int_distribution<std::size_t> node(0, static_cast<std::size_t>(used) - 1);
    SteadyTime at = start_;
    while (at < start_ + load_.length) {
        const bool isHot = at >= start_ + load_.hotFrom && at < start_ + load_.hotUntil;
        const double rate = load_.requestsPerSecond * (isHot ? load_.hotFactor : 1.0);
        const std::chrono::duration<double> gap(boost::random::exponential_distribution<double>(rate)(random_));
        at += std::chrono::duration_cast<Duration>(gap);
        events_.add(at, [this, to = node(random_)] { arrive(to, load_.repeats); });
    }
}

void QuotaFleetModel::scheduleTroubles()
{
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        const bool isCut = static_cast<double>(i) < load_.cutShare * load_.nodes;
        if (isCut) {
            events_.add(start_ + load_.cutFrom, [this, i] { nodes_[i].isCut = true; });
            events_.add(start_ + load_.cutUntil, [this, i] { nodes_[i].isCut = false; });
        }
        const auto phase = Millis(static_cast<std::int64_t>(i) % flushInterval.count());
        events_.add(start_ + phase, [this, i] { flush(i); });
    }
    if (load_.scarceSlotsPerSecond > 0.0) {
        const auto gap = Millis(static_cast<std::int64_t>(1000.0 / load_.scarceSlotsPerSecond));
        for (Millis at = load_.scarceFrom + gap; at < load_.scarceUntil; at += gap) {
            events_.add(start_ + at, [this] { startOldest(); });
        }
    }
    events_.add(start_ + load_.scarceUntil, [this] {
        while (!waiting_.empty()) {
            startOldest();
        }
    });
    for (const Millis at : load_.counterKills) {
        events_.add(start_ + at, [this] {
            const std::size_t victim = firstCounterOf(0);
            nodes_[victim].isDead = true;
            events_.add(events_.now() + load_.downTime, [this, victim] { startNode(victim); });
        });
    }
}

void QuotaFleetModel::schedulePauses()
{
    for (const Millis at : load_.counterPauses) {
        events_.add(start_ + at, [this] {
            for (std::size_t i = 0; i < nodes_.size(); ++i) {
                if (nodes_[i].region != 0 || !nodes_[i].election.isFirst(nodes_[i].name, customer)) {
                    continue;
                }
                nodes_[i].isPaused = true;
                events_.add(events_.now() + load_.pauseLength, [this, i] {
                    nodes_[i].isPaused = false;
                    const auto held = std::exchange(nodes_[i].held, {});
                    for (const auto &onArrival : held) {
                        onArrival();
                    }
                });
            }
        });
    }
}

void QuotaFleetModel::startNode(std::size_t node)
{
    nodes_[node].isDead = false;
    nodes_[node].startedAt = events_.now();
    nodes_[node].ledger.emplace(tuning_, firstReportOf(nodes_[node]));
    nodes_[node].counter.reset();
    for (auto it = waiting_.begin(); it != waiting_.end();) {
        it = it->second.node == node ? waiting_.erase(it) : std::next(it);
    }
    nodes_[node].standInUse = StandInUse();
    nodes_[node].isStandInReportPending = false;
    events_.add(events_.now() + linksOpenTime, [this, node] {
        for (Node &other : nodes_) {
            if (other.isCut == nodes_[node].isCut) {
                other.election.noteReachable(nodes_[node].name);
            }
        }
    });
}

std::size_t QuotaFleetModel::firstCounterOf(int region)
{
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        if (nodes_[i].region == region && nodes_[i].counter && !nodes_[i].isDead) {
            return i;
        }
    }
    return 0;
}

QuotaLimit QuotaFleetModel::currentLimit() const
{
    const bool isLater = load_.laterLimit && events_.now() >= start_ + load_.laterLimitFrom;
    return isLater ? *load_.laterLimit : load_.limit;
}

QuotaLimit QuotaFleetModel::counterLimit() const
{
    const double parts = policy_ == QuotaPolicy::RegionCounters ? load_.regions : 1;
    const QuotaLimit limit = currentLimit();
    return QuotaLimit{limit.ratePerSecond / parts, limit.burst / parts};
}

std::optional<std::size_t> QuotaFleetModel::counterOf(std::size_t node)
{
    const auto found = indexes_.find(nodes_[node].election.counterOf(customer, events_.now()));
    return found == indexes_.end() ? std::nullopt : std::optional<std::size_t>(found->second);
}

void QuotaFleetModel::admit(std::size_t node, SteadyTime arrivedAt, int repeats)
{
    const SteadyTime now = events_.now();
    ++outcome_.admitted;
    admittedAt_.push_back(now);
    delays_.push_back(millisOf(now - arrivedAt));
    if (now < start_ + load_.scarceFrom || now >= start_ + load_.scarceUntil) {
        runs_.push_back(Run{arrivedAt, now});
        return;
    }
    const std::uint64_t id = nextWaiting_++;
    waiting_[id] = Waiting{node, arrivedAt, now, repeats};
    boost::random::uniform_real_distribution<double> wait(secondsOf(load_.minWait), secondsOf(load_.maxWait));
    const std::chrono::duration<double> waits(wait(random_));
    events_.add(now + std::chrono::duration_cast<Duration>(waits), [this, id] { refuseForSlot(id); });
}

void QuotaFleetModel::refuseForQuota()
{
    ++outcome_.refusedForQuota;
}

void QuotaFleetModel::startOldest()
{
    const auto oldest = waiting_.begin();
    if (oldest != waiting_.end()) {
        runs_.push_back(Run{oldest->second.sentAt, events_.now()});
        waiting_.erase(oldest);
    }
}

void QuotaFleetModel::refuseForSlot(std::uint64_t id)
{
    const auto found = waiting_.find(id);
    if (found == waiting_.end()) {
        return;
    }
    const Waiting one = found->second;
    waiting_.erase(found);
    nodes_[one.node].ledger->giveBack(customer, one.admittedAt, events_.now());
    if (one.repeats > 0) {
        events_.add(events_.now() + repeatAfter, [this, one] { arrive(one.node, one.repeats - 1); });
    }
}

void QuotaFleetModel::arrive(std::size_t node, int repeats)
{
    if (nodes_[node].isDead) {
        return;
    }
    if (nodes_[node].isPaused) {
        nodes_[node].held.push_back([this, node, repeats] { arrive(node, repeats); });
        return;
    }
    ++outcome_.requests;
    const QuotaLimit limit = currentLimit();
    ideal_.setRate(limit.ratePerSecond, limit.burst);
    outcome_.owed += ideal_.tryTake(1.0, events_.now()) ? 1 : 0;
    const auto count = static_cast<std::size_t>(load_.nodes);
    QuotaLedger &ledger = *nodes_[node].ledger;
    const QuotaDecision decision = ledger.decide(customer, currentLimit(), events_.now());
    if (policy_ == QuotaPolicy::EqualShares) {
        if (nodes_[node].share->tryTake(1.0, events_.now())) {
            admit(node, events_.now(), repeats);
        }
    } else if (policy_ == QuotaPolicy::CentralGrants || decision == QuotaDecision::Ask) {
        ask(node, events_.now(), repeats);
    } else if (decision == QuotaDecision::Admit) {
        admit(node, events_.now(), repeats);
    } else if (decision == QuotaDecision::NoCounter) {
        ledger.admitAlone(customer, count, events_.now()) ? admit(node, events_.now(), repeats)
                                                          : ask(node, events_.now(), repeats);
    } else {
        refuseForQuota();
    }
}

void QuotaFleetModel::ask(std::size_t node, SteadyTime arrivedAt, int repeats)
{
    QuotaUse use = nodes_[node].ledger->takeUnreported(customer, events_.now());
    // With grants for every request nothing is admitted before it is counted.
    use.used = policy_ == QuotaPolicy::CentralGrants ? 0 : use.used;
    use.wanted = 1;
    askNext(node, use, arrivedAt, repeats, 0);
}

void QuotaFleetModel::askNext(std::size_t node, const QuotaUse &use, SteadyTime arrivedAt, int repeats, int attempt)
{
    const std::optional<std::size_t> counter = counterOf(node);
    if (!counter || attempt == maxAsks) {
        const auto count = static_cast<std::size_t>(load_.nodes);
        if (nodes_[node].ledger->admitUnanswered(use, count, events_.now())) {
            admit(node, arrivedAt, repeats);
        } else {
            refuseForQuota();
        }
        return;
    }
    const auto done = std::make_shared<bool>(false);
    const auto onReply = [this, node, arrivedAt, repeats, done](const Reply &reply) {
        if (*done || nodes_[node].isDead) {
            return;
        }
        *done = true;
        const SteadyTime deniedUntil = reply.granted > 0 ? events_.now() : events_.now() + reply.retryAfter;
        nodes_[node].ledger->noteReply(customer, reply.mode, deniedUntil, events_.now());
        if (reply.granted > 0) {
            admit(node, arrivedAt, repeats);
        } else {
            refuseForQuota();
        }
    };
    if (*counter == node) {
        onReply(count(node, node, use));
        return;
    }
    send(node, *counter, [this, node, counter = *counter, use, onReply] {
        const Reply reply = count(counter, node, use);
        sendReply(counter, node, [onReply, reply] { onReply(reply); });
    });
    events_.add(events_.now() + askTimeout, [this, node, counter = *counter, use, arrivedAt, repeats, attempt, done] {
        if (!*done && !nodes_[node].isDead) {
            *done = true;
            nodes_[node].election.noteUnreachable(nodes_[counter].name, events_.now());
            askNext(node, use, arrivedAt, repeats, attempt + 1);
        }
    });
}

void QuotaFleetModel::flush(std::size_t node)
{
    events_.add(events_.now() + flushInterval, [this, node] { flush(node); });
    flushStandIn(node);
    const std::optional<std::size_t> counter = counterOf(node);
    if (policy_ != QuotaPolicy::RegionCounters || nodes_[node].isDead || nodes_[node].isPaused || !counter
        || !nodes_[node].ledger->hasUnreported()) {
        return;
    }
    const std::vector<QuotaUse> uses = nodes_[node].ledger->takeUnreported(events_.now());
    const auto done = std::make_shared<bool>(false);
    const auto onReply = [this, node, done, counter = *counter, sentAt = events_.now()](const Reply &reply) {
        if (*done) {
            return;
        }
        *done = true;
        if (events_.now() - sentAt <= askTimeout) {
            nodes_[node].election.noteReachable(nodes_[counter].name);
        }
        nodes_[node].ledger->noteReply(customer, reply.mode, events_.now(), events_.now());
    };
    if (*counter == node) {
        onReply(countAll(node, node, uses));
        return;
    }
    send(node, *counter, [this, node, counter = *counter, uses, onReply] {
        const Reply reply = countAll(counter, node, uses);
        sendReply(counter, node, [onReply, reply] { onReply(reply); });
    });
    events_.add(events_.now() + reportTimeout, [this, node, counter = *counter, uses, done] {
        if (!*done && !nodes_[node].isDead) {
            *done = true;
            for (const QuotaUse &use : uses) {
                nodes_[node].ledger->restore(use, events_.now());
            }
            nodes_[node].election.noteUnreachable(nodes_[counter].name, events_.now());
        }
    });
}

void QuotaFleetModel::flushStandIn(std::size_t node)
{
    Node &own = nodes_[node];
    if (own.standInUse.isEmpty() || own.isStandInReportPending || own.isDead || own.isPaused) {
        return;
    }
    const std::size_t first = indexes_[own.election.firstOf(customer)];
    const QuotaUse use = own.standInUse.take(events_.now()).front();
    const auto done = std::make_shared<bool>(false);
    own.isStandInReportPending = true;
    send(node, first, [this, node, first, use, done, sentAt = events_.now()] {
        count(first, node, use);
        sendReply(first, node, [this, node, first, done, sentAt] {
            if (!*done) {
                *done = true;
                nodes_[node].isStandInReportPending = false;
                if (events_.now() - sentAt <= askTimeout) {
                    nodes_[node].election.noteReachable(nodes_[first].name);
                }
            }
        });
    });
    events_.add(events_.now() + reportTimeout, [this, node, first, use, done] {
        if (!*done && !nodes_[node].isDead) {
            *done = true;
            nodes_[node].isStandInReportPending = false;
            nodes_[node].standInUse.restore(use);
            nodes_[node].election.noteUnreachable(nodes_[first].name, events_.now());
        }
    });
}

QuotaFleetOutcome QuotaFleetModel::run()
{
    scheduleArrivals();
    scheduleTroubles();
    schedulePauses();
    events_.run(start_ + load_.length);
    outcome_.worstOverrun = worstOverrun();
    outcome_.worstWindow = worstWindow();
    outcome_.ran = static_cast<int>(runs_.size());
    std::sort(delays_.begin(), delays_.end());
    if (!delays_.empty()) {
        outcome_.medianDelay = delays_[delays_.size() / 2];
        outcome_.p99Delay = delays_[delays_.size() * 99 / 100];
    }
    return outcome_;
}

} // namespace waxwing::testing
