#pragma once

#include "include/base/Ids.h"

#include <string>
#include <vector>

namespace waxwing {

/**
 * Returns the gossip partners of @p self: with all nodes sorted by a stable hash, those at the distances 1, 2, 4, 8 …
 * from it. Each node has about log2(n) partners, and an update reaches all nodes in about log2(n) / 2 steps, even if
 * many links are down. Thread safe.
 */
std::vector<std::string> gossipPartners(const std::string &self, const std::vector<std::string> &members);

/** Returns the first @p count members in a hash order of @p topic that is the same on every node. Thread safe. */
std::vector<std::string> firstByHash(const std::string &topic, const std::vector<std::string> &members,
                                     std::size_t count);

} // namespace waxwing
