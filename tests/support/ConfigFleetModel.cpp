#include "tests/support/ConfigFleetModel.h"

#include "include/fleet/ConfigDelivery.h"
#include "include/fleet/ConfigFetch.h"
#include "tests/support/EventSchedule.h"

#include <algorithm>
#include <random>
#include <string>

namespace waxwing::testing {

namespace {

constexpr std::size_t watchersPerRegion = 2;
constexpr std::uint64_t newVersion = 2;
constexpr Millis tick{20};
constexpr Millis pollDelay{300};
constexpr Millis standInAfter{1800};
constexpr Millis standInJitter{200};
/** Announcements to the region in one tick; more would keep a small node from delivering. */
constexpr std::size_t announcementsAtOnce = 24;
constexpr Millis minRelayTime{120};
constexpr Millis maxRelayTime{400};
constexpr Millis runLength = std::chrono::seconds(20);
constexpr double bitsPerByte = 8.0;
constexpr double messageMs = 0.05;

/** Serves one use after the other. */
struct Resource {
    SteadyTime busyUntil;

    SteadyTime use(SteadyTime from, Duration length)
    {
        busyUntil = std::max(busyUntil, from) + length;
        return busyUntil;
    }
};

class Fleet
{
public:
    Fleet(const ConfigFleetLoad &load, ConfigPath path)
        : load_(load)
        , path_(path)
        , random_(load.seed)
        , schedule_(start_)
    { }

    ConfigFleetOutcome run()
    {
        build();
        for (Node &node : nodes_) {
            const bool hangs = load_.watchersHang && node.region == load_.regions - 1;
            if (node.isWatcher && !hangs) {
                readStore(node);
            }
            node.alive = !(node.isWatcher && hangs);
            schedule(jitter(tick), [this, &node] { step(node); });
            scheduleWork(node);
            if (!node.isWatcher) {
                schedule(standInTime(node), [this, &node] { readAsStandIn(node); });
            }
        }
        for (const Millis at : load_.kills) {
            schedule(at, [this] { killSenders(); });
        }
        schedule_.run(start_ + runLength);
        return summarize();
    }

private:
    struct Node {
        Node(int regionIn, std::size_t indexIn, std::function<std::uint64_t()> random)
            : region(regionIn)
            , index(indexIn)
            , name("node-" + std::to_string(indexIn))
            , fetch(std::move(random))
        { }

        int region;
        std::size_t index;
        std::string name;
        ConfigFetch fetch;
        ConfigDelivery delivery;
        DeliveryPlace place;
        bool isWatcher = false;
        bool alive = true;
        bool holds = false;
        bool isInForce = false;
        SteadyTime relaySince;
        SteadyTime inForceAt;
        Resource processor;
        Resource up;
        Resource down;
        int sent = 0;
        int sending = 0;
    };
    using Action = std::function<void()>;

    void build()
    {
        nodes_.reserve(static_cast<std::size_t>(load_.regions) * static_cast<std::size_t>(load_.nodesPerRegion));
        for (int region = 0; region < load_.regions; ++region) {
            std::vector<std::string> ranked;
            const std::size_t first = nodes_.size();
            for (int i = 0; i < load_.nodesPerRegion; ++i) {
                nodes_.emplace_back(region, nodes_.size(), [this] { return random_(); });
                ranked.push_back(nodes_.back().name);
            }
            for (std::size_t i = first; i < nodes_.size(); ++i) {
                nodes_[i].isWatcher = i - first < watchersPerRegion;
                nodes_[i].place = deliveryPlace(ranked, watchersPerRegion, nodes_[i].name);
                if (path_ == ConfigPath::AnyHolder) {
                    nodes_[i].place.sources.clear();
                    nodes_[i].place.children.clear();
                }
            }
        }
    }

    SteadyTime now() const
    {
        return schedule_.now();
    }
    void schedule(Duration in, Action action)
    {
        schedule_.add(std::max(now(), start_) + in, std::move(action));
    }
    Millis jitter(Millis limit)
    {
        return Millis(static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(limit.count() + 1)));
    }
    Node &nodeOf(const std::string &name)
    {
        return nodes_[std::stoul(name.substr(std::string("node-").size()))];
    }

    static Duration milliseconds(double ms)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms));
    }
    static Duration transferTime(std::size_t bytes, double mbit)
    {
        return milliseconds(static_cast<double>(bytes) * bitsPerByte / (mbit * 1e3));
    }
    /** Runs @p action when the node's processor has worked for @p ms. */
    void compute(Node &node, double ms, Action action)
    {
        schedule_.add(node.processor.use(now(), milliseconds(ms / load_.coreShare)),
                      [&node, action = std::move(action)] {
                          if (node.alive) {
                              action();
                          }
                      });
    }

    void message(Node &from, Node &to, Action action)
    {
        compute(from, messageMs, [this, &from, &to, action = std::move(action)] {
            const Millis delay = from.region == to.region ? load_.delayInRegion : load_.delayBetweenRegions;
            schedule(delay, [this, &to, action] {
                if (to.alive) {
                    compute(to, messageMs, action);
                }
            });
        });
    }

    void readStore(Node &node)
    {
        ++outcome_.storeReads;
        outcome_.storeReadsAtOnce = std::max(outcome_.storeReadsAtOnce, ++readsUnderway_);
        SteadyTime arrival = node.down.use(now(), transferTime(load_.documentBytes, load_.linkMbit));
        Millis delay = load_.delayInRegion;
        if (node.region != 0) {
            outcome_.pathBytes += load_.documentBytes;
            delay = load_.delayBetweenRegions;
            arrival = std::max(arrival, between_.use(now(), transferTime(load_.documentBytes, load_.pathMbit)));
        }
        schedule_.add(arrival + delay, [this, &node] {
            --readsUnderway_;
            if (node.alive && !node.holds) {
                compute(node, static_cast<double>(load_.readTime.count()), [this, &node] { receive(node, true); });
            }
        });
    }

    Millis standInTime(const Node &node)
    {
        const WatchElectionTuning tuning;
        const std::size_t rank = node.index % static_cast<std::size_t>(load_.nodesPerRegion) - watchersPerRegion;
        const bool isStaggered = path_ != ConfigPath::StoreAfterAnnouncement;
        return standInAfter + (isStaggered ? standInDelay(tuning, rank) : Millis(0)) + jitter(standInJitter);
    }

    void readAsStandIn(Node &node)
    {
        const bool usesFetch = path_ == ConfigPath::AnyHolder || path_ == ConfigPath::Tree;
        const bool isExpected = usesFetch && (node.holds || node.fetch.isDeliveryInTime(now()));
        if (node.alive && !node.isInForce && !isExpected) {
            readStore(node);
        }
    }

    /** The node has the whole document. */
    void receive(Node &node, bool fromStore)
    {
        if (node.holds) {
            return;
        }
        node.holds = true;
        const bool announces = node.isWatcher || !node.fetch.isHeldInRegion(newVersion);
        node.fetch.noteReceived(newVersion, now());
        if (path_ == ConfigPath::StoreAfterAnnouncement) {
            decode(node);
            return;
        }
        if (path_ == ConfigPath::Tree) {
            for (const std::string &child : node.place.children) {
                node.delivery.addWaiting(child);
            }
        }
        if (fromStore && announces && path_ != ConfigPath::PushedByWatchers) {
            compute(node, static_cast<double>(load_.deflateTime.count()), [] {});
            announce(node);
        }
        if (path_ == ConfigPath::PushedByWatchers && node.isWatcher) {
            pushToRegion(node);
        }
        node.relaySince = std::max(now(), node.processor.busyUntil);
        relay(node);
    }

    void relay(Node &node)
    {
        if (!node.alive) {
            return;
        }
        const SteadyTime at = now();
        const bool mayBeAsked = !node.place.children.empty() && at - node.relaySince < minRelayTime;
        const bool isWanted = node.delivery.hasWaiting() || node.delivery.isActive(at) || mayBeAsked;
        if (isWanted && at - node.relaySince < maxRelayTime) {
            sendOffers(node);
            schedule(tick, [this, &node] { relay(node); });
            return;
        }
        decode(node);
    }

    void decode(Node &node)
    {
        compute(node, static_cast<double>(load_.decodeTime.count()), [this, &node] {
            node.isInForce = true;
            node.inForceAt = now();
            if (path_ == ConfigPath::StoreAfterAnnouncement && node.isWatcher) {
                announce(node);
            }
        });
    }

    void announce(Node &from)
    {
        announceToSome(from, 0, random_() % static_cast<std::size_t>(load_.nodesPerRegion));
    }

    void announceToSome(Node &from, std::size_t done, std::size_t offset)
    {
        const auto size = static_cast<std::size_t>(load_.nodesPerRegion);
        const std::size_t start = static_cast<std::size_t>(from.region) * size;
        const std::size_t last = std::min(done + announcementsAtOnce, size);
        for (std::size_t i = done; i < last; ++i) {
            Node &to = nodes_[start + (i + offset) % size];
            if (to.index != from.index) {
                message(from, to, [this, &from, &to] { hear(to, from, true); });
            }
        }
        if (last < size) {
            schedule(tick, [this, &from, last, offset] { announceToSome(from, last, offset); });
        }
    }

    void hear(Node &node, const Node &from, bool isOffer)
    {
        if (node.holds || path_ == ConfigPath::PushedByWatchers) {
            return;
        }
        const bool inRegion = node.region == from.region;
        if (path_ == ConfigPath::StoreAfterAnnouncement) {
            if (!node.fetch.newerSince()) {
                node.fetch.noteHolder(newVersion, from.name, inRegion, now());
                schedule(pollDelay + jitter(Millis(100)), [this, &node] { readStore(node); });
            }
            return;
        }
        isOffer ? node.fetch.noteOffer(newVersion, from.name, inRegion, now())
                : node.fetch.noteHolder(newVersion, from.name, inRegion, now());
    }

    void pushToRegion(Node &watcher)
    {
        for (Node &to : nodes_) {
            // Each watcher serves its part of the region.
            const bool isOwnPart = to.index % watchersPerRegion == watcher.index % watchersPerRegion;
            if (to.region == watcher.region && !to.isWatcher && isOwnPart) {
                deliver(watcher, to);
            }
        }
    }

    void deliver(Node &from, Node &to)
    {
        ++from.sent;
        outcome_.deliveriesAtOnce = std::max(outcome_.deliveriesAtOnce, ++from.sending);
        compute(from, static_cast<double>(load_.sendTime.count()), [this, &from, &to] {
            const Duration length = transferTime(load_.bytesOnLink, load_.linkMbit);
            const SteadyTime sent = from.up.use(now(), length);
            const SteadyTime arrived = std::max(sent, to.down.use(now(), length)) + load_.delayInRegion;
            schedule_.add(arrived, [this, &from, &to] {
                --from.sending;
                if (from.alive && to.alive && !to.holds) {
                    compute(to, static_cast<double>(load_.receiveTime.count()), [this, &to] { receive(to, false); });
                }
            });
        });
    }

    void sendOffers(Node &node)
    {
        for (const std::string &name : node.delivery.takeOffers(now())) {
            Node &to = nodeOf(name);
            message(node, to, [this, &node, &to] { hear(to, node, true); });
        }
    }

    void step(Node &node)
    {
        const bool usesFetch = path_ == ConfigPath::AnyHolder || path_ == ConfigPath::Tree;
        if (!node.alive || !usesFetch) {
            return;
        }
        if (node.isInForce) {
            sendOffers(node);
        } else if (!node.holds && node.processor.busyUntil <= now()) {
            fetchStep(node);
        }
        schedule(tick, [this, &node] { step(node); });
    }

    void fetchStep(Node &node)
    {
        node.fetch.setPlace(node.place);
        const WatchRole role = node.isWatcher ? WatchRole::Watcher : WatchRole::Follower;
        const ConfigFetchStep step = node.fetch.next(role, true, now());
        if (step.kind == ConfigFetchStep::Kind::ReadStore && !node.isWatcher) {
            readStore(node);
        } else if (step.kind == ConfigFetchStep::Kind::AskPeer) {
            ask(node, nodeOf(step.peer));
        }
    }

    void ask(Node &node, Node &peer)
    {
        ++outcome_.requests;
        node.fetch.noteSent(peer.name, now());
        message(node, peer, [this, &node, &peer] {
            if (peer.holds && peer.delivery.tryStart(load_.bytesOnLink, now())) {
                peer.delivery.removeWaiting(node.name);
                deliver(peer, node);
                return;
            }
            ++outcome_.refusedRequests;
            peer.delivery.addWaiting(node.name);
            message(peer, node, [this, &node, &peer, holds = peer.holds] {
                if (holds) {
                    hear(node, peer, false);
                }
                node.fetch.noteUnavailable(peer.name, now());
            });
        });
    }

    void scheduleWork(Node &node)
    {
        const auto length = static_cast<std::int64_t>(2000.0 / load_.workPerSecond);
        schedule(jitter(Millis(length)), [this, &node] {
            Node &to = nodes_[random_() % nodes_.size()];
            if (node.alive && node.isInForce && to.index != node.index) {
                message(node, to, [this, &node, &to] { hear(to, node, false); });
            }
            scheduleWork(node);
        });
    }

    /** Kills a node of each region that is delivering; its peers notice that its links close. */
    void killSenders()
    {
        for (int region = 0; region < load_.regions; ++region) {
            const auto victim = std::find_if(nodes_.begin(), nodes_.end(), [&](const Node &node) {
                return node.region == region && node.alive && node.sending > 0;
            });
            if (victim == nodes_.end()) {
                continue;
            }

            victim->alive = false;
            for (Node &node : nodes_) {
                schedule(load_.delayInRegion, [&node, name = victim->name, this] { node.fetch.noteLost(name, now()); });
            }
        }
    }

    ConfigFleetOutcome summarize()
    {
        std::vector<SteadyTime> times;
        outcome_.isComplete = true;
        for (const Node &node : nodes_) {
            outcome_.busiestSender = std::max(outcome_.busiestSender, node.sent);
            if (node.alive) {
                outcome_.isComplete = outcome_.isComplete && node.isInForce;
                times.push_back(node.isInForce ? node.inForceAt : start_ + runLength);
            }
        }
        std::sort(times.begin(), times.end());
        outcome_.median = millisOf(times[times.size() / 2] - start_);
        outcome_.last = millisOf(times.back() - start_);
        return outcome_;
    }

    ConfigFleetLoad load_;
    ConfigPath path_;
    std::mt19937_64 random_;
    SteadyTime start_ = SteadyTime(std::chrono::hours(1));
    EventSchedule schedule_;
    std::vector<Node> nodes_;
    Resource between_;
    int readsUnderway_ = 0;

    ConfigFleetOutcome outcome_;
};

} // namespace

ConfigFleetOutcome runConfigFleet(const ConfigFleetLoad &load, ConfigPath path)
{
    return Fleet(load, path).run();
}

} // namespace waxwing::testing
