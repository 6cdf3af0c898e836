#pragma once

#include <cstdint>
#include <memory>

namespace waxwing {

/**
 * Returns how many bytes of bodies a process may hold. @p memoryBytes: what it may use; @p ownBytes: what it uses
 * without bodies. The rest is for responses that are being read and for the buffers of connections. Thread safe.
 */
std::uint64_t bodyBytesWithin(std::uint64_t memoryBytes, std::uint64_t ownBytes);

/**
 * Bounds the bytes of all message bodies that a process holds, whoever holds them: requests that are being read, wait
 * or run, and responses. A body that would exceed the bound is refused before it is read, because a process that
 * exceeds the memory of its VM is killed, and all its callers lose their requests. An eighth of the bound is kept for
 * small bodies, so that large ones don't cause refusals of small ones. Not thread safe.
 */
class MemoryBudget
{
    struct State {
        std::uint64_t maxBytes = 0;
        std::uint64_t heldBytes = 0;
        std::uint64_t peakBytes = 0;
    };

public:
    /** The bytes of one body, which are given back when it is destroyed. It may outlive its budget. */
    class Charge
    {
    public:
        Charge(std::shared_ptr<State> state, std::uint64_t bytes);
        ~Charge();
        Charge(const Charge &) = delete;
        Charge &operator=(const Charge &) = delete;

        /** Charges @p bytes more, or returns false if they exceed the bound. */
        bool grow(std::uint64_t bytes);

    private:
        std::shared_ptr<State> state_;
        std::uint64_t bytes_;
    };
    using ChargePtr = std::shared_ptr<Charge>;

    /** Bodies of at most this size may use the whole bound. */
    static constexpr std::uint64_t smallBytes = 64UL * 1024;

    explicit MemoryBudget(std::uint64_t maxBytes);

    /** Charges the bytes of a body that may be refused; null if they exceed the bound. */
    ChargePtr reserve(std::uint64_t bytes);
    /** Charges the bytes of a body that is in memory already. */
    ChargePtr add(std::uint64_t bytes);
    void setMaxBytes(std::uint64_t maxBytes);
    /** Returns true if more is held than the bound: bodies that can't be refused have used it up. */
    bool isExceeded() const;
    std::uint64_t heldBytes() const;
    /** Returns the largest number of bytes held so far. */
    std::uint64_t peakBytes() const;

private:
    std::shared_ptr<State> state_;
};

using MemoryBudgetPtr = std::shared_ptr<MemoryBudget>;

} // namespace waxwing
