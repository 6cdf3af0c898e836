#include "include/base/Ids.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <tuple>

#include <xxhash.h>

namespace waxwing {

std::string NodeRef::text() const
{
    return id + "@" + hexText(incarnation);
}

bool NodeRef::operator==(const NodeRef &other) const
{
    return incarnation == other.incarnation && id == other.id;
}

bool NodeRef::operator!=(const NodeRef &other) const
{
    return !(*this == other);
}

bool NodeRef::operator<(const NodeRef &other) const
{
    return std::tie(id, incarnation) < std::tie(other.id, other.incarnation);
}

std::uint64_t stableHash(const std::string &text, std::uint64_t seed)
{
    return XXH64(text.data(), text.size(), seed);
}

std::string hexText(std::uint64_t value)
{
    std::array<char, 16> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value, 16);
    return {digits.data(), end.ptr};
}

bool isValidName(const std::string &text)
{
    constexpr std::size_t maxLength = 63;
    const auto allowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_'
               || c == '.';
    };
    return !text.empty() && text.size() <= maxLength && std::all_of(text.begin(), text.end(), allowed);
}

} // namespace waxwing
