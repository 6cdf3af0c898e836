#include "include/member/Ring.h"

#include <algorithm>

namespace waxwing {

namespace {

std::vector<std::string> ordered(const std::string &topic, std::vector<std::string> members)
{
    const std::uint64_t seed = stableHash(topic);
    std::sort(members.begin(), members.end(), [seed](const std::string &a, const std::string &b) {
        return std::make_pair(stableHash(a, seed), a) < std::make_pair(stableHash(b, seed), b);
    });
    members.erase(std::unique(members.begin(), members.end()), members.end());
    return members;
}

} // namespace

std::vector<std::string> gossipPartners(const std::string &self, const std::vector<std::string> &members)
{
    std::vector<std::string> all = members;
    all.push_back(self);
    const std::vector<std::string> ring = ordered("ring", std::move(all));
    const auto here = static_cast<std::size_t>(std::find(ring.begin(), ring.end(), self) - ring.begin());
    std::vector<std::string> partners;
    for (std::size_t step = 1; step < ring.size(); step *= 2) {
        partners.push_back(ring[(here + step) % ring.size()]);
    }
    return partners;
}

std::vector<std::string> firstByHash(const std::string &topic, const std::vector<std::string> &members,
                                     std::size_t count)
{
    std::vector<std::string> all = ordered(topic, members);
    if (all.size() > count) {
        all.resize(count);
    }
    return all;
}

} // namespace waxwing
