#pragma once

#include "src/fiber/FiberLoop.h"

#include <memory>

namespace waxwing {

/**
 * Where one fiber waits for the next of many events, or for a time. Unlike a FiberGate it can be waited at again; an
 * event between two waits is not lost. Not thread safe.
 */
class WaitPoint
{
public:
    /** Returns at the next wake(), or when @p allowed has passed. @pre called from a fiber; one waiter at a time. */
    void wait(boost::asio::io_context &ioContext, Duration allowed)
    {
        if (!woken_ && allowed > Duration(0)) {
            const auto gate = std::make_shared<FiberGate>();
            gate_ = gate;
            boost::asio::steady_timer timer(ioContext, allowed);
            timer.async_wait([gate](boost::system::error_code) { gate->open(); });
            gate->wait();
            gate_.reset();
        }
        woken_ = false;
    }

    void wake()
    {
        woken_ = true;
        if (gate_) {
            gate_->open();
        }
    }

private:
    std::shared_ptr<FiberGate> gate_;
    bool woken_ = false;
};

} // namespace waxwing
