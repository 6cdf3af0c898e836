#pragma once

#include "include/member/NodeRecord.h"
#include "include/settings/NodeSettings.h"

#include <map>
#include <string>

namespace waxwing {

struct NodeCore;
class GossipService;

/**
 * Finds the fleet at the start, through the object API or through peers that the settings name, and watches the ring's
 * partners: one that stops answering is declared down. Membership is a matter of preference only: no promise rests on
 * two nodes agreeing about it. Not thread safe.
 */
class MembershipService
{
public:
    /** @pre "gossip", "peers" and "platform" are in the kernel. */
    explicit MembershipService(NodeCore &core);
    /** Starts the loops. @pre the gossip service has started. */
    void start();

private:
    void joinLoop();
    void joinThrough(const Endpoint &endpoint);
    void joinFromStore();
    void pingLoop();
    void declareDown(const NodeRecord &gone);

    NodeCore &core_;
    GossipService &gossip_;
    std::map<std::string, SteadyTime> unansweredSince_;
};

} // namespace waxwing
