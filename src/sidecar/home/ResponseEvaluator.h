#pragma once

#include "include/home/Announcement.h"
#include "include/poison/SuspectedCrashes.h"
#include "src/http/HttpClient.h"
#include "src/sidecar/home/HomeJob.h"

#include <tl/expected.hpp>

namespace waxwing {

struct NodeCore;
class ServerMemoryGate;
class ServerPresence;
class SlotQueue;

/**
 * Evaluates how the exchange with the server ended: sets the outcome of the Work, and records what it shows about the
 * health, the memory and the presence of the server, and whether the request crashed it. Not thread safe.
 */
class ResponseEvaluator
{
public:
    /** @pre the references outlive this object. "poison" is in the kernel before the first request. */
    ResponseEvaluator(NodeCore &core, SlotQueue &queue, ServerPresence &server);

    /** Records what a response shows about the server's memory. @pre @p memory outlives this object. */
    void setMemory(ServerMemoryGate &memory);
    /**
     * Sets the reply of @p job. @p processingTime: how long the exchange took. @pre the job still holds its slot;
     * called from a fiber.
     */
    void evaluate(HomeJob &job, const tl::expected<HttpResponse, ExchangeError> &response, Duration processingTime);

private:
    void handleResponse(HomeJob &job, const HttpResponse &response, Duration processingTime);
    void handleFailure(HomeJob &job, const ExchangeError &error, Duration processingTime);
    /** Records the failure of the run, unless it was already counted as overdue. */
    void addFailure(const HomeJob &job, Duration processingTime);
    /** Returns true, and records a crash by this request, if the server's process ended while it ran the request. */
    bool detectCrash(const HomeJob &job);
    void noteCrash(const std::string &server, std::uint64_t incarnation, std::uint64_t digest);
    /** Records that the request has completed, which proves that it does not crash its server. */
    void noteCompleted(const HomeJob &job, const HttpResponse &response);
    /** Records the crashes that the start of @p process proves. */
    void confirmCrashes(const Announcement &process);

    NodeCore &core_;
    SlotQueue &queue_;
    ServerPresence &server_;
    /** Null if callers and servers don't read slowly. */
    ServerMemoryGate *memory_ = nullptr;
    SuspectedCrashes suspected_;
};

} // namespace waxwing
