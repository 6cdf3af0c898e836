#pragma once

#include "include/base/Clock.h"

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

/**
 * Writes each event as one key=value line through log4cxx and keeps the newest ones in memory, so that
 * "explain" can answer why a decision was taken. Not thread safe: belongs to the node's thread.
 */
class EventLog
{
public:
    static constexpr std::size_t defaultCapacity = 4096;

    /** @pre @p clock outlives the log. */
    explicit EventLog(const Clock &clock, std::size_t capacity = defaultCapacity);
    /** Records an event; the oldest is dropped at capacity. */
    void write(Severity severity, std::string name, std::vector<EventField> fields);
    /** Events in which some field's value equals @p subject, oldest first. */
    std::vector<Event> about(const std::string &subject) const;
    /** The newest @p count events, oldest first. */
    std::vector<Event> newest(std::size_t count) const;

private:
    const Clock &clock_;
    std::size_t capacity_;
    std::deque<Event> events_;
};

/** Sends log lines to standard error. Call once, before the first event. */
void setUpLogging();

} // namespace waxwing
