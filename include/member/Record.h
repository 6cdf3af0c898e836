#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace waxwing {

/** What a record describes; part of its key. */
enum class RecordKind : std::uint8_t {
    Node = 1,
    Service = 2,
    Poison = 3,
    /** The node that holds the claims of an incarnation that stopped. */
    Successor = 4,
};

/** Orders the versions of one record. A higher version is never replaced by a lower one. */
struct RecordVersion {
    std::uint64_t major = 0;
    std::uint64_t minor = 0;

    bool operator<(const RecordVersion &other) const;
    bool operator==(const RecordVersion &other) const;
};

/** One item of the replicated state. Every node converges to the highest version of each record. */
struct Record {
    RecordKind kind = RecordKind::Node;
    std::string key;
    RecordVersion version;
    /** CBOR of the type that belongs to the kind. */
    std::vector<std::uint8_t> payload;
};

} // namespace waxwing
