#pragma once

#include "include/base/Clock.h"
#include "include/wire/Messages.h"
#include "src/node/RunControl.h"

#include <cstdint>
#include <deque>
#include <map>
#include <utility>

namespace waxwing {

/** Identifies a Work in the fleet: the node that sent it and that node's id for it. */
struct WorkKey {
    NodeRef origin;
    std::uint64_t id = 0;

    bool operator<(const WorkKey &other) const;
};

/**
 * The Works of one home and how far each has come. Keeps the reply of an ended Work for senders that have not received
 * it, and remembers which Works must never start. Not thread safe.
 */
class WorkTable
{
public:
    /** @pre @p clock outlives the table. */
    explicit WorkTable(const Clock &clock);

    /** Returns true if the Work is queued, running, ended or must never start. */
    bool contains(const WorkKey &key) const;
    /** Adds a Work that waits for a slot. @pre not contains(key). */
    void addQueued(const WorkKey &key, const RunControlPtr &control);
    /** Records that the Work was sent to the server. @pre addQueued() was called. */
    void noteRunning(const WorkKey &key);
    /** Stores the reply of the Work, unless its start was prevented meanwhile. */
    void finish(const WorkKey &key, const WorkReply &reply);
    /** Cancels the Work if it is still queued; does nothing if it has started. */
    void cancelQueued(const WorkKey &key);
    /** Cancels the Work. One that arrives only after this never starts. */
    void cancel(const WorkKey &key);
    /**
     * Returns the state of a Work that was sent @p workAge before the query. Unless @p queryOnly, a Work that has not
     * started never starts after this. Returns NotKnown for a Work that is not recorded here if @p queryOnly is set or
     * its result may have been evicted.
     */
    FenceReply fence(const WorkKey &key, bool queryOnly, Duration workAge);
    /** Returns true if the Work is queued or running. */
    bool isInProgress(const WorkKey &key) const;
    /** Drops the results that no sender asks for any more. */
    void evictOld();

private:
    enum class Phase {
        Fenced,
        Queued,
        Running,
        Ended,
    };
    struct Entry {
        Phase phase = Phase::Queued;
        RunControlPtr control;
        WorkReply reply;
    };

    void addFenced(const WorkKey &key);
    /** Drops the oldest large responses beyond the limit. Their Works stay ended, with the outcome Unknown. */
    void evictLargeResponses();
    void evict(const WorkKey &key);

    const Clock &clock_;
    std::map<WorkKey, Entry> entries_;
    /** Works that ended or were fenced, and when, oldest first. */
    std::deque<std::pair<SteadyTime, WorkKey>> ended_;
    /** The latest end time of the evicted results. */
    SteadyTime evictedUntil_;
    /** Ended works with large responses, oldest first, and the total bytes of these responses. */
    std::deque<WorkKey> largeResponses_;
    std::size_t largeBytes_ = 0;
};

} // namespace waxwing
