#pragma once

#include "tests/support/Mesh.h"

#include <string>
#include <vector>

namespace waxwing::testing {

/** Returns the role of the node by its log: how it gets the configuration. A node that has logged none is a watcher. */
std::string watchRoleOf(const Mesh &mesh, int node);
/** Returns those of the first @p nodes nodes that have the role, in order. */
std::vector<int> nodesWithRole(const Mesh &mesh, int nodes, const std::string &role);

} // namespace waxwing::testing
