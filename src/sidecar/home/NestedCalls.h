#pragma once

#include "include/home/SlotQueue.h"
#include "include/limit/NestedCallTracker.h"
#include "include/overload/CallAdmission.h"

#include <memory>
#include <string>

namespace waxwing {

struct NodeCore;

/**
 * The calls that the server beside this node makes while it runs requests: which routes make them, how many are in
 * progress, and how they ended. Writes the log events and metrics of the called services. NestedCallTracker and
 * CallAdmission make the decisions. Not thread safe.
 */
class NestedCalls
{
public:
    /** @pre @p core and @p queue outlive this object. */
    NestedCalls(NodeCore &core, SlotQueue &queue);
    NestedCalls(const NestedCalls &) = delete;
    NestedCalls &operator=(const NestedCalls &) = delete;

    /**
     * Lets the queue defer or refuse requests whose nested calls are expected to fail. @pre called once, before the
     * first request.
     */
    void enableAdmission();

    NestedCallTracker &tracker();
    const NestedCallTracker &tracker() const;
    /** Records the begin of a nested call. */
    void noteStarted();
    /** Records the end of a nested call. @pre noteStarted() was called for it. */
    void noteEnded();
    /** Records how a call of @p service ended. Does nothing unless admission is enabled. */
    void noteResult(const std::string &service, bool succeeded);
    /** Counts a request of @p route that is submitted to the queue, if its calls are expected to fail. */
    void countSubmitted(const std::string &route, SteadyTime now);
    /**
     * Reports the called services that became degraded or recovered, and the share of successful calls. Does nothing
     * unless admission is enabled.
     */
    void reportServices();

private:
    NodeCore &core_;
    SlotQueue &queue_;
    NestedCallTracker tracker_;
    /** Null if requests are served without regard to their nested calls. */
    std::unique_ptr<CallAdmission> admission_;
    int inProgress_ = 0;
};

} // namespace waxwing
