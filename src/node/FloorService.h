#pragma once

#include "include/base/Clock.h"
#include "include/base/TokenBucket.h"

#include <map>
#include <string>

namespace waxwing {

struct NodeCore;
class ServiceHome;

/**
 * Writes this node's pledges to the object API, one conditional update at a time, with exponential backoff while the
 * object API is unreachable. Not thread safe.
 */
class FloorService
{
public:
    /** @pre "gossip", "homes" and "platform" are in the kernel. */
    explicit FloorService(NodeCore &core);
    void start();

private:
    void loop();
    /** Reads the stored pledges if @p home needs newer ones. Returns false if the object API could not be reached. */
    bool readIfNeeded(const std::string &service, ServiceHome &home);
    /** Writes the pledge that @p home proposes, if any. Returns false if the object API could not be reached. */
    bool writeProposal(const std::string &service, ServiceHome &home);

    NodeCore &core_;
    std::map<std::string, SteadyTime> readAt_;
    TokenBucket calls_;
};

} // namespace waxwing
