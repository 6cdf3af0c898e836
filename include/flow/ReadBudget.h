#pragma once

#include <cstdint>
#include <map>
#include <optional>

namespace waxwing {

/**
 * Bounds the bytes of all messages that are being read together. When they exceed the bound, the largest one is given
 * up: a peer that sends without end then loses its own message, and the small ones of others are read on. Not thread
 * safe.
 */
class ReadBudget
{
public:
    /** Identifies one message that is being read. */
    using Id = std::uint64_t;

    /** @p maxBytes: largest number of bytes held at any time. */
    explicit ReadBudget(std::uint64_t maxBytes);

    /** Registers a message without bytes. */
    Id begin();
    /**
     * Records that a message has grown by @p bytes. Returns the message to be given up, which no longer counts, or
     * nothing. Ignores unknown ids.
     */
    std::optional<Id> grow(Id id, std::uint64_t bytes);
    /** Ends a message: it is complete, or was given up. Ignores unknown ids. */
    void end(Id id);
    /** Returns the bytes of all messages that are being read. */
    std::uint64_t heldBytes() const;

private:
    std::uint64_t maxBytes_;
    std::uint64_t heldBytes_ = 0;
    Id nextId_ = 1;
    std::map<Id, std::uint64_t> messages_;
};

} // namespace waxwing
