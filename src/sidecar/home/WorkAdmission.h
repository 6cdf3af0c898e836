#pragma once

#include "src/sidecar/home/HomeJob.h"

#include <functional>

namespace waxwing {

struct NodeCore;
class ServerMemoryGate;
class SlotScheduler;

/** Lets works wait for the server's memory and then for a slot, or refuses them. Not thread safe. */
class WorkAdmission
{
public:
    /** @pre the references outlive this object. */
    WorkAdmission(NodeCore &core, SlotScheduler &scheduler);

    /** Bounds the bytes of requests in progress at the server. @pre @p memory outlives this object. */
    void setMemory(ServerMemoryGate &memory);
    /**
     * Waits until @p job may start. Returns false, with a refusal in the reply, if it may not; otherwise its slot must
     * be freed. Calls @p onAdmitted once if it is queued or started. Sets the job's id to the one of the slot that it
     * takes over, if it has a reservation. @pre called from a fiber.
     */
    bool await(HomeJob &job, const std::function<void()> &onAdmitted);

private:
    bool awaitMemory(HomeJob &job, const std::function<void()> &onAdmitted);
    bool awaitSlot(HomeJob &job, const std::function<void()> &onAdmitted);

    NodeCore &core_;
    SlotScheduler &scheduler_;
    /** Null if callers and servers don't read slowly. */
    ServerMemoryGate *memory_ = nullptr;
};

} // namespace waxwing
