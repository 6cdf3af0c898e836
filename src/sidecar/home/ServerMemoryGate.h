#pragma once

#include "include/flow/ServerMemory.h"
#include "include/wire/Messages.h"
#include "src/node/RunControl.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace waxwing {

struct NodeCore;
class FiberLatch;

/** Reason for a refusal: the request is larger than the server's memory as far as it is known. */
constexpr const char *tooLargeReason = "larger-than-server-memory";

/**
 * Lets requests wait until the memory of the server beside this node has room for them. ServerMemory makes the
 * decisions. Not thread safe.
 */
class ServerMemoryGate
{
public:
    enum class Result {
        Admitted,
        TooLarge,
        /** No room was found in time. */
        TimedOut,
        Cancelled,
    };
    struct Request {
        std::uint64_t id = 0;
        std::uint64_t bytes = 0;
        /** Until then the request waits for room. */
        SteadyTime until;
        RunControlPtr control;
    };

    explicit ServerMemoryGate(NodeCore &core);

    /**
     * Waits until @p request may run. Calls @p onWait if it has to wait. Whatever the result, release() must follow.
     * @pre called from a fiber.
     */
    Result admit(const Request &request, const std::function<void()> &onWait);
    /** Ends a request. */
    void release(std::uint64_t id);
    /**
     * Records that the server has completed a request, which it held together with the others in progress. @pre the
     * server did not refuse the request.
     */
    void noteCompleted();
    /** Records that the server has reset a connection. */
    void noteReset();
    /** Records that the server's process @p incarnation ended. */
    void noteCrash(const std::string &incarnation);

private:
    struct Waiting {
        std::shared_ptr<FiberLatch> latch;
        Result result = Result::TimedOut;
    };

    void resume(const ServerMemory::Ready &ready);

    NodeCore &core_;
    ServerMemory memory_;
    std::map<std::uint64_t, Waiting> waiting_;
};

} // namespace waxwing
