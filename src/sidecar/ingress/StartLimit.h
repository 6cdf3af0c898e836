#pragma once

#include "include/route/RouteStats.h"

namespace waxwing {

/**
 * Limits when requests may start at a node that is stopping, so that those that start can complete before it exits.
 * Otherwise their connections would close without a response and the callers would not know whether they ran. Not
 * thread safe.
 */
class StartLimit
{
public:
    /** @p stats must outlive this object. */
    explicit StartLimit(const RouteStats &stats);

    /** Sets when the node exits. */
    void setStopDeadline(SteadyTime deadline);
    /** Returns the time after which a request is sent to no further home; max() unless this node is stopping. */
    SteadyTime latestStart(const Route &route) const;

private:
    const RouteStats &stats_;
    SteadyTime stopDeadline_ = SteadyTime::max();
};

} // namespace waxwing
