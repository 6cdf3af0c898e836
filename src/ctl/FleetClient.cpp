#include "src/ctl/FleetClient.h"

namespace waxwing {

namespace {
constexpr Millis callTimeout{2000};
}

FleetClient::FleetClient(HttpClient &client, Endpoint first)
    : client_(client)
    , first_(std::move(first))
{ }

Expected<nlohmann::json> FleetClient::view(const Endpoint &operators, const std::string &target)
{
    const auto response = client_.exchange(operators, HttpRequest{"GET", target, {}, {}}, callTimeout);
    if (!response) {
        return fail(ErrorCode::Unavailable,
                    "node at " + operators.text() + ": " + exchangeFailureName(response.error().failure));
    }
    nlohmann::json body = nlohmann::json::parse(response->body, nullptr, false);
    if (response->status != 200 || body.is_discarded()) {
        return fail(ErrorCode::Malformed,
                    "node at " + operators.text() + " responded with status " + std::to_string(response->status));
    }
    return body;
}

Expected<std::vector<FleetMember>> FleetClient::members()
{
    const Expected<nlohmann::json> nodes = view(first_, "/v1/nodes");
    if (!nodes) {
        return tl::unexpected<Error>(nodes.error());
    }
    std::vector<FleetMember> members;
    for (const nlohmann::json &node : *nodes) {
        Findings findings;
        FleetMember member;
        member.node = node.value("node", "");
        member.state = node.value("state", "");
        member.operators = parseEndpoint(node.value("operators", ""), "/operators", findings);
        if (findings.empty()) {
            members.push_back(std::move(member));
        }
    }
    return members;
}

Expected<std::map<std::string, nlohmann::json>> FleetClient::viewAll(const std::string &target)
{
    const Expected<std::vector<FleetMember>> all = members();
    if (!all) {
        return tl::unexpected<Error>(all.error());
    }
    std::map<std::string, nlohmann::json> views;
    for (const FleetMember &member : *all) {
        if (member.state != "up") {
            continue;
        }
        Expected<nlohmann::json> one = view(member.operators, target);
        if (one) {
            views[member.node] = std::move(*one);
        }
    }
    return views;
}

} // namespace waxwing
