#pragma once

#include "include/base/Error.h"
#include "src/http/HttpClient.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace waxwing {

/** A node's name, state and operator endpoint, as reported by another node. */
struct FleetMember {
    std::string node;
    std::string state;
    Endpoint operators;
};

/** Queries nodes over their operator endpoints. @pre methods are called from a fiber. */
class FleetClient
{
public:
    /** @p first: operator endpoint of the node that lists the others. @pre @p client outlives this. */
    FleetClient(HttpClient &client, Endpoint first);
    /**
     * Returns the nodes in the list of the first node, without entries whose operator endpoint is invalid. Errors:
     * Unavailable, Malformed.
     */
    Expected<std::vector<FleetMember>> members();
    /** Returns a view of one node, such as "/v1/status". Errors: Unavailable, Malformed. */
    Expected<nlohmann::json> view(const Endpoint &operators, const std::string &target);
    /**
     * Returns the same view of every node that is up, by node name; nodes that don't respond are left out. Errors:
     * Unavailable or Malformed if the list of nodes can't be read.
     */
    Expected<std::map<std::string, nlohmann::json>> viewAll(const std::string &target);

private:
    HttpClient &client_;
    Endpoint first_;
};

} // namespace waxwing
