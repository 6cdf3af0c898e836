#pragma once

#include "include/base/Clock.h"
#include "include/wire/Messages.h"
#include "src/node/RunControl.h"
#include "src/sidecar/WorkTable.h"

#include <cstdint>
#include <string>

namespace waxwing {

/** A Work between its arrival at the home and its reply. Lives on the stack of the fiber that runs it. */
struct HomeJob {
    const WorkKey &key;
    const Work &work;
    RunControlPtr control;
    std::uint64_t id = 0;
    SteadyTime deadline;
    SteadyTime arrived;
    WorkReply reply;
    /** When the request joins the queue for a slot. */
    SteadyTime queuedAt;
    /** The request has waited for the server's memory, and its sender knows that it was accepted. */
    bool accepted = false;
    /** Incarnation of the server's process that the request was sent to; 0 before it is sent. */
    std::uint64_t incarnation = 0;
    /** A nested call that the server may have made for this work failed. */
    bool callFailed = false;

    /** Replaces the reply by a refusal for @p reason. */
    void refuse(const std::string &reason)
    {
        reply = WorkReply();
        reply.id = key.id;
        reply.outcome = Outcome::NotRun;
        reply.reason = reason;
    }
};

} // namespace waxwing
