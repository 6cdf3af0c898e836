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
 * Bounded queue of one service, served round robin over classes, and within a class over customers, so that neither a
 * busy customer nor a slow class makes the others wait behind all of its requests. Not thread safe.
 */
class FairQueue
{
public:
    /** @pre @p perClass >= 1: largest number of waiting requests of one class. */
    explicit FairQueue(std::size_t perClass);

    /** Appends a request. Returns false if the queue of its class is full. */
    bool push(QueuedRequest request);
    /** Removes the next request that @p mayStart allows and stores it in @p out. Returns false if there is none. */
    bool pop(const std::function<bool(const QueuedRequest &)> &mayStart, QueuedRequest &out);
    /** Removes a cancelled request. Returns false if it is not waiting. */
    bool remove(std::uint64_t id);
    /** Removes and returns the requests whose deadline is at or before @p now. */
    std::vector<QueuedRequest> takeExpired(SteadyTime now);
    std::size_t size() const;
    std::size_t sizeOf(const std::string &className) const;

private:
    struct Customer {
        std::string name;
        std::deque<QueuedRequest> waiting;
    };
    /** Requests of one class. @c turns: the customers with waiting requests in round-robin order. */
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
