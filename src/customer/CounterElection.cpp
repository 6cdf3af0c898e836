#include "include/customer/CounterElection.h"

#include "include/base/Ids.h"

#include <algorithm>
#include <utility>

namespace waxwing {

namespace {

/** How long a node that did not reply is excluded: a killed process is back within some seconds. */
constexpr Millis exclusionTime{3000};
/** Bounds the memory for customers that were met once; the ranks are worked out again when they are needed. */
constexpr std::size_t maxRanked = 20000;

} // namespace

void CounterElection::setNodes(std::vector<std::string> nodes, SteadyTime now)
{
    std::sort(nodes.begin(), nodes.end());
    if (nodes == nodes_) {
        return;
    }
    nodes_ = std::move(nodes);
    changedAt_ = now;
    ranked_.clear();
}

void CounterElection::noteUnreachable(const std::string &node, SteadyTime now)
{
    excludedUntil_[node] = now + exclusionTime;
}

void CounterElection::noteReachable(const std::string &node)
{
    excludedUntil_.erase(node);
}

std::vector<std::string> CounterElection::rank(const std::string &customer) const
{
    const std::uint64_t seed = stableHash(customer);
    std::vector<std::pair<std::uint64_t, const std::string *>> scores;
    scores.reserve(nodes_.size());
    for (const std::string &node : nodes_) {
        scores.emplace_back(stableHash(node, seed), &node);
    }
    const std::size_t kept = std::min(remembered, scores.size());
    std::partial_sort(scores.begin(), scores.begin() + static_cast<std::ptrdiff_t>(kept), scores.end());
    std::vector<std::string> ranked;
    for (std::size_t i = 0; i < kept; ++i) {
        ranked.push_back(*scores[i].second);
    }
    return ranked;
}

const std::vector<std::string> &CounterElection::ranked(const std::string &customer)
{
    auto found = ranked_.find(customer);
    if (found == ranked_.end()) {
        if (ranked_.size() >= maxRanked) {
            ranked_.clear();
        }
        found = ranked_.emplace(customer, rank(customer)).first;
    }
    return found->second;
}

const std::string &CounterElection::firstOf(const std::string &customer)
{
    const std::vector<std::string> &nodes = ranked(customer);
    return nodes.empty() ? none_ : nodes.front();
}

const std::string &CounterElection::counterOf(const std::string &customer, SteadyTime now)
{
    for (const std::string &node : ranked(customer)) {
        const auto excluded = excludedUntil_.find(node);
        if (excluded == excludedUntil_.end() || now >= excluded->second) {
            return node;
        }
    }
    return none_;
}

bool CounterElection::isFirst(const std::string &node, const std::string &customer) const
{
    const std::vector<std::string> ranked = rank(customer);
    return !ranked.empty() && ranked.front() == node;
}

SteadyTime CounterElection::changedAt() const
{
    return changedAt_;
}

std::size_t CounterElection::nodeCount() const
{
    return nodes_.size();
}

} // namespace waxwing
