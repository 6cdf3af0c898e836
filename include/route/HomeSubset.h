#pragma once

#include "include/route/HomeRanking.h"
#include "include/route/HomeReportTable.h"

#include <cstddef>
#include <string>
#include <vector>

namespace waxwing {

/** How many homes of a service a node chooses from, by their distance. */
struct HomeSubsetTuning {
    std::size_t sameZone = maxReportGroup;
    std::size_t sameRegion = 32;
    std::size_t otherRegions = 32;
};

/**
 * Returns the homes of @p homes that the node @p self chooses from, in their order: the homes of its own group in the
 * zone (reportGroup()), of which it gets reports, and some of the others. Each node ranks the others by a hash of both
 * names, so that every home is in the subsets of about as many nodes, and a home that joins or leaves changes few of
 * them. @p zoneSize: number of nodes of the zone. Thread safe.
 */
std::vector<RankedHome> homeSubset(const std::vector<RankedHome> &homes, const std::string &self, std::size_t zoneSize,
                                   const HomeSubsetTuning &tuning = {});

} // namespace waxwing
