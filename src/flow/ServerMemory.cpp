#include "include/flow/ServerMemory.h"

#include <algorithm>
#include <cmath>

namespace waxwing {

namespace {

/** A process that ends resets all its connections within this time. */
constexpr Millis resetSpan{1000};
/** That the process has ended is known within this time from its first reset connection. */
constexpr Millis crashDetection{3000};
/** The bound after a crash, as a fraction of the bytes in progress: some of them were sent after the crash. */
constexpr std::uint64_t crashDivisor = 2;

} // namespace

ServerMemory::ServerMemory(ServerMemoryTuning tuning)
    : tuning_(tuning)
{ }

std::optional<std::uint64_t> ServerMemory::bound(SteadyTime now) const
{
    if (learned_ == 0) {
        return std::nullopt;
    }
    const double doublings = secondsOf(now - learnedAt_) / secondsOf(tuning_.doubleAfter);
    if (doublings >= tuning_.doublings) {
        return std::nullopt;
    }
    return static_cast<std::uint64_t>(std::llround(static_cast<double>(learned_) * std::exp2(doublings)));
}

bool ServerMemory::fits(std::uint64_t bytes, SteadyTime now) const
{
    const std::optional<std::uint64_t> limit = bound(now);
    return !limit || inProgress_ + bytes <= *limit;
}

bool ServerMemory::mayOvertake(SteadyTime now) const
{
    return waiting_.empty() || now - waiting_.front().since < tuning_.overtakeFor;
}

void ServerMemory::start(std::uint64_t id, std::uint64_t bytes)
{
    running_[id] = bytes;
    inProgress_ += bytes;
}

MemoryDecision ServerMemory::submit(std::uint64_t id, std::uint64_t bytes, SteadyTime now)
{
    const std::optional<std::uint64_t> limit = bound(now);
    if (limit && bytes > *limit) {
        return MemoryDecision::Refuse;
    }
    if (fits(bytes, now) && mayOvertake(now)) {
        start(id, bytes);
        return MemoryDecision::Start;
    }
    waiting_.push_back(Waiting{id, bytes, now});
    return MemoryDecision::Wait;
}

ServerMemory::Ready ServerMemory::poll(SteadyTime now)
{
    Ready ready;
    const std::optional<std::uint64_t> limit = bound(now);
    for (auto one = waiting_.begin(); one != waiting_.end();) {
        if (limit && one->bytes > *limit) {
            ready.refuse.push_back(one->id);
            one = waiting_.erase(one);
        } else if (fits(one->bytes, now)) {
            start(one->id, one->bytes);
            ready.start.push_back(one->id);
            one = waiting_.erase(one);
        } else if (mayOvertake(now)) {
            ++one;
        } else {
            break;
        }
    }
    return ready;
}

ServerMemory::Ready ServerMemory::release(std::uint64_t id, SteadyTime now)
{
    const auto running = running_.find(id);
    if (running != running_.end()) {
        inProgress_ -= running->second;
        running_.erase(running);
    }
    waiting_.erase(
        std::remove_if(waiting_.begin(), waiting_.end(), [id](const Waiting &waiting) { return waiting.id == id; }),
        waiting_.end());
    return poll(now);
}

void ServerMemory::noteCompleted(SteadyTime now)
{
    const bool outdated = now - survivedAt_ >= tuning_.doubleAfter;
    if (inProgress_ >= survived_ || outdated) {
        survived_ = inProgress_;
        survivedAt_ = now;
    }
}

void ServerMemory::noteReset(SteadyTime now)
{
    const bool isNew = now - resetAt_ >= resetSpan;
    bytesAtReset_ = isNew ? inProgress_ : std::max(bytesAtReset_, inProgress_);
    resetAt_ = isNew ? now : resetAt_;
}

std::optional<std::uint64_t> ServerMemory::noteCrash(const std::string &incarnation, SteadyTime now)
{
    if (incarnation == lastCrashed_) {
        return std::nullopt;
    }
    lastCrashed_ = incarnation;
    const bool resetLately = now - resetAt_ < crashDetection;
    const std::uint64_t bytes = std::max(resetLately ? bytesAtReset_ : 0, inProgress_);
    const bool survivedLately = survived_ >= bytes && now - survivedAt_ < tuning_.doubleAfter;
    if (bytes < tuning_.minBytes || survivedLately) {
        return std::nullopt;
    }
    const std::uint64_t proven = now - survivedAt_ < tuning_.doubleAfter ? survived_ : 0;
    learned_ = std::max(proven, bytes / crashDivisor);
    learnedAt_ = now;
    return learned_;
}

std::uint64_t ServerMemory::bytesInProgress() const
{
    return inProgress_;
}

std::size_t ServerMemory::waitingCount() const
{
    return waiting_.size();
}

} // namespace waxwing
