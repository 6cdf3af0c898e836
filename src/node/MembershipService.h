#pragma once

#include "include/member/NodeRecord.h"
#include "include/settings/NodeSettings.h"

#include <map>
#include <string>

namespace waxwing {

struct NodeCore;
class GossipService;

/**
 * Joins the fleet through the object API or the seeds in the settings, and pings the ring's partners: one that doesn't
 * respond within the ping timeout is declared down. Membership only affects which nodes are preferred; no guarantee
 * depends on two nodes agreeing about it. Not thread safe.
 */
class MembershipService
{
public:
    /** @pre "gossip", "peers" and "platform" are in the kernel. */
    explicit MembershipService(NodeCore &core);
    /** Starts the join and ping loops. @pre the gossip service has started. */
    void start();

private:
    void joinLoop();
    void joinThrough(const Endpoint &endpoint);
    void joinFromStore();
    void pingLoop();
    void declareDown(const NodeRecord &node);

    NodeCore &core_;
    GossipService &gossip_;
    std::map<std::string, SteadyTime> unansweredSince_;
};

} // namespace waxwing
