#include "include/route/HomeSubset.h"

#include "include/base/Ids.h"

#include <algorithm>
#include <cstdint>
#include <tuple>

namespace waxwing {

namespace {

/** A home by its index, ordered by the own group first and then by hash. */
struct Rank {
    bool otherGroup = false;
    std::uint64_t hash = 0;
    std::size_t index = 0;

    bool operator<(const Rank &other) const
    {
        return std::tie(otherGroup, hash, index) < std::tie(other.otherGroup, other.hash, other.index);
    }
};

void keepFirst(std::vector<Rank> &ranks, std::size_t limit, std::vector<std::size_t> &kept)
{
    const std::size_t count = std::min(ranks.size(), limit);
    std::nth_element(ranks.begin(), ranks.begin() + static_cast<std::ptrdiff_t>(count), ranks.end());
    for (std::size_t i = 0; i < count; ++i) {
        kept.push_back(ranks[i].index);
    }
}

} // namespace

std::vector<RankedHome> homeSubset(const std::vector<RankedHome> &homes, const std::string &self, std::size_t zoneSize,
                                   const HomeSubsetTuning &tuning)
{
    const std::uint64_t seed = stableHash(self);
    const std::uint64_t ownGroup = reportGroup(self, zoneSize);
    std::vector<std::size_t> kept;
    std::vector<Rank> zone;
    std::vector<Rank> region;
    std::vector<Rank> elsewhere;
    for (std::size_t i = 0; i < homes.size(); ++i) {
        const Rank rank{reportGroup(homes[i].node, zoneSize) != ownGroup, stableHash(homes[i].node, seed), i};
        switch (homes[i].distance) {
        case Distance::SameNode:
            kept.push_back(i);
            break;
        case Distance::SameZone:
            zone.push_back(rank);
            break;
        case Distance::SameRegion:
            region.push_back(Rank{false, rank.hash, i});
            break;
        case Distance::OtherRegion:
            elsewhere.push_back(Rank{false, rank.hash, i});
            break;
        }
    }
    keepFirst(zone, tuning.sameZone, kept);
    keepFirst(region, tuning.sameRegion, kept);
    keepFirst(elsewhere, tuning.otherRegions, kept);
    std::sort(kept.begin(), kept.end());
    std::vector<RankedHome> subset;
    subset.reserve(kept.size());
    for (const std::size_t index : kept) {
        subset.push_back(homes[index]);
    }
    return subset;
}

} // namespace waxwing
