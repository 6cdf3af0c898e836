#pragma once

#include "include/base/Clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace waxwing {

struct ServerMemoryTuning {
    /** If the process ends with fewer bytes of requests in progress, their size is not taken for the cause. */
    std::uint64_t minBytes = 64UL * 1024;
    /** The learned bound doubles in this time, and is dropped after @c doublings of it. */
    Millis doubleAfter = std::chrono::minutes(5);
    int doublings = 4;
    /** For this long, requests that fit may start before an earlier one that does not. */
    Millis overtakeFor{250};
};

enum class MemoryDecision {
    Start,
    /** The request waits until ServerMemory::Ready names it. */
    Wait,
    /** The request is larger than the server's memory as far as it is known. */
    Refuse,
};

/**
 * Bounds the bytes of requests in progress at one server, beside its slots. The bound is learned from what was in
 * progress when the server's process ended, unless the server has completed requests with as many bytes in progress
 * before. Without a bound every request starts. Waiting requests start in the order of their arrival; others may
 * overtake one that does not fit for a limited time, so that neither large nor small requests starve. Opens no socket
 * and takes the time as a parameter. Not thread safe.
 */
class ServerMemory
{
public:
    /** Requests that wait no longer. */
    struct Ready {
        std::vector<std::uint64_t> start;
        std::vector<std::uint64_t> refuse;
    };

    explicit ServerMemory(ServerMemoryTuning tuning = {});

    /** Adds a request of @p bytes. @pre @p id is unique; @p now never decreases, here and below. */
    MemoryDecision submit(std::uint64_t id, std::uint64_t bytes, SteadyTime now);
    /** Records that the server completed a request with all that is in progress now. */
    void noteCompleted(SteadyTime now);
    /** Removes a request, whether it waits or has started. Returns the requests that wait no longer. */
    Ready release(std::uint64_t id, SteadyTime now);
    /** Records that a connection to the server was reset, which may be the first sign that its process ended. */
    void noteReset(SteadyTime now);
    /**
     * Records that the process @p incarnation ended. Returns the bound if one was learned from it. Further calls for
     * the same incarnation have no effect.
     */
    std::optional<std::uint64_t> noteCrash(const std::string &incarnation, SteadyTime now);
    /** Returns the bound; nullopt if none is known. */
    std::optional<std::uint64_t> bound(SteadyTime now) const;
    std::uint64_t bytesInProgress() const;
    std::size_t waitingCount() const;

private:
    struct Waiting {
        std::uint64_t id = 0;
        std::uint64_t bytes = 0;
        SteadyTime since;
    };

    bool fits(std::uint64_t bytes, SteadyTime now) const;
    bool mayOvertake(SteadyTime now) const;
    void start(std::uint64_t id, std::uint64_t bytes);
    Ready poll(SteadyTime now);

    ServerMemoryTuning tuning_;
    std::map<std::uint64_t, std::uint64_t> running_;
    std::uint64_t inProgress_ = 0;
    std::deque<Waiting> waiting_;
    std::uint64_t learned_ = 0;
    SteadyTime learnedAt_;
    /** Highest number of bytes in progress with which the server has completed a request, and when. */
    std::uint64_t survived_ = 0;
    SteadyTime survivedAt_;
    std::uint64_t bytesAtReset_ = 0;
    SteadyTime resetAt_;
    std::string lastCrashed_;
};

} // namespace waxwing
