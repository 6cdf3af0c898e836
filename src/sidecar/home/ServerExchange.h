#pragma once

#include "src/sidecar/home/HomeJob.h"
#include "src/sidecar/home/ResponseEvaluator.h"

#include <cstdint>
#include <functional>
#include <optional>

namespace waxwing {

struct NodeCore;
class NestedCallTracker;
class ServerMemoryGate;
class ServerPresence;
class WorkTable;

/** Reason for a refusal: this node buffers too many bytes. */
constexpr const char *nodeBytesReason = "node-bytes";

/** Sends admitted works to the server and has its responses evaluated. Not thread safe. */
class ServerExchange
{
public:
    /** @pre the references outlive this object. */
    ServerExchange(NodeCore &core, SlotQueue &queue, ServerPresence &server, WorkTable &works,
                   NestedCallTracker &nestedCalls);

    /**
     * Bounds the size of responses. Works that would start are refused while @p holdsTooMuch returns true.
     * @pre @p memory outlives this object.
     */
    void setFlow(ServerMemoryGate &memory, std::uint64_t maxResponseBytes, std::function<bool()> holdsTooMuch);
    /**
     * Runs @p job on the server and sets its reply, or refuses it. The caller frees the slot. @pre the job holds a slot
     * and is in the work table; called from a fiber.
     */
    void run(HomeJob &job);

private:
    NodeCore &core_;
    ServerPresence &server_;
    WorkTable &works_;
    NestedCallTracker &nestedCalls_;
    ResponseEvaluator evaluator_;
    /** Nothing if the default of the HTTP client applies. */
    std::optional<std::uint64_t> maxResponseBytes_;
    std::function<bool()> holdsTooMuch_;
};

} // namespace waxwing
