#pragma once

#include <cstdint>
#include <string>

namespace waxwing {

/** A node and one run of its process: a restarted node has a new incarnation. */
struct NodeRef {
    std::string id;
    std::uint64_t incarnation = 0;

    /** Returns "id@incarnation" with the incarnation in hexadecimal. Thread safe. */
    std::string text() const;
    bool operator==(const NodeRef &other) const;
    bool operator!=(const NodeRef &other) const;
    bool operator<(const NodeRef &other) const;
};

/** Returns a 64-bit hash of @p text that is the same on every node and build. Thread safe. */
std::uint64_t stableHash(const std::string &text, std::uint64_t seed = 0);
/** Returns @p value as lower-case hexadecimal without leading zeros. Thread safe. */
std::string hexText(std::uint64_t value);
/** Returns true if @p text is 1 to 63 of a-z, A-Z, 0-9, '-', '_' and '.', which makes it safe in paths and logs. */
bool isValidName(const std::string &text);

} // namespace waxwing
