#include "include/flow/ReadBudget.h"

#include <algorithm>

namespace waxwing {

ReadBudget::ReadBudget(std::uint64_t maxBytes)
    : maxBytes_(maxBytes)
{ }

ReadBudget::Id ReadBudget::begin()
{
    const Id id = nextId_++;
    messages_[id] = 0;
    return id;
}

std::optional<ReadBudget::Id> ReadBudget::grow(Id id, std::uint64_t bytes)
{
    const auto found = messages_.find(id);
    if (found == messages_.end()) {
        return std::nullopt;
    }
    found->second += bytes;
    heldBytes_ += bytes;
    if (heldBytes_ <= maxBytes_) {
        return std::nullopt;
    }
    const auto largest = std::max_element(messages_.begin(), messages_.end(),
                                          [](const auto &a, const auto &b) { return a.second < b.second; });
    const Id givenUp = largest->first;
    end(givenUp);
    return givenUp;
}

void ReadBudget::end(Id id)
{
    const auto found = messages_.find(id);
    if (found != messages_.end()) {
        heldBytes_ -= found->second;
        messages_.erase(found);
    }
}

std::uint64_t ReadBudget::heldBytes() const
{
    return heldBytes_;
}

} // namespace waxwing
