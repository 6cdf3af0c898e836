#pragma once

#include "src/http/HttpClient.h"

#include <boost/asio/io_context.hpp>
#include <boost/process.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace waxwing::testing {

/** Installs the fiber scheduler of the test thread. Call once. */
void setUpLoop();
void pause(Millis length);
/** Polls until @p done returns true or @p within has passed. Returns false if the time ran out. */
bool eventually(const std::function<bool()> &done, Millis within = std::chrono::seconds(10));
/** Runs each task in a fiber of its own and returns when all have finished. */
void runConcurrently(const std::vector<std::function<void()>> &tasks);

/** Returns the event loop of the test thread. @pre setUpLoop() was called. */
boost::asio::io_context &loopContext();
/** Returns the HTTP client of the test thread. @pre setUpLoop() was called. */
HttpClient &loopClient();
/** Returns a loopback address on which nothing listens. */
Endpoint freeEndpoint();

/** A child process of a test; killed when it goes out of scope. */
class Process
{
public:
    /** Starts @p program, an absolute path or one relative to the build directory, with its output in @p log. */
    Process(const std::string &program, const std::vector<std::string> &arguments, const std::string &log);
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;
    void signal(int number);
    void kill();
    /** Waits for the process to exit. Returns its exit code, or -1 if it was still running after @p within. */
    int waitForExit(Millis within = std::chrono::seconds(25));
    bool running();
    /** Returns a memory figure of the process in kilobytes by its name in /proc, such as "VmHWM"; 0 if it has ended. */
    std::size_t memoryKilobytes(const std::string &name) const;
    /** Waits until the process has printed "name=number" and returns the number. */
    std::uint16_t waitForPrintedNumber(const std::string &name);
    std::string output() const;

private:
    std::string log_;
    boost::process::child child_;
};

/** Returns @p program of the build that WAXWING_OTHER_BUILD names, or of this build if it is not set. */
std::string otherProgram(const std::string &program);

/**
 * Returns the program of a node: from this build, or from the build directory that WAXWING_OTHER_BUILD names. If that
 * variable is set, every second node runs the other build. With @p upgrade, the first process of each node runs the
 * other build, and its later processes run this build.
 */
std::string nodeProgram(int node, bool upgrade, int earlierStarts);

/** Capacity that tests reserve for the tasks passed to runConcurrently(). */
constexpr std::size_t maxTasks = 128;

} // namespace waxwing::testing
