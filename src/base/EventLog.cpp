#include "include/base/EventLog.h"

#include <algorithm>
#include <cstdio>

#include "include/base/LineWriter.h"

#include <log4cxx/appenderskeleton.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/helpers/transcoder.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <unistd.h>

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

/** Returns the process's LineWriter for standard output. */
LineWriter &standardOutput()
{
    static LineWriter writer(nonBlockingSink(STDOUT_FILENO));
    return writer;
}

/** Buffered bytes that trigger a flush, so that a burst does not fill the pipe's buffer between two flushes. */
constexpr std::size_t flushThreshold = 16UL * 1024;

// The log4cxx macros use this namespace without the log4cxx prefix.
namespace helpers = log4cxx::helpers;

/** Passes log4cxx's lines to a LineWriter: log4cxx's own appenders block while the output is not read. */
class PipeAppender final : public log4cxx::AppenderSkeleton
{
public:
    DECLARE_LOG4CXX_OBJECT(PipeAppender)
    BEGIN_LOG4CXX_CAST_MAP()
    LOG4CXX_CAST_ENTRY(PipeAppender)
    LOG4CXX_CAST_ENTRY_CHAIN(log4cxx::AppenderSkeleton)
    END_LOG4CXX_CAST_MAP()

    PipeAppender() = default;
    void close() override
    { }
    bool requiresLayout() const override
    {
        return true;
    }

protected:
    void append(const log4cxx::spi::LoggingEventPtr &event, log4cxx::helpers::Pool &pool) override
    {
        log4cxx::LogString text;
        getLayout()->format(text, event, pool);
        std::string line;
        log4cxx::helpers::Transcoder::encode(text, line);
        standardOutput().add(line);
        if (standardOutput().pending() >= flushThreshold) {
            standardOutput().flush();
        }
    }
};

// Replaces IMPLEMENT_LOG4CXX_OBJECT, which can't be used inside a namespace.
const helpers::Class &PipeAppender::getClass() const
{
    return getStaticClass();
}

const helpers::Class &PipeAppender::getStaticClass()
{
    static const ClazzPipeAppender instance;
    return instance;
}

} // namespace

std::string Event::line() const
{
    const auto ms = millisOf(at.time_since_epoch()).count();
    std::string out = "t=" + std::to_string(ms) + " event=" + name;
    for (const EventField &field : fields) {
        out += " " + field.first + "=" + quoted(field.second);
    }
    return out;
}

EventLog::EventLog(const Clock &clock, std::size_t capacity, RequestLogTuning tuning)
    : clock_(clock)
    , capacity_(capacity)
    , requestLines_(tuning.linesPerSecond, tuning.burst, clock.now())
    , failureReserve_(tuning.burst / 2.0)
{ }

void EventLog::writeRequest(Severity severity, std::string name, std::vector<EventField> fields)
{
    const SteadyTime now = clock_.now();
    // The lower half of the burst is reserved for failures, the events that operators most likely search for.
    const double needed = severity == Severity::Info ? failureReserve_ : 1.0;
    if (!requestLines_.tryTakeAbove(1.0, needed, now)) {
        ++droppedRequestLines_;
        return;
    }
    write(severity, std::move(name), std::move(fields));
}

void EventLog::flush()
{
    if (droppedRequestLines_ > 0) {
        const std::string count = std::to_string(droppedRequestLines_);
        droppedRequestLines_ = 0;
        write(Severity::Warning, "log_lines_left_out", {{"count", count}, {"reason", "bound-on-request-lines"}});
    }
    const std::uint64_t lost = standardOutput().droppedLines();
    if (lost > reportedDroppedLines_ && standardOutput().pending() == 0) {
        const std::string count = std::to_string(lost - reportedDroppedLines_);
        reportedDroppedLines_ = lost;
        write(Severity::Warning, "log_lines_left_out", {{"count", count}, {"reason", "output-not-read"}});
    }
    standardOutput().flush();
}

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

std::vector<Event> EventLog::matching(const std::string &subject) const
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
    const log4cxx::LayoutPtr layout(new log4cxx::PatternLayout(LOG4CXX_STR("level=%p %m")));
    const log4cxx::AppenderPtr appender(new PipeAppender());
    appender->setLayout(layout);
    log4cxx::BasicConfigurator::configure(appender);
}

void flushLogging()
{
    standardOutput().flush();
}

} // namespace waxwing
