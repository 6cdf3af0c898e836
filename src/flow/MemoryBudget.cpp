#include "include/flow/MemoryBudget.h"

#include <algorithm>

namespace waxwing {

namespace {

/** The part of the bound that is kept for small bodies. */
constexpr std::uint64_t smallPartDivisor = 8;
/** Most of the memory that bodies may take, and most that they and the process itself may take together. */
constexpr std::uint64_t bodyPercent = 60;
constexpr std::uint64_t usablePercent = 90;
/** Kept for bodies however much the process itself uses: without it, a process that has grown would refuse all. */
constexpr std::uint64_t minBodyPercent = 10;

} // namespace

std::uint64_t bodyBytesWithin(std::uint64_t memoryBytes, std::uint64_t ownBytes)
{
    const std::uint64_t usable = memoryBytes / 100 * usablePercent;
    const std::uint64_t left = usable > ownBytes ? usable - ownBytes : 0;
    return std::clamp(left, memoryBytes / 100 * minBodyPercent, memoryBytes / 100 * bodyPercent);
}

MemoryBudget::Charge::Charge(std::shared_ptr<State> state, std::uint64_t bytes)
    : state_(std::move(state))
    , bytes_(bytes)
{
    state_->heldBytes += bytes;
    state_->peakBytes = std::max(state_->peakBytes, state_->heldBytes);
}

MemoryBudget::Charge::~Charge()
{
    state_->heldBytes -= bytes_;
}

bool MemoryBudget::Charge::grow(std::uint64_t bytes)
{
    const std::uint64_t kept = bytes_ + bytes > smallBytes ? state_->maxBytes / smallPartDivisor : 0;
    if (state_->heldBytes + bytes > state_->maxBytes - kept) {
        return false;
    }
    bytes_ += bytes;
    state_->heldBytes += bytes;
    state_->peakBytes = std::max(state_->peakBytes, state_->heldBytes);
    return true;
}

MemoryBudget::MemoryBudget(std::uint64_t maxBytes)
    : state_(std::make_shared<State>())
{
    state_->maxBytes = maxBytes;
}

MemoryBudget::ChargePtr MemoryBudget::reserve(std::uint64_t bytes)
{
    ChargePtr charge = std::make_shared<Charge>(state_, 0);
    return charge->grow(bytes) ? charge : nullptr;
}

MemoryBudget::ChargePtr MemoryBudget::add(std::uint64_t bytes)
{
    return std::make_shared<Charge>(state_, bytes);
}

void MemoryBudget::setMaxBytes(std::uint64_t maxBytes)
{
    state_->maxBytes = maxBytes;
}

bool MemoryBudget::isExceeded() const
{
    return state_->heldBytes > state_->maxBytes;
}

std::uint64_t MemoryBudget::heldBytes() const
{
    return state_->heldBytes;
}

std::uint64_t MemoryBudget::peakBytes() const
{
    return state_->peakBytes;
}

} // namespace waxwing
