#pragma once

#include "include/limit/RouteOrigins.h"
#include "include/wire/Messages.h"

#include <set>
#include <string>

namespace waxwing {

struct NodeCore;

/**
 * Records from which VMs the works of this home come, as the registry describes them, to tell nested calls from
 * requests of callers. RouteOrigins makes the decision. Not thread safe.
 */
class WorkOrigins
{
public:
    /** @pre @p core outlives this object; "registry" is in the kernel before the first work. */
    explicit WorkOrigins(NodeCore &core);
    WorkOrigins(const WorkOrigins &) = delete;
    WorkOrigins &operator=(const WorkOrigins &) = delete;

    /** Records a work of @p route from @p sender; does nothing if the sender is another node that is not registered. */
    void note(const NodeRef &sender, const std::string &route);
    /** Returns true if requests of @p route are nested calls. */
    bool isNestedCall(const std::string &route) const;

private:
    /** Returns the share of the VMs of @p zone whose server belongs to one of @p services; 1 if no VM is registered. */
    double zoneShare(const std::string &zone, const std::set<std::string> &services) const;

    NodeCore &core_;
    RouteOrigins origins_;
};

} // namespace waxwing
