#pragma once

#include "include/base/Clock.h"

#include <cstdint>
#include <functional>
#include <string>

namespace waxwing {

/**
 * Buffers lines for a file descriptor whose reader may be slow or stuck. If the reader of standard output stops
 * reading, a plain write would block, and with it every request. Here lines wait in a bounded buffer, and lines that do
 * not fit are dropped and counted. Not thread safe.
 */
class LineWriter
{
public:
    /** Writes at most @p size bytes without blocking. Returns how many were written, 0 if none can be. */
    using Sink = std::function<std::size_t(const char *data, std::size_t size)>;

    /** Holds one second of the fastest logging in use; lines are dropped if the reader stalls for longer. */
    static constexpr std::size_t defaultCapacity = 256UL * 1024;

    explicit LineWriter(Sink sink, std::size_t capacity = defaultCapacity);
    /** Adds @p line and a newline. Returns false if they do not fit, and drops the line. */
    bool add(const std::string &line);
    /** Writes as much as the sink accepts. */
    void flush();
    /** Returns the number of lines dropped since the start. */
    std::uint64_t droppedLines() const;
    std::size_t pending() const;

private:
    Sink sink_;
    std::size_t capacity_;
    std::string buffer_;
    std::uint64_t droppedLines_ = 0;
};

/**
 * Returns a sink for @p descriptor that never blocks: it polls first, and writes no more than a pipe accepts at once.
 * Thread safe.
 */
LineWriter::Sink nonBlockingSink(int descriptor);

} // namespace waxwing
