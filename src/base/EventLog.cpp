#include "include/base/EventLog.h"

#include <algorithm>
#include <cstdio>

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

namespace waxwing {

namespace {

log4cxx::LoggerPtr logger()
{
    static const log4cxx::LoggerPtr instance = log4cxx::Logger::getLogger("waxwing");
    return instance;
}

std::string quoted(const std::string &value)
{
    if (!value.empty() && value.find_first_of(" \"=\n\r\t") == std::string::npos) {
        return value;
    }
    std::string out = "\"";
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            out += '\\';
        }
        out += (c == '\n' || c == '\r') ? ' ' : c;
    }
    return out + "\"";
}

} // namespace

std::string Event::line() const
{
    const auto ms = std::chrono::duration_cast<Millis>(at.time_since_epoch()).count();
    std::string out = "t=" + std::to_string(ms) + " event=" + name;
    for (const EventField &field : fields) {
        out += " " + field.first + "=" + quoted(field.second);
    }
    return out;
}

EventLog::EventLog(const Clock &clock, std::size_t capacity)
    : clock_(clock)
    , capacity_(capacity)
{ }

void EventLog::write(Severity severity, std::string name, std::vector<EventField> fields)
{
    events_.push_back(Event{clock_.wallNow(), std::move(name), std::move(fields)});
    if (events_.size() > capacity_) {
        events_.pop_front();
    }
    const std::string line = events_.back().line();
    switch (severity) {
    case Severity::Info:
        LOG4CXX_INFO(logger(), line);
        break;
    case Severity::Warning:
        LOG4CXX_WARN(logger(), line);
        break;
    case Severity::Error:
        LOG4CXX_ERROR(logger(), line);
        break;
    }
}

std::vector<Event> EventLog::about(const std::string &subject) const
{
    std::vector<Event> found;
    for (const Event &event : events_) {
        const bool matches = std::any_of(event.fields.begin(), event.fields.end(),
                                         [&](const EventField &field) { return field.second == subject; });
        if (matches) {
            found.push_back(event);
        }
    }
    return found;
}

std::vector<Event> EventLog::newest(std::size_t count) const
{
    const std::size_t skip = events_.size() > count ? events_.size() - count : 0;
    return {events_.begin() + static_cast<std::ptrdiff_t>(skip), events_.end()};
}

void setUpLogging()
{
    const log4cxx::LayoutPtr layout(new log4cxx::PatternLayout("level=%p %m%n"));
    const log4cxx::AppenderPtr appender(new log4cxx::ConsoleAppender(layout, "System.err"));
    log4cxx::BasicConfigurator::configure(appender);
}

} // namespace waxwing
