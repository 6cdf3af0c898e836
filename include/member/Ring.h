#pragma once

#include "include/base/Ids.h"

#include <string>
#include <vector>

namespace waxwing {

/**
 * Whom a node talks to for gossip: with the nodes in order of a stable hash, the ones 1, 2, 4, 8 … places on.
 * So each keeps about log2(n) links, and news reaches all in about log2(n) / 2 steps, also with many links cut.
 * Thread safe: a value.
 */
std::vector<std::string> gossipPartners(const std::string &self, const std::vector<std::string> &members);

/** The @p count members that come first in an order which every node computes alike. Thread safe. */
std::vector<std::string> firstByHash(const std::string &topic, const std::vector<std::string> &members,
                                     std::size_t count);

} // namespace waxwing
