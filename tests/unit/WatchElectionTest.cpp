#include "include/fleet/WatchElection.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>

using namespace waxwing;

namespace {

std::string nodeName(int number)
{
    return "node-" + std::to_string(number);
}

/** A region in which every node reaches its own set of nodes. */
class RegionOfNodes
{
protected:
    static constexpr std::size_t watchers = 2;

    void start(int count)
    {
        nodes_.clear();
        for (int i = 0; i < count; ++i) {
            nodes_.insert(nodeName(i));
        }
        linkAll();
    }

    void linkAll()
    {
        elections_.clear();
        for (const std::string &node : nodes_) {
            elections_.emplace(node, WatchElection(node));
            elections_.at(node).setReachable(allBut(node), at(0));
        }
    }

    std::vector<std::string> allBut(const std::string &excluded) const
    {
        std::vector<std::string> out;
        std::copy_if(nodes_.begin(), nodes_.end(), std::back_inserter(out),
                     [&](const std::string &node) { return node != excluded; });
        return out;
    }

    std::set<std::string> elected()
    {
        std::set<std::string> out;
        for (auto &[node, election] : elections_) {
            if (election.role(fresh, at(0)) == WatchRole::Watcher) {
                out.insert(node);
            }
        }
        return out;
    }

    static SteadyTime at(int ms)
    {
        return SteadyTime(std::chrono::hours(1)) + Millis(ms);
    }

    static constexpr Duration fresh = Millis(300);
    std::set<std::string> nodes_;
    std::map<std::string, WatchElection> elections_;
};

} // namespace

// Guards against a number of calls to the store that grows with the nodes of a region.
TEST_CASE_FIXTURE(RegionOfNodes, "watch election, region of any size, has the same number of watchers")
{
    for (const int count : {2, 3, 30, 300, 3000}) {
        start(count);
        CHECK(elected().size() == watchers);
    }
    start(1);
    CHECK(elected().size() == 1);
}

// Guards against a region that has no watchers after its watchers are lost.
TEST_CASE_FIXTURE(RegionOfNodes, "watch election, all watchers lost at once, elects two others")
{
    start(30);
    const std::set<std::string> before = elected();
    for (const std::string &lost : before) {
        nodes_.erase(lost);
    }
    linkAll();
    const std::set<std::string> after = elected();
    CHECK(after.size() == watchers);
    for (const std::string &node : before) {
        CHECK(after.count(node) == 0);
    }
}

// Guards against a change of watchers at nearly every node that joins or leaves.
TEST_CASE_FIXTURE(RegionOfNodes, "watch election, node that joins, replaces at most one watcher")
{
    start(30);
    for (int joining = 30; joining < 60; ++joining) {
        const std::set<std::string> before = elected();
        nodes_.insert(nodeName(joining));
        linkAll();
        std::set<std::string> kept;
        const std::set<std::string> after = elected();
        std::set_intersection(before.begin(), before.end(), after.begin(), after.end(),
                              std::inserter(kept, kept.begin()));
        CHECK(kept.size() + 1 >= watchers);
    }
}

// Guards against a node that neither watches nor reaches a watcher, when nodes reach different parts of the region.
TEST_CASE_FIXTURE(RegionOfNodes, "watch election, node that reaches part of the region, watches or reaches a watcher")
{
    start(30);
    for (auto &[node, election] : elections_) {
        std::vector<std::string> reached;
        for (const std::string &other : allBut(node)) {
            const bool linked = (std::hash<std::string>()(node + other) & 1U) != 0;
            if (linked) {
                reached.push_back(other);
            }
        }
        election.setReachable(reached, at(0));
        const bool watches = election.role(fresh, at(0)) == WatchRole::Watcher;
        CHECK((watches || !election.otherWatchers().empty()));
        for (const std::string &other : election.otherWatchers()) {
            CHECK(std::count(reached.begin(), reached.end(), other) == 1);
        }
    }
}

// Guards against a follower that keeps its old state because its watchers do not respond.
TEST_CASE_FIXTURE(RegionOfNodes,
                  "watch election, follower without confirmation, becomes a stand-in and later a follower again")
{
    WatchElectionTuning tuning;
    WatchElection follower("zz", tuning);
    int number = 0;
    while (follower.role(fresh, at(0)) == WatchRole::Watcher) {
        follower.setReachable({nodeName(number), nodeName(number + 1)}, at(0));
        ++number;
    }
    CHECK(follower.role(tuning.standInAfter, at(0)) == WatchRole::Follower);
    CHECK(follower.role(tuning.standInAfter + Millis(1), at(100)) == WatchRole::StandIn);
    const int duration = static_cast<int>(tuning.standInFor.count());
    CHECK(follower.role(fresh, at(100 + duration - 1)) == WatchRole::StandIn);
    CHECK(follower.role(fresh, at(100 + duration)) == WatchRole::Follower);
    CHECK(follower.role(std::nullopt, at(100 + duration)) == WatchRole::StandIn);
}

// Guards against a region whose watchers lose the store, so that all its nodes call the store instead.
TEST_CASE_FIXTURE(RegionOfNodes, "watch election, watchers that cannot reach the store, are replaced by two others")
{
    start(30);
    const std::set<std::string> cutOff = elected();
    const auto watchersAt = [&](SteadyTime now) {
        std::set<std::string> watching;
        for (auto &[node, election] : elections_) {
            election.setReachable(allBut(node), now);
            if (cutOff.count(node) == 0 && election.role(fresh, now) == WatchRole::Watcher) {
                watching.insert(node);
            }
        }
        return watching;
    };
    for (auto &[node, election] : elections_) {
        for (const std::string &watcher : cutOff) {
            election.noteStoreReachable(watcher, false, at(0));
        }
    }
    CHECK(watchersAt(at(100)).size() == watchers);
    CHECK(watchersAt(at(static_cast<int>(WatchElectionTuning().excludedFor.count()))).empty());
}

// Guards against a region in which all nodes watch, at a watcher's short intervals, while no node can reach the store.
TEST_CASE_FIXTURE(RegionOfNodes, "watch election, store that no node can reach, has no more watchers than before")
{
    start(30);
    const Duration age = std::chrono::seconds(3);
    std::size_t watching = 0;
    for (auto &[node, election] : elections_) {
        for (const std::string &other : allBut(node)) {
            election.noteStoreReachable(other, false, at(0));
        }
        election.setReachable(allBut(node), at(100));
        watching += election.role(age, at(100)) == WatchRole::Watcher ? 1 : 0;
    }
    CHECK(watching == watchers);
}

// Guards against a region whose nodes all read a large document from the store at once when their watchers hang.
TEST_CASE_FIXTURE(RegionOfNodes,
                  "watch election, region without confirmation, a few nodes become stand-ins before the rest")
{
    start(30);
    const WatchElectionTuning tuning;
    const auto standInsAt = [&](Duration age) {
        std::size_t standIns = 0;
        for (const std::string &node : nodes_) {
            WatchElection election(node);
            election.setReachable(allBut(node), at(0));
            standIns += election.role(age, at(0)) == WatchRole::StandIn ? 1 : 0;
        }
        return standIns;
    };
    CHECK(standInsAt(tuning.standInAfter) == 0);
    CHECK(standInsAt(tuning.standInAfter + Millis(1)) == tuning.firstStandIns);
    const Duration later = tuning.standInAfter + tuning.laterStandIns;
    CHECK(standInsAt(later) == tuning.firstStandIns);
    CHECK(standInsAt(later + Millis(1)) == 2 * tuning.firstStandIns);
    CHECK(standInsAt(later + tuning.standInGrowth + Millis(1)) == 4 * tuning.firstStandIns);
    CHECK(standInsAt(later + 2 * tuning.standInGrowth + Millis(1)) == nodes_.size() - watchers);
}

// Guards against a fleet that starts with one call to the store for each node at the same moment.
TEST_CASE("first read, new region of any size that has formed, few nodes read at once and all within two seconds")
{
    const WatchElectionTuning tuning;
    for (const std::size_t nodes : {2UL, 30UL, 327UL, 5589UL}) {
        const auto readersAfter = [&](Millis time) {
            const Millis sinceChange = tuning.formingPause + time;
            std::size_t readers = 0;
            for (std::size_t rank = 0; rank < nodes; ++rank) {
                readers += mayReadFirst(tuning, FirstReadState{sinceChange, true, sinceChange, rank}) ? 1 : 0;
            }
            return readers;
        };
        CHECK(readersAfter(Millis(0)) == tuning.watchers);
        CHECK(readersAfter(Millis(500)) <= 4 * tuning.watchers);
        CHECK(readersAfter(Millis(2000)) == nodes);
    }
}

// Guards against callers who wait for nodes that were killed together and wait for each other's configuration.
TEST_CASE("first read, fleet did not start for the first time, reads at once")
{
    CHECK(mayReadFirst(WatchElectionTuning{}, FirstReadState{Millis(0), false, Millis(0), 300}));
}

// Guards against a fleet that starts for the first time, in which each node sees few others and counts itself as one of
// the first.
TEST_CASE("first read, new node while others are being registered, waits for a pause or three seconds")
{
    const WatchElectionTuning tuning;
    const auto mayRead = [&](Millis sinceStart, Millis sinceChange) {
        return mayReadFirst(tuning, FirstReadState{sinceStart, true, sinceChange, 0});
    };
    CHECK_FALSE(mayRead(Millis(100), Millis(20)));
    CHECK_FALSE(mayRead(Millis(2900), Millis(300)));
    CHECK(mayRead(Millis(1500), tuning.formingPause));
    CHECK(mayRead(tuning.formingFor, Millis(10)));
}

TEST_CASE("first read, registry can't be read, the configuration is read after a pause all the same")
{
    const WatchElectionTuning tuning;
    CHECK(mayReadFirst(tuning, FirstReadState{tuning.formingPause, true, tuning.formingPause, 0}));
}
