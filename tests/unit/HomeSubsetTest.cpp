#include "include/route/HomeSubset.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

using namespace waxwing;

namespace {

/** A fleet with every second node a home of the service, in three regions of three zones each. */
class FleetOfHomes
{
protected:
    static constexpr int zones = 9;

    void start(int nodes)
    {
        nodes_ = nodes;
        zoneSize_ = static_cast<std::size_t>(nodes / zones);
    }

    static std::string nameOf(int node)
    {
        return "node-" + std::to_string(node);
    }

    std::vector<RankedHome> homesFrom(int sender, int goneZone = -1) const
    {
        std::vector<RankedHome> homes;
        for (int node = 0; node < nodes_; node += 2) {
            const int zone = node % zones;
            if (zone == goneZone) {
                continue;
            }
            Distance distance = Distance::OtherRegion;
            if (node == sender) {
                distance = Distance::SameNode;
            } else if (zone == sender % zones) {
                distance = Distance::SameZone;
            } else if (zone / 3 == sender % zones / 3) {
                distance = Distance::SameRegion;
            }
            homes.push_back(RankedHome{nameOf(node), distance});
        }
        return homes;
    }

    std::vector<RankedHome> subsetOf(int sender, int goneZone = -1) const
    {
        return homeSubset(homesFrom(sender, goneZone), nameOf(sender), zoneSize_, tuning_);
    }

    static std::size_t countOf(const std::vector<RankedHome> &homes, Distance distance)
    {
        return static_cast<std::size_t>(std::count_if(
            homes.begin(), homes.end(), [distance](const RankedHome &home) { return home.distance == distance; }));
    }

    int nodes_ = 0;
    std::size_t zoneSize_ = 0;
    HomeSubsetTuning tuning_;
};

} // namespace

TEST_CASE_FIXTURE(FleetOfHomes, "home subset, fleet of any size, has a bounded size and the own node")
{
    for (const int nodes : {36, 980, 16767}) {
        start(nodes);
        const std::vector<RankedHome> subset = subsetOf(0);
        CHECK(subset.size() <= 1 + tuning_.sameZone + tuning_.sameRegion + tuning_.otherRegions);
        CHECK(countOf(subset, Distance::SameNode) == 1);
        CHECK(countOf(subset, Distance::SameZone) > 0);
    }
}

TEST_CASE_FIXTURE(FleetOfHomes, "home subset, small fleet, is all of its homes in their order")
{
    start(60);
    const std::vector<RankedHome> homes = homesFrom(4);
    const std::vector<RankedHome> subset = subsetOf(4);
    REQUIRE(subset.size() == homes.size());
    for (std::size_t i = 0; i < homes.size(); ++i) {
        CHECK(subset[i].node == homes[i].node);
    }
}

// Guards against homes that are in the subsets of far more nodes than others.
TEST_CASE_FIXTURE(FleetOfHomes, "home subset, all nodes together, has each home of a region about as often")
{
    start(981);
    std::map<std::string, int> senders;
    for (int sender = 0; sender < nodes_; ++sender) {
        for (const RankedHome &home : subsetOf(sender)) {
            senders[home.node] += home.distance == Distance::SameRegion ? 1 : 0;
        }
    }
    double sum = 0.0;
    int most = 0;
    for (const auto &[home, count] : senders) {
        sum += count;
        most = std::max(most, count);
    }
    CHECK(most <= 1.5 * sum / static_cast<double>(senders.size()));
}

TEST_CASE_FIXTURE(FleetOfHomes, "home subset, zone of the region is lost, takes as many homes of the other one")
{
    start(981);
    CHECK(countOf(subsetOf(0, 1), Distance::SameRegion) == tuning_.sameRegion);
    CHECK(countOf(subsetOf(0, 0), Distance::SameZone) == 0);
}
