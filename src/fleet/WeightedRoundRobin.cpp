#include "include/fleet/WeightedRoundRobin.h"

namespace waxwing {

const std::string &WeightedRoundRobin::pick(const Route &route)
{
    if (route.services.size() == 1) {
        return route.services.front().service;
    }
    std::map<std::string, std::int64_t> &credits = credits_[route.name];
    std::int64_t total = 0;
    const WeightedService *best = nullptr;
    for (const WeightedService &candidate : route.services) {
        total += candidate.weight;
        credits[candidate.service] += candidate.weight;
        if (best == nullptr || credits[candidate.service] > credits[best->service]) {
            best = &candidate;
        }
    }
    credits[best->service] -= total;
    return best->service;
}

void WeightedRoundRobin::clear()
{
    credits_.clear();
}

} // namespace waxwing
