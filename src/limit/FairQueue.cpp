#include "include/limit/FairQueue.h"

#include <algorithm>

namespace waxwing {

FairQueue::FairQueue(std::size_t perClass)
    : perClass_(perClass)
{ }

bool FairQueue::push(QueuedRequest request)
{
    ClassQueue &queue = classes_[request.className];
    if (queue.size >= perClass_) {
        return false;
    }
    const auto customer = std::find_if(queue.turns.begin(), queue.turns.end(),
                                       [&](const Customer &one) { return one.name == request.customer; });
    ++queue.size;
    ++size_;
    if (customer != queue.turns.end()) {
        customer->waiting.push_back(std::move(request));
        return true;
    }
    Customer added{request.customer, {}};
    added.waiting.push_back(std::move(request));
    queue.turns.push_back(std::move(added));
    return true;
}

bool FairQueue::popFrom(ClassQueue &queue, const std::function<bool(const QueuedRequest &)> &mayStart,
                        QueuedRequest &out)
{
    for (std::size_t i = 0; i < queue.turns.size(); ++i) {
        if (!mayStart(queue.turns[i].waiting.front())) {
            continue;
        }
        Customer customer = std::move(queue.turns[i]);
        queue.turns.erase(queue.turns.begin() + static_cast<std::ptrdiff_t>(i));
        out = std::move(customer.waiting.front());
        customer.waiting.pop_front();
        if (!customer.waiting.empty()) {
            queue.turns.push_back(std::move(customer));
        }
        --queue.size;
        --size_;
        return true;
    }
    return false;
}

bool FairQueue::pop(const std::function<bool(const QueuedRequest &)> &mayStart, QueuedRequest &out)
{
    if (size_ == 0) {
        return false;
    }
    auto turn = classes_.upper_bound(lastServed_);
    for (std::size_t tried = 0; tried < classes_.size(); ++tried) {
        if (turn == classes_.end()) {
            turn = classes_.begin();
        }
        if (turn->second.size > 0 && popFrom(turn->second, mayStart, out)) {
            lastServed_ = turn->first;
            return true;
        }
        ++turn;
    }
    return false;
}

std::vector<QueuedRequest> FairQueue::takeIf(const std::function<bool(const QueuedRequest &)> &wanted)
{
    std::vector<QueuedRequest> taken;
    for (auto &[name, queue] : classes_) {
        for (Customer &customer : queue.turns) {
            auto &waiting = customer.waiting;
            const auto kept = std::stable_partition(waiting.begin(), waiting.end(),
                                                    [&](const QueuedRequest &one) { return !wanted(one); });
            std::move(kept, waiting.end(), std::back_inserter(taken));
            const auto count = static_cast<std::size_t>(waiting.end() - kept);
            waiting.erase(kept, waiting.end());
            queue.size -= count;
            size_ -= count;
        }
        queue.turns.erase(std::remove_if(queue.turns.begin(), queue.turns.end(),
                                         [](const Customer &one) { return one.waiting.empty(); }),
                          queue.turns.end());
    }
    return taken;
}

bool FairQueue::remove(std::uint64_t id)
{
    return !takeIf([id](const QueuedRequest &one) { return one.id == id; }).empty();
}

std::vector<QueuedRequest> FairQueue::takeExpired(SteadyTime now)
{
    if (size_ == 0) {
        return {};
    }
    return takeIf([now](const QueuedRequest &one) { return one.deadline <= now; });
}

std::size_t FairQueue::size() const
{
    return size_;
}

std::size_t FairQueue::sizeOf(const std::string &className) const
{
    const auto found = classes_.find(className);
    return found == classes_.end() ? 0 : found->second.size;
}

} // namespace waxwing
