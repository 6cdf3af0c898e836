#pragma once

#include "src/http/HttpClient.h"

#include <functional>
#include <memory>

namespace waxwing {

/** Lets the caller's side end a running request: its connection closed or its node sent a Cancel. */
struct RunControl {
    bool cancelled = false;
    /** The answer is wanted only if the request has begun to run. */
    bool queuedCancelled = false;
    /** Ends the wait or exchange that is going on now. */
    std::function<void()> interrupt;
    /** Ends the wait for a server that is going on now; nothing once the request runs. */
    std::function<void()> onCancelQueued;
    /** Nobody could say what became of the request. It is asked for on, and may be tried elsewhere beside. */
    std::function<void()> onOutcomeUnknown;

    void cancel()
    {
        cancelled = true;
        if (interrupt) {
            interrupt();
        }
    }

    void cancelQueued()
    {
        queuedCancelled = true;
        if (onCancelQueued) {
            onCancelQueued();
        }
    }
};

using RunControlPtr = std::shared_ptr<RunControl>;

} // namespace waxwing
