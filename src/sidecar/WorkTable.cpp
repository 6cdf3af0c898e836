#include "src/sidecar/WorkTable.h"

#include <algorithm>
#include <tuple>

namespace waxwing {

namespace {

/** How long the result of a Work is kept. A sender queries it within its deadline, and most deadlines are shorter. */
constexpr Millis resultRetention = std::chrono::seconds(12);
constexpr std::size_t maxRetainedResults = 2000;
/** Longest transit time of a Fence. Its sender stops waiting sooner and ignores a later reply. */
constexpr Millis maxFenceTransit{1500};
/** A response with a larger body counts against the limit below. */
constexpr std::size_t largeResponseBytes = 16UL * 1024;
/** Total size limit for large responses kept for senders' queries: three seconds of traffic on a 13 Mbit/s link. */
constexpr std::size_t maxLargeResponseBytes = 5UL * 1024 * 1024;

} // namespace

bool WorkKey::operator<(const WorkKey &other) const
{
    return std::tie(origin, id) < std::tie(other.origin, other.id);
}

WorkTable::WorkTable(const Clock &clock)
    : clock_(clock)
{ }

bool WorkTable::contains(const WorkKey &key) const
{
    return entries_.count(key) != 0;
}

void WorkTable::addQueued(const WorkKey &key, const RunControlPtr &control)
{
    entries_[key].control = control;
}

void WorkTable::noteRunning(const WorkKey &key)
{
    entries_[key].phase = Phase::Running;
}

void WorkTable::addFenced(const WorkKey &key)
{
    entries_[key].phase = Phase::Fenced;
    ended_.emplace_back(clock_.now(), key);
}

void WorkTable::evictOld()
{
    const SteadyTime now = clock_.now();
    while (!ended_.empty() && (now - ended_.front().first >= resultRetention || ended_.size() > maxRetainedResults)) {
        evictedUntil_ = std::max(evictedUntil_, ended_.front().first);
        evict(ended_.front().second);
        ended_.pop_front();
    }
}

void WorkTable::finish(const WorkKey &key, const WorkReply &reply)
{
    ended_.emplace_back(clock_.now(), key);
    Entry &entry = entries_[key];
    if (entry.phase == Phase::Fenced) {
        return;
    }
    entry.phase = Phase::Ended;
    entry.control.reset();
    entry.reply = reply;
    if (reply.response.body.size() > largeResponseBytes) {
        largeResponses_.push_back(key);
        largeBytes_ += reply.response.body.size();
        evictLargeResponses();
    }
}

void WorkTable::evictLargeResponses()
{
    while (largeBytes_ > maxLargeResponseBytes) {
        const auto oldest = entries_.find(largeResponses_.front());
        largeResponses_.pop_front();
        if (oldest == entries_.end()) {
            continue;
        }
        WorkReply &reply = oldest->second.reply;
        largeBytes_ -= reply.response.body.size();
        reply.response = HttpResponse();
        reply.outcome = Outcome::Unknown;
        reply.reason = "answer-dropped";
    }
}

void WorkTable::evict(const WorkKey &key)
{
    const auto found = entries_.find(key);
    if (found == entries_.end()) {
        return;
    }
    if (found->second.reply.response.body.size() > largeResponseBytes) {
        largeBytes_ -= found->second.reply.response.body.size();
    }
    entries_.erase(found);
}

void WorkTable::cancelQueued(const WorkKey &key)
{
    const auto found = entries_.find(key);
    if (found != entries_.end() && found->second.phase == Phase::Queued) {
        found->second.control->cancelQueued();
    }
}

void WorkTable::cancel(const WorkKey &key)
{
    const auto found = entries_.find(key);
    if (found == entries_.end()) {
        // A Cancel can overtake its Work if the Work has a large body.
        addFenced(key);
    } else if (found->second.control) {
        found->second.control->cancel();
    }
}

FenceReply WorkTable::fence(const WorkKey &key, bool queryOnly, Duration workAge)
{
    FenceReply reply;
    const auto found = entries_.find(key);
    if (found == entries_.end()) {
        // If the Work was sent before the latest evicted one ended, it may have run and been evicted as well.
        const SteadyTime sentAt = clock_.now() - workAge - maxFenceTransit;
        if (!queryOnly && sentAt > evictedUntil_) {
            addFenced(key);
            reply.state = FenceState::NeverRuns;
        }
        return reply;
    }
    Entry &entry = found->second;
    switch (entry.phase) {
    case Phase::Fenced:
        reply.state = FenceState::NeverRuns;
        break;
    case Phase::Queued:
        if (queryOnly) {
            reply.state = FenceState::Underway;
            break;
        }
        entry.phase = Phase::Fenced;
        entry.control->cancel();
        reply.state = FenceState::NeverRuns;
        break;
    case Phase::Running:
        reply.state = FenceState::Underway;
        break;
    case Phase::Ended:
        reply.state = FenceState::Ended;
        reply.reply = entry.reply;
        break;
    }
    return reply;
}

bool WorkTable::isInProgress(const WorkKey &key) const
{
    const auto found = entries_.find(key);
    return found != entries_.end() && (found->second.phase == Phase::Queued || found->second.phase == Phase::Running);
}

} // namespace waxwing
