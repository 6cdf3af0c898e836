#pragma once

#include "include/base/Clock.h"

#include <string>

namespace waxwing {

struct NodeCore;
class ServiceHome;

/**
 * Writes this node's pledges to the object API, one conditional update at a time and with a pause that grows while
 * the store is away. Not thread safe.
 */
class FloorService
{
public:
    /** @pre "homes" and "platform" are in the kernel. */
    explicit FloorService(NodeCore &core);
    void start();

private:
    void loop();
    /** False if the store could not be reached. */
    bool writeProposal(const std::string &service, ServiceHome &home);

    NodeCore &core_;
};

} // namespace waxwing
