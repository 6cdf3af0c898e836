#pragma once

#include "include/base/Clock.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace waxwing {

struct ByteBudgetTuning {
    /** Bytes of requests and responses that are buffered or expected; new requests beyond this are refused. */
    std::uint64_t nodeBytes = 24UL * 1024 * 1024;
    /** Requests of routes whose responses are at most this large have a part of @c nodeBytes for themselves. */
    std::uint64_t smallBytes = 16UL * 1024;
    double smallShare = 0.25;
    /**
     * Response size assumed for a route that had no response yet. With 32 KB, a node that had just started admitted so
     * many requests for 540 KB at once that it grew to 106 MB.
     */
    std::uint64_t unknownBytes = 320UL * 1024;
    /**
     * Responses may turn out larger than expected and are delivered nevertheless, up to this multiple of @c nodeBytes.
     * Beyond it the slowest reader's connection is closed.
     */
    double maxOverrun = 2.0;
    /** A response that is written for less time than this is not judged by its rate yet. */
    Millis minWriteTime{1000};
    Millis minRetryAfter{200};
    Millis maxRetryAfter = std::chrono::seconds(10);
    /** Routes whose response size is remembered; beyond it those without a request in progress are forgotten. */
    std::size_t maxRoutes = 4096;
};

/**
 * Bytes that a node buffers for its callers: decides which new requests are refused, and which response is given up if
 * the responses turn out larger than expected. A request reserves the size that its route's responses had, because the
 * size of its own response is known only when it is in memory. Routes with small and with large responses have separate
 * parts of the bound, so that slow readers of large responses don't cause refusals of small ones. Opens no socket and
 * takes the time as a parameter. Not thread safe.
 */
class ByteBudget
{
public:
    /** Identifies one request. */
    using Id = std::uint64_t;

    explicit ByteBudget(ByteBudgetTuning tuning = {});

    /** Reserves bytes for a request of @p route. Returns nullopt if the request must be refused. */
    std::optional<Id> reserve(const std::string &route, std::uint64_t requestBytes);
    /** Replaces the expected size of a response by its size; the request is no longer held. Ignores unknown ids. */
    void addResponse(Id id, std::uint64_t bytes, SteadyTime now);
    /** Records that the caller has read @p bytes more of a response. */
    void noteProgress(Id id, std::uint64_t bytes);
    /** Ends a request: nothing is held for it any more. Ignores unknown ids. */
    void release(Id id, SteadyTime now);
    /** Returns the response to give up because more bytes are held than the bound allows; nullopt: none. */
    std::optional<Id> findExcess(SteadyTime now) const;
    /** Returns the time after which a refused request of @p route is expected to find room. */
    Millis retryAfter(const std::string &route, SteadyTime now) const;
    /** Returns the bytes of requests and responses in memory. */
    std::uint64_t heldBytes() const;
    /** Returns the bytes held and expected. */
    std::uint64_t reservedBytes() const;
    std::size_t count() const;

private:
    /** Part of the bound: routes with small responses, and all others. */
    enum Part {
        Small,
        Large,
    };
    struct RouteSize {
        std::uint64_t expected = 0;
        /** Requests in progress that have no response yet. */
        std::uint64_t waiting = 0;
        bool known = false;
    };
    struct Holder {
        std::string route;
        Part part = Large;
        std::uint64_t bytes = 0;
        bool hasResponse = false;
        SteadyTime since;
        std::uint64_t progress = 0;
    };

    Part partOf(std::uint64_t bytes) const;
    std::uint64_t limitOf(Part part) const;
    std::uint64_t expectedOf(const std::string &route) const;
    void learn(RouteSize &route, std::uint64_t bytes);
    void forgetIdleRoutes();
    double releaseRate(SteadyTime now) const;

    ByteBudgetTuning tuning_;
    Id nextId_ = 1;
    std::unordered_map<std::string, RouteSize> routes_;
    std::map<Id, Holder> holders_;
    /** Bytes in memory, and bytes of the responses that are expected, by part. */
    std::array<std::uint64_t, 2> held_{};
    std::array<std::uint64_t, 2> expected_{};
    /** Decaying sum of the bytes of large responses released, as of @c releasedAt_. */
    double released_ = 0.0;
    SteadyTime releasedAt_;
};

} // namespace waxwing
