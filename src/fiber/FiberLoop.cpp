#include "src/fiber/FiberLoop.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/fiber/scheduler.hpp>

#include <cstdio>
#include <cstdlib>
#include <iostream>

namespace waxwing {

namespace {

constexpr std::size_t stackBytes = 128UL * 1024;
/** Number of handlers that run in a row before the fibers that they have made ready. */
constexpr int maxHandlersPerTurn = 64;

/**
 * Round-robin scheduler. With no fiber ready, the thread blocks in the io_context until a handler or a fiber's timer is
 * due. Blocking instead of polling keeps the processor time of an idle node near zero.
 *
 * The number of handlers in a turn is bounded because handlers can make each other ready without end: while a peer
 * sends faster than it is read, each read completes at once and its handler starts the next one. Without the bound no
 * fiber would run in that time, and the process would answer nobody.
 */
class AsioScheduler final : public boost::fibers::algo::algorithm
{
public:
    explicit AsioScheduler(boost::asio::io_context &ioContext)
        : ioContext_(ioContext)
        , work_(boost::asio::make_work_guard(ioContext))
    { }

    void awakened(boost::fibers::context *fiber) noexcept override
    {
        fiber->ready_link(ready_);
    }

    boost::fibers::context *pick_next() noexcept override
    {
        if (ready_.empty()) {
            return nullptr;
        }
        boost::fibers::context *fiber = &ready_.front();
        ready_.pop_front();
        return fiber;
    }

    bool has_ready_fibers() const noexcept override
    {
        return !ready_.empty();
    }

    void suspend_until(const std::chrono::steady_clock::time_point &wakeUp) noexcept override
    {
        if (wakeUp == std::chrono::steady_clock::time_point::max()) {
            ioContext_.run_one();
        } else {
            ioContext_.run_one_until(wakeUp);
        }
        for (int handlers = 1; handlers < maxHandlersPerTurn && ioContext_.poll_one() > 0; ++handlers) { }
    }

    void notify() noexcept override
    {
        boost::asio::post(ioContext_, [] {});
    }

private:
    boost::asio::io_context &ioContext_;
    // Without outstanding work the io_context would stop when idle, and every later wait in it would return at once.
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    boost::fibers::scheduler::ready_queue_type ready_;
};

} // namespace

void installFiberScheduler(boost::asio::io_context &ioContext)
{
    boost::fibers::use_scheduling_algorithm<AsioScheduler>(ioContext);
}

void spawnFiber(std::function<void()> body)
{
    boost::fibers::fiber(boost::fibers::launch::post, std::allocator_arg, boost::fibers::fixedsize_stack(stackBytes),
                         std::move(body))
        .detach();
}

void endProcess(int code)
{
    std::cout.flush();
    std::cerr.flush();
    std::fflush(nullptr);
    std::_Exit(code);
}

void sleepFor(boost::asio::io_context &ioContext, Duration length)
{
    boost::asio::steady_timer timer(ioContext, length);
    await([&](auto handler) { timer.async_wait(std::move(handler)); });
}

void FiberLatch::wait()
{
    if (released_) {
        return;
    }
    waiter_ = boost::fibers::context::active();
    waiter_->suspend();
}

void FiberLatch::release()
{
    if (released_) {
        return;
    }
    released_ = true;
    if (waiter_ != nullptr) {
        boost::fibers::context::active()->schedule(waiter_);
    }
}

bool FiberLatch::isReleased() const
{
    return released_;
}

} // namespace waxwing
