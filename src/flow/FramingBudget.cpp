#include "include/flow/FramingBudget.h"

namespace waxwing {

FramingBudget::FramingBudget(std::uint64_t maxBytes)
    : maxBytes_(maxBytes)
{ }

bool FramingBudget::add(std::uint64_t received, std::uint64_t body)
{
    framing_ += received - body;
    body_ += body;
    return framing_ <= maxBytes_ + body_;
}

} // namespace waxwing
