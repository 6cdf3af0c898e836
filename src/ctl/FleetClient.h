#pragma once

#include "include/base/Error.h"
#include "src/http/HttpClient.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace waxwing {

/** A node's name and operator endpoint, as another node knows it. */
struct FleetMember {
    std::string node;
    std::string state;
    Endpoint operators;
};

/** Asks nodes over their operator endpoints. @pre methods are called from a fiber. */
class FleetClient
{
public:
    FleetClient(HttpClient &client, Endpoint first);
    /** Every node that the first one knows. Errors: Unavailable, Malformed. */
    Expected<std::vector<FleetMember>> members();
    /** A view of one node, such as "/v1/status". Errors: Unavailable, Malformed. */
    Expected<nlohmann::json> view(const Endpoint &operators, const std::string &target);
    /** The same view of every node that is up, by node name; nodes that don't answer are left out. */
    Expected<std::map<std::string, nlohmann::json>> viewAll(const std::string &target);

private:
    HttpClient &client_;
    Endpoint first_;
};

} // namespace waxwing
