#include "include/member/NodeRecord.h"

#include "include/base/Cbor.h"
#include <nlohmann/json.hpp>

namespace waxwing {

const char *nodeStateName(NodeState state)
{
    switch (state) {
    case NodeState::Up:
        return "up";
    case NodeState::Down:
        return "down";
    case NodeState::Left:
        return "left";
    }
    return "down";
}

Record toRecord(const NodeRecord &node, std::uint64_t sequence)
{
    const nlohmann::json body = {
        node.ref.id, node.ref.incarnation,         node.address, node.peerPort, node.httpPort, node.zone,
        node.region, static_cast<int>(node.state), node.services};
    return Record{RecordKind::Node, node.ref.id, RecordVersion{node.ref.incarnation, sequence},
                  nlohmann::json::to_cbor(body)};
}

Expected<NodeRecord> nodeFromRecord(const Record &record)
{
    try {
        const nlohmann::json body = parseCbor(record.payload);
        NodeRecord node;
        node.ref = {body.at(0).get<std::string>(), body.at(1).get<std::uint64_t>()};
        node.address = body.at(2).get<std::string>();
        node.peerPort = body.at(3).get<std::uint16_t>();
        node.httpPort = body.at(4).get<std::uint16_t>();
        node.zone = body.at(5).get<std::string>();
        node.region = body.at(6).get<std::string>();
        const int state = body.at(7).get<int>();
        if (state < static_cast<int>(NodeState::Up) || state > static_cast<int>(NodeState::Left)) {
            return fail(ErrorCode::Malformed, "node record: unknown state " + std::to_string(state));
        }
        node.state = static_cast<NodeState>(state);
        node.services = body.at(8).get<std::map<std::string, std::uint32_t>>();
        if (node.ref.id != record.key || node.ref.incarnation != record.version.major) {
            return fail(ErrorCode::Malformed, "node record: key and body differ");
        }
        return node;
    } catch (const nlohmann::json::exception &error) {
        return fail(ErrorCode::Malformed, std::string("node record: ") + error.what());
    }
}

} // namespace waxwing
