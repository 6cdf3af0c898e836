#pragma once

#include "include/base/Clock.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace waxwing {

/**
 * Chooses the node that counts a customer's requests by rendezvous hashing over the nodes of the registry. A node that
 * does not reply is excluded for a while, by this node only. Not thread safe.
 */
class CounterElection
{
public:
    /** Replaces the nodes, this one included. */
    void setNodes(std::vector<std::string> nodes, SteadyTime now);
    /** Excludes @p node for a while, because it did not reply. */
    void noteUnreachable(const std::string &node, SteadyTime now);
    /** Ends the exclusion of @p node, because it has replied in time or a link to it has opened. */
    void noteReachable(const std::string &node);
    /** Returns the highest-ranked node that is not excluded; empty if there is none. */
    const std::string &counterOf(const std::string &customer, SteadyTime now);
    /** Returns the highest-ranked node, excluded or not; empty if there is none. */
    const std::string &firstOf(const std::string &customer);
    /** Returns true if @p node is the highest-ranked one for @p customer. */
    bool isFirst(const std::string &node, const std::string &customer) const;
    /** Returns when the nodes last changed. */
    SteadyTime changedAt() const;
    std::size_t nodeCount() const;

private:
    /** How many of the highest-ranked nodes are remembered for a customer. */
    static constexpr std::size_t remembered = 3;

    std::vector<std::string> rank(const std::string &customer) const;
    const std::vector<std::string> &ranked(const std::string &customer);

    std::vector<std::string> nodes_;
    SteadyTime changedAt_;
    std::map<std::string, SteadyTime> excludedUntil_;
    std::unordered_map<std::string, std::vector<std::string>> ranked_;
    std::string none_;
};

} // namespace waxwing
