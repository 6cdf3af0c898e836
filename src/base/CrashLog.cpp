#include "src/base/CrashLog.h"

#include <boost/stacktrace/safe_dump_to.hpp>

#include <array>
#include <csignal>
#include <cstdint>
#include <cstring>
#include <exception>

#include <unistd.h>

/** Start address of the program in memory; set by the linker. */
extern "C" const char __executable_start; // NOLINT(bugprone-reserved-identifier)

namespace waxwing {

namespace {

/** The handler has its own stack, because the fault may be a stack overflow. */
constexpr std::size_t handlerStackBytes = 64UL * 1024;
constexpr std::size_t maxFrames = 48;
constexpr std::size_t maxLineBytes = 1200;

std::array<char, handlerStackBytes> handlerStack;

/** A line in a fixed-size buffer: a signal handler must not allocate. */
class FixedLine
{
public:
    void text(const char *value)
    {
        while (*value != '\0') {
            put(*value++);
        }
    }

    void number(std::uint64_t value, std::uint64_t base)
    {
        std::array<char, 20> digits{};
        std::size_t count = 0;
        do {
            digits.at(count++) = "0123456789abcdef"[value % base];
            value /= base;
        } while (value != 0);
        while (count > 0) {
            put(digits.at(--count));
        }
    }

    void write()
    {
        put('\n');
        const ssize_t ignored = ::write(STDOUT_FILENO, bytes_.data(), used_);
        static_cast<void>(ignored);
    }

private:
    void put(char c)
    {
        if (used_ < bytes_.size()) {
            bytes_[used_++] = c;
        }
    }

    std::array<char, maxLineBytes> bytes_{};
    std::size_t used_ = 0;
};

void writeCrash(const char *cause, int signal, std::uint64_t address)
{
    std::array<const void *, maxFrames> frames{};
    const std::size_t count = boost::stacktrace::safe_dump_to(frames.data(), frames.size() * sizeof(void *));
    const auto start = reinterpret_cast<std::uint64_t>(&__executable_start);
    FixedLine line;
    line.text("level=ERROR event=process_crashed cause=");
    line.text(cause);
    line.text(" signal=");
    line.number(static_cast<std::uint64_t>(signal), 10);
    line.text(" address=0x");
    line.number(address, 16);
    line.text(" stack=");
    for (std::size_t i = 0; i < count && frames.at(i) != nullptr; ++i) {
        line.text(i == 0 ? "0x" : ",0x");
        line.number(reinterpret_cast<std::uint64_t>(frames.at(i)) - start, 16);
    }
    line.write();
}

void onFault(int signal, siginfo_t *info, void * /*context*/)
{
    const auto address = info == nullptr ? 0 : reinterpret_cast<std::uint64_t>(info->si_addr);
    writeCrash(signal == SIGABRT ? "abort" : "fault", signal, signal == SIGABRT ? 0 : address);
    // SA_RESETHAND restored the default handler: the process ends with the same signal.
    raise(signal);
}

[[noreturn]] void onTerminate()
{
    writeCrash("exception", 0, 0);
    std::signal(SIGABRT, SIG_DFL);
    std::abort();
}

} // namespace

void installCrashLog()
{
    stack_t stack{};
    stack.ss_sp = handlerStack.data();
    stack.ss_size = handlerStack.size();
    sigaltstack(&stack, nullptr);
    struct sigaction action {
    };
    action.sa_sigaction = onFault;
    action.sa_flags = SA_SIGINFO | SA_ONSTACK | static_cast<int>(SA_RESETHAND);
    for (const int signal : {SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT}) {
        sigaction(signal, &action, nullptr);
    }
    std::set_terminate(onTerminate);
}

} // namespace waxwing
