#include "include/base/EventLog.h"
#include "include/base/LineWriter.h"
#include "tests/support/ManualClock.h"

#include <doctest/doctest.h>

#include <fcntl.h>
#include <unistd.h>

using namespace waxwing;

TEST_CASE("line writer, reader that stopped reading, never blocks and counts dropped lines")
{
    // Guards against a reader of a node's output that stops reading, such as an open pager: the pipe fills up, and a
    // blocking write would stop the node's only thread, and with it every request on that VM.
    int ends[2] = {0, 0};
    REQUIRE(pipe(ends) == 0);
    constexpr std::size_t capacity = 10000;
    LineWriter lines(nonBlockingSink(ends[1]), capacity);
    const std::string line(99, 'x');
    for (int i = 0; i < 5000; ++i) {
        lines.add(line);
        lines.flush();
    }
    CHECK(lines.droppedLines() > 0);
    CHECK(lines.pending() <= capacity);
    std::string scratch(1 << 20, '\0');
    REQUIRE(read(ends[0], scratch.data(), scratch.size()) > 0);
    lines.flush();
    CHECK(lines.add(line));
    close(ends[0]);
    close(ends[1]);
}

TEST_CASE("event log, more request events than the rate limit, keeps failures and reports the number of dropped lines")
{
    testing::ManualClock clock;
    RequestLogTuning tuning;
    tuning.linesPerSecond = 10.0;
    tuning.burst = 20.0;
    EventLog log(clock, 1000, tuning);
    for (int i = 0; i < 50; ++i) {
        log.writeRequest(Severity::Info, "answered", {{"request", std::to_string(i)}});
    }
    const std::size_t good = log.newest(1000).size();
    CHECK(good < 20);
    for (int i = 0; i < 5; ++i) {
        log.writeRequest(Severity::Warning, "refused", {{"request", "f"}});
    }
    CHECK(log.matching("f").size() == 5);
    log.write(Severity::Info, "config_in_force", {{"version", "r12"}});
    CHECK(log.matching("r12").size() == 1);
    log.flush();
    CHECK(log.newest(1).front().name == "log_lines_left_out");
}
