#pragma once

#include "include/base/Clock.h"
#include "include/base/TokenBucket.h"

#include <cstdint>
#include <deque>
#include <string>
#include <utility>
#include <vector>

namespace waxwing {

enum class Severity {
    Info,
    Warning,
    Error,
};

using EventField = std::pair<std::string, std::string>;

/** One event: a stable name and its key=value fields. */
struct Event {
    WallTime at;
    std::string name;
    std::vector<EventField> fields;

    /** Returns the event as one line of key=value pairs; empty values and those with spaces or quotes are quoted. */
    std::string line() const;
};

/** Rate limit of events about single requests. */
struct RequestLogTuning {
    /** Sustained lines per second; a request takes about four. */
    double linesPerSecond = 400.0;
    /** Lines allowed in a burst. */
    double burst = 4000.0;
};

/**
 * Writes each event as one key=value line through log4cxx and keeps the newest events in memory, so that "explain" can
 * show why a decision was made. Events that report a change in the node's view of the fleet are always written. Events
 * about single requests are rate limited, and the number of dropped ones is logged. Not thread safe: belongs to the
 * node's thread.
 */
class EventLog
{
public:
    static constexpr std::size_t defaultCapacity = 4096;

    /** @pre @p clock outlives the log. */
    explicit EventLog(const Clock &clock, std::size_t capacity = defaultCapacity, RequestLogTuning tuning = {});
    /** Writes an event; at capacity the oldest one is removed from memory. */
    void write(Severity severity, std::string name, std::vector<EventField> fields);
    /** Writes an event about one request, if the rate limit allows it. Half of the burst is reserved for failures. */
    void writeRequest(Severity severity, std::string name, std::vector<EventField> fields);
    /**
     * Writes the buffered lines that standard output accepts without blocking, and logs how many lines were dropped.
     * Call about five times a second.
     */
    void flush();
    /** Returns the events in which a field's value equals @p subject, oldest first. */
    std::vector<Event> matching(const std::string &subject) const;
    /** Returns the newest @p count events, oldest first. */
    std::vector<Event> newest(std::size_t count) const;

private:
    const Clock &clock_;
    std::size_t capacity_;
    std::deque<Event> events_;
    TokenBucket requestLines_;
    double failureReserve_;
    std::uint64_t droppedRequestLines_ = 0;
    std::uint64_t reportedDroppedLines_ = 0;
};

/** Sends log lines to standard output through a LineWriter. Call once, before the first event. */
void setUpLogging();
/**
 * Writes the buffered log lines that standard output accepts without blocking. Called at the end of the process, which
 * loses the rest.
 */
void flushLogging();

} // namespace waxwing
