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
    /** Who holds the claims of an incarnation that stopped. */
    Successor = 4,
};

/** Order among the versions of one record: the higher one is never replaced by the lower. */
struct RecordVersion {
    std::uint64_t major = 0;
    std::uint64_t minor = 0;

    bool operator<(const RecordVersion &other) const;
    bool operator==(const RecordVersion &other) const;
};

/** One replicated fact. Every node ends with the highest version of each record. */
struct Record {
    RecordKind kind = RecordKind::Node;
    std::string key;
    RecordVersion version;
    /** CBOR of the kind's own type. */
    std::vector<std::uint8_t> payload;
};

} // namespace waxwing
