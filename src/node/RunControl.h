#pragma once

#include "src/http/HttpClient.h"

#include <functional>
#include <memory>

namespace waxwing {

/** Lets the caller's side end a running request: its connection closed or its node sent a Cancel. */
struct RunControl {
    bool cancelled = false;
    /** Ends the wait or exchange that is going on now. */
    std::function<void()> interrupt;

    void cancel()
    {
        cancelled = true;
        if (interrupt) {
            interrupt();
        }
    }
};

using RunControlPtr = std::shared_ptr<RunControl>;

} // namespace waxwing
