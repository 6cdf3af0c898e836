#pragma once

#include "src/http/HttpClient.h"

#include <functional>
#include <memory>

namespace waxwing {

/** Lets the side that sent a request cancel it, such as when its caller disconnects or another node sends a Cancel. */
struct RunControl {
    bool cancelled = false;
    /** Set if the request is to be cancelled unless it has started to run. */
    bool queuedCancelled = false;
    /** Interrupts the current wait for a server or the current exchange. */
    std::function<void()> interrupt;
    /** Ends the current wait for a server; has no effect once the request runs. */
    std::function<void()> onCancelQueued;
    /**
     * Called when no node could report the outcome of the request. Queries for the outcome continue, and the request
     * may be retried elsewhere at the same time.
     */
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
