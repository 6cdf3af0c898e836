#pragma once

#include "include/base/Clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace waxwing {

/** Request counts of a class by result, as callers see it. */
struct BurnCounts {
    std::uint32_t good = 0;
    std::uint32_t late = 0;
    std::uint32_t failed = 0;
    std::uint32_t refused = 0;
    std::uint32_t unknown = 0;

    std::uint64_t total() const;
    std::uint64_t bad() const;
    void add(const BurnCounts &other);
};

/** Result of one request. */
enum class BurnResult {
    Good,
    Late,
    Failed,
    Refused,
    Unknown,
};

/** Counts of one class in one time slice. */
struct BurnSlice {
    WallTime start;
    BurnCounts counts;
};

/** Slices of one class, oldest first. */
using BurnSlices = std::vector<BurnSlice>;

/**
 * Counts results by class and time slice for the report on service-level burn. Keeps three days: five-minute slices for
 * the last hour, hourly slices for the last twelve hours and six-hour slices before that, because an ingress serves
 * every class of the fleet and has little memory for each. Not thread safe.
 */
class BurnRecorder
{
public:
    static constexpr Millis slice = std::chrono::minutes(5);
    static constexpr Millis hourlySlice = std::chrono::hours(1);
    static constexpr Millis coarseSlice = std::chrono::hours(6);
    static constexpr Millis fineRetention = std::chrono::hours(1);
    static constexpr Millis hourlyRetention = std::chrono::hours(12);
    static constexpr Millis retention = std::chrono::hours(72);

    /** @pre @p clock outlives the recorder. */
    explicit BurnRecorder(const Clock &clock);
    void record(const std::string &service, const std::string &className, BurnResult result);
    /** Returns the slices by "service/class", oldest first. */
    const std::map<std::string, BurnSlices> &slices() const;
    /**
     * Returns all slices as JSON: for each "service/class" a list of slices, each a list of its start in ms since the
     * epoch and its counts in the order of BurnCounts.
     */
    std::string json() const;

private:
    static void coarsen(BurnSlices &slices, WallTime now);

    const Clock &clock_;
    std::map<std::string, BurnSlices> slices_;
};

/** Burn rate of one class over one window: 1 spends the error budget exactly at the allowed rate. */
struct BurnRate {
    std::string label;
    BurnCounts counts;
    double burn = 0.0;
};

/** Returns the burn rates over the last 1 h, 6 h and 3 d before @p now for a target such as 0.999. Thread safe. */
std::vector<BurnRate> burnRates(const BurnSlices &slices, double successRate, WallTime now);

} // namespace waxwing
