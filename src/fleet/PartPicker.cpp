#include "include/fleet/PartPicker.h"

namespace waxwing {

const std::string &PartPicker::pick(const Route &route)
{
    if (route.parts.size() == 1) {
        return route.parts.front().service;
    }
    std::map<std::string, std::int64_t> &credits = credits_[route.name];
    std::int64_t total = 0;
    const RoutePart *best = nullptr;
    for (const RoutePart &part : route.parts) {
        total += part.weight;
        credits[part.service] += part.weight;
        if (best == nullptr || credits[part.service] > credits[best->service]) {
            best = &part;
        }
    }
    credits[best->service] -= total;
    return best->service;
}

void PartPicker::clear()
{
    credits_.clear();
}

} // namespace waxwing
