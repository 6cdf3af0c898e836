#pragma once

#include "include/base/Clock.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace waxwing {

/** A request that waits for a slot. */
struct QueuedRequest {
    std::uint64_t id = 0;
    std::string className;
    std::string customer;
    SteadyTime deadline;
};

/**
 * The bounded queue of one service: classes take turns, and customers within a class take turns, so that neither
 * a busy customer nor a slow class makes the others wait behind all of its requests. Not thread safe.
 */
class FairQueue
{
public:
    /** @pre @p perClass >= 1: most requests of one class that may wait. */
    explicit FairQueue(std::size_t perClass);

    /** False if the class's share of the queue is full. */
    bool push(QueuedRequest request);
    /** The next request whose class @p mayStart allows; nothing if there is none. Returns whether @p out was set. */
    bool pop(const std::function<bool(const QueuedRequest &)> &mayStart, QueuedRequest &out);
    /** Takes out a request that was cancelled. False if it is not waiting. */
    bool remove(std::uint64_t id);
    /** Takes out and returns requests whose deadline is at or before @p now. */
    std::vector<QueuedRequest> takeExpired(SteadyTime now);
    std::size_t size() const;
    std::size_t sizeOf(const std::string &className) const;

private:
    struct Customer {
        std::string name;
        std::deque<QueuedRequest> waiting;
    };
    /** Customers in the order of their turns. */
    struct ClassQueue {
        std::deque<Customer> turns;
        std::size_t size = 0;
    };

    bool popFrom(ClassQueue &queue, const std::function<bool(const QueuedRequest &)> &mayStart, QueuedRequest &out);
    std::vector<QueuedRequest> takeIf(const std::function<bool(const QueuedRequest &)> &wanted);

    std::size_t perClass_;
    std::map<std::string, ClassQueue> classes_;
    std::string lastServed_;
    std::size_t size_ = 0;
};

} // namespace waxwing
