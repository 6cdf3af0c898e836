#pragma once

#include "include/base/Clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/fiber/context.hpp>
#include <boost/system/error_code.hpp>

#include <functional>
#include <utility>

namespace waxwing {

/** Result of one asynchronous operation: its error and the number of bytes transferred. */
struct IoResult {
    boost::system::error_code error;
    std::size_t bytes = 0;
};

/** Makes this thread's fiber scheduler wait in @p ioContext. Call once per thread, before the first fiber. */
void installFiberScheduler(boost::asio::io_context &ioContext);

/** Starts @p body as a detached fiber with a stack of 128 KB. An exception that escapes @p body ends the process. */
void spawnFiber(std::function<void()> body);

/**
 * Flushes the standard streams and ends the process without destroying objects. A thread with the fiber scheduler must
 * end this way: otherwise its fibers are unwound after main has destroyed the io_context that they and the scheduler
 * still use.
 */
[[noreturn]] void endProcess(int code);

/** Suspends the calling fiber for @p length. @pre called from a fiber of the loop's thread. */
void sleepFor(boost::asio::io_context &ioContext, Duration length);

/** A one-shot latch for one waiting fiber. Needs no lock: all its users run on the loop's thread. */
class FiberLatch
{
public:
    /**
     * Suspends the calling fiber until release() is called; returns at once if it already was. @pre at most one waiter.
     */
    void wait();
    /** Resumes the waiter. Further calls have no effect. */
    void release();
    bool isReleased() const;

private:
    bool released_ = false;
    boost::fibers::context *waiter_ = nullptr;
};

/**
 * Runs an Asio operation and suspends the calling fiber until the operation's handler has run. @p start receives the
 * handler and passes it to the operation.
 */
template<typename Start>
IoResult await(Start start)
{
    FiberLatch latch;
    IoResult result;
    start([&](boost::system::error_code error, auto... rest) {
        result.error = error;
        if constexpr (sizeof...(rest) == 1) {
            if constexpr ((std::is_convertible_v<decltype(rest), std::size_t> && ...)) {
                ((result.bytes = rest), ...);
            }
        }
        latch.release();
    });
    latch.wait();
    return result;
}

} // namespace waxwing
