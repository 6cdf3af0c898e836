#include "tests/support/WatchRoles.h"

namespace waxwing::testing {

std::string watchRoleOf(const Mesh &mesh, int node)
{
    const std::string log = mesh.log(node);
    const std::string key = " role=";
    const std::size_t last = log.rfind("event=watch_role");
    if (last == std::string::npos) {
        return "watcher";
    }
    const std::size_t from = log.find(key, last) + key.size();
    return log.substr(from, log.find_first_of(" \n", from) - from);
}

std::vector<int> nodesWithRole(const Mesh &mesh, int nodes, const std::string &role)
{
    std::vector<int> out;
    for (int node = 0; node < nodes; ++node) {
        if (watchRoleOf(mesh, node) == role) {
            out.push_back(node);
        }
    }
    return out;
}

} // namespace waxwing::testing
