#pragma once

#include "src/fiber/FiberLoop.h"

#include <memory>

namespace waxwing {

/**
 * Lets one fiber wait for notifications, with a timeout. Unlike a FiberLatch it can be reused. A notification between
 * two waits ends the next wait at once. Not thread safe.
 */
class FiberNotifier
{
public:
    /**
     * Returns at the next notify(), or when @p timeout has passed; at once if notify() was called since the last wait.
     * @pre called from a fiber; one waiter at a time.
     */
    void wait(boost::asio::io_context &ioContext, Duration timeout)
    {
        if (!notified_ && timeout > Duration(0)) {
            const auto latch = std::make_shared<FiberLatch>();
            latch_ = latch;
            boost::asio::steady_timer timer(ioContext, timeout);
            timer.async_wait([latch](boost::system::error_code) { latch->release(); });
            latch->wait();
            latch_.reset();
        }
        notified_ = false;
    }

    void notify()
    {
        notified_ = true;
        if (latch_) {
            latch_->release();
        }
    }

private:
    std::shared_ptr<FiberLatch> latch_;
    bool notified_ = false;
};

} // namespace waxwing
