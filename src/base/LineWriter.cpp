#include "include/base/LineWriter.h"

#include <algorithm>
#include <climits>
#include <poll.h>
#include <unistd.h>

namespace waxwing {

LineWriter::LineWriter(Sink sink, std::size_t capacity)
    : sink_(std::move(sink))
    , capacity_(capacity)
{ }

bool LineWriter::add(const std::string &line)
{
    if (buffer_.size() + line.size() + 1 > capacity_) {
        ++droppedLines_;
        return false;
    }
    buffer_ += line;
    buffer_ += '\n';
    return true;
}

void LineWriter::flush()
{
    std::size_t done = 0;
    while (done < buffer_.size()) {
        const std::size_t taken = sink_(buffer_.data() + done, buffer_.size() - done);
        if (taken == 0) {
            break;
        }
        done += taken;
    }
    buffer_.erase(0, done);
}

std::uint64_t LineWriter::droppedLines() const
{
    return droppedLines_;
}

std::size_t LineWriter::pending() const
{
    return buffer_.size();
}

LineWriter::Sink nonBlockingSink(int descriptor)
{
    return [descriptor](const char *data, std::size_t size) -> std::size_t {
        pollfd ready{descriptor, POLLOUT, 0};
        // A pipe that polls as writable accepts PIPE_BUF bytes at once. O_NONBLOCK would apply to the open file
        // description, and so to every process that shares it.
        if (poll(&ready, 1, 0) <= 0 || (ready.revents & POLLOUT) == 0) {
            return 0;
        }
        const ssize_t written = ::write(descriptor, data, std::min<std::size_t>(size, PIPE_BUF));
        return written > 0 ? static_cast<std::size_t>(written) : 0;
    };
}

} // namespace waxwing
