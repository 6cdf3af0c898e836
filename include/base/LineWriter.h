#pragma once

#include "include/base/Clock.h"

#include <cstdint>
#include <functional>
#include <string>

namespace waxwing {

/**
 * Lines on their way to a file descriptor whose reader may be slow or stuck. A reader of standard output that stops
 * reading would block a plain write, and with it every request; here lines wait in a bounded buffer, and what does not
 * fit is counted and left out. Not thread safe.
 */
class LineWriter
{
public:
    /** Writes at most this many bytes without blocking: returns how many were taken, 0 if none can be. */
    using Sink = std::function<std::size_t(const char *data, std::size_t size)>;

    /** Holds a second of the fastest logging in use; a reader that stalls for longer loses lines. */
    static constexpr std::size_t defaultCapacity = 256UL * 1024;

    explicit LineWriter(Sink sink, std::size_t capacity = defaultCapacity);
    /** Adds @p line and a newline; false if it was left out for want of room. */
    bool add(const std::string &line);
    /** Hands over as much as the sink takes. */
    void flush();
    /** Lines left out since the start. */
    std::uint64_t droppedLines() const;
    std::size_t pending() const;

private:
    Sink sink_;
    std::size_t capacity_;
    std::string buffer_;
    std::uint64_t droppedLines_ = 0;
};

/** A sink for @p descriptor that never blocks: asks first, and writes no more than a pipe takes whole. Thread safe. */
LineWriter::Sink nonBlockingSink(int descriptor);

} // namespace waxwing
