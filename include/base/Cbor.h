#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string_view>
#include <vector>

namespace waxwing {

/**
 * Parses CBOR that another process wrote. Returns a discarded value if @p bytes are malformed, or nested more deeply
 * than any value of ours: the library parses recursively, and the stack of a fiber is small. Thread safe.
 */
nlohmann::json parseCbor(std::string_view bytes);
/** As above. */
nlohmann::json parseCbor(const std::vector<std::uint8_t> &bytes);

} // namespace waxwing
