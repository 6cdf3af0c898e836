#include "src/fiber/FiberLoop.h"

#include <boost/asio/post.hpp>
#include <boost/fiber/operations.hpp>
#include <doctest/doctest.h>

#include <functional>
#include <thread>

using namespace waxwing;

namespace {

/** A loop on a thread of its own whose handler posts itself again, as a read does whose peer has always sent more. */
class BusyLoop
{
protected:
    /**
     * Runs @p body as a fiber beside the handler, and waits until it has ended. The handler stops when the body has
     * ended, or after @c maxHandlers.
     */
    void runBeside(const std::function<void()> &body)
    {
        std::thread thread([&] {
            installFiberScheduler(ioContext_);
            postHandler();
            spawnFiber([&] {
                body();
                isDone_ = true;
            });
            while (!isDone_ || isPosted_) {
                boost::this_fiber::sleep_for(Millis(1));
            }
        });
        thread.join();
    }

    void postHandler()
    {
        isPosted_ = true;
        boost::asio::post(ioContext_, [this] {
            ++handlers_;
            isPosted_ = false;
            if (!isDone_ && handlers_ < maxHandlers) {
                postHandler();
            }
        });
    }

    static constexpr int maxHandlers = 10'000'000;

    boost::asio::io_context ioContext_;
    int handlers_ = 0;
    bool isPosted_ = false;
    bool isDone_ = false;
};

} // namespace

// Guards against a process that stands still because one handler always makes the next one ready.
TEST_CASE_FIXTURE(BusyLoop, "fiber loop, handlers without end, ready fibers and timers run")
{
    SUBCASE("handlers of fibers")
    {
        runBeside([this] {
            for (int i = 0; i < 100; ++i) {
                await([this](auto handle) {
                    boost::asio::post(ioContext_,
                                      [handle]() mutable { handle(boost::system::error_code(), std::size_t(0)); });
                });
            }
        });
    }
    SUBCASE("timers of the io_context")
    {
        runBeside([this] { sleepFor(ioContext_, Millis(1)); });
    }
    SUBCASE("timers of fibers")
    {
        runBeside([] { boost::this_fiber::sleep_for(Millis(1)); });
    }
    CHECK(handlers_ < maxHandlers);
}
