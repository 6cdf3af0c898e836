#pragma once

#include <cstdint>

namespace waxwing {

/**
 * Bounds what surrounds the bodies of one exchange's responses: status lines, headers, interim responses, and the size
 * lines, extensions and trailers of chunks. Without it, a peer keeps a connection busy for ever with chunks of one byte
 * whose extensions count against no limit of a body. Not thread safe.
 */
class FramingBudget
{
public:
    /** Framing that a response may have beside as many bytes as its body has. */
    static constexpr std::uint64_t defaultBytes = 1024UL * 1024;

    /** @p maxBytes: framing allowed beyond the number of body bytes, because small chunks need as much again. */
    explicit FramingBudget(std::uint64_t maxBytes = defaultBytes);

    /**
     * Records @p received bytes of a response, framing and body together, of which @p body belong to the body. Returns
     * false if the exchange must be given up. @pre @p body <= @p received.
     */
    bool add(std::uint64_t received, std::uint64_t body);

private:
    std::uint64_t maxBytes_;
    std::uint64_t framing_ = 0;
    std::uint64_t body_ = 0;
};

} // namespace waxwing
