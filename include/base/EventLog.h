#pragma once

#include "include/base/Clock.h"
#include "include/limit/TokenBucket.h"

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

    /** The event as one line of key=value pairs; values with blanks are quoted. */
    std::string line() const;
};

/** How much is logged about single requests. */
struct RequestLogTuning {
    /** Lines a second that are kept up; a request takes about four. */
    double linesPerSecond = 400.0;
    /** Lines that may come at once after quiet. */
    double burst = 4000.0;
};

/**
 * Writes each event as one key=value line through log4cxx and keeps the newest ones in memory, so that
 * "explain" can answer why a decision was taken. Events that change what the node believes are always written; those
 * about single requests are bounded, and how many were left out is written each time some were. Not thread safe:
 * belongs to the node's thread.
 */
class EventLog
{
public:
    static constexpr std::size_t defaultCapacity = 4096;

    /** @pre @p clock outlives the log. */
    explicit EventLog(const Clock &clock, std::size_t capacity = defaultCapacity, RequestLogTuning tuning = {});
    /** Records an event; the oldest is dropped at capacity. */
    void write(Severity severity, std::string name, std::vector<EventField> fields);
    /** Records a decision about one request, if the bound allows it. Failures go before the rest: half of the bound. */
    void writeRequest(Severity severity, std::string name, std::vector<EventField> fields);
    /** Hands buffered lines over and says how many were left out. Call about five times a second. */
    void flush();
    /** Events in which some field's value equals @p subject, oldest first. */
    std::vector<Event> matching(const std::string &subject) const;
    /** The newest @p count events, oldest first. */
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
/** Hands over what the log still holds, for the end of the process. */
void flushLogging();

} // namespace waxwing
