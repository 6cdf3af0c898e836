#pragma once

#include "include/base/Error.h"
#include "include/base/Ids.h"
#include "include/member/Record.h"

#include <map>
#include <string>

namespace waxwing {

enum class NodeState : std::uint8_t {
    Up = 1,
    /** Other nodes got no reply from it. It can refute this with a newer record. */
    Down = 2,
    /** It shut down gracefully. */
    Left = 3,
};

const char *nodeStateName(NodeState state);

/** The replicated description of one node. */
struct NodeRecord {
    NodeRef ref;
    std::string address;
    std::uint16_t peerPort = 0;
    std::uint16_t httpPort = 0;
    std::string zone;
    std::string region;
    NodeState state = NodeState::Up;
    /** Services with announced servers at the node, and how many of these servers are in service. */
    std::map<std::string, std::uint32_t> services;
};

/** Encodes @p node as a record. @p sequence orders the records of one incarnation. Thread safe. */
Record toRecord(const NodeRecord &node, std::uint64_t sequence);
/** Decodes a node record. Errors: Malformed. Thread safe. */
Expected<NodeRecord> nodeFromRecord(const Record &record);

} // namespace waxwing
